//! Routing under load and failure, with real processes.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use {
    common::{
        balance, caller_of, engine_sum, engine_tokens, eventually, request,
        run,
    },
    magnolia_standins::{
        engine::expected_text,
        fleet::{EnginePlan, Fleet, FleetPlan, Signal, key_of},
        load::{
            CallEnd, CallTarget, LoadOptions, LoadPace, LoadReport, run_load,
        },
    },
    magnoliahaven::{adapters::http::HttpClient, ports::VmState},
    serde_json::json,
};

const BUDGET: &str = "dairy/check";

/// An upstream that leaves gets nothing new after this time.
const LEAVE_TIME: Duration = Duration::from_secs(2);

fn options(
    fleet: &Fleet,
    budgets: &[&str],
    callers: usize,
    seconds: u64,
) -> LoadOptions {
    LoadOptions {
        target: CallTarget::Routers(fleet.callers()),
        keys: budgets.iter().map(|budget| key_of(budget)).collect(),
        model: "assistant".to_owned(),
        callers,
        pace: LoadPace::Closed,
        duration: Duration::from_secs(seconds),
        least_tokens: 10,
        most_tokens: 20,
        streams: true,
        seed: 3,
    }
}

fn spawn(options: LoadOptions) -> monoio::task::JoinHandle<LoadReport> {
    monoio::spawn(async move { run_load(&options).await })
}

#[test]
fn an_upstream_never_holds_more_than_its_limit() {
    run(async {
        let mut plan = FleetPlan::new(3, 0).with_upstream_limit(9);
        for _ in 0..3 {
            let engine = EnginePlan::new().with_limit(9);
            plan = plan.with_engine(engine.with_step_us(4_000));
        }
        let fleet = Fleet::start(plan).unwrap();
        fleet.configure(10_000_000).await;
        // Far more callers than slots, all with accounts of their own home.
        let budgets = ["dairy/check", "yards/check", "dairy/draft"];
        let report = run_load(&options(&fleet, &budgets, 90, 5)).await;
        for engine in 0..3 {
            let peak = &fleet.engine_stats(engine).await["peak"];
            assert!(peak.as_u64() <= Some(9), "engine {engine}: {peak}");
        }
        assert!(report.answered > 0);
        assert_eq!(report.broken + report.wrong_answers, 0, "{report:?}");
        let refused: u64 = report.refused.values().sum();
        assert_eq!(report.refused_with_retry, refused, "told when to return");
    });
}

#[test]
fn urgent_requests_do_not_wait_behind_drafts() {
    run(async {
        let mut plan = FleetPlan::new(2, 0).with_upstream_limit(8);
        plan = plan.with_presets("ordinary: {draft_percent: 50}");
        for _ in 0..2 {
            let engine = EnginePlan::new().with_limit(8);
            plan = plan.with_engine(engine.with_step_us(4_000));
        }
        let fleet = Fleet::start(plan).unwrap();
        fleet.configure(10_000_000).await;
        let mut drafts = options(&fleet, &["yards/draft"], 60, 5);
        drafts.least_tokens = 300;
        drafts.most_tokens = 400;
        let drafts = spawn(drafts);
        monoio::time::sleep(Duration::from_secs(1)).await;
        let urgent = run_load(&options(&fleet, &["dairy/urgent"], 3, 3)).await;
        assert!(urgent.answered > 0);
        assert_eq!(urgent.refused.len(), 0, "{urgent:?}");
        drafts.await;
    });
}

#[test]
fn an_account_that_floods_does_not_cost_another_its_service() {
    run(async {
        let mut plan = FleetPlan::new(2, 0).with_upstream_limit(8);
        plan = plan.with_presets("ordinary: {queue_wait: {check: 3s}}");
        for _ in 0..2 {
            let engine = EnginePlan::new().with_limit(8);
            plan = plan.with_engine(engine.with_step_us(4_000));
        }
        let fleet = Fleet::start(plan).unwrap();
        fleet.configure(10_000_000).await;
        let flood = spawn(options(&fleet, &["yards/check"], 100, 6));
        monoio::time::sleep(Duration::from_secs(1)).await;
        let quiet = run_load(&options(&fleet, &["dairy/check"], 3, 4)).await;
        assert!(quiet.answered > 0);
        assert_eq!(quiet.refused.len(), 0, "{quiet:?}");
        flood.await;
    });
}

