//! The life of a gateway process.

use std::{
    cell::{Cell, RefCell},
    marker::PhantomData,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    monoio::net::TcpListener,
    tokio::sync::{Notify, mpsc},
};

use super::{
    GatewayCore, GatewayPorts, LatencyBook, callers,
    entry::{self, ListenerRole},
    follow, moves, peers,
};
use crate::{
    adapters::peer::{InboundCall, PeerLink, ProcessSignal},
    allowance::{AllowanceKeeper, AllowanceOptions, AllowancePorts},
    config::RouterSettings,
    domain::HolderId,
    membership::{MemberOptions, MemberTable, UpstreamRoster, VmDirectory},
    router::{StartFault, listen},
    routing::UpstreamTable,
    telemetry::RouterMetrics,
    timer::TimerService,
};

/// How often a leaving gateway looks at what is still in progress.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// A process that has read its settings.
#[derive(Debug)]
pub struct Starting;

/// A process that serves callers.
#[derive(Debug)]
pub struct Serving;

/// A process that was told to leave.
#[derive(Debug)]
pub struct Leaving;

/// A gateway process in one state of its life.
pub struct GatewayProcess<S> {
    core: Rc<GatewayCore>,
    signals: mpsc::Receiver<ProcessSignal>,
    inbound: Option<mpsc::Receiver<InboundCall>>,
    stop_listening: Rc<Notify>,
    state: PhantomData<S>,
}

impl GatewayProcess<Starting> {
    /// Creates a process whose ports are made by `make_ports`.
    ///
    /// # Errors
    ///
    /// `Listen` if the address for peers cannot be used.
    pub fn new(
        settings: RouterSettings,
        make_ports: impl FnOnce(
            &RouterSettings,
            Rc<dyn crate::ports::PeerPort>,
        ) -> GatewayPorts,
    ) -> Result<GatewayProcess<Starting>, StartFault> {
        let link = listen(settings.listen.peers, PeerLink::start)?;
        let ports = make_ports(&settings, Rc::new(link.client));
        let core = Rc::new(build_core(settings, ports));
        Ok(GatewayProcess {
            core,
            signals: link.signals,
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
    pub fn start(mut self) -> Result<GatewayProcess<Serving>, StartFault> {
        let core = self.core.clone();
        let addresses = core.settings.listen.clone();
        let callers = listen(addresses.callers, TcpListener::bind)?;
        self.serve_role(Some(addresses.operators), ListenerRole::Metrics)?;
        self.serve_role(addresses.entry, ListenerRole::Entry)?;
        self.serve_role(addresses.readiness, ListenerRole::Readiness)?;
        monoio::spawn(core.timer.clone().run());
        monoio::spawn(follow::run_catalog(core.clone()));
        monoio::spawn(follow::run_upstreams(core.clone()));
        monoio::spawn(follow::run_vm_list(core.clone()));
        monoio::spawn(moves::run_moves(core.clone()));
        monoio::spawn(core.keeper.clone().run());
        monoio::spawn(core.keeper.clone().run_loans());
        let members = core.members.clone();
        let peers = core.ports.peers.clone();
        monoio::spawn(members.run(peers, core.timer.clone()));
        if let Some(inbound) = self.inbound.take() {
            monoio::spawn(peers::run_inbound(core.clone(), inbound));
        }
        let stop = self.stop_listening.clone();
        monoio::spawn(callers::run_listener(core, callers, stop));
        log::info!("gateway serves callers on {}", addresses.callers);
        Ok(self.into_state())
    }

    fn serve_role(
        &self,
        address: Option<SocketAddr>,
        role: ListenerRole,
    ) -> Result<(), StartFault> {
        let Some(address) = address else {
            return Ok(());
        };
        let listener = listen(address, TcpListener::bind)?;
        let core = self.core.clone();
        monoio::spawn(entry::run_listener(core, listener, role));
        Ok(())
    }
}

impl<S> GatewayProcess<S> {
    fn into_state<T>(self) -> GatewayProcess<T> {
        GatewayProcess {
            core: self.core,
            signals: self.signals,
            inbound: self.inbound,
            stop_listening: self.stop_listening,
            state: PhantomData,
        }
    }
}

impl GatewayProcess<Serving> {
    /// Serves until the process is told to leave.
    pub async fn serve(mut self) -> GatewayProcess<Leaving> {
        // A closed channel cannot be told from an order to leave.
        while self.signals.recv().await == Some(ProcessSignal::Reload) {
            log::info!("reload: settings take effect at the next start");
        }
        log::info!("gateway leaves");
        self.core.leaving_since.set(Some(Instant::now()));
        self.core.members.set_leaving();
        let core = self.core.clone();
        monoio::spawn(async move {
            core.members.tell_all(core.ports.peers.as_ref()).await;
        });
        self.into_state()
    }
}

impl GatewayProcess<Leaving> {
    /// Finishes what the leave time allows; `true` if all is settled.
    pub async fn finish(self) -> bool {
        let started = Instant::now();
        let plan = self.core.leave_plan();
        let end = plan.work_time();
        loop {
            let elapsed = started.elapsed();
            let accepting = elapsed < plan.accept_time();
            if !accepting {
                self.stop_listening.notify_one();
            }
            let is_over = elapsed >= end;
            if is_over || (!accepting && self.is_idle()) {
                let settled = self.core.keeper.drain(plan.settle_time()).await;
                // Callers may have used their open connections meanwhile.
                if is_over || self.is_idle() {
                    let cut = self.core.in_progress.get();
                    log::info!(cut, settled; "gateway ends");
                    return settled;
                }
            }
            self.core.timer.sleep(LEAVE_POLL).await;
        }
    }

    fn is_idle(&self) -> bool {
        self.core.in_progress.get() == 0
    }
}

fn build_core(settings: RouterSettings, ports: GatewayPorts) -> GatewayCore {
    let random = u64::from(rand::random::<u16>());
    let incarnation = (TimerService::now_ms() << 16) | random;
    let id = HolderId::new(&settings.vm, incarnation);
    let timer = TimerService::new();
    let directory = Rc::new(VmDirectory::new(&settings.vm));
    let options = AllowanceOptions {
        settle_interval: settings.budgets.settle_interval,
        horizon: settings.budgets.grant_horizon,
        reserve_time: settings.budgets.reserve_time,
    };
    let members =
        MemberTable::new(id.clone(), directory.clone(), MemberOptions::new());
    let members = Rc::new(members);
    let keeper_ports = AllowancePorts {
        topics: ports.topics.clone(),
        peers: ports.peers.clone(),
        directory: directory.clone(),
        members: members.clone(),
        timer: timer.clone(),
    };
    let keeper = AllowanceKeeper::new(id.clone(), options, keeper_ports);
    GatewayCore {
        settings,
        id,
        ports,
        timer,
        keeper: Rc::new(keeper),
        table: UpstreamTable::new(),
        directory,
        members,
        metrics: RouterMetrics::new(),
        leaving_since: Cell::new(None),
        in_progress: Cell::new(0),
        starved_until: Cell::new(None),
        catalog: RefCell::new(None),
        moves: RefCell::default(),
        roster: RefCell::new(UpstreamRoster::new()),
        latencies: RefCell::new(LatencyBook::new()),
        retries: RefCell::default(),
    }
}
