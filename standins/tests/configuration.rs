//! Configuration under failure, with real processes.

mod common;

use std::time::Duration;

use {
    common::{caller_of, request, run},
    magnolia_standins::{
        fleet::{Fleet, FleetPlan},
        load::CallEnd,
    },
    magnoliahaven::ctl::CtlFault,
    serde_json::json,
};

const BUDGET: &str = "dairy/check";

/// The promise: an accepted change is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(6);

fn plan() -> FleetPlan {
    FleetPlan::new(3, 1).with_presets("ordinary: {}, peak: {}")
}

#[test]
fn of_racing_operators_one_wins_on_every_router() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        let ctl = fleet.ctl();
        let current = ctl.control().await.unwrap();
        let mut first = fleet.declaration();
        let mut second = first.clone();
        first.documents.remove("service/stock");
        second.documents.remove("service/booking");
        let won = ctl.apply_from(&current, &first, "ana", "first").await;
        let won = won.unwrap();
        let lost = ctl.apply_from(&current, &second, "eva", "second").await;
        let Err(CtlFault::Refused { reason }) = lost else {
            panic!("{lost:?}");
        };
        assert!(reason.contains("by ana (first)"), "{reason}");
        let late = ctl.wait_in_force(won.number, IN_FORCE).await.unwrap();
        assert!(late.is_empty(), "{late:?}");
    });
}

#[test]
fn an_outage_during_apply_changes_nothing_and_costs_no_request() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        let mut caller = caller_of(&fleet, 0, BUDGET);
        let end = caller.call(&request("before", 5)).await.end;
        assert_eq!(end, CallEnd::Answered);
        fleet.log_faults(json!({"outage": true})).await;
        let ctl = fleet.ctl();
        let refused = ctl.switch_preset("peak", "ana", "test").await;
        assert!(matches!(refused, Err(CtlFault::Log { .. })), "{refused:?}");
        for number in 0..5 {
            let request = request(&format!("during {number}"), 5);
            assert_eq!(caller.call(&request).await.end, CallEnd::Answered);
        }
        fleet.log_faults(json!({})).await;
        let change = ctl.switch_preset("peak", "ana", "test").await.unwrap();
        let late = ctl.wait_in_force(change.number, IN_FORCE).await.unwrap();
        assert!(late.is_empty(), "{late:?}");
    });
}

#[test]
fn a_router_cut_off_from_the_log_learns_from_its_peers() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        fleet.routers[0].log_relay.cut();
        let ctl = fleet.ctl();
        let change = ctl.switch_preset("peak", "ana", "test").await.unwrap();
        let late = ctl.wait_in_force(change.number, IN_FORCE).await.unwrap();
        assert!(late.is_empty(), "{late:?}");
        assert_eq!(fleet.status(0).await["preset"], "peak");
    });
}

#[test]
fn a_fresh_router_without_the_log_starts_from_its_peers() {
    run(async {
        let mut fleet = Fleet::start(plan()).unwrap();
        fleet.configure(100_000).await;
        let ctl = fleet.ctl();
        let change = ctl.switch_preset("peak", "ana", "test").await.unwrap();
        let late = ctl.wait_in_force(change.number, IN_FORCE).await.unwrap();
        assert!(late.is_empty(), "{late:?}");
        for router in 0..3 {
            let mut caller = caller_of(&fleet, router, BUDGET);
            let end = caller.call(&request("before", 5)).await.end;
            assert_eq!(end, CallEnd::Answered);
        }
        fleet.log_faults(json!({"outage": true})).await;
        fleet.restart_router(2).unwrap();
        fleet.wait_ready(2).await;
        let status = fleet.status(2).await;
        assert_eq!(status["preset"], "peak", "never an older revision");
        let mut caller = caller_of(&fleet, 2, BUDGET);
        let outcome = caller.call(&request("fresh", 5)).await;
        assert_eq!(outcome.end, CallEnd::Answered, "with borrowed tokens");
    });
}

#[test]
fn a_revision_survives_retention_and_restarts() {
    run(async {
        let plan = plan().with_retention(Duration::from_secs(4));
        let mut fleet = Fleet::start(plan).unwrap();
        fleet.configure(10_000).await;
        let ctl = fleet.ctl();
        let change = ctl.switch_preset("peak", "ana", "test").await.unwrap();
        // Longer than the log keeps the change itself.
        monoio::time::sleep(Duration::from_secs(7)).await;
        for router in 0..3 {
            fleet.restart_router(router).unwrap();
        }
        for router in 0..3 {
            fleet.wait_ready(router).await;
            let status = fleet.status(router).await;
            assert_eq!(status["revision"]["number"], change.number);
            assert_eq!(status["preset"], "peak");
        }
    });
}
