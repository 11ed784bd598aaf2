//! Which parts of prompts are held to crash upstreams.

use std::time::{Duration, Instant};

use {
    magnoliahaven::routing::{
        LossObserver, PartQuarantine, QuarantinedPart, UpstreamCrash,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Returns the crash of an upstream that this router has observed.
fn crash(upstream: &str) -> UpstreamCrash<'_> {
    UpstreamCrash { upstream, observer: LossObserver::Own }
}

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
    for number in 0..count {
        now += ms(1_000);
        let upstream = format!("w-{number}");
        let parts = parts.iter().copied();
        quarantine.record_crash(parts, crash(&upstream), now);
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
        let upstream = format!("w-{number}");
        quarantine.record_crash(["common"], crash(&upstream), now);
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
    quarantine.record_crash(["deadly"], crash("w-1"), later + ms(1_300));
    assert!(!admits(&mut quarantine, &["deadly"], later + ms(1_400)));
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
        quarantine.record_crash(["deadly"], crash("w-1"), now);
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
            let upstream = format!("w-{number}");
            quarantine.record_crash(parts, crash(&upstream), now);
        } else {
            quarantine.record_answer(parts, now);
        }
    }
    assert!(rejected * 100 < all, "{rejected} of {all}");
}

/// BUDGET: the first event of an answer cleared the part that crashed the
/// upstream right behind it.
#[test]
fn an_answer_that_begins_is_no_sign_of_a_sound_part() {
    let mut quarantine = PartQuarantine::new();
    let mut now = Instant::now();
    for number in 0..3 {
        assert!(admits(&mut quarantine, &["deadly"], now), "{number}");
        quarantine.record_begin(["deadly"], now + ms(10));
        now = lose(&mut quarantine, &["deadly"], 1, now);
    }
    quarantine.record_begin(["deadly"], now + ms(10));
    assert!(!admits(&mut quarantine, &["deadly"], now + ms(20)));
}

/// A crash breaks off many sound requests with one part. Their reports come
/// late, those of other routers too.
#[test]
fn late_reports_of_one_crash_count_as_one() {
    let mut quarantine = PartQuarantine::new();
    let start = Instant::now();
    for number in 0..9 {
        let now = start + ms(number * 110);
        let observer = match number % 2 {
            0 => LossObserver::Own,
            _ => LossObserver::Peer,
        };
        // Two upstreams crashed at the same time.
        let upstream = if number % 3 == 0 { "w-1" } else { "w-2" };
        let crash = UpstreamCrash { upstream, observer };
        quarantine.record_crash(["sound"], crash, now);
    }
    assert!(admits(&mut quarantine, &["sound"], start + ms(1_000)));
}

/// Requests that wait for a probe waited for the whole stream of it.
#[test]
fn a_probe_that_is_answered_holds_back_no_other_request() {
    let mut quarantine = PartQuarantine::new();
    let both = ["sibling", "deadly"];
    let now = lose(&mut quarantine, &both, 3, Instant::now());
    let sound = ["sibling", "other"];
    assert!(admits(&mut quarantine, &sound, now));
    assert!(!admits(&mut quarantine, &sound, now + ms(10)));
    quarantine.record_begin(sound, now + ms(20));
    assert!(admits(&mut quarantine, &sound, now + ms(30)));
    assert!(!admits(&mut quarantine, &both, now + ms(40)));
    // If the probe is lost after all, the part is held back at once.
    quarantine.record_crash(["sibling"], crash("w-9"), now + ms(1_200));
    assert!(!admits(&mut quarantine, &sound, now + ms(1_300)));
}

/// Upstreams of the simulated service.
const UPSTREAMS: usize = 8;

/// Time between two requests of the simulated service.
const REQUEST_GAP: Duration = Duration::from_millis(20);

/// A stream of the simulated service.
struct SimulatedStream {
    upstream: usize,
    part: String,
    ends_at: Instant,
}

/// A service of 50 streams a second that last up to 4 s. One request in 20
/// has the deadly part and crashes its upstream 20 ms after its first event,
/// with all streams there; the upstream is back after 3 s.
#[test]
fn crashes_in_streams_quarantine_the_deadly_part_and_hardly_a_sound_one() {
    let mut random = SmallRng::seed_from_u64(43);
    let mut quarantine = PartQuarantine::new();
    let start = Instant::now();
    let mut streams: Vec<SimulatedStream> = Vec::new();
    let mut back_at = [start; UPSTREAMS];
    let (mut crashes, mut rejected, mut sound) = (0, 0, 0);
    for number in 0_u32..1_500 {
        let now = start + REQUEST_GAP * number;
        streams.retain(|stream| {
            let ended = stream.ends_at <= now;
            if ended {
                let parts = ["common", stream.part.as_str()];
                quarantine.record_answer(parts, stream.ends_at);
            }
            !ended
        });
        let is_deadly = number % 20 == 19;
        let part = match is_deadly {
            true => "deadly".to_owned(),
            false => format!("p{}", random.random_range(0..40)),
        };
        let parts = ["common", part.as_str()];
        sound += u32::from(!is_deadly);
        if quarantine.admit(parts, now).is_err() {
            rejected += u32::from(!is_deadly);
            continue;
        }
        let live = (0..UPSTREAMS).filter(|u| back_at[*u] <= now);
        let live: Vec<usize> = live.collect();
        if live.is_empty() {
            continue;
        }
        let upstream = live[random.random_range(0..live.len())];
        let lasts = ms(random.random_range(200..4_000));
        quarantine.record_begin(parts, now);
        let ends_at = now + lasts;
        streams.push(SimulatedStream { upstream, part, ends_at });
        if !is_deadly {
            continue;
        }
        crashes += 1;
        let down = now + ms(20);
        back_at[upstream] = down + ms(3_000);
        let name = format!("w-{upstream}");
        for lost in streams.iter().filter(|s| s.upstream == upstream) {
            let parts = ["common", lost.part.as_str()];
            quarantine.record_crash(parts, crash(&name), down);
        }
        streams.retain(|stream| stream.upstream != upstream);
    }
    assert!(crashes <= 5, "{crashes} crashes");
    assert!(rejected * 20 < sound, "{rejected} of {sound} sound ones");
}
