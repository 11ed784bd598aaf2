//! The scenarios.

use std::{
    io::{self, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use {
    magnoliahaven::{TimerService, ctl::MoveRequest, moves::MoveStep},
    serde_json::json,
};

use super::{MeasureBound, MeasureLine};
use crate::{
    fleet::{EnginePlan, Fleet, FleetPlan, Signal, key_of},
    load::{CallTarget, LoadOptions, LoadPace, LoadReport, run_load},
};

/// Seed of all loads.
const SEED: u64 = 20_261_204;

/// The budget that the loads use.
const BUDGET: &str = "dairy/check";

/// Tokens of the budget that is to be used up.
const SMALL_BUDGET: u64 = 20_000;

/// Tokens of a budget that is never used up.
const LARGE_BUDGET: u64 = 100_000_000;

/// Time for which a version move is given.
const MOVE_TIME: Duration = Duration::from_secs(10);

/// Longest wait for the last settlements.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Bytes that a slow reader may cost: its stream's bound, one part of a
/// body beyond it, and what is on its way to the caller.
const SLOW_READER_BYTES: f64 = (2 * 64 + 32) as f64 * 1024.0;

/// Which system a scenario runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum System {
    Product,
    Naive,
}

impl System {
    fn start(self, plan: FleetPlan, tokens: u64) -> io::Result<Fleet> {
        match self {
            System::Product => Fleet::start(plan),
            System::Naive => Fleet::start(plan.with_naive(tokens)),
        }
    }
}

fn load(fleet: &Fleet, callers: usize, seconds: u64) -> LoadOptions {
    LoadOptions {
        target: CallTarget::Routers(fleet.callers()),
        keys: vec![key_of(BUDGET)],
        model: "assistant".to_owned(),
        callers,
        pace: LoadPace::Closed,
        duration: Duration::from_secs(seconds),
        least_tokens: 8,
        most_tokens: 24,
        streams: true,
        seed: SEED,
    }
}

fn spawn(options: LoadOptions) -> monoio::task::JoinHandle<LoadReport> {
    monoio::spawn(async move { run_load(&options).await })
}

async fn pause(time_ms: u64) {
    monoio::time::sleep(Duration::from_millis(time_ms)).await;
}

async fn engine_sum(fleet: &Fleet, engines: &[usize], field: &str) -> u64 {
    let mut sum = 0;
    for engine in engines {
        let stats = fleet.engine_stats(*engine).await;
        sum += stats[field].as_u64().unwrap_or(0);
    }
    sum
}

/// Tokens that the system says were spent.
async fn billed(fleet: &Fleet, system: System) -> u64 {
    match system {
        System::Product => {
            let rows = fleet.ctl().budgets(None).await.unwrap_or_default();
            rows.iter().map(|row| row.spent).sum()
        }
        System::Naive => {
            let mut spent = 0;
            for router in &fleet.routers {
                let time = Duration::from_secs(1);
                let reply =
                    fleet.http.get(router.callers, "/admin/stats", time).await;
                let Ok((_, body)) = reply else {
                    continue;
                };
                let value: serde_json::Value =
                    serde_json::from_slice(&body).unwrap_or_default();
                spent += value["spent"].as_u64().unwrap_or(0);
            }
            spent
        }
    }
}

/// What a budget that is used up under faults ends with.
struct Squeeze {
    overspent: u64,
    double_billed: u64,
    unbilled: u64,
}

/// Uses a budget up while a router is cut off and another one is killed.
async fn squeeze(system: System) -> io::Result<Squeeze> {
    let plan = FleetPlan::new(3, 2);
    let mut fleet = system.start(plan, SMALL_BUDGET)?;
    fleet.configure(SMALL_BUDGET).await;
    let running = spawn(load(&fleet, 16, 8));
    pause(500).await;
    fleet.routers[1].log_relay.cut();
    fleet.routers[1].peer_relay.cut();
    pause(2_000).await;
    fleet.routers[2].process.signal(Signal::Kill);
    pause(2_000).await;
    fleet.routers[1].log_relay.heal();
    fleet.routers[1].peer_relay.heal();
    running.await;
    let deadline = Instant::now() + SETTLE_TIME;
    loop {
        let used = engine_sum(&fleet, &[0, 1], "tokens").await;
        let billed = billed(&fleet, system).await;
        if used == billed || Instant::now() >= deadline {
            return Ok(Squeeze {
                overspent: used.saturating_sub(SMALL_BUDGET),
                double_billed: billed.saturating_sub(used),
                unbilled: used.saturating_sub(billed),
            });
        }
        pause(250).await;
    }
}

/// What callers of a healthy budget see under faults.
struct Service {
    report: LoadReport,
    broken_by_leaving: u64,
}

/// Serves a load while the log, or the counter, is out, and while a router
/// leaves.
async fn service(system: System) -> io::Result<Service> {
    let mut fleet = system.start(FleetPlan::new(3, 3), LARGE_BUDGET)?;
    fleet.configure(LARGE_BUDGET).await;
    let running = spawn(load(&fleet, 16, 8));
    pause(1_000).await;
    match system {
        System::Product => fleet.log_faults(json!({"outage": true})).await,
        System::Naive => {
            for router in &fleet.routers {
                router.log_relay.cut();
            }
        }
    }
    pause(4_000).await;
    match system {
        System::Product => fleet.log_faults(json!({})).await,
        System::Naive => {
            for router in &fleet.routers {
                router.log_relay.heal();
            }
        }
    }
    let report = running.await;
    let leaving = spawn(load(&fleet, 16, 5));
    pause(1_000).await;
    fleet.routers[1].process.signal(Signal::Terminate);
    let broken_by_leaving = leaving.await.broken;
    Ok(Service { report, broken_by_leaving })
}

/// How a version move went.
struct Moved {
    done_in_time: bool,
    undone: bool,
    new_share_percent: f64,
    after_fault_ms: f64,
}

/// Moves to a version that is good, or fails from `fault_after` on.
async fn moved(
    system: System,
    fault_after: Option<Duration>,
) -> io::Result<Moved> {
    let mut plan = FleetPlan::new(3, 0);
    for version in ["v1", "v1", "v2", "v2"] {
        let engine = EnginePlan::new().with_version(version);
        plan = plan.with_engine(engine.with_step_us(1_000));
    }
    let fleet = system.start(plan, LARGE_BUDGET)?;
    fleet.configure(LARGE_BUDGET).await;
    let running = spawn(load(&fleet, 24, MOVE_TIME.as_secs() + 2));
    pause(500).await;
    start_move(&fleet, system).await;
    let mut faulty_at = None;
    let started = Instant::now();
    let mut last_new = 0;
    let mut last_new_at = started;
    while started.elapsed() < MOVE_TIME {
        pause(50).await;
        let due = fault_after.is_some_and(|after| started.elapsed() >= after);
        if due && faulty_at.is_none() {
            for engine in [2, 3] {
                let faults = json!({"fail_percent": 100});
                fleet.engine_faults(engine, faults).await;
            }
            faulty_at = Some(Instant::now());
        }
        let new = engine_sum(&fleet, &[2, 3], "requests").await;
        if new != last_new {
            (last_new, last_new_at) = (new, Instant::now());
        }
    }
    let step = move_step(&fleet, system).await;
    let report = running.await;
    let after_fault = faulty_at.map(|at| {
        last_new_at.saturating_duration_since(at).as_secs_f64() * 1e3
    });
    let total = report.requests.max(1) as f64;
    Ok(Moved {
        done_in_time: step == MoveStep::Done,
        undone: step == MoveStep::Undone,
        new_share_percent: 100.0 * last_new as f64 / total,
        after_fault_ms: after_fault.unwrap_or(0.0),
    })
}

async fn start_move(fleet: &Fleet, system: System) {
    let time_ms = MOVE_TIME.as_millis() as u64;
    match system {
        System::Product => {
            let request = MoveRequest {
                service: "assistant",
                from: "v1",
                to: "v2",
                deadline_ms: TimerService::now_ms() + time_ms,
                who: "measure",
            };
            let started = fleet.ctl().start_move(&request).await;
            started.expect("a move can be started");
        }
        System::Naive => {
            for router in &fleet.routers {
                let body = json!({"time_ms": time_ms});
                fleet.post(router.callers, "/admin/move", &body).await;
            }
        }
    }
}

/// How far the move has come; the timer of the baseline always gets there.
async fn move_step(fleet: &Fleet, system: System) -> MoveStep {
    if system == System::Naive {
        return MoveStep::Done;
    }
    let control = fleet.ctl().control().await;
    let control = control.expect("the control stream can be read");
    let mut moves = control.moves.values();
    moves.next().map_or(MoveStep::Planned, |known| known.step)
}

/// Most bytes held for a reader that reads nothing.
async fn slow_reader(system: System) -> io::Result<u64> {
    let plan = FleetPlan::new(1, 0)
        .with_engine(EnginePlan::new().with_step_us(0))
        .with_settings("limits: {reader_time: 1s}");
    let fleet = system.start(plan, LARGE_BUDGET)?;
    fleet.configure(LARGE_BUDGET).await;
    let address = fleet.routers[0].callers;
    let body = json!({
        "model": "assistant",
        "messages": [{"role": "user", "content": "slow len=200000"}],
        "max_tokens": 200_000,
        "stream": true,
    })
    .to_string();
    let mut stream = TcpStream::connect(address)?;
    write!(
        stream,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: \
         Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        key_of(BUDGET),
        body.len(),
    )?;
    let mut peak = 0;
    for _ in 0..40 {
        pause(100).await;
        peak = peak.max(held_bytes(&fleet, system).await);
    }
    Ok(peak)
}

async fn held_bytes(fleet: &Fleet, system: System) -> u64 {
    let (address, path) = match system {
        System::Product => (fleet.routers[0].operators, "/metrics"),
        System::Naive => (fleet.routers[0].callers, "/admin/stats"),
    };
    let time = Duration::from_secs(2);
    let Ok((_, body)) = fleet.http.get(address, path, time).await else {
        return 0;
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    if system == System::Naive {
        let value: serde_json::Value =
            serde_json::from_str(&text).unwrap_or_default();
        return value["held_peak"].as_u64().unwrap_or(0);
    }
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with("magnolia_held_bytes "));
    let value = line.and_then(|line| line.split(' ').next_back());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Refusals and broken answers, in percent of the requests. The budget has
/// tokens and the engines have room, so that each of them is false.
fn false_refusals(report: &LoadReport) -> f64 {
    let refused: u64 = report.refused.values().sum();
    100.0 * refused as f64 / report.requests.max(1) as f64
}

fn percent(flag: bool) -> f64 {
    if flag { 100.0 } else { 0.0 }
}

/// Runs all scenarios and hands each line to `take` as it is known.
///
/// # Errors
///
/// The error of the operating system if a fleet cannot be started.
pub async fn run_measures(
    mut take: impl FnMut(&MeasureLine),
) -> io::Result<()> {
    use MeasureBound::{AtLeast, AtMost};
    let mut line = |measure, product: f64, naive: f64, bound| {
        take(&MeasureLine { measure, product, naive, bound });
    };
    let product = squeeze(System::Product).await?;
    let naive = squeeze(System::Naive).await?;
    let pair =
        |get: fn(&Squeeze) -> u64| (get(&product) as f64, get(&naive) as f64);
    let (p, n) = pair(|squeeze| squeeze.overspent);
    line("overspend_tokens", p, n, AtMost(0.0));
    let (p, n) = pair(|squeeze| squeeze.double_billed);
    line("double_billed_tokens", p, n, AtMost(0.0));
    let (p, n) = pair(|squeeze| squeeze.unbilled);
    line("unbilled_tokens", p, n, AtMost(0.0));

    let product = service(System::Product).await?;
    let naive = service(System::Naive).await?;
    let (p, n) = (&product.report, &naive.report);
    let (refused, naive_refused) = (false_refusals(p), false_refusals(n));
    line("false_refusals_percent", refused, naive_refused, AtMost(0.0));
    let (first, naive_first) = (p.first_token.p95_ms, n.first_token.p95_ms);
    line("first_token_ms_p95", first, naive_first, AtMost(830.0));
    let (gap, naive_gap) = (p.token_gap.p95_ms, n.token_gap.p95_ms);
    line("token_gap_ms_p95", gap, naive_gap, AtMost(78.0));
    let cut = product.broken_by_leaving as f64;
    let naive_cut = naive.broken_by_leaving as f64;
    line("requests_cut_off_by_leaving", cut, naive_cut, AtMost(0.0));

    let product = moved(System::Product, None).await?;
    let naive = moved(System::Naive, None).await?;
    let (p, n) = (percent(product.done_in_time), percent(naive.done_in_time));
    line("good_moves_in_time_percent", p, n, AtLeast(100.0));

    let at_once = Some(Duration::ZERO);
    let product = moved(System::Product, at_once).await?;
    let naive = moved(System::Naive, at_once).await?;
    let (p, n) = (percent(product.undone), percent(naive.undone));
    line("bad_moves_undone_percent", p, n, AtLeast(100.0));
    let (p, n) = (product.new_share_percent, naive.new_share_percent);
    line("bad_version_share_percent", p, n, AtMost(5.0));

    let later = Some(Duration::from_secs(3));
    let product = moved(System::Product, later).await?;
    let naive = moved(System::Naive, later).await?;
    let (p, n) = (product.after_fault_ms, naive.after_fault_ms);
    line("bad_traffic_after_fault_ms", p, n, AtMost(2_000.0));

    let product = slow_reader(System::Product).await? as f64;
    let naive = slow_reader(System::Naive).await? as f64;
    let bound = AtMost(SLOW_READER_BYTES);
    line("slow_reader_bytes_peak", product, naive, bound);
    Ok(())
}
