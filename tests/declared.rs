//! How far a router relies on declarations that it cannot confirm.

use std::time::{Duration, Instant};

use magnoliahaven::gateway::{
    DeclarationTracker, NewerDeclaration, StaleReason,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A tracker that holds version 3 since `start`, confirmed then.
fn tracker(start: Instant) -> DeclarationTracker {
    let mut tracker = DeclarationTracker::new();
    tracker.adopt(3, "three".into(), start);
    tracker.record_store_answer(start, start);
    tracker
}

/// The newer declarations that a router must not go without.
fn missed(
    tracker: &DeclarationTracker,
    now: Instant,
) -> Option<NewerDeclaration> {
    match tracker.staleness(now)? {
        StaleReason::Superseded(newer) => Some(newer),
        StaleReason::LateAnswers(_) => None,
    }
}

#[test]
fn an_answer_that_took_long_confirms_the_time_of_its_question() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    let arrived = start + ms(5_000);
    tracker.record_store_answer(start + ms(100), arrived);
    assert!(!tracker.is_fresh(arrived));
    assert_eq!(tracker.age(arrived), Some(ms(4_900)));
}

#[test]
fn an_answer_that_was_outrun_takes_no_confirmation_back() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(2_000), start + ms(2_000));
    tracker.record_store_answer(start + ms(500), start + ms(2_100));
    assert_eq!(tracker.age(start + ms(2_000)), Some(ms(0)));
}

/// Reads of a sound gateway come each half second. It asks nobody.
#[test]
fn regular_reads_leave_no_doubt() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    for read in 1..40 {
        let arrived = start + ms(510) * read;
        assert!(!tracker.needs_confirmation(arrived));
        assert!(tracker.is_fresh(arrived));
        tracker.record_store_answer(arrived - ms(510), arrived);
        assert_eq!(tracker.staleness(arrived), None);
    }
}

#[test]
fn what_nobody_can_confirm_stays_in_use() {
    let start = Instant::now();
    let tracker = tracker(start);
    let later = start + Duration::from_secs(3_600);
    assert!(tracker.needs_confirmation(later));
    assert!(!tracker.is_fresh(later));
    assert_eq!(tracker.staleness(later), None);
}

/// A key is dropped at 1 s, and others know it 0.2 s later. Two seconds
/// after the change nobody may serve it.
#[test]
fn outdated_declarations_are_left_two_seconds_after_the_change() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_newer(4, start + ms(1_200));
    assert_eq!(tracker.staleness(start + ms(1_300)), None);
    assert_eq!(missed(&tracker, start + ms(3_000)).unwrap().version, 4);
}

/// A storm of changes: each peer that is asked has gone by its version for
/// some milliseconds only. What is missing is missing since the first.
#[test]
fn a_storm_of_changes_does_not_put_the_end_off() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    for change in 1..=20 {
        let since = start + ms(100) * change;
        tracker.record_newer(3 + u64::from(change), since);
    }
    let newer = missed(&tracker, start + ms(1_150)).unwrap();
    assert_eq!(newer.version, 23);
    assert_eq!(newer.since, start + ms(100));
    // A version in between does not make up for the rest.
    tracker.adopt(10, "ten".into(), start + ms(1_200));
    assert!(missed(&tracker, start + ms(1_200)).is_some());
    tracker.adopt(23, "all".into(), start + ms(1_300));
    assert!(missed(&tracker, start + ms(9_000)).is_none());
}

/// A read of the store that was asked after a change includes it.
#[test]
fn a_later_read_settles_what_others_said() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_newer(4, start + ms(500));
    tracker.record_store_answer(start + ms(400), start + ms(1_500));
    assert!(missed(&tracker, start + ms(1_600)).is_some());
    tracker.record_store_answer(start + ms(600), start + ms(1_600));
    assert!(missed(&tracker, start + ms(1_600)).is_none());
}

#[test]
fn others_are_told_the_text_only_if_they_lack_it() {
    let start = Instant::now();
    let tracker = tracker(start);
    let now = start + ms(700);
    let state = tracker.state(now, None).unwrap();
    assert_eq!((state.version, state.age), (3, ms(700)));
    assert_eq!((state.in_force, state.text), (ms(700), None));
    assert_eq!(tracker.state(now, Some(3)).unwrap().text, None);
    let text = tracker.state(now, Some(2)).unwrap().text;
    assert_eq!(text.as_deref(), Some("three"));
    assert_eq!(DeclarationTracker::new().state(now, Some(0)), None);
}

/// On a full link an answer comes every 0.75 s, each 2.4 s after it was asked
/// for. The store can be asked, so operators can change what is declared.
#[test]
fn answers_that_are_too_old_when_they_come_are_not_served_by() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    for answer in 0..8 {
        let arrived = start + ms(2_400) + ms(750) * answer;
        tracker.record_store_answer(arrived - ms(2_400), arrived);
        let reason = tracker.staleness(arrived + ms(100));
        assert_eq!(reason, Some(StaleReason::LateAnswers(ms(2_500))));
    }
    let arrived = start + ms(9_000);
    tracker.record_store_answer(arrived - ms(600), arrived);
    assert_eq!(tracker.staleness(arrived), None);
}

/// The link gets fuller, and answers do not come in time to be waited for.
#[test]
fn late_answers_that_cease_leave_the_declarations_stale() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(500), start + ms(2_100));
    for later in 0..80 {
        let now = start + ms(2_500) + ms(100) * later;
        assert!(tracker.staleness(now).is_some());
    }
    assert_eq!(tracker.staleness(start + ms(12_200)), None);
}

/// The last answer before an outage was prompt. None comes afterwards.
#[test]
fn an_outage_alone_makes_nothing_stale() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(500), start + ms(1_010));
    for later in 0..100 {
        let now = start + ms(1_010) + ms(50) * later;
        // Others have not read it either.
        tracker.record_peer_confirmation(start + ms(700));
        assert_eq!(tracker.staleness(now), None);
    }
}
