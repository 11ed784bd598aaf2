//! When a version move is completed or rolled back, replayed with the load
//! of services of several sizes.

use std::time::{Duration, Instant};

use {
    magnoliahaven::{
        config::MoveSettings,
        domain::HolderId,
        gateway::{MoveExposure, MoveRole, ServiceMove},
        moves::RequestResult,
        ports::{MoveOrder, MoveStatus, TopicPosition},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// A request that was answered as usual.
const ANSWERED: RequestResult =
    RequestResult::Answered { latency_us: Some(80_000) };

fn order(seconds: u64) -> MoveOrder {
    MoveOrder {
        service: "chat".to_owned(),
        target: "v2".to_owned(),
        duration: Duration::from_secs(seconds),
        position: TopicPosition { era: 1, offset: 7 },
    }
}

/// A move with 3,000 requests in 12 s, where the new version fails half of
/// its requests after the third second. It gets less than a tenth of them,
/// and none soon after the fault shows.
#[test]
fn a_version_that_turns_bad_is_rolled_back_with_little_traffic() {
    let start = Instant::now();
    let mut random = SmallRng::seed_from_u64(20_261_204);
    let mut service_move = ServiceMove::new(order(12), start);
    let (mut to_new, mut bad, mut after) = (0, 0, 0);
    for number in 0..3_000_u64 {
        let now = start + Duration::from_millis(number * 4);
        let choice =
            service_move.version_choice(&format!("request-{number}"), now);
        let is_new = choice.required.is_some();
        let version = if is_new { "v2" } else { "v1" };
        let has_turned = number > 750;
        let failed = is_new && has_turned && random.random_bool(0.5);
        to_new += u32::from(is_new);
        bad += u32::from(failed);
        after += u32::from(is_new && bad > 50);
        let result = if failed { RequestResult::Error } else { ANSWERED };
        service_move.record_send(version);
        service_move.record_request(version, "route", result);
        if let Some(status) = service_move.decide(MoveRole::Primary, now) {
            assert_eq!(status, MoveStatus::RolledBack);
            service_move.apply_status(status);
        }
    }
    assert!(to_new < 300, "{to_new} of 3,000 requests");
    assert_eq!(after, 0);
    // A decision is final.
    assert!(!service_move.apply_status(MoveStatus::Completed));
    assert_eq!(
        service_move.version_choice("any", Instant::now()).avoided.as_deref(),
        Some("v2")
    );
}

#[test]
fn a_good_version_is_completed_before_the_order_ends() {
    let start = Instant::now();
    let mut service_move = ServiceMove::new(order(12), start);
    for number in 0..600_u64 {
        let id = format!("request-{number}");
        let choice = service_move.version_choice(&id, start);
        let version = if choice.required.is_some() { "v2" } else { "v1" };
        service_move.record_send(version);
        service_move.record_request(version, "route", ANSWERED);
    }
    let early = start + Duration::from_secs(8);
    assert_eq!(service_move.decide(MoveRole::Primary, early), None);
    let due = start + Duration::from_millis(11_600);
    // A standby waits a little longer than the primary.
    assert_eq!(service_move.decide(MoveRole::Standby, due), None);
    assert_eq!(
        service_move.decide(MoveRole::Primary, due),
        Some(MoveStatus::Completed)
    );
    assert!(service_move.apply_status(MoveStatus::Completed));
    assert_eq!(
        service_move.version_choice("any", Instant::now()).required.as_deref(),
        Some("v2")
    );
}

#[test]
fn a_version_that_has_served_nothing_is_not_completed() {
    let start = Instant::now();
    let service_move = ServiceMove::new(order(12), start);
    assert_eq!(
        service_move
            .decide(MoveRole::Primary, start + Duration::from_secs(11)),
        None
    );
    // Near the end of the order it is rolled back.
    let late = start + Duration::from_millis(11_900);
    let rolled_back = Some(MoveStatus::RolledBack);
    assert_eq!(service_move.decide(MoveRole::Primary, late), rolled_back);
}

/// Observed in a run that completed a slow version: 110 requests a
/// second over five gateways, 6 in 100 of them to a version whose gaps
/// between events are three times as long while its first events are nearly
/// as fast. No gateway alone has enough evidence.
#[yare::parameterized(
    slow = { 3.0, MoveStatus::RolledBack },
    good = { 1.0, MoveStatus::Completed },
    a_little_slower = { 1.15, MoveStatus::Completed },
)]
fn a_version_is_judged_by_the_evidence_of_all_gateways(
    slowness: f64,
    expected: MoveStatus,
) {
    const GATEWAYS: usize = 5;
    for seed in 0..50 {
        let start = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut moves = vec![ServiceMove::new(order(15), start); GATEWAYS];
        let mut decided = None;
        for number in 0..1_651_u64 {
            let now = start + Duration::from_micros(number * 9_090);
            let chosen = random.random_range(0..GATEWAYS);
            let service_move = &mut moves[chosen];
            let id = format!("request-{seed}-{number}");
            let is_new =
                service_move.version_choice(&id, now).required.is_some();
            let version = if is_new { "v2" } else { "v1" };
            let spread: f64 = random.random_range(0.4..1.6);
            let first = if is_new { slowness.sqrt() } else { 1.0 };
            let first_us = 900_000.0 * first * spread;
            let latency_us = Some(first_us as u64);
            let result = RequestResult::Answered { latency_us };
            service_move.record_send(version);
            service_move.record_request(version, "route", result);
            let pace = if is_new { slowness } else { 1.0 };
            let pace_us = 35_000.0 * pace * random.random_range(0.7..1.3);
            service_move.record_pace(version, "route", pace_us as u64);
            if number % 50 > 0 {
                continue;
            }
            for reporter in 1..GATEWAYS {
                let from = HolderId::new(format!("vm-{reporter}"), 1);
                let tally = moves[reporter].tally().clone();
                moves[0].record_report(from, tally);
            }
            decided = moves[0].decide(MoveRole::Primary, now);
            if decided.is_some() {
                break;
            }
        }
        assert_eq!(decided, Some(expected), "seed {seed}");
    }
}

