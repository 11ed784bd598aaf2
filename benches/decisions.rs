//! Benchmarks of the decisions, at today's size and at the target.
//!
//! Each decision runs beside a naive version in the same run. The program
//! ends with a regression check: the ratio of both times has to stay below
//! a bound, so that the speed of the machine does not matter.

#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use {
    common::entry_vms,
    criterion::Criterion,
    magnoliahaven::{
        AccountLedger, AccountRecord, GrantHolder, HolderId, PortionId,
        StreamFold,
        budget::{GrantRecord, SettleRecord, TopUpRecord},
        config::CallClass,
        entry::{EntryHealth, rank_entries},
        moves::{
            MoveEvidence, MovePlan, MoveStartRecord, MoveState, RequestResult,
        },
        ports::LogRecord,
        routing::{
            AdmitRequest, AssignedUpstream, PlacementHint, SubsetPlan,
            UpstreamTable, upstream_shares,
        },
    },
    prost::Message,
};

/// Runs of a closure for the ratio.
const RATIO_RUNS: u32 = 200;

/// A size of the system.
#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    routers: usize,
    workers: usize,
    budgets: usize,
}

const SIZES: [Size; 2] = [
    Size { name: "today", routers: 9, workers: 22, budgets: 20 },
    Size { name: "target", routers: 410, workers: 690, budgets: 46_000 },
];

/// A message of the wire, for its encoding alone.
#[derive(Clone, PartialEq, Message)]
struct WireNews {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint32, tag = "3")]
    status: u32,
}

#[derive(Clone, PartialEq, Message)]
struct WirePing {
    #[prost(message, repeated, tag = "1")]
    news: Vec<WireNews>,
}

/// The times of one decision and of its naive version.
struct Ratio {
    name: String,
    decision: Duration,
    naive: Duration,
    bound: f64,
}

fn time(mut run: impl FnMut()) -> Duration {
    // The fastest of a few rounds is the one that nothing disturbed.
    let mut best = Duration::MAX;
    for _ in 0..5 {
        let started = Instant::now();
        for _ in 0..RATIO_RUNS {
            run();
        }
        best = best.min(started.elapsed());
    }
    best / RATIO_RUNS
}

struct Bench {
    criterion: Criterion,
    ratios: Vec<Ratio>,
}

impl Bench {
    fn compare(
        &mut self,
        name: &str,
        bound: f64,
        mut decision: impl FnMut(),
        naive: impl FnMut(),
    ) {
        self.criterion.bench_function(name, |b| b.iter(&mut decision));
        let (decision, naive) = (time(decision), time(naive));
        let name = name.to_owned();
        self.ratios.push(Ratio { name, decision, naive, bound });
    }
}

/// Picks an upstream of the router's subset; the naive version takes the
/// next one of a list.
fn pick(bench: &mut Bench, size: Size) {
    let table = UpstreamTable::new();
    // A router uses about 32 workers of a model at most.
    let views: Vec<AssignedUpstream> = (0..size.workers.min(32))
        .map(|number| AssignedUpstream {
            vm: format!("worker-{number}"),
            address: ([127, 0, 0, 1], number as u16).into(),
            domain: String::new(),
            service: "assistant".to_owned(),
            version: "v1".to_owned(),
            started_ms: 0,
            share: 4,
            limit: 128,
        })
        .collect();
    table.update(&views);
    let request = AdmitRequest {
        service: "assistant",
        version: Some("v1"),
        avoided_version: None,
        priority: CallClass::Check.priority(),
        is_draft: false,
        account: "dairy",
        excluded: &[],
        affinity: "dairy/nurses",
        hint: PlacementHint::default(),
        max_wait: Duration::ZERO,
        draft_percent: 75,
    };
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .build()
        .expect("runtime");
    let mut turn = 0;
    bench.compare(
        &format!("pick an upstream, {}", size.name),
        4_000.0,
        || {
            let slot = runtime.block_on(table.admit(&request));
            drop(black_box(slot));
        },
        || {
            turn += 1;
            black_box(views[turn % views.len()].address);
        },
    );
}

/// Admits a request against a budget; the naive version adds to a counter.
fn admit(bench: &mut Bench, size: Size) {
    let now = Instant::now();
    let mut holder = GrantHolder::new(HolderId::new("vm-1", 1));
    // Each budget is drawn on at about two of the routers.
    let held = (size.budgets * 2 / size.routers).max(1);
    let mut counters = BTreeMap::new();
    for number in 0..held {
        let budget = format!("account-{number}/main");
        let portion = PortionId::new(0, number as u64, 0);
        holder.add(portion, &budget, 1 << 40, now);
        counters.insert(budget, 0_u64);
    }
    let name = "account-0/main";
    bench.compare(
        &format!("admit against a budget, {}", size.name),
        400.0,
        || {
            let reserved = holder.reserve(name, 100, now).expect("tokens");
            holder.settle(reserved.into_sent(), 40);
        },
        || *counters.get_mut(name).expect("counter") += 40,
    );
}

