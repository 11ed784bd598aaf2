//! Version moves under failure, with real processes.

mod common;

use std::time::{Duration, Instant};

use {
    common::{eventually, run},
    magnolia_standins::{
        fleet::{EnginePlan, Fleet, FleetPlan, Signal, key_of},
        load::{CallTarget, LoadOptions, LoadPace, LoadReport, run_load},
    },
    magnoliahaven::{
        TimerService,
        ctl::MoveRequest,
        moves::{MoveState, MoveStep},
    },
    monoio::task::JoinHandle,
    serde_json::{Value, json},
};

/// Time that a move is given.
const MOVE_TIME: Duration = Duration::from_secs(12);

/// Engines 0 and 1 run the old version, 2 and 3 the new one.
fn plan() -> FleetPlan {
    let mut plan = FleetPlan::new(3, 0);
    for version in ["v1", "v1", "v2", "v2"] {
        let engine = EnginePlan::new().with_version(version);
        plan = plan.with_engine(engine.with_step_us(1_000));
    }
    plan
}

async fn start(fleet: &Fleet, time: Duration) -> u64 {
    let request = MoveRequest {
        service: "assistant",
        from: "v1",
        to: "v2",
        deadline_ms: TimerService::now_ms() + time.as_millis() as u64,
        who: "test",
    };
    fleet.ctl().start_move(&request).await.expect("started").number
}

async fn state(fleet: &Fleet, id: u64) -> MoveState {
    fleet.ctl().control().await.expect("control").moves[&id].clone()
}

/// Sends requests in the background for `seconds`.
fn load(fleet: &Fleet, seconds: u64) -> JoinHandle<LoadReport> {
    let keys = ["dairy/urgent", "dairy/check", "yards/check"];
    let options = LoadOptions {
        target: CallTarget::Routers(fleet.callers()),
        keys: keys.iter().map(|budget| key_of(budget)).collect(),
        model: "assistant".to_owned(),
        callers: 24,
        pace: LoadPace::Closed,
        duration: Duration::from_secs(seconds),
        least_tokens: 4,
        most_tokens: 8,
        streams: true,
        seed: 7,
    };
    monoio::spawn(async move { run_load(&options).await })
}

async fn fault(fleet: &Fleet, faults: Value) {
    for engine in [2, 3] {
        fleet.engine_faults(engine, faults.clone()).await;
    }
}

/// Requests that the new version got so far.
async fn new_requests(fleet: &Fleet) -> u64 {
    let mut requests = 0;
    for engine in [2, 3] {
        let stats = fleet.engine_stats(engine).await;
        requests += stats["requests"].as_u64().expect("requests");
    }
    requests
}

async fn wait_for_step(fleet: &Fleet, id: u64, step: MoveStep) -> MoveState {
    eventually(&format!("{step:?}"), || async {
        state(fleet, id).await.step == step
    })
    .await;
    state(fleet, id).await
}

/// The number of the router that drives a move.
fn driver_of(known: &MoveState) -> usize {
    let lease = known.lease.as_ref().expect("a driver");
    let number = lease.holder.vm.strip_prefix("router-");
    number.expect("a router of the fleet").parse().expect("a number")
}

/// Starts a move under load and waits until its driver has begun; returns
/// the fleet, the load, the number of the move and that of the driver.
async fn start_canary() -> (Fleet, JoinHandle<LoadReport>, u64, usize) {
    let fleet = Fleet::start(plan()).unwrap();
    fleet.configure(10_000_000).await;
    let load = load(&fleet, 18);
    let id = start(&fleet, Duration::from_secs(18)).await;
    let canary = wait_for_step(&fleet, id, MoveStep::Canary).await;
    let number = driver_of(&canary);
    (fleet, load, id, number)
}

#[test]
fn a_good_version_is_done_in_time() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000_000).await;
        let load = load(&fleet, 14);
        let started = Instant::now();
        let id = start(&fleet, MOVE_TIME).await;
        let done = wait_for_step(&fleet, id, MoveStep::Done).await;
        assert!(started.elapsed() < MOVE_TIME, "{}", done.reason);
        let report = load.await;
        assert_eq!(report.wrong_answers + report.broken, 0, "{report:?}");
        assert_eq!(state(&fleet, id).await.step, MoveStep::Done);
    });
}

