//! The lifecycle of a process.

use std::{
    cell::Cell, future::Future, marker::PhantomData, process::ExitCode,
    rc::Rc, time::Duration,
};

use {
    bytes::Bytes,
    http::Response,
    monoio::net::TcpListener,
    tokio::sync::{Notify, mpsc},
};

use super::{StartFault, run_callers};
use crate::{
    adapters::{
        http::{HttpRequest, HttpResponder, RequestReader},
        peer::{InboundCall, ProcessSignal},
    },
    catalog::CallerLimits,
    config::RouterSettings,
    domain::HolderId,
    error::CallError,
    membership::MemberTable,
    memory::MemoryPool,
    ports::{PeerHandler, PeerPort},
    runtime::{EXIT_START, EXIT_UNSETTLED, spawn, spawn_loop},
    telemetry::{LogEvent, RouterMetrics},
    timer::TimerService,
};

/// How often a leaving process checks what is still in progress.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The components that all processes that serve callers have.
pub struct ProcessView<'a> {
    /// The settings of the process.
    pub settings: &'a RouterSettings,
    /// The metrics of the process.
    pub metrics: &'a RouterMetrics,
    /// The timer service.
    pub timer: &'a TimerService,
    /// The membership table of the fleet.
    pub members: &'a Rc<MemberTable>,
    /// Calls to the other routers.
    pub peers: &'a Rc<dyn PeerPort>,
    /// The number of requests of callers in progress.
    pub load: &'a Cell<usize>,
    /// The memory of the requests of callers.
    pub memory: &'a MemoryPool,
}

impl ProcessView<'_> {
    /// Sets the metric of the memory that requests have.
    pub(super) fn note_memory(&self) {
        let committed = self.memory.committed_bytes();
        self.metrics.request_bytes.set(committed as i64);
    }
}

/// The version and the age of the declarations that a process applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclaredVersion {
    /// The version; 0 before any is known.
    pub version: u64,
    /// Time since the declarations were last confirmed to be the newest;
    /// zero before any is known, and in processes that do not track it.
    pub age: Duration,
}

/// The part of a process that depends on its kind.
pub trait ProcessCore: 'static {
    /// Returns the components that all processes have.
    fn view(&self) -> ProcessView<'_>;

    /// Returns whether the process was told to leave.
    fn is_leaving(&self) -> bool;

    /// Records that the process was told to leave.
    fn set_leaving(&self);

    /// Returns the limits on messages of callers.
    fn caller_limits(&self) -> CallerLimits;

    /// Returns the version of the declarations that a refusal is based on.
    fn declared(&self) -> DeclaredVersion;

    /// Builds the response that reports an error to a caller.
    fn error_answer(&self, error: &CallError) -> Response<Bytes>;

    /// Serves one request; returns `false` if the connection has to be
    /// closed.
    fn serve_call(
        self: &Rc<Self>,
        request: HttpRequest,
        reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> impl Future<Output = bool>;
}

/// State of a process that has read its settings.
#[derive(Debug)]
pub struct Starting;

/// State of a process that serves callers.
#[derive(Debug)]
pub struct Serving;

/// State of a process that was told to leave.
#[derive(Debug)]
pub struct Leaving;

/// The channels on which a process receives everything but requests of
/// callers.
pub(crate) struct ProcessChannels {
    /// Signals of the operating system and of operators.
    pub(crate) signals: mpsc::Receiver<ProcessSignal>,
    /// Calls of other routers.
    pub(crate) inbound: mpsc::Receiver<InboundCall>,
}

/// A process in one state of its lifecycle.
pub struct ServerProcess<C, S> {
    pub(crate) core: Rc<C>,
    pub(crate) signals: mpsc::Receiver<ProcessSignal>,
    pub(crate) stop_listening: Rc<Notify>,
    inbound: Option<mpsc::Receiver<InboundCall>>,
    state: PhantomData<S>,
}

impl<C: ProcessCore> ServerProcess<C, Starting> {
    pub(crate) fn with_core(
        core: Rc<C>,
        channels: ProcessChannels,
    ) -> ServerProcess<C, Starting> {
        ServerProcess {
            core,
            signals: channels.signals,
            stop_listening: Rc::default(),
            inbound: Some(channels.inbound),
            state: PhantomData,
        }
    }

