//! When a router trusts declarations that it cannot confirm.

use std::time::{Duration, Instant};

use magnoliahaven::{
    catalog::PackedText,
    gateway::{
        DeclarationTracker, NewerDeclaration, StaleReason,
        announcement_fanout, reader_count,
    },
    ports::TopicPosition,
};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns a tracker with version 3, adopted and confirmed at `start`.
fn tracker(start: Instant) -> DeclarationTracker {
    let mut tracker = DeclarationTracker::new();
    tracker.adopt(3, PackedText::pack("three"), start);
    tracker.record_store_answer(start, start);
    tracker
}

/// Returns the newer declarations that make the known ones stale.
fn superseded_by(
    tracker: &DeclarationTracker,
    now: Instant,
) -> Option<NewerDeclaration> {
    match tracker.staleness(now)? {
        StaleReason::Superseded(newer) => Some(newer),
        StaleReason::Unread(_) | StaleReason::LateAnswers(_) => None,
    }
}

#[test]
fn a_slow_answer_confirms_the_time_at_which_its_read_began() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    let arrived = start + ms(5_000);
    tracker.record_store_answer(start + ms(100), arrived);
    assert!(!tracker.is_fresh(arrived));
    assert_eq!(tracker.age(arrived), Some(ms(4_900)));
}

#[test]
fn an_answer_out_of_order_does_not_undo_a_confirmation() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(2_000), start + ms(2_000));
    tracker.record_store_answer(start + ms(500), start + ms(2_100));
    assert_eq!(tracker.age(start + ms(2_000)), Some(ms(0)));
}

/// A gateway whose reads complete every half second asks no other router.
#[test]
fn regular_reads_need_no_confirmation() {
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
fn declarations_that_nobody_can_confirm_stay_in_use() {
    let start = Instant::now();
    let tracker = tracker(start);
    let later = start + Duration::from_secs(3_600);
    assert!(tracker.needs_confirmation(later));
    assert!(!tracker.is_fresh(later));
    assert_eq!(tracker.staleness(later), None);
}

/// A key is removed at 1 s, and other routers know it 0.2 s later. No router
/// may accept the key two seconds after the change.
#[test]
fn superseded_declarations_are_stale_two_seconds_after_the_change() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_newer(4, start + ms(1_200));
    assert_eq!(tracker.staleness(start + ms(1_300)), None);
    assert_eq!(superseded_by(&tracker, start + ms(3_000)).unwrap().version, 4);
}

/// In a burst of changes, each peer has used its version for only a few
/// milliseconds when it is asked. Staleness counts from the first change
/// that this router missed.
#[test]
fn a_burst_of_changes_does_not_postpone_staleness() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    for change in 1..=20 {
        let since = start + ms(100) * change;
        tracker.record_newer(3 + u64::from(change), since);
    }
    let newer = superseded_by(&tracker, start + ms(1_150)).unwrap();
    assert_eq!(newer.version, 23);
    assert_eq!(newer.since, start + ms(100));
    // An intermediate version is still too old.
    tracker.adopt(10, PackedText::pack("ten"), start + ms(1_200));
    assert!(superseded_by(&tracker, start + ms(1_200)).is_some());
    tracker.adopt(23, PackedText::pack("all"), start + ms(1_300));
    assert!(superseded_by(&tracker, start + ms(9_000)).is_none());
}

/// A read of the store that began after a change includes the change.
#[test]
fn a_later_read_overrides_the_reports_of_other_routers() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_newer(4, start + ms(500));
    tracker.record_store_answer(start + ms(400), start + ms(1_500));
    assert!(superseded_by(&tracker, start + ms(1_600)).is_some());
    tracker.record_store_answer(start + ms(600), start + ms(1_600));
    assert!(superseded_by(&tracker, start + ms(1_600)).is_none());
}

#[test]
fn the_text_is_sent_only_to_routers_that_lack_it() {
    let start = Instant::now();
    let tracker = tracker(start);
    let now = start + ms(700);
    let state = tracker.state(now, None).unwrap();
    assert_eq!((state.version, state.age), (3, ms(700)));
    assert_eq!((state.in_force, state.text), (ms(700), None));
    assert_eq!(tracker.state(now, Some(3)).unwrap().text, None);
    let text = tracker.state(now, Some(2)).unwrap().text;
    assert_eq!(text, Some(PackedText::pack("three")));
    assert_eq!(DeclarationTracker::new().state(now, Some(0)), None);
}

/// On a congested link an answer arrives every 0.75 s, each 2.4 s after its
/// read began. The store is reachable, so operators can change the
/// declarations meanwhile.
#[test]
fn answers_that_are_too_old_on_arrival_make_declarations_stale() {
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

/// The congestion of the link grows until answers miss their timeout.
#[test]
fn declarations_stay_stale_when_late_answers_cease() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(500), start + ms(2_100));
    for later in 0..80 {
        let now = start + ms(2_500) + ms(100) * later;
        assert!(tracker.staleness(now).is_some());
    }
    assert_eq!(tracker.staleness(start + ms(12_200)), None);
}

