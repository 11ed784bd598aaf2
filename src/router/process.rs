//! The lifecycle of a router process.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use super::{ClaimTable, RouterCore, RouterPorts, control, moves, operators};
use crate::{
    adapters::{
        http::HttpClient,
        log::LogClient,
        peer::{PeerThread, ProcessSignal},
        upstream::HttpUpstream,
    },
    budget::{BudgetKeeper, BudgetOptions, BudgetPorts},
    config::RouterSettings,
    domain::HolderId,
    membership::{MemberOptions, MemberTable, VmDirectory},
    memory::MemoryPool,
    moves::EvidenceStore,
    process::{
        Leaving, ProcessChannels, ServerProcess, Serving, StartFault,
        Starting, bind_exclusive, listen, new_holder_id,
    },
    routing::{RetryBudget, UpstreamTable},
    runtime::spawn,
    streams::StreamFollower,
    telemetry::{LogEvent, RouterMetrics},
    timer::TimerService,
};

/// Interval of the router's periodic upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a leaving router accepts callers in addition to the
/// lifetime of an entry answer. Other routers may still include it in their
/// entry answers until they learn that it is leaving.
const LEAVE_MARGIN: Duration = Duration::from_secs(3);

/// Maximum time for the last settlements of a leaving router.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// A router process in one state of its lifecycle.
pub type RouterProcess<S> = ServerProcess<RouterCore, S>;

impl RouterProcess<Starting> {
    /// Creates a process that is connected to the real platform.
    ///
    /// # Errors
    ///
    /// `Listen` if the process cannot listen on the address for peers.
    pub fn new(
        settings: RouterSettings,
    ) -> Result<RouterProcess<Starting>, StartFault> {
        let address = settings.listen.peers;
        let link = listen(address, |address| {
            PeerThread::start(address, &settings.vm)
        })?;
        let client = HttpClient::new();
        let log =
            Rc::new(LogClient::new(client.clone(), settings.log.address));
        let ports = RouterPorts {
            log: log.clone(),
            vm_list: log,
            upstreams: Rc::new(HttpUpstream::new(client)),
            peers: Rc::new(link.client),
        };
        let (leave, operators) = mpsc::channel(4);
        let core = Rc::new(build_core(settings, ports, leave));
        core.metrics.add_peers(&link.metrics);
        let signals = merge_signals(link.signals, operators);
        let link = ProcessChannels { signals, inbound: link.inbound };
        Ok(ServerProcess::with_core(core, link))
    }

    /// Opens the listeners and starts all tasks.
    ///
    /// # Errors
    ///
    /// `Listen` if the process cannot listen on an address.
    pub fn start(self) -> Result<RouterProcess<Serving>, StartFault> {
        let addresses = &self.core.settings.listen;
        let callers = listen(addresses.callers, bind_exclusive)?;
        let operators = listen(addresses.operators, bind_exclusive)?;
        let core = &self.core;
        spawn("control", control::run_control(core.clone()));
        spawn("vm_list", control::run_vm_list(core.clone()));
        spawn("catch_up", control::run_catch_up(core.clone()));
        spawn("seeds", control::run_seeds(core.clone()));
        spawn("checkpoints", control::run_checkpoints(core.clone()));
        spawn("follow", core.keeper.clone().run_follow());
        spawn("flush", core.keeper.clone().run_flush());
        spawn("settle", core.keeper.clone().run_settle());
        spawn("relay", core.keeper.clone().run_relay());
        let members = core.members.clone();
        let gone = move |id: &HolderId| members.has_ended(id);
        spawn("recovery", core.keeper.clone().run_recovery(gone));
        spawn("moves", moves::run_driver(core.clone()));
        spawn("upkeep", run_upkeep(core.clone()));
        spawn("operators", operators::run_listener(core.clone(), operators));
        Ok(self.into_serving(callers))
    }
}

