//! Budgets under failure, with real processes.

mod common;

use std::time::Duration;

use {
    common::{
        balance, caller, caller_of, engine_sum, engine_tokens, eventually,
        request, run,
    },
    magnolia_standins::{
        fleet::{EnginePlan, Fleet, FleetPlan, Signal},
        load::CallEnd,
    },
    serde_json::json,
};

const BUDGET: &str = "dairy/urgent";

fn is_refused(end: &CallEnd, wanted: &str) -> bool {
    matches!(end, CallEnd::Refused { kind, .. } if kind == wanted)
}

/// Sends requests one after another until one is refused with `refusal`.
async fn use_up(fleet: &Fleet, routers: &[usize], refusal: &str) -> u64 {
    let mut callers = Vec::new();
    for router in routers {
        callers.push(caller_of(fleet, *router, BUDGET));
    }
    let mut answered = 0;
    for number in 0.. {
        let count = callers.len();
        let caller = &mut callers[number % count];
        let request = request(&format!("r{number}"), 20);
        let outcome = caller.call(&request).await;
        match outcome.end {
            CallEnd::Answered => answered += 1,
            end => {
                let router = routers[number % count];
                let log = fleet.routers[router].process.log_text();
                let last = log.lines().last().unwrap_or_default();
                assert!(is_refused(&end, refusal), "{end:?}: {last}");
                return answered;
            }
        }
    }
    answered
}

#[test]
fn a_budget_is_used_up_and_never_overspent() {
    run(async {
        let fleet = Fleet::start(FleetPlan::new(3, 2)).unwrap();
        fleet.configure(2_000).await;
        let answered = use_up(&fleet, &[0, 1, 2], "budget_exhausted").await;
        // A request may need its body and 20 tokens, and uses 22. Whatever
        // is left when one is refused cannot cover that ceiling.
        let used = answered * 22;
        assert!(used <= 2_000, "{used} tokens used of 2,000");
        assert!(used >= 2_000 - 400, "refused with {} left", 2_000 - used);
        eventually("every bill is settled", || async {
            balance(&fleet, BUDGET).await.spent == used
        })
        .await;
        assert_eq!(engine_tokens(&fleet).await, used);
    });
}

#[test]
fn a_router_cut_off_from_the_log_goes_on_and_borrows() {
    run(async {
        let fleet = Fleet::start(FleetPlan::new(2, 2)).unwrap();
        fleet.configure(100_000).await;
        let mut first = caller_of(&fleet, 0, BUDGET);
        let mut second = caller_of(&fleet, 1, BUDGET);
        for name in ["a", "b"] {
            let end = first.call(&request(name, 10)).await.end;
            assert_eq!(end, CallEnd::Answered);
            let end = second.call(&request(name, 10)).await.end;
            assert_eq!(end, CallEnd::Answered);
        }
        fleet.routers[0].log_relay.cut();
        let before = engine_tokens(&fleet).await;
        for number in 0..150 {
            let request = request(&format!("cut {number}"), 30);
            let end = first.call(&request).await.end;
            assert_eq!(end, CallEnd::Answered, "request {number}");
        }
        // A top-up in the middle is seen by the other router at once.
        let ctl = fleet.ctl();
        ctl.top_up(BUDGET, 50_000, "second", "test").await.unwrap();
        let end = second.call(&request("after top-up", 30)).await.end;
        assert_eq!(end, CallEnd::Answered);
        assert!(engine_tokens(&fleet).await > before);
        fleet.routers[0].log_relay.heal();
        eventually("the cut router has settled", || async {
            let row = balance(&fleet, BUDGET).await;
            row.spent == engine_tokens(&fleet).await
        })
        .await;
        assert_eq!(balance(&fleet, BUDGET).await.topped_up, 150_000);
    });
}

#[test]
fn a_frozen_router_that_wakes_up_overspends_nothing() {
    run(async {
        let mut fleet = Fleet::start(FleetPlan::new(2, 2)).unwrap();
        fleet.configure(3_000).await;
        let mut first = caller_of(&fleet, 0, BUDGET);
        let end = first.call(&request("before", 20)).await.end;
        assert_eq!(end, CallEnd::Answered);
        fleet.routers[0].process.signal(Signal::Freeze);
        // The other goes on until all is used up but for what the frozen
        // router holds, which may come back: not available, not exhausted.
        use_up(&fleet, &[1], "budget_unavailable").await;
        monoio::time::sleep(Duration::from_secs(6)).await;
        fleet.routers[0].process.signal(Signal::Thaw);
        // It wakes up with its grants and may use them.
        use_up(&fleet, &[0, 1], "budget_exhausted").await;
        let used = engine_tokens(&fleet).await;
        assert!(used <= 3_000, "{used} tokens used of 3,000");
        eventually("every bill is settled", || async {
            balance(&fleet, BUDGET).await.spent == used
        })
        .await;
    });
}