/// Folds a thousand records; the naive version decodes them only.
fn fold(bench: &mut Bench, size: Size) {
    let budgets = (size.budgets / 1_100).max(1);
    let mut records = Vec::new();
    let mut push = |record: AccountRecord| {
        let offset = records.len() as u64;
        let payload = record.encode();
        records.push(LogRecord { offset, time_ms: offset, payload });
    };
    for number in 0..1_000_u64 {
        let budget = format!("dairy/budget-{}", number as usize % budgets);
        push(match number % 3 {
            0 => AccountRecord::TopUp(TopUpRecord {
                budget,
                id: number.to_string(),
                tokens: 1_000,
                who: "ana".to_owned(),
            }),
            1 => AccountRecord::Grant(GrantRecord {
                budget,
                holder: HolderId::new("vm-1", 1),
                least: 1,
                want: 100,
            }),
            _ => AccountRecord::Settle(SettleRecord {
                portion: PortionId::new(0, number - 1, 0),
                upto: 1,
                spent: 10,
                beyond: Vec::new(),
                close: true,
            }),
        });
    }
    bench.compare(
        &format!("fold a thousand records, {}", size.name),
        8.0,
        || {
            let mut ledger = AccountLedger::new();
            for record in &records {
                black_box(ledger.apply(record));
            }
        },
        || {
            for record in &records {
                black_box(AccountRecord::decode(&record.payload));
            }
        },
    );
}

/// Ranks entry answers; the naive version copies the list.
fn rank(bench: &mut Bench, size: Size) {
    let vms = entry_vms(size.routers, &["r-0", "r-1"], 6);
    bench.compare(
        &format!("rank entry answers, {}", size.name),
        30.0,
        || {
            let healthy = |_: &str| EntryHealth::default();
            black_box(rank_entries(vms.iter(), "dairy", "r-0", healthy));
        },
        || {
            black_box(vms.keys().cloned().collect::<Vec<_>>());
        },
    );
}

/// Computes a router's shares of one model; the naive version divides the
/// limit by the number of routers.
fn shares(bench: &mut Bench, size: Size) {
    let routers: Vec<String> =
        (0..size.routers).map(|n| format!("vm-{n}")).collect();
    let upstreams: Vec<String> =
        (0..size.workers / 16 + 1).map(|n| format!("worker-{n}")).collect();
    let plan =
        SubsetPlan { routers: &routers, upstreams: &upstreams, limit: 128 };
    bench.compare(
        &format!("share out one model, {}", size.name),
        4_000.0,
        || {
            black_box(upstream_shares(&plan, "vm-1"));
        },
        || {
            for upstream in &upstreams {
                black_box((upstream.clone(), 128 / routers.len().max(1)));
            }
        },
    );
}

/// Steps a move; the naive version compares the clock with the deadline.
fn step(bench: &mut Bench, size: Size) {
    let start = MoveStartRecord {
        service: "assistant".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        deadline_ms: 60_000,
        who: "ana".to_owned(),
    };
    let state = MoveState::new(start, 0);
    let mut tally = MoveEvidence::default();
    for number in 0..10_000_u64 {
        let route = format!("chat/{}", number % 6);
        let result = if number % 200 == 0 {
            RequestResult::Error
        } else {
            RequestResult::Answered { latency_us: Some(20_000 + number) }
        };
        tally.old.record(&route, result);
        tally.new.record(&route, result);
    }
    let tallies = vec![tally; size.routers];
    let plan = MovePlan::new(5);
    bench.compare(
        &format!("step a move, {}", size.name),
        2_000_000.0,
        || {
            let mut sum = MoveEvidence::default();
            for tally in &tallies {
                sum.add(tally);
            }
            black_box(sum.verdict());
            black_box(plan.next_step(&state, &sum, 1_000));
        },
        || {
            black_box(black_box(1_000) >= state.start.deadline_ms);
        },
    );
}

/// Encodes and decodes a probe; the naive version uses JSON.
fn encode(bench: &mut Bench, size: Size) {
    let news = WireNews {
        vm: format!("vm-{}", size.routers),
        incarnation: 1 << 50,
        status: 1,
    };
    let ping = WirePing { news: vec![news; 9] };
    let json: Vec<(String, u64, u32)> = ping
        .news
        .iter()
        .map(|n| (n.vm.clone(), n.incarnation, n.status))
        .collect();
    bench.compare(
        &format!("encode and decode a probe, {}", size.name),
        2.0,
        || {
            let bytes = ping.encode_to_vec();
            black_box(WirePing::decode(bytes.as_slice()).expect("probe"));
        },
        || {
            let text = serde_json::to_string(&json).expect("JSON");
            let back: Vec<(String, u64, u32)> =
                serde_json::from_str(&text).expect("JSON");
            black_box(back);
        },
    );
}

fn main() {
    let criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500))
        .configure_from_args();
    let mut bench = Bench { criterion, ratios: Vec::new() };
    for size in SIZES {
        pick(&mut bench, size);
        admit(&mut bench, size);
        fold(&mut bench, size);
        rank(&mut bench, size);
        shares(&mut bench, size);
        step(&mut bench, size);
        encode(&mut bench, size);
    }
    let mut broken = 0;
    for Ratio { name, decision, naive, bound } in &bench.ratios {
        let naive_ns = naive.as_nanos().max(1) as f64;
        let ratio = decision.as_nanos() as f64 / naive_ns;
        let ok = ratio <= *bound;
        broken += u32::from(!ok);
        println!(
            "{{\"bench\":{name:?},\"decision_ns\":{},\"naive_ns\":{naive_ns},\
             \"ratio\":{ratio:.2},\"bound\":{bound},\"ok\":{ok}}}",
            decision.as_nanos(),
        );
    }
    if broken > 0 {
        eprintln!("{broken} ratios are above their bound");
        std::process::exit(1);
    }
}