/// A version that turns bad only under full load is not detected by the
/// canary share. Until the order ends it gets at most a tenth of the
/// requests.
#[test]
fn a_completed_version_gets_a_tenth_until_the_order_ends() {
    let start = Instant::now();
    let mut service_move = ServiceMove::new(order(15), start);
    let mut to_new = 0;
    for number in 0..15_000_u64 {
        let now = start + Duration::from_millis(number);
        let id = format!("request-{number}");
        let is_new = service_move.version_choice(&id, now).required.is_some();
        let version = if is_new { "v2" } else { "v1" };
        service_move.record_send(version);
        service_move.record_request(version, "route", ANSWERED);
        to_new += u64::from(is_new);
        if number % 300 > 0 {
            continue;
        }
        if let Some(status) = service_move.decide(MoveRole::Primary, now) {
            service_move.apply_status(status);
        }
    }
    assert_eq!(
        service_move.version_choice("any", Instant::now()).required.as_deref(),
        Some("v2")
    );
    assert!(to_new <= 1_500, "{to_new} of 15,000 requests");
}

/// Two gateways decide differently at the same time. The stored status
/// counts, since the old upstreams act on it.
#[test]
fn the_stored_status_overrides_the_local_one() {
    let mut service_move = ServiceMove::new(order(12), Instant::now());
    assert!(service_move.apply_status(MoveStatus::RolledBack));
    assert!(!service_move.apply_stored_status(MoveStatus::Running));
    assert!(service_move.apply_stored_status(MoveStatus::Completed));
    assert!(!service_move.apply_stored_status(MoveStatus::Completed));
    assert_eq!(
        service_move.version_choice("any", Instant::now()).required.as_deref(),
        Some("v2")
    );
}

