//! Rate limits of upstreams, divided among routers.

use std::time::{Duration, Instant};

use {
    magnoliahaven::routing::{
        LimitNotice, PaceOpening, RatePacer, RequestRate, UpstreamLimits,
        rate_share,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// The window in which the requests to an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Step of a replay.
const STEP: Duration = Duration::from_millis(10);

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("vm-{number}")).collect()
}

/// The most requests in a window while routers send whenever they may.
/// `lists` holds the list of each router.
fn replay(limit: f64, lists: &[Vec<String>], seed: u64) -> (usize, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let everyone = names(lists.len());
    let mut pacers = Vec::new();
    for (name, list) in everyone.iter().zip(lists) {
        let share = rate_share("upstream", rate(limit), list, name);
        pacers.push(RatePacer::new(share, start));
    }
    let length = Duration::from_secs(60);
    let mut sent = Vec::new();
    let mut is_quiet = false;
    let mut now = start;
    while now < start + length {
        // Quiet times let all routers save up their bursts.
        if random.random_bool(0.002) {
            is_quiet = !is_quiet;
        }
        for pacer in &mut pacers {
            while !is_quiet && pacer.opening(now) == PaceOpening::Now {
                pacer.record(now);
                sent.push(now);
            }
        }
        now += STEP;
    }
    let mut most = 0;
    for (first, at) in sent.iter().enumerate() {
        let within = sent[first..].iter().filter(|t| **t < *at + WINDOW);
        most = most.max(within.count());
    }
    (most, sent.len() as f64 / length.as_secs_f64())
}

fn allowed(limit: f64) -> usize {
    (WINDOW.as_secs_f64() * limit * 1.5 + 5.0) as usize
}

#[yare::parameterized(
    none = { 0.0 },
    tenth = { 0.1 },
    one = { 1.0 },
    some = { 2.4 },
    twenty = { 20.0 },
    many = { 300.0 },
)]
fn all_routers_together_keep_to_the_limit(limit: f64) {
    for count in [1, 2, 5, 9, 64, 295] {
        let lists = vec![names(count); count];
        for seed in 0..3 {
            let (most, _) = replay(limit, &lists, seed);
            let allowed = allowed(limit);
            assert!(most <= allowed, "{count} routers: {most} of {allowed}");
        }
    }
}

/// Each router lacks one of the others, as while one joins or leaves.
#[yare::parameterized(one = { 1.0 }, some = { 2.4 }, twenty = { 20.0 })]
fn routers_whose_lists_differ_keep_to_the_limit(limit: f64) {
    for count in [5, 9, 64] {
        for missing in 0..count {
            let mut lists = vec![names(count); count];
            for list in lists.iter_mut().step_by(2) {
                list.remove(missing);
            }
            let (most, _) = replay(limit, &lists, 1);
            let allowed = allowed(limit);
            assert!(most <= allowed, "{count} routers: {most} of {allowed}");
        }
    }
}

/// A limit is of use to callers: with demand at all routers most of it is
/// used, however many routers there are.
#[yare::parameterized(one = { 1.0 }, some = { 2.4 }, twenty = { 20.0 })]
fn a_limit_is_used_by_any_number_of_routers(limit: f64) {
    for count in [1, 9, 295] {
        let lists = vec![names(count); count];
        let start = Instant::now();
        let mut pacers = Vec::new();
        for name in &names(count) {
            let share = rate_share("u", rate(limit), &lists[0], name);
            pacers.push(RatePacer::new(share, start));
        }
        let mut sent = 0;
        for step in 0..3_000 {
            let now = start + STEP * step;
            for pacer in &mut pacers {
                if pacer.opening(now) == PaceOpening::Now {
                    pacer.record(now);
                    sent += 1;
                }
            }
        }
        let used = f64::from(sent) / 30.0;
        assert!(used >= limit * 0.8, "{count} routers use {used} a second");
    }
}

/// An answer that was on its way when the limit was named does not end it.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limits = UpstreamLimits::new();
    let named = LimitNotice::Limited(rate(1.0));
    assert!(limits.record("u", named, at(0), at(10)));
    let none = LimitNotice::Unlimited;
    assert!(!limits.record("u", none, at(5), at(20)));
    assert_eq!(limits.rate("u"), Some(rate(1.0)));
    assert!(!limits.record("u", LimitNotice::Unknown, at(30), at(40)));
    assert!(limits.record("u", none, at(30), at(50)));
    assert_eq!(limits.rate("u"), None);
}

/// A router that hears nothing of the upstream itself goes by the newest
/// observation, whichever comes last.
#[test]
fn the_newest_observation_of_any_router_wins() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut first = UpstreamLimits::new();
    let mut second = UpstreamLimits::new();
    first.record("u", LimitNotice::Limited(rate(1.0)), at(0), at(10));
    let changed = second.merge(&first.observations(at(20)), at(20));
    assert_eq!(changed, ["u"]);
    let old = first.observations(at(30));
    first.record("u", LimitNotice::Unlimited, at(40), at(50));
    second.merge(&first.observations(at(60)), at(60));
    assert_eq!(second.rate("u"), None);
    assert!(second.merge(&old, at(70)).is_empty());
}