#[test]
fn a_killed_router_is_settled_by_its_standby() {
    run(async {
        let mut plan = FleetPlan::new(3, 0);
        plan = plan.with_engine(EnginePlan::new().with_step_us(30_000));
        let mut fleet = Fleet::start(plan).unwrap();
        fleet.configure(100_000).await;
        let mut done = caller_of(&fleet, 0, BUDGET);
        let end = done.call(&request("done", 10)).await.end;
        assert_eq!(end, CallEnd::Answered);
        let mut open = caller_of(&fleet, 0, BUDGET);
        let task = monoio::spawn(async move {
            open.call(&request("open", 400)).await.end
        });
        monoio::time::sleep(Duration::from_millis(500)).await;
        fleet.routers[0].process.signal(Signal::Kill);
        assert_eq!(task.await, CallEnd::Broken);
        eventually("the standby has settled both requests", || async {
            let row = balance(&fleet, BUDGET).await;
            row.spent == engine_tokens(&fleet).await && row.spent > 12
        })
        .await;
        let stats = fleet.engine_stats(0).await;
        assert_eq!(stats["running"], 0, "the engine's slot is free");
    });
}

#[test]
fn a_retry_at_another_router_runs_and_bills_once() {
    run(async {
        let mut plan = FleetPlan::new(3, 0);
        for _ in 0..3 {
            plan = plan.with_engine(EnginePlan::new().with_step_us(10_000));
        }
        let mut fleet = Fleet::start(plan).unwrap();
        fleet.configure(100_000).await;
        let mut keyed = request("retry", 100);
        keyed.key = Some("order-7".to_owned());
        let mut first = caller_of(&fleet, 0, BUDGET);
        let sent = keyed.clone();
        let task = monoio::spawn(async move { first.call(&sent).await.end });
        monoio::time::sleep(Duration::from_millis(400)).await;
        fleet.routers[0].process.signal(Signal::Kill);
        assert_eq!(task.await, CallEnd::Broken);
        let mut second = caller_of(&fleet, 1, BUDGET);
        let outcome = second.call(&keyed).await;
        assert_eq!(outcome.end, CallEnd::Answered, "the whole answer");
        assert_eq!(engine_sum(&fleet, "runs").await, 1, "ran once");
        eventually("the request is billed once", || async {
            let row = balance(&fleet, BUDGET).await;
            row.spent == engine_tokens(&fleet).await
        })
        .await;
        // Nothing adds to it later.
        monoio::time::sleep(Duration::from_secs(5)).await;
        let row = balance(&fleet, BUDGET).await;
        assert_eq!(row.spent, engine_tokens(&fleet).await);
        assert_eq!(row.spent, 102);
    });
}

#[test]
fn lost_answers_of_the_log_change_nothing() {
    run(async {
        let fleet = Fleet::start(FleetPlan::new(2, 2)).unwrap();
        fleet.configure(20_000).await;
        let mut caller = caller(&fleet, BUDGET);
        for round in 0..10 {
            fleet.log_faults(json!({"lose_answers": 2})).await;
            for number in 0..5 {
                let name = format!("round {round} request {number}");
                let end = caller.call(&request(&name, 20)).await.end;
                assert_eq!(end, CallEnd::Answered);
            }
            monoio::time::sleep(Duration::from_millis(150)).await;
        }
        fleet.log_faults(json!({})).await;
        eventually("every bill is settled once", || async {
            let row = balance(&fleet, BUDGET).await;
            row.spent == engine_tokens(&fleet).await
        })
        .await;
    });
}

#[test]
fn balances_outlive_the_retention_of_the_log() {
    run(async {
        let plan = FleetPlan::new(2, 1).with_retention(Duration::from_secs(4));
        let mut fleet = Fleet::start(plan).unwrap();
        fleet.configure(50_000).await;
        let mut caller = caller(&fleet, BUDGET);
        for number in 0..30 {
            let end = caller.call(&request(&format!("{number}"), 10)).await;
            assert_eq!(end.end, CallEnd::Answered, "request {number}");
            monoio::time::sleep(Duration::from_millis(400)).await;
        }
        fleet.restart_router(0).unwrap();
        fleet.restart_router(1).unwrap();
        fleet.wait_ready(0).await;
        fleet.wait_ready(1).await;
        let end = caller.call(&request("fresh", 10)).await.end;
        assert_eq!(end, CallEnd::Answered);
        eventually("the balance is whole", || async {
            let row = balance(&fleet, BUDGET).await;
            row.topped_up == 50_000 && row.spent == engine_tokens(&fleet).await
        })
        .await;
    });
}

#[test]
fn a_leaving_router_returns_everything() {
    run(async {
        let mut fleet = Fleet::start(FleetPlan::new(2, 2)).unwrap();
        fleet.configure(10_000).await;
        for router in 0..2 {
            let mut caller = caller_of(&fleet, router, BUDGET);
            let end = caller.call(&request("one", 20)).await.end;
            assert_eq!(end, CallEnd::Answered);
        }
        for router in &mut fleet.routers {
            router.process.signal(Signal::Terminate);
        }
        for router in &mut fleet.routers {
            let status = router.process.wait_exit(Duration::from_secs(20));
            let status = status.expect("the router has left");
            assert_eq!(status.code(), Some(0), "everything settled");
        }
        let row = balance(&fleet, BUDGET).await;
        assert_eq!(row.held, 0);
        assert_eq!(row.spent, engine_tokens(&fleet).await);
    });
}