/// Runs a move with a fault and returns the parts of the traffic that the
/// new version got: of all requests, in percent, and in number.
async fn run_bad_move(faults: Value) -> (f64, u64) {
    let fleet = Fleet::start(plan()).unwrap();
    fleet.configure(10_000_000).await;
    fault(&fleet, faults).await;
    let load = load(&fleet, 14);
    let id = start(&fleet, MOVE_TIME).await;
    let undone = wait_for_step(&fleet, id, MoveStep::Undone).await;
    assert_eq!(undone.share, 0);
    monoio::time::sleep(Duration::from_secs(1)).await;
    let after = new_requests(&fleet).await;
    let report = load.await;
    let last = new_requests(&fleet).await;
    assert_eq!(after, last, "traffic after the version was taken back");
    let control = fleet.ctl().control().await.unwrap();
    assert!(control.active_move("assistant").is_none());
    (100.0 * last as f64 / report.requests as f64, last)
}

#[test]
fn a_version_that_fails_at_once_gets_a_small_share() {
    run(async {
        let (share, count) = run_bad_move(json!({"fail_percent": 100})).await;
        assert!(share <= 5.0, "{share} percent, {count} requests");
    });
}

#[test]
fn a_version_that_fails_later_is_taken_back() {
    run(async {
        run_bad_move(json!({"fail_percent": 60, "fail_after": 60})).await;
    });
}

#[test]
fn a_version_that_is_slow_is_taken_back() {
    run(async {
        run_bad_move(json!({"slow_factor": 20})).await;
    });
}

#[test]
fn a_version_that_fails_on_one_route_is_taken_back() {
    run(async {
        // Requests of the class `urgent`, one caller in three.
        run_bad_move(json!({"fail_percent": 40, "fail_priority": 0})).await;
    });
}

#[test]
fn a_version_that_goes_bad_after_the_move_is_taken_back() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000_000).await;
        let load = load(&fleet, 24);
        let id = start(&fleet, MOVE_TIME).await;
        wait_for_step(&fleet, id, MoveStep::Done).await;
        fault(&fleet, json!({"fail_percent": 80})).await;
        wait_for_step(&fleet, id, MoveStep::Undone).await;
        let report = load.await;
        assert_eq!(report.wrong_answers, 0);
    });
}

#[test]
fn a_killed_driver_is_replaced() {
    run(async {
        let (mut fleet, load, id, number) = start_canary().await;
        fleet.routers[number].process.signal(Signal::Kill);
        let done = wait_for_step(&fleet, id, MoveStep::Done).await;
        assert_ne!(driver_of(&done), number);
        load.await;
    });
}

#[test]
fn a_frozen_driver_does_no_harm_when_it_wakes_up() {
    run(async {
        let (mut fleet, load, id, number) = start_canary().await;
        fleet.routers[number].process.signal(Signal::Freeze);
        let ctl = fleet.ctl();
        ctl.undo_move("assistant", "test", "frozen").await.unwrap();
        let before = new_requests(&fleet).await;
        monoio::time::sleep(Duration::from_secs(3)).await;
        fleet.routers[number].process.signal(Signal::Thaw);
        load.await;
        assert_eq!(state(&fleet, id).await.step, MoveStep::Undone);
        // What was under way when the undo was written may still arrive.
        let later = new_requests(&fleet).await - before;
        assert!(later <= 24, "{later} requests after the undo");
    });
}

#[test]
fn a_move_that_is_not_done_by_its_deadline_is_undone_without_the_log() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000_000).await;
        let load = load(&fleet, 12);
        let id = start(&fleet, Duration::from_secs(6)).await;
        wait_for_step(&fleet, id, MoveStep::Canary).await;
        fleet.log_faults(json!({"outage": true})).await;
        monoio::time::sleep(Duration::from_secs(6)).await;
        let after_deadline = new_requests(&fleet).await;
        let report = load.await;
        let last = new_requests(&fleet).await;
        assert_eq!(after_deadline, last, "traffic after the deadline");
        assert!(report.answered > 0);
        fleet.log_faults(json!({})).await;
        wait_for_step(&fleet, id, MoveStep::Undone).await;
    });
}