#[test]
fn a_killed_engine_costs_few_answers_and_starts_no_storm() {
    run(async {
        let mut fleet = Fleet::start(FleetPlan::new(2, 4)).unwrap();
        fleet.configure(10_000_000).await;
        let budgets = ["dairy/check", "yards/check"];
        let load = spawn(options(&fleet, &budgets, 16, 6));
        monoio::time::sleep(Duration::from_secs(1)).await;
        fleet.engines[0].process.signal(Signal::Kill);
        let report = load.await;
        // At most what was in progress there, on all callers, is lost.
        assert!(report.broken <= 16, "{report:?}");
        assert_eq!(report.wrong_answers, 0);
        assert!(report.refused.is_empty(), "{report:?}");
        let mut runs = 0;
        for engine in 1..4 {
            let stats = fleet.engine_stats(engine).await;
            runs += stats["runs"].as_u64().unwrap();
        }
        assert!(runs <= report.requests * 11 / 10 + 20, "{runs} runs");
    });
}

#[test]
fn a_stalled_engine_frees_its_requests_in_time() {
    run(async {
        let plan =
            FleetPlan::new(1, 2).with_settings("limits: {upstream_time: 2s}");
        let fleet = Fleet::start(plan).unwrap();
        fleet.configure(1_000_000).await;
        fleet.engine_faults(0, json!({"stall": true})).await;
        let mut whole = request("stalled", 10);
        whole.streams = false;
        let mut caller = caller_of(&fleet, 0, BUDGET);
        for _ in 0..4 {
            let started = Instant::now();
            let end = caller.call(&whole).await.end;
            assert!(started.elapsed() < Duration::from_secs(10));
            assert_ne!(end, CallEnd::Broken, "an answer in any case");
            assert_ne!(end, CallEnd::WrongAnswer);
        }
    });
}

/// A caller that reads as slowly as it is told to.
struct SlowReader {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl SlowReader {
    fn open(address: SocketAddr, budget: &str, length: u64) -> SlowReader {
        let mut stream = TcpStream::connect(address).unwrap();
        let body = json!({
            "model": "assistant",
            "messages": [{
                "role": "user",
                "content": format!("slow len={length}"),
            }],
            "max_tokens": length,
            "stream": true,
        })
        .to_string();
        write!(
            stream,
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\
             authorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
            key_of(budget),
            body.len(),
        )
        .unwrap();
        SlowReader { stream, bytes: Vec::new() }
    }

    /// Reads everything that is left.
    fn read_rest(&mut self) {
        let mut chunk = [0; 65_536];
        while !self.bytes.ends_with(b"0\r\n\r\n") {
            let count = self.stream.read(&mut chunk).unwrap();
            assert!(count > 0, "the answer broke off");
            self.bytes.extend_from_slice(&chunk[..count]);
        }
    }

    /// The text of the answer.
    fn text(&self) -> String {
        let body = String::from_utf8_lossy(&self.bytes);
        let mut text = String::new();
        for part in body.split("\"content\":\"").skip(1) {
            text.push_str(part.split('"').next().unwrap_or_default());
        }
        text
    }
}

async fn metric(fleet: &Fleet, router: usize, name: &str) -> u64 {
    let address = fleet.routers[router].operators;
    let client = HttpClient::new();
    let time = Duration::from_secs(5);
    let (_, body) = client.get(address, "/metrics", time).await.unwrap();
    let body = String::from_utf8_lossy(&body).into_owned();
    let line = body.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split(' ').next_back());
    value.map_or(0, |value| value.parse().unwrap())
}

fn slow_plan() -> FleetPlan {
    FleetPlan::new(1, 0)
        .with_engine(EnginePlan::new().with_step_us(0))
        .with_settings(
            "limits: {stream: 16KiB, held: 64KiB, reader_time: 500ms}",
        )
}

#[test]
fn a_slow_reader_holds_bounded_memory_and_gets_everything() {
    run(async {
        let fleet = Fleet::start(slow_plan()).unwrap();
        fleet.configure(100_000_000).await;
        let address = fleet.routers[0].callers;
        // Far more than the kernels on the way buffer.
        let length = 120_000;
        let mut reader = SlowReader::open(address, BUDGET, length);
        let mut peak = 0;
        for _ in 0..10 {
            monoio::time::sleep(Duration::from_millis(200)).await;
            peak = peak.max(metric(&fleet, 0, "magnolia_held_bytes").await);
        }
        assert!(peak > 0, "nothing was held, so nothing was tested");
        // One event may arrive when the bound is all but reached, and a
        // part of the body carries several events.
        assert!(peak <= 2 * 16 * 1024 + 32 * 1024, "{peak} bytes held");
        let stats = fleet.engine_stats(0).await;
        assert_eq!(stats["running"], 0, "the engine's slot is free");
        let reader = std::thread::spawn(move || {
            reader.read_rest();
            reader
        });
        eventually("the answer is read", || async { reader.is_finished() })
            .await;
        let reader = reader.join().unwrap();
        let wanted = expected_text(&format!("slow len={length}"), length);
        assert!(reader.text() == wanted, "the whole answer, in order");
        eventually("billed once", || async {
            balance(&fleet, BUDGET).await.spent == length + 2
        })
        .await;
        assert_eq!(metric(&fleet, 0, "magnolia_held_bytes").await, 0);
    });
}

