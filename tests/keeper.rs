//! The budget keeper with a log in memory.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use magnoliahaven::{
    AccountRecord, BudgetKeeper, BudgetName, HolderId, TimerService,
    budget::{
        BillLine, BudgetOptions, BudgetPorts, TopUpRecord, partition_of,
        partition_stream,
    },
    membership::VmDirectory,
    ports::{
        LogCursors, LogFault, LogPort, LogRecord, LogSlice, PeerAnswer,
        PeerCall, PeerFault, PeerPort, PortFuture, UpstreamConnection,
        UpstreamFault, UpstreamPort,
    },
    runtime::block_on,
};

const PARTITIONS: u32 = 1;
const BUDGETS: usize = 40;

/// A log in memory that counts appends.
#[derive(Default)]
struct FakeLog {
    streams: RefCell<BTreeMap<String, Vec<LogRecord>>>,
    appends: Cell<u64>,
}

impl LogPort for FakeLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: &'a [String],
    ) -> PortFuture<'a, Result<u64, LogFault>> {
        self.appends.set(self.appends.get() + 1);
        let mut streams = self.streams.borrow_mut();
        let log = streams.entry(stream.to_owned()).or_default();
        let first = log.len() as u64;
        for payload in records {
            let offset = log.len() as u64;
            let payload = payload.clone();
            log.push(LogRecord { offset, time_ms: offset, payload });
        }
        Box::pin(std::future::ready(Ok(first)))
    }

    fn read<'a>(
        &'a self,
        cursors: &'a LogCursors,
        _wait: Duration,
    ) -> PortFuture<'a, Result<BTreeMap<String, LogSlice>, LogFault>> {
        Box::pin(async move {
            monoio::time::sleep(Duration::from_millis(2)).await;
            let mut slices = BTreeMap::new();
            for (name, cursor) in cursors {
                let streams = self.streams.borrow();
                let Some(log) = streams.get(name) else {
                    continue;
                };
                let records = log[*cursor as usize..].to_vec();
                if records.is_empty() {
                    continue;
                }
                let next = log.len() as u64;
                slices.insert(
                    name.clone(),
                    LogSlice { oldest: 0, next, records },
                );
            }
            Ok(slices)
        })
    }
}

/// Peers and upstreams that cannot be reached.
struct Unreachable;

impl PeerPort for Unreachable {
    fn call(
        &self,
        _peer: SocketAddr,
        _call: PeerCall,
    ) -> PortFuture<'_, Result<PeerAnswer, PeerFault>> {
        let reason = "nobody".to_owned();
        let fault = PeerFault::Unreachable { reason };
        Box::pin(std::future::ready(Err(fault)))
    }
}

impl UpstreamPort for Unreachable {
    fn connect(
        &self,
        _address: SocketAddr,
    ) -> PortFuture<'_, Result<Box<dyn UpstreamConnection>, UpstreamFault>>
    {
        Box::pin(std::future::ready(Err(UpstreamFault::TimedOut)))
    }

    fn cancel<'a>(
        &'a self,
        _address: SocketAddr,
        _request_id: &'a str,
    ) -> PortFuture<'a, Result<u64, UpstreamFault>> {
        Box::pin(std::future::ready(Err(UpstreamFault::TimedOut)))
    }
}

fn budget(number: usize) -> BudgetName {
    BudgetName::new("dairy", &format!("budget-{number}"))
}

fn top_up_budgets(log: &FakeLog) {
    let stream = partition_stream(partition_of("dairy", PARTITIONS));
    let mut records = Vec::new();
    for number in 0..BUDGETS {
        let record = AccountRecord::TopUp(TopUpRecord {
            budget: budget(number).as_str().to_owned(),
            id: "first".to_owned(),
            tokens: 10_000_000,
            who: "ana".to_owned(),
        });
        records.push(record.encode());
    }
    // The fake log appends before it returns the future, so the future need
    // not be awaited.
    drop(log.append(&stream, &records));
    log.appends.set(0);
}

fn empty_line() -> BillLine {
    BillLine {
        bill: String::new(),
        budget: String::new(),
        request_id: String::new(),
        service: String::new(),
        tokens: 0,
        vm: String::new(),
        time_ms: 0,
    }
}

/// Forty budgets in steady use refill their grants. The refills must share the
/// appends of settlements; an append of its own for each refill would overload
/// the log.
#[test]
fn refills_share_appends_with_settlements() {
    block_on(async {
        let log = Rc::new(FakeLog::default());
        top_up_budgets(&log);
        let timer = TimerService::new();
        let unreachable = Rc::new(Unreachable);
        let ports = BudgetPorts {
            log: log.clone(),
            peers: unreachable.clone(),
            upstreams: unreachable,
            directory: Rc::new(VmDirectory::new("vm-1")),
            timer: timer.clone(),
        };
        let mut options = BudgetOptions::new(PARTITIONS);
        options.settle_interval = Duration::from_secs(1);
        options.grant_horizon = Duration::from_secs(4);
        let id = HolderId::new("vm-1", 1);
        let keeper = Rc::new(BudgetKeeper::new(id, options, ports));
        monoio::spawn(timer.run());
        monoio::spawn(keeper.clone().run_follow());
        monoio::spawn(keeper.clone().run_flush());
        monoio::spawn(keeper.clone().run_settle());
        let mut first_round = 0;
        let started = Instant::now();
        for round in 0..50 {
            for number in 0..BUDGETS {
                let reserved = keeper.reserve(&budget(number), 100).await;
                let reserved = reserved.expect("tokens").into_sent();
                keeper.settle(reserved, 90, empty_line());
            }
            if round == 0 {
                first_round = log.appends.get();
            }
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
        // Allowed are two appends in each second, for settlements and audit
        // lines, and one more for each budget whose demand has outgrown its
        // first grant.
        let seconds = started.elapsed().as_secs() + 1;
        let appends = log.appends.get() - first_round;
        let allowed = seconds * 2 + BUDGETS as u64;
        assert!(appends <= allowed, "{appends} appends in {seconds} s");
    })
    .unwrap();
}