/// A gateway that is no decider has too little evidence to complete a move.
#[test]
fn only_deciders_complete_a_move() {
    let start = Instant::now();
    let mut service_move = ServiceMove::new(order(12), start);
    service_move.record_request("v2", "route", ANSWERED);
    let late = start + Duration::from_millis(11_900);
    assert_eq!(service_move.decide(MoveRole::Reporter, late), None);
    assert_eq!(
        service_move.decide(MoveRole::Standby, late),
        Some(MoveStatus::Completed)
    );
    // With few requests the primary waits as long as the standbys.
    let due = start + Duration::from_millis(11_600);
    assert_eq!(service_move.decide(MoveRole::Primary, due), None);
    assert_eq!(MoveRole::for_rank(Some(2)), MoveRole::Standby);
    assert_eq!(MoveRole::for_rank(Some(3)), MoveRole::Reporter);
    assert_eq!(MoveRole::for_rank(None), MoveRole::Reporter);
}

/// The share of requests that end in each way, at one version.
#[derive(Clone, Copy, Default)]
struct VersionQuality {
    errors: f64,
    lost: f64,
    timeouts: f64,
}

impl VersionQuality {
    fn draw(self, random: &mut SmallRng) -> RequestResult {
        let mut draw = random.random_range(0.0..1.0);
        for (share, result) in [
            (self.errors, RequestResult::Error),
            (self.lost, RequestResult::Lost),
            (self.timeouts, RequestResult::TimedOut),
        ] {
            if draw < share {
                return result;
            }
            draw -= share;
        }
        let latency_us = Some(random.random_range(20_000..60_000));
        RequestResult::Answered { latency_us }
    }
}

/// Requests of a small service over five gateways, 41 a second for 18 s.
/// Returns how the primary decides.
fn decide_small_service(
    old: VersionQuality,
    new: VersionQuality,
    seed: u64,
) -> Option<MoveStatus> {
    const GATEWAYS: usize = 5;
    let start = Instant::now();
    let mut random = SmallRng::seed_from_u64(seed);
    let settings = MoveSettings { exposed_share: 0.1, exposed_requests: 50.0 };
    let exposure = MoveExposure::new(settings, GATEWAYS);
    let service_move =
        ServiceMove::new(order(18), start).with_exposure(exposure);
    let mut moves = vec![service_move; GATEWAYS];
    for number in 0..738_u64 {
        let now = start + Duration::from_micros(number * 24_390);
        let service_move = &mut moves[random.random_range(0..GATEWAYS)];
        let id = format!("request-{seed}-{number}");
        let is_new = service_move.version_choice(&id, now).required.is_some();
        let (version, quality) =
            if is_new { ("v2", new) } else { ("v1", old) };
        let route = if number % 7 < 5 { "write" } else { "read" };
        let result = quality.draw(&mut random);
        service_move.record_send(version);
        service_move.record_request(version, route, result);
        if number % 12 > 0 {
            continue;
        }
        for reporter in 1..GATEWAYS {
            let from = HolderId::new(format!("vm-{reporter}"), 1);
            let tally = moves[reporter].tally().clone();
            moves[0].record_report(from, tally);
        }
        let decided = moves[0].decide(MoveRole::Primary, now);
        if decided.is_some() {
            return decided;
        }
    }
    None
}

/// Three upstreams of the old version spoil a tenth of their answers.
const SPOILED: VersionQuality =
    VersionQuality { errors: 0.04, lost: 0.06, timeouts: 0.0 };

/// Lost answers of the old version hid that the new one failed in another
/// way, and a bad version was completed.
#[yare::parameterized(
    errors = { VersionQuality { errors: 0.4, ..SPOILED } },
    timeouts = { VersionQuality { timeouts: 0.3, ..SPOILED } },
)]
fn a_bad_version_is_not_hidden_by_other_failures_of_the_old_one(
    new: VersionQuality,
) {
    for seed in 0..50 {
        let decided = decide_small_service(SPOILED, new, seed);
        assert_eq!(decided, Some(MoveStatus::RolledBack), "seed {seed}");
    }
}