#[test]
fn a_vanished_reader_is_billed_once_and_frees_its_slot() {
    run(async {
        let mut plan = FleetPlan::new(1, 0);
        plan = plan.with_engine(EnginePlan::new().with_step_us(5_000));
        let fleet = Fleet::start(plan).unwrap();
        fleet.configure(1_000_000).await;
        let address = fleet.routers[0].callers;
        let reader = SlowReader::open(address, BUDGET, 100_000);
        monoio::time::sleep(Duration::from_millis(500)).await;
        drop(reader);
        eventually("the slot is free", || async {
            engine_sum(&fleet, "running").await == 0
        })
        .await;
        eventually("billed once", || async {
            let spent = balance(&fleet, BUDGET).await.spent;
            spent > 0 && spent == engine_tokens(&fleet).await
        })
        .await;
        assert_eq!(fleet.status(0).await["in_progress"], 0);
    });
}

#[test]
fn a_leaving_upstream_gets_nothing_new() {
    run(async {
        let fleet = Fleet::start(FleetPlan::new(3, 3)).unwrap();
        fleet.configure(10_000_000).await;
        let budgets = ["dairy/check", "yards/check"];
        let load = spawn(options(&fleet, &budgets, 24, 8));
        monoio::time::sleep(Duration::from_secs(1)).await;
        // One router cannot reach the list any more.
        fleet.routers[0].log_relay.cut();
        fleet.list_engine(0, VmState::Leaving).await;
        // The list itself lags by 200 ms.
        monoio::time::sleep(LEAVE_TIME + Duration::from_millis(200)).await;
        let before = fleet.engine_stats(0).await["requests"].clone();
        let report = load.await;
        let after = fleet.engine_stats(0).await["requests"].clone();
        assert_eq!(before, after, "new requests after {LEAVE_TIME:?}");
        assert_eq!(report.broken + report.wrong_answers, 0, "{report:?}");
    });
}

#[test]
fn routers_that_leave_under_load_cut_nothing_off() {
    run(async {
        let mut fleet = Fleet::start(FleetPlan::new(4, 3)).unwrap();
        fleet.configure(10_000_000).await;
        let budgets = ["dairy/check", "yards/check", "dairy/urgent"];
        let load = spawn(options(&fleet, &budgets, 24, 8));
        for router in 0..3 {
            monoio::time::sleep(Duration::from_secs(2)).await;
            fleet.routers[router].process.signal(Signal::Terminate);
        }
        let report = load.await;
        assert_eq!(report.broken + report.wrong_answers, 0, "{report:?}");
        for router in 0..3 {
            let process = &mut fleet.routers[router].process;
            let status = process.wait_exit(Duration::from_secs(20));
            assert_eq!(status.expect("has left").code(), Some(0));
        }
    });
}

#[test]
fn a_killed_router_leaves_entry_answers() {
    run(async {
        let mut fleet = Fleet::start(FleetPlan::new(3, 1)).unwrap();
        fleet.configure(10_000_000).await;
        // The members have to know each other first.
        eventually("all routers know each other", || async {
            let status = fleet.status(0).await;
            status["members"].as_object().is_some_and(|m| m.len() == 2)
        })
        .await;
        fleet.routers[1].process.signal(Signal::Kill);
        let gone = fleet.routers[1].callers.to_string();
        let client = HttpClient::new();
        let address = fleet.routers[0].callers;
        eventually("the dead router is not named any more", || async {
            let time = Duration::from_secs(1);
            let reply = client.get(address, "/v1/entry", time).await;
            let (_, body) = reply.expect("an answer");
            !String::from_utf8_lossy(&body).contains(&gone)
        })
        .await;
    });
}

#[test]
fn callers_go_on_when_a_router_is_killed_with_streams_open() {
    run(async {
        let mut fleet = Fleet::start(FleetPlan::new(3, 3)).unwrap();
        fleet.configure(10_000_000).await;
        let budgets = ["dairy/check", "yards/check"];
        let load = spawn(options(&fleet, &budgets, 16, 8));
        monoio::time::sleep(Duration::from_secs(2)).await;
        fleet.routers[0].process.signal(Signal::Kill);
        let report = load.await;
        assert_eq!(report.wrong_answers, 0);
        assert!(report.answered > 0);
        // A caller meets the dead router with the answer it had, and each
        // answer it is given until the members have noticed.
        assert!(report.broken <= 16 * 10, "{report:?}");
        eventually("every answer is billed once", || async {
            let mut spent = 0;
            for budget in budgets {
                spent += balance(&fleet, budget).await.spent;
            }
            spent == engine_tokens(&fleet).await
        })
        .await;
    });
}
