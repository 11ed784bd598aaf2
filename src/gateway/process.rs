//! Starts and stops a gateway process.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    DeclarationTracker, GatewayCore, GatewayPorts, LatencyEstimator,
    SilentUpstreams, confirm,
    crashes::CrashProbes,
    entry::{self, ListenerRole},
    follow, limits, moves, parts,
    spread::{self, DeclarationSpread},
    witness,
};
use crate::{
    adapters::peer::PeerThread,
    allowance::{AllowanceKeeper, AllowanceOptions, AllowancePorts},
    config::RouterSettings,
    membership::{
        MemberOptions, MemberTable, OutageTracker, UpstreamRoster, VmDirectory,
    },
    memory::MemoryPool,
    process::{
        Leaving, ProcessChannels, ServerProcess, Serving, StartFault,
        Starting, bind_exclusive, listen, new_holder_id,
    },
    routing::{PartQuarantine, UpstreamLimits, UpstreamTable},
    runtime::{spawn, spawn_loop},
    telemetry::{LogEvent, RouterMetrics},
    timer::TimerService,
};

/// Interval at which connections to upstreams that stay idle are closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A gateway process. `S` is its state: starting, serving or leaving.
pub type GatewayProcess<S> = ServerProcess<GatewayCore, S>;

impl GatewayProcess<Starting> {
    /// Creates a process with the ports that `make_ports` returns.
    ///
    /// # Errors
    ///
    /// Returns `Listen` if the process cannot listen on the address for
    /// peers.
    pub fn new(
        settings: RouterSettings,
        make_ports: impl FnOnce(
            &RouterSettings,
            Rc<dyn crate::ports::PeerPort>,
        ) -> GatewayPorts,
    ) -> Result<GatewayProcess<Starting>, StartFault> {
        let link = listen(settings.listen.peers, |address| {
            PeerThread::start(address, &settings.vm)
        })?;
        let ports = make_ports(&settings, Rc::new(link.client));
        let core = Rc::new(build_core(settings, ports));
        core.metrics.add_peers(&link.metrics);
        let link =
            ProcessChannels { signals: link.signals, inbound: link.inbound };
        Ok(ServerProcess::with_core(core, link))
    }

    /// Opens the listeners and spawns all tasks.
    ///
    /// # Errors
    ///
    /// Returns `Listen` if the process cannot listen on an address.
    pub fn start(self) -> Result<GatewayProcess<Serving>, StartFault> {
        let core = self.core.clone();
        let addresses = core.settings.listen.clone();
        let callers = listen(addresses.callers, bind_exclusive)?;
        self.start_listener(Some(addresses.operators), ListenerRole::Metrics)?;
        self.start_listener(addresses.entry, ListenerRole::Entry)?;
        self.start_listener(addresses.readiness, ListenerRole::Readiness)?;
        run_forever("idle_connections", &core, close_expired);
        run_forever("catalog", &core, follow::run_catalog);
        run_forever("confirmation", &core, confirm::run_confirmation);
        run_forever("announcement", &core, spread::run_announcement);
        run_forever("text_fetch", &core, spread::run_fetch);
        run_forever("upstreams", &core, follow::run_upstreams);
        run_forever("vm_list", &core, follow::run_vm_list);
        run_forever("moves", &core, moves::run_moves);
        run_forever("parts", &core, parts::run_exchange);
        run_forever("limits", &core, limits::run_exchange);
        run_forever("witness", &core, witness::run_witness);
        run_forever("keeper", &core.keeper, AllowanceKeeper::run);
        let recover = AllowanceKeeper::run_loan_recovery;
        run_forever("loan_recovery", &core.keeper, recover);
        Ok(self.into_serving(callers))
    }

    /// Opens a listener on `address`, if there is one, and serves `role`.
    fn start_listener(
        &self,
        address: Option<SocketAddr>,
        role: ListenerRole,
    ) -> Result<(), StartFault> {
        let Some(address) = address else {
            return Ok(());
        };
        let listener = listen(address, bind_exclusive)?;
        let core = self.core.clone();
        spawn("listener", entry::run_listener(core, listener, role));
        Ok(())
    }
}

impl GatewayProcess<Leaving> {
    /// Finishes the requests in progress within the leave time and settles
    /// the tokens; returns `true` if everything is settled.
    pub async fn finish(self) -> bool {
        let started = Instant::now();
        let plan = self.core.leave_plan();
        let end = plan.work_timeout();
        loop {
            let elapsed = started.elapsed();
            let accepting = elapsed < plan.accept_window();
            if !accepting {
                self.stop_listening.notify_one();
            }
            let is_over = elapsed >= end;
            if is_over || (!accepting && self.is_idle()) {
                let settled =
                    self.core.keeper.drain(plan.settle_timeout()).await;
                // Requests may have arrived on open connections meanwhile.
                if is_over || self.is_idle() {
                    let cut = self.core.in_progress.get();
                    log::info!(
                        event:% = LogEvent::ProcessEnded, cut, settled;
                        "process ends"
                    );
                    return settled;
                }
            }
            self.wait_poll().await;
        }
    }
}

/// Closes connections to upstreams that stay idle, for example because their
/// upstream has left. Never returns.
async fn close_expired(core: Rc<GatewayCore>) {
    loop {
        core.timer.sleep(IDLE_CHECK_INTERVAL).await;
        core.ports.upstreams.close_expired();
    }
}

/// Spawns a loop over shared state.
fn run_forever<T: 'static, F: Future<Output = ()>>(
    task: &'static str,
    shared: &Rc<T>,
    run: impl Fn(Rc<T>) -> F + 'static,
) {
    let shared = shared.clone();
    spawn_loop(task, move || run(shared.clone()));
}

fn build_core(settings: RouterSettings, ports: GatewayPorts) -> GatewayCore {
    let id = new_holder_id(&settings.vm);
    let timer = TimerService::new();
    let directory = Rc::new(VmDirectory::new(&settings.vm));
    let options = AllowanceOptions {
        settle_interval: settings.budgets.settle_interval,
        horizon: settings.budgets.grant_horizon,
        reserve_timeout: settings.budgets.reserve_time,
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
    let declarations =
        DeclarationTracker::new().with_apply_time(settings.apply_time);
    let request_memory = MemoryPool::new(settings.request_memory());
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
        request_memory,
        token_shortage_until: Cell::new(None),
        catalog: RefCell::new(None),
        declarations: RefCell::new(declarations),
        spread: DeclarationSpread::new(),
        moves: RefCell::default(),
        roster: RefCell::new(UpstreamRoster::new()),
        outage: RefCell::new(OutageTracker::new()),
        quarantine: RefCell::new(PartQuarantine::new()),
        crash_probes: RefCell::new(CrashProbes::new()),
        silent_upstreams: RefCell::new(SilentUpstreams::new()),
        limits: RefCell::new(UpstreamLimits::new()),
        latencies: RefCell::new(LatencyEstimator::new()),
        retry_budgets: RefCell::default(),
    }
}