    /// Starts the background tasks that all processes have, and begins to
    /// serve the listener `callers`.
    pub(crate) fn into_serving(
        mut self,
        callers: TcpListener,
    ) -> ServerProcess<C, Serving>
    where
        C: PeerHandler,
    {
        let core = &self.core;
        let ProcessView { timer, members, peers, .. } = core.view();
        let own_timer = timer.clone();
        spawn_loop("timer", move || own_timer.clone().run());
        let parts = (members.clone(), peers.clone(), timer.clone());
        spawn_loop("membership", move || {
            let (members, peers, timer) = parts.clone();
            members.run(peers, timer)
        });
        if let Some(inbound) = self.inbound.take() {
            spawn("inbound", run_inbound(core.clone(), inbound));
        }
        let stop = self.stop_listening.clone();
        spawn("callers", run_callers(core.clone(), callers, stop));
        let address = core.view().settings.listen.callers;
        log::info!(
            event:% = LogEvent::ProcessStarted, address:%;
            "process serves callers"
        );
        self.into_state()
    }
}

impl<C: ProcessCore, S> ServerProcess<C, S> {
    fn into_state<T>(self) -> ServerProcess<C, T> {
        ServerProcess {
            core: self.core,
            signals: self.signals,
            stop_listening: self.stop_listening,
            inbound: self.inbound,
            state: PhantomData,
        }
    }
}

impl<C: ProcessCore> ServerProcess<C, Serving> {
    /// Serves until the process is told to leave.
    pub async fn serve(mut self) -> ServerProcess<C, Leaving> {
        // A closed channel counts as an order to leave.
        while self.signals.recv().await == Some(ProcessSignal::Reload) {
            log::info!(
                event:% = LogEvent::ProcessReload;
                "reload: settings take effect at the next start"
            );
        }
        log::info!(event:% = LogEvent::ProcessLeaving; "process leaves");
        self.core.set_leaving();
        self.core.view().members.set_leaving();
        let core = self.core.clone();
        spawn("farewell", async move {
            let ProcessView { members, peers, .. } = core.view();
            members.broadcast(peers.as_ref()).await;
        });
        self.into_state()
    }
}

impl<C: ProcessCore> ServerProcess<C, Leaving> {
    /// Returns whether no request of a caller is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.core.view().load.get() == 0
    }

    /// Waits until the next check of what is still in progress.
    pub(crate) async fn wait_poll(&self) {
        self.core.view().timer.sleep(LEAVE_POLL_INTERVAL).await;
    }
}

/// Runs a started process until it ends and returns its exit code.
///
/// `finish` completes the work of the leaving process; it returns whether
/// everything was settled. A process that could not start is reported.
pub async fn run_process<C: ProcessCore, F: Future<Output = bool>>(
    started: Result<ServerProcess<C, Serving>, StartFault>,
    finish: impl FnOnce(ServerProcess<C, Leaving>) -> F,
) -> ExitCode {
    let process = match started {
        Ok(process) => process,
        Err(fault) => {
            log::error!(
                event:% = LogEvent::StartFailed, fault:%; "{fault}"
            );
            return ExitCode::from(EXIT_START);
        }
    };
    if finish(process.serve().await).await {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(EXIT_UNSETTLED)
}

/// Handles the calls of other routers until their channel is closed.
async fn run_inbound<C: PeerHandler + 'static>(
    core: Rc<C>,
    mut inbound: mpsc::Receiver<InboundCall>,
) {
    while let Some(InboundCall { call, answer }) = inbound.recv().await {
        let core = core.clone();
        spawn("peer_call", async move {
            // Fails only if the peer has stopped waiting.
            let _ = answer.send(core.handle(call).await);
        });
    }
}

/// Creates the identity of a new incarnation of the process on a VM.
///
/// Incarnations differ in their start time. The 16 random bits keep them
/// distinct if the clock was set back.
pub(crate) fn new_holder_id(vm: &str) -> HolderId {
    let random = u64::from(rand::random::<u16>());
    let incarnation = (TimerService::now_ms() << 16) | random;
    HolderId::new(vm, incarnation)
}
