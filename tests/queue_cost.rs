//! What waiting requests cost the processor of a small VM.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use magnoliahaven::{
    routing::{AdmitRequest, AssignedUpstream, PlacementHint, UpstreamTable},
    runtime::{block_on, sleep, spawn},
};

/// Upstreams of the large deployment.
const UPSTREAMS: usize = 256;

/// Requests of one account in progress or waiting at one router.
const REQUESTS: usize = 700;

/// Slots of each upstream that belong to the router.
const SHARE: u32 = 2;

/// Slots that each request claims, one after the other.
const ROUNDS: usize = 4;

/// Longest time for all of it. A router on an eighth of a core gets an eighth
/// of this done in the same time.
const MAX_TIME: Duration = Duration::from_secs(3);

fn upstream(number: usize) -> AssignedUpstream {
    AssignedUpstream {
        vm: format!("worker-{number}"),
        address: ([127, 0, 0, 1], 9).into(),
        domain: format!("z-{}", number % 7),
        service: "chat".to_owned(),
        version: "v1".to_owned(),
        started_ms: 0,
        share: SHARE,
        limit: u32::MAX,
    }
}

async fn claim_slots(table: UpstreamTable, id: String) {
    for _ in 0..ROUNDS {
        let request = AdmitRequest {
            service: "chat",
            version: None,
            avoided_version: None,
            priority: 1,
            is_draft: false,
            account: "dairy",
            excluded: &[],
            affinity: &id,
            hint: PlacementHint {
                prompt_tokens: 600,
                shared_tokens: 200,
                first_prefix: "prefix".to_owned(),
                objective: Duration::from_secs(1),
                domain: "z-1".to_owned(),
            },
            max_wait: Duration::from_secs(60),
            draft_percent: 100,
        };
        let slot = table.admit(&request).await.expect("slot");
        sleep(Duration::from_millis(1)).await;
        drop(slot);
    }
}

/// The load of an account that keeps to one small VM: all slots are taken and
/// many requests wait. Each release of a slot looked for an upstream for each
/// of them, twice; the router answered requests seconds late.
#[test]
fn a_slot_is_handed_on_at_little_cost_however_many_requests_wait() {
    let started = Instant::now();
    block_on(async {
        let table = UpstreamTable::new();
        let upstreams: Vec<_> = (0..UPSTREAMS).map(upstream).collect();
        table.update(&upstreams);
        let done = Rc::new(());
        for number in 0..REQUESTS {
            let (table, done) = (table.clone(), done.clone());
            spawn("request", async move {
                claim_slots(table, format!("r-{number}")).await;
                drop(done);
            });
        }
        while Rc::strong_count(&done) > 1 {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .expect("runtime");
    let elapsed = started.elapsed();
    assert!(elapsed < MAX_TIME, "{elapsed:?}");
}
