//! The verdict on new versions, compared with a naive rule.
//!
//! The naive rule looks at each router alone and rolls a version back when
//! more than one in twenty of its requests failed there. Both rules see the
//! same simulated traffic: requests spread over eight routers, one in twenty
//! of them on the new version, and a background rate of failures that is
//! independent of the version.

use {
    magnoliahaven::moves::{
        MoveEvidence, MovePlan, MoveStartRecord, MoveState, MoveStep,
        RequestResult, Verdict,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

const ROUTERS: usize = 8;
const CANARY_PERCENT: u32 = 5;
const SIMULATIONS: u64 = 200;
const REQUESTS: u64 = 40_000;
const CHECK_INTERVAL: u64 = 200;
const NAIVE_PERCENT: u64 = 5;
const NAIVE_REQUESTS: u64 = 10;
const ROUTES: [&str; 3] = ["chat/urgent", "chat/check", "chat/draft"];

/// A version: how often it fails, on which routes, and how slow it is.
#[derive(Clone, Copy)]
struct Version {
    fail_permille: u32,
    only_route: Option<usize>,
    slow_percent: u64,
}

const GOOD: Version =
    Version { fail_permille: 5, only_route: None, slow_percent: 100 };

/// When each rule rolled the version back, in requests of the new version.
struct Detection {
    detected: Option<u64>,
    naive: Option<u64>,
}

fn simulate(new: Version, seed: u64) -> Detection {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut tallies = vec![MoveEvidence::default(); ROUTERS];
    let mut detection = Detection { detected: None, naive: None };
    let mut served = 0;
    for number in 0..REQUESTS {
        let router = random.random_range(0..ROUTERS);
        let route = random.random_range(0..ROUTES.len());
        let is_new = random.random_range(0..100) < CANARY_PERCENT;
        let version = if is_new { new } else { GOOD };
        let is_affected = version.only_route.is_none_or(|only| only == route);
        let permille = if is_affected { version.fail_permille } else { 5 };
        let failed = random.random_range(0..1_000) < permille;
        let base: u64 = random.random_range(20_000..120_000);
        let latency = base * version.slow_percent / 100;
        let tally = &mut tallies[router];
        let side = if is_new { &mut tally.new } else { &mut tally.old };
        let result = if failed {
            RequestResult::Error
        } else {
            RequestResult::Answered { latency_us: Some(latency) }
        };
        side.record(ROUTES[route], result);
        served += u64::from(is_new);
        if number % CHECK_INTERVAL != 0 {
            continue;
        }
        let mut sum = MoveEvidence::default();
        for tally in &tallies {
            sum.add(tally);
        }
        if detection.detected.is_none() && sum.verdict() != Verdict::Pass {
            detection.detected = Some(served);
        }
        if detection.naive.is_none() && tallies.iter().any(naive_verdict) {
            detection.naive = Some(served);
        }
    }
    detection
}

fn naive_verdict(tally: &MoveEvidence) -> bool {
    let (mut requests, mut failures) = (0, 0);
    for route in tally.new.routes.values() {
        requests += route.requests;
        failures += route.failures;
    }
    requests >= NAIVE_REQUESTS && failures * 100 > requests * NAIVE_PERCENT
}

/// Returns in how many simulations the verdict and the naive rule rolled the
/// version back, and after how many of its requests the verdict did, on
/// average.
fn run_simulations(name: &str, new: Version) -> (u64, u64, u64) {
    let (mut detected, mut naive, mut sum) = (0, 0, 0);
    for seed in 0..SIMULATIONS {
        let detection = simulate(new, seed);
        detected += u64::from(detection.detected.is_some());
        naive += u64::from(detection.naive.is_some());
        sum += detection.detected.unwrap_or(0);
    }
    let mean = sum / detected.max(1);
    println!(
        "{name}: rolled back in {detected} of {SIMULATIONS} runs after {mean} \
         requests, by the naive rule in {naive}"
    );
    (detected, naive, mean)
}

#[test]
fn good_versions_are_not_rolled_back_for_noise() {
    let (detected, naive, _) = run_simulations("good", GOOD);
    assert!(
        detected * 100 <= SIMULATIONS,
        "{detected} of {SIMULATIONS} good versions"
    );
    assert!(detected < naive, "no better than the naive rule");
}

#[test]
fn versions_that_fail_are_rolled_back() {
    for permille in [50, 200, 1_000] {
        let new = Version { fail_permille: permille, ..GOOD };
        let name = format!("{permille} in 1,000 fail");
        let (detected, _, mean) = run_simulations(&name, new);
        assert_eq!(detected, SIMULATIONS, "{name}");
        assert!(mean < REQUESTS * u64::from(CANARY_PERCENT) / 100);
    }
}

#[test]
fn versions_that_fail_on_one_route_are_rolled_back() {
    let new = Version { fail_permille: 200, only_route: Some(1), ..GOOD };
    let (detected, _, _) =
        run_simulations("200 in 1,000 fail on one route", new);
    assert_eq!(detected, SIMULATIONS);
}

#[test]
fn slow_versions_are_rolled_back_and_the_naive_rule_misses_them() {
    let new = Version { slow_percent: 200, ..GOOD };
    let (detected, naive, _) = run_simulations("twice as slow", new);
    assert_eq!(detected, SIMULATIONS);
    assert!(naive < detected);
}

/// Every request of a rare route fails, whichever version serves it. A good
/// version was rolled back for it.
#[test]
fn a_rare_route_that_fails_on_both_versions_condemns_neither() {
    let mut tally = MoveEvidence::default();
    for _ in 0..16 {
        tally.old.record("rare", RequestResult::TimedOut);
    }
    for _ in 0..6 {
        tally.new.record("rare", RequestResult::TimedOut);
    }
    assert_eq!(tally.verdict(), Verdict::Pass);
    assert_eq!(tally.advance_verdict(), Verdict::Pass);
}

/// The share of a version grew by time alone unless it was proved bad.
#[yare::parameterized(
    sound = { 1, Some((MoveStep::Ramping, 25)) },
    probably_bad = { 7, None },
)]
fn the_share_of_a_version_that_is_probably_bad_does_not_grow(
    failures: u64,
    expected: Option<(MoveStep, u32)>,
) {
    let start = MoveStartRecord {
        service: "chat".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        deadline_ms: 60_000,
        who: "ana".to_owned(),
    };
    let mut state = MoveState::new(start, 0);
    state.step = MoveStep::Canary;
    state.share = 5;
    let mut tally = MoveEvidence::default();
    let answered = RequestResult::Answered { latency_us: Some(80_000) };
    for number in 0..300 {
        let is_error = number % 50 == 0;
        let result = if is_error { RequestResult::Error } else { answered };
        tally.old.record("route", result);
    }
    for number in 0..40 {
        let is_error = number < failures;
        let result = if is_error { RequestResult::Error } else { answered };
        tally.new.record("route", result);
    }
    assert_eq!(tally.verdict(), Verdict::Pass);
    let plan = MovePlan::new(5);
    assert_eq!(plan.next_step(&state, &tally, 30_000), expected);
}
