//! Non-idempotent calls run at most once, with real processes.

mod common;

use {
    common::{balance, engine_sum, eventually, post_call, run},
    http::StatusCode,
    magnolia_standins::fleet::{EnginePlan, Fleet, FleetPlan},
    serde_json::json,
};

const BUDGET: &str = "yards/check";
const PATH: &str = "/v1/services/booking/screens";

fn plan() -> FleetPlan {
    let booking = EnginePlan::new().with_service("booking");
    FleetPlan::new(2, 0)
        .with_engine(booking.clone())
        .with_engine(booking)
        .with_settings("limits: {upstream_time: 2s}")
}

#[test]
fn racing_calls_with_one_key_run_once() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        for round in 0..10 {
            let key = format!("booking-{round}");
            let mut tasks = Vec::new();
            for number in 0..8 {
                let address = fleet.routers[number % 2].callers;
                let key = key.clone();
                tasks.push(monoio::spawn(async move {
                    let body = format!("{{\"round\":{round}}}");
                    post_call(address, PATH, BUDGET, Some(&key), &body).await
                }));
            }
            let mut answered = 0;
            for task in tasks {
                let (status, body) = task.await.expect("an answer");
                match status {
                    StatusCode::OK => answered += 1,
                    StatusCode::CONFLICT => {
                        assert_eq!(body["error"]["kind"], "call_in_progress");
                    }
                    other => panic!("{other}: {body}"),
                }
            }
            assert!(answered >= 1, "round {round} has no answer");
        }
        assert_eq!(engine_sum(&fleet, "plain_runs").await, 10);
        assert_eq!(engine_sum(&fleet, "plain_repeated").await, 0);
        eventually("each call is billed once", || async {
            balance(&fleet, BUDGET).await.spent == 100
        })
        .await;
    });
}

/// A repetition at the same router gets the first answer at once, also
/// before the outcome has come back from the log.
#[test]
fn a_repetition_gets_the_first_answer() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        fleet.log_faults(json!({"delay_ms": 300})).await;
        let address = fleet.routers[0].callers;
        let call = || post_call(address, PATH, BUDGET, Some("again"), "{}");
        let first = call().await.expect("an answer");
        let second = call().await.expect("an answer");
        assert_eq!(first.0, StatusCode::OK);
        assert_eq!(first, second);
        assert_eq!(engine_sum(&fleet, "plain_runs").await, 1);
    });
}

#[test]
fn a_lost_answer_is_reported_unknown_and_not_sent_again() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        for engine in 0..2 {
            fleet.engine_faults(engine, json!({"lose_answers": true})).await;
        }
        let call = |router: usize| {
            let address = fleet.routers[router].callers;
            post_call(address, PATH, BUDGET, Some("lost"), "{}")
        };
        let (status, body) = call(0).await.expect("an answer");
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{body}");
        assert_eq!(body["error"]["kind"], "outcome_unknown");
        assert_eq!(body["error"]["ran"], "unknown");
        for engine in 0..2 {
            fleet.engine_faults(engine, json!({})).await;
        }
        eventually("the other router knows it too", || async {
            let (_, body) = call(1).await.expect("an answer");
            body["error"]["kind"] == "outcome_unknown"
        })
        .await;
        assert_eq!(engine_sum(&fleet, "plain_runs").await, 1);
    });
}

#[test]
fn without_the_log_a_call_is_refused_and_does_not_run() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        let address = fleet.routers[0].callers;
        let before =
            post_call(address, PATH, BUDGET, Some("before"), "{\"n\":1}");
        assert_eq!(before.await.expect("an answer").0, StatusCode::OK);
        fleet.log_faults(json!({"outage": true})).await;
        let refused =
            post_call(address, PATH, BUDGET, Some("during"), "{\"n\":2}");
        let (status, body) = refused.await.expect("an answer");
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
        assert_eq!(body["error"]["kind"], "log_unavailable");
        assert_eq!(body["error"]["ran"], "no");
        assert!(body["error"]["retry_after_s"].is_u64());
        fleet.log_faults(json!({})).await;
        eventually("the same call runs after the outage", || async {
            let retry =
                post_call(address, PATH, BUDGET, Some("during"), "{\"n\":2}");
            retry.await.expect("an answer").0 == StatusCode::OK
        })
        .await;
        assert_eq!(engine_sum(&fleet, "plain_runs").await, 2);
    });
}

#[test]
fn a_call_without_a_key_or_with_a_used_one_is_refused() {
    run(async {
        let fleet = Fleet::start(plan()).unwrap();
        fleet.configure(10_000).await;
        let address = fleet.routers[0].callers;
        let (status, body) =
            post_call(address, PATH, BUDGET, None, "{}").await.unwrap();
        assert_eq!(status, StatusCode::BAD_REQUEST);
        assert_eq!(body["error"]["kind"], "missing_idempotency_key");
        let first = post_call(address, PATH, BUDGET, Some("k"), "{\"n\":1}");
        assert_eq!(first.await.unwrap().0, StatusCode::OK);
        let other = post_call(address, PATH, BUDGET, Some("k"), "{\"n\":2}");
        let (status, body) = other.await.unwrap();
        assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(body["error"]["kind"], "key_reused");
        assert_eq!(engine_sum(&fleet, "plain_runs").await, 1);
    });
}