/// The last answer before an outage was prompt, and none follows it.
#[test]
fn an_outage_alone_does_not_make_declarations_stale() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(500), start + ms(1_010));
    for later in 0..100 {
        let now = start + ms(1_010) + ms(50) * later;
        // Other routers cannot read the store either.
        tracker.record_peer_confirmation(start + ms(700));
        assert_eq!(tracker.staleness(now), None);
    }
}

/// The bound on a change follows the settings: where it is 4 s, answers that
/// are 3 s old do not stop the service.
#[test]
fn the_apply_time_moves_all_bounds() {
    let start = Instant::now();
    let mut tracker = tracker(start).with_apply_time(ms(4_000));
    tracker.record_store_answer(start, start + ms(1_500));
    assert!(!tracker.needs_confirmation(start + ms(2_100)));
    assert!(tracker.is_fresh(start + ms(2_900)));
    assert_eq!(tracker.staleness(start + ms(3_900)), None);
    let late = Some(StaleReason::LateAnswers(ms(4_000)));
    assert_eq!(tracker.staleness(start + ms(4_000)), late);
    tracker.record_newer(4, start + ms(1_600));
    assert_eq!(superseded_by(&tracker, start + ms(3_500)), None);
    assert!(superseded_by(&tracker, start + ms(3_600)).is_some());
}

const fn position(offset: u64) -> TopicPosition {
    TopicPosition { era: 0, offset }
}

/// The store has a newer version, and neither it nor another router sends its
/// text. The version here was still in force when it was last confirmed.
#[test]
fn unread_declarations_make_those_in_use_stale_in_time() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.advance(position(7));
    tracker.record_unread(position(8), start + ms(300));
    assert_eq!(tracker.staleness(start + ms(1_999)), None);
    let stale = Some(StaleReason::Unread(ms(2_000)));
    assert_eq!(tracker.staleness(start + ms(2_000)), stale);
    tracker.adopt(4, PackedText::pack("four"), start + ms(2_100));
    tracker.advance(position(8));
    assert_eq!(tracker.staleness(start + ms(2_100)), None);
    assert_eq!(tracker.behind_for(start + ms(2_100)), None);
}

/// In a storm of changes a router is always behind. As long as it gets newer
/// texts, it does not count as one that gets none.
#[test]
fn a_router_that_catches_up_in_part_is_behind_for_a_short_time() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    for change in 1..=10 {
        let now = start + ms(300) * change;
        tracker.record_unread(position(u64::from(change)), now);
        assert!(tracker.behind_for(now) <= Some(ms(300)));
        let text = PackedText::pack("more");
        tracker.adopt(3 + u64::from(change), text, now);
    }
}

/// A gateway that reaches no other one reads the text well before the time
/// within which it has to know it, however many gateways there are.
#[yare::parameterized(
    grown = { 71, 3_000 },
    large = { 295, 4_000 },
    target = { 411, 6_000 },
)]
fn every_gateway_becomes_a_reader_in_time(gateways: usize, apply_ms: u64) {
    let apply_time = ms(apply_ms);
    assert!(reader_count(ms(0), apply_time) < 10);
    assert!(reader_count(apply_time.mul_f64(0.61), apply_time) >= gateways);
    assert!(reader_count(ms(3_600_000), apply_time) >= gateways);
    assert!(announcement_fanout(gateways) as f64 > (gateways as f64).ln());
}

#[test]
fn a_packed_text_is_unpacked_as_it_was_and_others_are_not() {
    let text = "{\"routes\": []}".repeat(20_000);
    let packed = PackedText::pack(&text);
    assert!(packed.as_bytes().len() * 10 < text.len());
    assert_eq!(packed.unpack(), Some(text));
    assert_eq!(PackedText::from_bytes(vec![7; 40]).unpack(), None);
    let endless = PackedText::pack(&"x".repeat(9 * 1024 * 1024));
    assert_eq!(endless.unpack(), None);
}

/// The store is overloaded: its answers came late, and now it refuses reads.
/// It may still accept changes, so the declarations may be old.
#[test]
fn declarations_stay_stale_while_an_overloaded_store_refuses() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(500), start + ms(2_100));
    for refusal in 1..=60 {
        let now = start + ms(2_100) + ms(500) * refusal;
        tracker.record_refusal(now);
        assert!(tracker.staleness(now).is_some(), "after {refusal} refusals");
    }
    let last = start + ms(32_100);
    assert!(tracker.staleness(last + ms(9_900)).is_some());
    assert_eq!(tracker.staleness(last + ms(10_000)), None);
}

/// The answers before an outage were prompt, and then the store refuses.
#[test]
fn refusals_alone_do_not_make_declarations_stale() {
    let start = Instant::now();
    let mut tracker = tracker(start);
    tracker.record_store_answer(start + ms(500), start + ms(1_010));
    for refusal in 1..=60 {
        let now = start + ms(1_010) + ms(500) * refusal;
        tracker.record_refusal(now);
        assert_eq!(tracker.staleness(now), None);
    }
}
