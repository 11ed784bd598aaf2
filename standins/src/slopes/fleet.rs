//! Slopes of running processes.

use std::{io, time::Duration};

use serde_json::Value;

use super::SlopeLine;
use crate::{
    fleet::{EnginePlan, Fleet, FleetPlan, key_of},
    load::{CallTarget, LoadOptions, LoadPace, run_load},
};

/// Numbers of idle routers.
const FLEET_SIZES: [usize; 3] = [8, 16, 32];

/// Rates of requests at one router, a second.
const LOAD_RATES: [f64; 3] = [10.0, 40.0, 80.0];

/// Time over which a size is observed.
const OBSERVED: Duration = Duration::from_secs(12);

/// Time for a fleet to become quiet, for each router: all of them have then
/// probed all others once, and their connections are open.
const QUIET: Duration = Duration::from_millis(1_400);

/// Output tokens of a long request.
const LONG_TOKENS: u64 = 100;

/// Output tokens of a request that costs little beside its control.
const SHORT_TOKENS: u64 = 1;

/// What one router costs.
#[derive(Clone, Copy, Default)]
struct RouterCost {
    core_percent: f64,
    memory_mib: f64,
    peer_bytes: f64,
    log_bytes: f64,
    appends: f64,
}

struct FleetCount {
    cpu: Duration,
    memory: u64,
    peer_bytes: u64,
    log_bytes: u64,
    appends: u64,
}

async fn count(fleet: &Fleet) -> FleetCount {
    let mut sum = FleetCount {
        cpu: Duration::ZERO,
        memory: 0,
        peer_bytes: 0,
        log_bytes: 0,
        appends: 0,
    };
    for router in &fleet.routers {
        if let Some((cpu, memory)) = router.process.usage() {
            sum.cpu += cpu;
            sum.memory += memory;
        }
        sum.peer_bytes += router.peer_relay.bytes();
        sum.log_bytes += router.log_relay.bytes();
    }
    let stats: Value = fleet.get(fleet.log_address, "/admin/stats").await;
    sum.appends = stats["appends"].as_u64().unwrap_or(0);
    sum
}

/// Costs of one router on average between two counts.
fn cost(fleet: &Fleet, before: &FleetCount, after: &FleetCount) -> RouterCost {
    let routers = fleet.routers.len() as f64;
    let seconds = OBSERVED.as_secs_f64();
    let rate =
        |before: u64, after: u64| (after - before) as f64 / seconds / routers;
    let cpu = (after.cpu - before.cpu).as_secs_f64();
    RouterCost {
        core_percent: 100.0 * cpu / seconds / routers,
        memory_mib: after.memory as f64 / routers / (1024.0 * 1024.0),
        // A byte between two routers belongs to both of them.
        peer_bytes: 2.0 * rate(before.peer_bytes, after.peer_bytes),
        log_bytes: rate(before.log_bytes, after.log_bytes),
        appends: rate(before.appends, after.appends),
    }
}

async fn idle_cost(routers: usize) -> io::Result<RouterCost> {
    let mut plan = FleetPlan::new(routers, 1);
    plan.settle_interval = Duration::from_secs(20);
    let fleet = Fleet::start(plan)?;
    fleet.configure(1_000_000).await;
    monoio::time::sleep(QUIET * routers as u32).await;
    let before = count(&fleet).await;
    monoio::time::sleep(OBSERVED).await;
    let after = count(&fleet).await;
    Ok(cost(&fleet, &before, &after))
}

async fn loaded_cost(rate: f64, tokens: u64) -> io::Result<RouterCost> {
    let mut plan = FleetPlan::new(2, 0).with_upstream_limit(256);
    for _ in 0..2 {
        let engine = EnginePlan::new().with_limit(256);
        plan = plan.with_engine(engine.with_step_us(2_000));
    }
    plan.settle_interval = Duration::from_secs(2);
    let fleet = Fleet::start(plan)?;
    fleet.configure(1_000_000_000).await;
    let options = LoadOptions {
        target: CallTarget::Engines(fleet.callers()),
        keys: vec![key_of("dairy/check"), key_of("yards/check")],
        model: "assistant".to_owned(),
        callers: 16,
        pace: LoadPace::Open(2.0 * rate),
        duration: OBSERVED + Duration::from_secs(3),
        least_tokens: tokens,
        most_tokens: tokens,
        streams: true,
        seed: 5,
    };
    let load = monoio::spawn(async move { run_load(&options).await });
    monoio::time::sleep(Duration::from_secs(2)).await;
    let before = count(&fleet).await;
    monoio::time::sleep(OBSERVED).await;
    let after = count(&fleet).await;
    let report = load.await;
    if report.answered < report.requests {
        return Err(io::Error::other(format!("not all answered: {report:?}")));
    }
    Ok(cost(&fleet, &before, &after))
}

fn line(
    slope: &'static str,
    over: &'static str,
    costs: &[(f64, RouterCost)],
    get: fn(&RouterCost) -> f64,
) -> SlopeLine {
    let points = costs.iter().map(|(size, cost)| (*size, get(cost)));
    SlopeLine::new(slope, over, points.collect())
}

/// Measures what a router costs, by the size of the fleet and by its load.
///
/// # Errors
///
/// The error of the operating system if a fleet cannot be started.
pub async fn fleet_slopes(mut take: impl FnMut(&SlopeLine)) -> io::Result<()> {
    let mut idle = Vec::new();
    for size in FLEET_SIZES {
        idle.push((size as f64, idle_cost(size).await?));
    }
    let over = "routers";
    take(&line("idle core percent", over, &idle, |c| c.core_percent));
    take(&line("idle memory MiB", over, &idle, |c| c.memory_mib));
    take(&line("idle peer bytes/s", over, &idle, |c| c.peer_bytes));
    take(&line("idle log bytes/s", over, &idle, |c| c.log_bytes));
    take(&line("idle appends/s", over, &idle, |c| c.appends));
    let mut loaded = Vec::new();
    for rate in LOAD_RATES {
        loaded.push((rate, loaded_cost(rate, LONG_TOKENS).await?));
    }
    let over = "requests/s of 100 tokens at a router";
    take(&line("loaded core percent", over, &loaded, |c| c.core_percent));
    take(&line("loaded memory MiB", over, &loaded, |c| c.memory_mib));
    take(&line("loaded peer bytes/s", over, &loaded, |c| c.peer_bytes));
    take(&line("loaded log bytes/s", over, &loaded, |c| c.log_bytes));
    take(&line("loaded appends/s", over, &loaded, |c| c.appends));
    let mut short = Vec::new();
    for rate in LOAD_RATES {
        short.push((rate, loaded_cost(rate, SHORT_TOKENS).await?));
    }
    let over = "requests/s of 1 token at a router";
    take(&line("short core percent", over, &short, |c| c.core_percent));
    Ok(())
}
