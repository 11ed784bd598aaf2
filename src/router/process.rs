//! The life of a router process.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    io,
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    monoio::net::TcpListener,
    snafu::{ResultExt, Snafu},
    tokio::sync::{Notify, mpsc},
};

use super::{
    ClaimTable, RouterCore, RouterPorts, callers, control, moves, operators,
    peers,
};
use crate::{
    adapters::{
        http::HttpClient,
        log::LogClient,
        peer::{InboundCall, PeerLink, ProcessSignal},
        upstream::HttpUpstream,
    },
    budget::{BudgetKeeper, KeeperOptions, KeeperPorts},
    config::RouterSettings,
    domain::HolderId,
    membership::{MemberOptions, MemberTable, VmDirectory},
    moves::EvidenceBook,
    routing::{RetryBudget, UpstreamTable},
    streams::StreamFollower,
    telemetry::RouterMetrics,
    timer::TimerService,
};

/// How often the router looks after its own state.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);

/// How often a leaving router looks at what is still in progress.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// Time for which a leaving router accepts callers beyond the lifetime of
/// an entry answer. Routers that have not heard of it yet may name it still.
const LEAVE_MARGIN: Duration = Duration::from_secs(3);

/// Longest wait for an address that another process still uses.
const LISTEN_TIME: Duration = Duration::from_secs(3);

/// Pause between two attempts to use an address.
const LISTEN_POLL: Duration = Duration::from_millis(50);

/// Longest time for the last settlements of a leaving router.
const DRAIN_TIME: Duration = Duration::from_secs(60);

/// A process that has read its settings.
#[derive(Debug)]
pub struct Starting;

/// A process that serves callers.
#[derive(Debug)]
pub struct Serving;

/// A process that was told to leave.
#[derive(Debug)]
pub struct Leaving;

/// Why a router could not start.
#[derive(Debug, Snafu)]
pub enum StartFault {
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
}

/// A router process in one state of its life.
pub struct RouterProcess<S> {
    core: Rc<RouterCore>,
    signals: mpsc::Receiver<ProcessSignal>,
    leave: mpsc::Sender<ProcessSignal>,
    inbound: Option<mpsc::Receiver<InboundCall>>,
    stop_listening: Rc<Notify>,
    state: PhantomData<S>,
}

impl RouterProcess<Starting> {
    /// Creates a process with real adapters.
    ///
    /// # Errors
    ///
    /// `Listen` if the address for peers cannot be used.
    pub fn new(
        settings: RouterSettings,
    ) -> Result<RouterProcess<Starting>, StartFault> {
        let address = settings.listen.peers;
        let link = listen(address, PeerLink::start)?;
        let client = HttpClient::new();
        let log =
            Rc::new(LogClient::new(client.clone(), settings.log.address));
        let ports = RouterPorts {
            log: log.clone(),
            vm_list: log,
            upstreams: Rc::new(HttpUpstream::new(client)),
            peers: Rc::new(link.client),
        };
        let core = Rc::new(build_core(settings, ports));
        let (leave, operators) = mpsc::channel(4);
        let signals = merge_signals(link.signals, operators);
        Ok(RouterProcess {
            core,
            signals,
            leave,
            inbound: Some(link.inbound),
            stop_listening: Rc::default(),
            state: PhantomData,
        })
    }

    /// Opens the listeners and starts all tasks.
    ///
    /// # Errors
    ///
    /// `Listen` if an address cannot be used.
    pub fn start(mut self) -> Result<RouterProcess<Serving>, StartFault> {
        let addresses = &self.core.settings.listen;
        let callers = listen(addresses.callers, TcpListener::bind)?;
        let operators = listen(addresses.operators, TcpListener::bind)?;
        let core = &self.core;
        monoio::spawn(core.timer.clone().run());
        monoio::spawn(control::run_control(core.clone()));
        monoio::spawn(control::run_vm_list(core.clone()));
        monoio::spawn(control::run_catch_up(core.clone()));
        monoio::spawn(control::run_seeds(core.clone()));
        monoio::spawn(control::run_checkpoints(core.clone()));
        monoio::spawn(core.keeper.clone().run_follow());
        monoio::spawn(core.keeper.clone().run_flush());
        monoio::spawn(core.keeper.clone().run_settle());
        monoio::spawn(core.keeper.clone().run_relay());
        let members = core.members.clone();
        let gone = move |id: &HolderId| members.is_gone(id);
        monoio::spawn(core.keeper.clone().run_recover(gone));
        let members = core.members.clone();
        let peers = core.ports.peers.clone();
        monoio::spawn(members.run(peers, core.timer.clone()));
        monoio::spawn(moves::run_driver(core.clone()));
        monoio::spawn(run_upkeep(core.clone()));
        if let Some(inbound) = self.inbound.take() {
            monoio::spawn(peers::run_inbound(core.clone(), inbound));
        }
        let leave = self.leave.clone();
        monoio::spawn(operators::run_listener(core.clone(), operators, leave));
        let stop = self.stop_listening.clone();
        let listening = callers::run_listener(core.clone(), callers, stop);
        monoio::spawn(listening);
        log::info!("router serves callers on {}", addresses.callers);
        Ok(self.into_state())
    }
}

