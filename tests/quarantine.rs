//! Which parts of prompts are held to crash upstreams.

use std::time::{Duration, Instant};

use {
    magnoliahaven::routing::{LossObserver, PartQuarantine, QuarantinedPart},
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

const OWN: LossObserver = LossObserver::Own;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Records losses of requests with these parts, one each second.
fn lose(
    quarantine: &mut PartQuarantine,
    parts: &[&str],
    count: u64,
    start: Instant,
) -> Instant {
    let mut now = start;
    for _ in 0..count {
        now += ms(1_000);
        quarantine.record_loss(parts.iter().copied(), OWN, now);
    }
    now
}

fn admits(
    quarantine: &mut PartQuarantine,
    parts: &[&str],
    now: Instant,
) -> bool {
    quarantine.admit(parts.iter().copied(), now).is_ok()
}

#[test]
fn a_part_that_sound_requests_share_is_not_quarantined() {
    let mut quarantine = PartQuarantine::new();
    let mut now = Instant::now();
    for _ in 0..5 {
        now = lose(&mut quarantine, &["common", "deadly"], 1, now);
        quarantine.record_answer(["common"], now);
    }
    assert!(!admits(&mut quarantine, &["common", "deadly"], now));
    assert!(admits(&mut quarantine, &["common", "other"], now));
}

/// A failure domain loses its power: a part that many requests have is lost
/// at all of its upstreams within a few milliseconds.
#[test]
fn losses_at_the_same_time_count_as_one() {
    let mut quarantine = PartQuarantine::new();
    let start = Instant::now();
    for number in 0..20 {
        let now = start + ms(number * 5);
        quarantine.record_loss(["common"], OWN, now);
    }
    assert!(admits(&mut quarantine, &["common"], start + ms(100)));
}

/// A sound part that came only with the deadly one was rejected for as long
/// as that one.
#[test]
fn parts_that_were_lost_together_are_told_apart_by_the_next_request() {
    let mut quarantine = PartQuarantine::new();
    let start = Instant::now();
    let both = ["sibling", "deadly"];
    let now = lose(&mut quarantine, &both, 3, start);
    assert!(!admits(&mut quarantine, &both, now));
    assert!(admits(&mut quarantine, &["sibling", "other"], now));
    // One request shows it; others wait.
    assert!(!admits(&mut quarantine, &["sibling", "other"], now));
    quarantine.record_answer(["sibling", "other"], now + ms(100));
    let later = now + ms(200);
    assert!(admits(&mut quarantine, &["sibling", "other"], later));
    assert!(!admits(&mut quarantine, &both, later));
    // A request with the deadly part alone is lost, and the last one.
    assert!(admits(&mut quarantine, &["deadly"], later));
    quarantine.record_loss(["deadly"], OWN, later + ms(300));
    assert!(!admits(&mut quarantine, &["deadly"], later + ms(400)));
}

#[test]
fn a_quarantine_ends_with_a_probe_and_doubles_if_that_is_lost() {
    let mut quarantine = PartQuarantine::new();
    let start = Instant::now();
    let mut now = lose(&mut quarantine, &["deadly"], 3, start);
    let mut lengths = Vec::new();
    for _ in 0..3 {
        let left = quarantine.find(["deadly"], now).expect("quarantine");
        lengths.push(left.time_left.as_secs());
        now += left.time_left;
        assert!(admits(&mut quarantine, &["deadly"], now));
        assert!(!admits(&mut quarantine, &["deadly"], now + ms(50)));
        now += ms(500);
        quarantine.record_loss(["deadly"], OWN, now);
    }
    assert_eq!(lengths, [120, 240, 480]);
    now += quarantine.find(["deadly"], now).expect("quarantine").time_left;
    assert!(admits(&mut quarantine, &["deadly"], now));
    quarantine.record_answer(["deadly"], now);
    assert!(admits(&mut quarantine, &["deadly"], now));
}

#[test]
fn a_router_takes_over_quarantines_but_not_of_parts_that_it_saw_answered() {
    let start = Instant::now();
    let part = "deadly".to_owned();
    let theirs = [QuarantinedPart { part, time_left: ms(60_000) }];
    let mut quarantine = PartQuarantine::new();
    assert_eq!(quarantine.merge(&theirs, start), theirs);
    assert!(!admits(&mut quarantine, &["deadly"], start));
    // It does not grow when two routers exchange it again and again.
    assert_eq!(quarantine.merge(&theirs, start), []);
    quarantine.record_answer(["deadly"], start);
    assert_eq!(quarantine.merge(&theirs, start + ms(100)), []);
    assert!(admits(&mut quarantine, &["deadly"], start + ms(100)));
}

/// Upstreams crash at random under requests of all parts, at 2 in 100 of the
/// attempts, for five minutes.
#[test]
fn random_crashes_quarantine_hardly_any_part() {
    let mut random = SmallRng::seed_from_u64(33);
    let mut quarantine = PartQuarantine::new();
    let start = Instant::now();
    let (mut rejected, mut all) = (0_u64, 0_u64);
    for number in 0..30_000 {
        let now = start + ms(number * 10);
        let part = format!("p{}", random.random_range(0..162));
        let parts = ["common", part.as_str()];
        all += 1;
        if quarantine.admit(parts, now).is_err() {
            rejected += 1;
            continue;
        }
        if random.random_bool(0.02) {
            quarantine.record_loss(parts, OWN, now);
        } else {
            quarantine.record_answer(parts, now);
        }
    }
    assert!(rejected * 100 < all, "{rejected} of {all}");
}