impl RouterProcess<Leaving> {
    /// Completes the requests in progress and settles their bills; returns
    /// `true` if all settlements are in the log.
    ///
    /// New requests are accepted for the lifetime of an entry answer, since
    /// callers may still hold one that names this router. Requests in
    /// progress may take any time. A second signal to leave logs what an
    /// immediate stop would lose; a third one stops the process at once.
    pub async fn finish(mut self) -> bool {
        let accept_time = self.core.settings.entry_lifetime + LEAVE_MARGIN;
        let accept_until = Instant::now() + accept_time;
        let mut signals_seen = 1;
        loop {
            let accepting = Instant::now() < accept_until;
            if !accepting {
                self.stop_listening.notify_one();
            }
            if !accepting && self.is_idle() {
                break;
            }
            if self.signals.try_recv() == Ok(ProcessSignal::Leave) {
                signals_seen += 1;
                self.log_pending_loss();
            }
            if signals_seen > 2 {
                return false;
            }
            self.wait_poll().await;
        }
        let drained = self.core.keeper.drain(DRAIN_TIMEOUT).await;
        if !drained {
            log::error!(
                event:% = LogEvent::SettlementsUnsaved;
                "the log did not take the last settlements"
            );
        }
        let cut = self.core.in_progress.get();
        log::info!(
            event:% = LogEvent::ProcessEnded, cut, settled = drained;
            "process ends"
        );
        drained
    }

    /// Logs what an immediate stop would lose.
    fn log_pending_loss(&self) {
        let (_, portions) = self.core.keeper.partition_and_portion_counts();
        let in_progress = self.core.in_progress.get();
        log::warn!(
            event:% = LogEvent::LeaveRepeated, in_progress, portions;
            "an immediate stop would abort {in_progress} requests and leave \
             {portions} portions unreturned; a third signal stops the process"
        );
    }
}

/// Merges the signals to the process with those of operators.
fn merge_signals(
    mut process: mpsc::Receiver<ProcessSignal>,
    mut operators: mpsc::Receiver<ProcessSignal>,
) -> mpsc::Receiver<ProcessSignal> {
    let (merged, signals) = mpsc::channel(4);
    spawn("signals", async move {
        loop {
            let signal = monoio::select! {
                signal = process.recv() => signal,
                signal = operators.recv() => signal,
            };
            let Some(signal) = signal else {
                return;
            };
            if merged.send(signal).await.is_err() {
                return;
            }
        }
    });
    signals
}

fn build_core(
    settings: RouterSettings,
    ports: RouterPorts,
    leave_requests: mpsc::Sender<ProcessSignal>,
) -> RouterCore {
    let id = new_holder_id(&settings.vm);
    let timer = TimerService::new();
    let directory = Rc::new(VmDirectory::new(&settings.vm));
    let keeper_ports = BudgetPorts {
        log: ports.log.clone(),
        peers: ports.peers.clone(),
        upstreams: ports.upstreams.clone(),
        directory: directory.clone(),
        timer: timer.clone(),
    };
    let budgets = &settings.budgets;
    let mut options = BudgetOptions::new(budgets.partitions);
    options.settle_interval = budgets.settle_interval;
    options.grant_horizon = budgets.grant_horizon;
    options.idle_timeout = budgets.idle_time;
    options.reserve_timeout = budgets.reserve_time;
    options.log_retention = settings.log.retention;
    let keeper = Rc::new(BudgetKeeper::new(id.clone(), options, keeper_ports));
    let member_options = MemberOptions::new();
    let members =
        MemberTable::new(id.clone(), directory.clone(), member_options);
    let request_memory = MemoryPool::new(settings.request_memory());
    RouterCore {
        settings,
        id,
        ports,
        timer,
        control: RefCell::new(StreamFollower::new()),
        applied_ms: Cell::new(0),
        applied_revision: Cell::new(0),
        identities: RefCell::default(),
        keeper,
        upstream_table: UpstreamTable::new(),
        directory,
        members: Rc::new(members),
        evidence: RefCell::new(EvidenceStore::new()),
        tripped_moves: RefCell::new(BTreeMap::new()),
        claims: RefCell::new(ClaimTable::new()),
        retry_budget: RefCell::new(RetryBudget::new()),
        metrics: RouterMetrics::new(),
        leaving: Cell::new(false),
        in_progress: Cell::new(0),
        request_memory,
        last_request_number: Cell::new(0),
        leave_requests,
        started: Instant::now(),
    }
}

/// Periodically publishes whether this router has free slots and obtains
/// grants in advance. Never returns.
async fn run_upkeep(core: Rc<RouterCore>) {
    let ticks = core.timer.interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        core.members.set_full(core.upstream_table.free_slots() == 0);
        if !core.leaving.get() {
            core.prewarm();
        }
    }
}