/// A version with much evidence against it was completed because the evidence
/// was not beyond one in a million when the time was over.
#[test]
fn a_version_that_is_probably_bad_is_not_completed() {
    let old = VersionQuality { errors: 0.06, ..VersionQuality::default() };
    let new = VersionQuality { errors: 0.3, ..VersionQuality::default() };
    for seed in 0..50 {
        let decided = decide_small_service(old, new, seed);
        assert_eq!(decided, Some(MoveStatus::RolledBack), "seed {seed}");
    }
}

/// A completed version gets no more than what is allowed of a bad one, also
/// where the canary gets extra requests and the load of the gateways is
/// uneven.
#[yare::parameterized(
    small = { 200, 0.1, 50.0 },
    medium = { 738, 0.1, 50.0 },
    large = { 9_000, 0.1, 50.0 },
    strict = { 9_000, 0.05, 10.0 },
)]
fn a_canary_stays_within_the_allowed_exposure(
    requests: u64,
    share: f64,
    extra: f64,
) {
    const GATEWAYS: usize = 5;
    let start = Instant::now();
    let settings =
        MoveSettings { exposed_share: share, exposed_requests: extra };
    let exposure = MoveExposure::new(settings, GATEWAYS);
    let service_move =
        ServiceMove::new(order(18), start).with_exposure(exposure);
    let mut moves = vec![service_move; GATEWAYS];
    let mut random = SmallRng::seed_from_u64(requests);
    let mut to_new = 0_u64;
    for number in 0..requests {
        let now = start
            + Duration::from_secs(18).mul_f64(number as f64 / requests as f64);
        // Half of the requests go to the first gateway.
        let chosen = random.random_range(0..GATEWAYS * 2) % (GATEWAYS + 1);
        let service_move = &mut moves[chosen % GATEWAYS];
        let id = format!("request-{number}");
        let is_new = service_move.version_choice(&id, now).required.is_some();
        to_new += u64::from(is_new);
        let version = if is_new { "v2" } else { "v1" };
        service_move.record_send(version);
        service_move.record_request(version, "route", ANSWERED);
    }
    let completed = 1.0 - (1.0 - 0.6) * share;
    let rest = requests as f64 * (1.0 - completed);
    let allowed = requests as f64 * share + extra;
    let exposed = to_new as f64 + rest;
    assert!(exposed <= allowed, "{exposed} of {allowed}");
}

/// The same traffic with a version that is as good as the old one.
#[yare::parameterized(
    calm = { VersionQuality { errors: 0.04, ..VersionQuality::default() } },
    spoiled = { SPOILED },
)]
fn a_version_as_good_as_the_old_one_is_completed(quality: VersionQuality) {
    let mut completed = 0;
    for seed in 0..100 {
        let decided = decide_small_service(quality, quality, seed);
        let is_completed = decided == Some(MoveStatus::Completed);
        completed += u32::from(is_completed);
    }
    assert!(completed >= 98, "{completed} of 100");
}

/// An order at `offset` of an era.
fn order_at(target: &str, era: u64, offset: u64) -> MoveOrder {
    MoveOrder {
        target: target.to_owned(),
        position: TopicPosition { era, offset },
        ..order(10)
    }
}

/// A topic that was restored from a copy holds orders again, at offsets that
/// may be higher or lower.
#[yare::parameterized(
    again_at_a_higher_offset = { "v2", 2, 9, false },
    again_at_a_lower_offset = { "v2", 2, 3, false },
    an_earlier_one = { "v1", 2, 9, false },
    a_new_one = { "v3", 2, 3, true },
    later_in_the_same_era = { "v2", 1, 8, true },
    earlier_in_the_same_era = { "v3", 1, 6, false },
)]
fn an_order_from_before_a_restore_is_no_new_one(
    target: &str,
    era: u64,
    offset: u64,
    expected: bool,
) {
    let service_move = ServiceMove::new(order_at("v2", 1, 7), Instant::now())
        .with_earlier_orders(vec![order_at("v1", 1, 2)]);
    let found = service_move.is_new_order(&order_at(target, era, offset));
    assert_eq!(found, expected);
}