impl<S> RouterProcess<S> {
    fn into_state<T>(self) -> RouterProcess<T> {
        RouterProcess {
            core: self.core,
            signals: self.signals,
            leave: self.leave,
            inbound: self.inbound,
            stop_listening: self.stop_listening,
            state: PhantomData,
        }
    }
}

impl RouterProcess<Serving> {
    /// Serves until the process is told to leave.
    pub async fn serve(mut self) -> RouterProcess<Leaving> {
        // A closed channel cannot be told from a signal to leave.
        while self.signals.recv().await == Some(ProcessSignal::Reload) {
            log::info!("settings are read at the start only");
        }
        log::info!("router leaves");
        self.core.leaving.set(true);
        self.core.members.set_leaving();
        let core = self.core.clone();
        monoio::spawn(async move {
            core.members.tell_all(core.ports.peers.as_ref()).await;
        });
        self.into_state()
    }
}

impl RouterProcess<Leaving> {
    /// Finishes everything; `true` if nothing was lost.
    ///
    /// Callers whose entry answer still names this router are served for
    /// the lifetime of the answer. Streams are finished without a limit. A
    /// second signal logs what would be lost, a third one stops at once.
    pub async fn finish(mut self) -> bool {
        let grace = self.core.settings.entry_lifetime + LEAVE_MARGIN;
        let accept_until = Instant::now() + grace;
        let mut signals_seen = 1;
        loop {
            let accepting = Instant::now() < accept_until;
            if !accepting {
                self.stop_listening.notify_one();
            }
            if !accepting && self.core.in_progress.get() == 0 {
                break;
            }
            if self.signals.try_recv() == Ok(ProcessSignal::Leave) {
                signals_seen += 1;
                self.warn_of_loss();
            }
            if signals_seen > 2 {
                return false;
            }
            self.core.timer.sleep(LEAVE_POLL).await;
        }
        let drained = self.core.keeper.drain(DRAIN_TIME).await;
        if !drained {
            log::error!("the log did not take the last settlements");
        }
        drained
    }

    fn warn_of_loss(&self) {
        let (_, portions) = self.core.keeper.sizes();
        log::warn!(
            "stopping now would cut off {} requests and strand {portions} \
             portions; a third signal stops",
            self.core.in_progress.get(),
        );
    }
}

/// Opens a listener, waiting for a process that is about to end.
pub(crate) fn listen<T>(
    address: SocketAddr,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
) -> Result<T, StartFault> {
    let deadline = Instant::now() + LISTEN_TIME;
    loop {
        let bound = bind(address);
        let in_use = matches!(
            &bound,
            Err(err) if err.kind() == io::ErrorKind::AddrInUse
        );
        if !in_use || Instant::now() >= deadline {
            return bound.context(ListenSnafu { address });
        }
        std::thread::sleep(LISTEN_POLL);
    }
}

/// Joins signals of the process and of operators.
fn merge_signals(
    mut process: mpsc::Receiver<ProcessSignal>,
    mut operators: mpsc::Receiver<ProcessSignal>,
) -> mpsc::Receiver<ProcessSignal> {
    let (merged, signals) = mpsc::channel(4);
    monoio::spawn(async move {
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

fn build_core(settings: RouterSettings, ports: RouterPorts) -> RouterCore {
    // Two incarnations of one VM differ in the time of their start. The
    // random part covers a clock that was set back.
    let random = u64::from(rand::random::<u16>());
    let incarnation = (TimerService::now_ms() << 16) | random;
    let id = HolderId::new(&settings.vm, incarnation);
    let timer = TimerService::new();
    let directory = Rc::new(VmDirectory::new(&settings.vm));
    let keeper_ports = KeeperPorts {
        log: ports.log.clone(),
        peers: ports.peers.clone(),
        upstreams: ports.upstreams.clone(),
        directory: directory.clone(),
        timer: timer.clone(),
    };
    let budgets = &settings.budgets;
    let mut options = KeeperOptions::new(budgets.partitions);
    options.settle_interval = budgets.settle_interval;
    options.grant_horizon = budgets.grant_horizon;
    options.idle_time = budgets.idle_time;
    options.reserve_time = budgets.reserve_time;
    options.log_retention = settings.log.retention;
    let keeper = Rc::new(BudgetKeeper::new(id.clone(), options, keeper_ports));
    let member_options = MemberOptions::new();
    let members =
        MemberTable::new(id.clone(), directory.clone(), member_options);
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
        table: UpstreamTable::new(),
        directory,
        members: Rc::new(members),
        evidence: RefCell::new(EvidenceBook::new()),
        tripped: RefCell::new(BTreeMap::new()),
        claims: RefCell::new(ClaimTable::new()),
        retries: RefCell::new(RetryBudget::new()),
        metrics: RouterMetrics::new(),
        leaving: Cell::new(false),
        in_progress: Cell::new(0),
        last_request: Cell::new(0),
        started: Instant::now(),
    }
}

/// Looks after the router's own state for as long as the task lives.
async fn run_upkeep(core: Rc<RouterCore>) {
    let ticks = core.timer.subscribe(UPKEEP_PERIOD);
    loop {
        ticks.tick().await;
        core.members.set_full(core.table.spare() == 0);
        if !core.leaving.get() {
            core.prewarm();
        }
    }
}
