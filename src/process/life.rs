//! The life of a process.

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
    ports::{PeerHandler, PeerPort},
    runtime::{EXIT_START, EXIT_UNSETTLED},
    telemetry::{LogEvent, RouterMetrics},
    timer::TimerService,
};

/// How often a leaving process looks at what is still in progress.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// What all processes that serve callers have.
pub struct ProcessView<'a> {
    /// The settings of the process.
    pub settings: &'a RouterSettings,
    /// Metrics.
    pub metrics: &'a RouterMetrics,
    /// The timer service.
    pub timer: &'a TimerService,
    /// The other routers.
    pub members: &'a Rc<MemberTable>,
    /// The link to the other routers.
    pub peers: &'a Rc<dyn PeerPort>,
    /// The number of requests of callers in progress.
    pub load: &'a Cell<usize>,
}

/// The declarations that a process goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeclaredVersion {
    /// Their version; 0 before any is known.
    pub version: u64,
    /// How long ago they were confirmed; zero before any is known, and where
    /// nobody keeps count.
    pub age: Duration,
}

/// What a process that serves callers says of itself.
pub trait ProcessCore: 'static {
    /// What all processes have.
    fn view(&self) -> ProcessView<'_>;

    /// Whether the process was told to leave.
    fn is_leaving(&self) -> bool;

    /// Notes that the process was told to leave.
    fn set_leaving(&self);

    /// Bounds on what callers may send.
    fn caller_limits(&self) -> CallerLimits;

    /// The declarations that a refusal rests on.
    fn declared(&self) -> DeclaredVersion;

    /// The answer that tells a caller about an error.
    fn error_answer(&self, error: &CallError) -> Response<Bytes>;

    /// Serves one request; `false` if the connection has to be closed.
    fn serve_call(
        self: &Rc<Self>,
        request: HttpRequest,
        reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> impl Future<Output = bool>;
}

/// A process that has read its settings.
#[derive(Debug)]
pub struct Starting;

/// A process that serves callers.
#[derive(Debug)]
pub struct Serving;

/// A process that was told to leave.
#[derive(Debug)]
pub struct Leaving;

/// What reaches a process from outside, beside callers.
pub(crate) struct ProcessChannels {
    /// Signals of the operating system and of operators.
    pub(crate) signals: mpsc::Receiver<ProcessSignal>,
    /// Calls of other routers.
    pub(crate) inbound: mpsc::Receiver<InboundCall>,
}

/// A process in one state of its life.
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
        link: ProcessChannels,
    ) -> ServerProcess<C, Starting> {
        ServerProcess {
            core,
            signals: link.signals,
            stop_listening: Rc::default(),
            inbound: Some(link.inbound),
            state: PhantomData,
        }
    }

    /// Starts the tasks that all processes have, and serves `callers`.
    pub(crate) fn into_serving(
        mut self,
        callers: TcpListener,
    ) -> ServerProcess<C, Serving>
    where
        C: PeerHandler,
    {
        let core = &self.core;
        let ProcessView { timer, members, peers, .. } = core.view();
        monoio::spawn(timer.clone().run());
        monoio::spawn(members.clone().run(peers.clone(), timer.clone()));
        if let Some(inbound) = self.inbound.take() {
            monoio::spawn(run_inbound(core.clone(), inbound));
        }
        let stop = self.stop_listening.clone();
        monoio::spawn(run_callers(core.clone(), callers, stop));
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
        // A closed channel cannot be told from an order to leave.
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
        monoio::spawn(async move {
            let ProcessView { members, peers, .. } = core.view();
            members.broadcast(peers.as_ref()).await;
        });
        self.into_state()
    }
}

impl<C: ProcessCore> ServerProcess<C, Leaving> {
    /// Whether no request of a caller is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.core.view().load.get() == 0
    }

    /// Waits until it is time to look again at what is in progress.
    pub(crate) async fn wait_poll(&self) {
        self.core.view().timer.sleep(LEAVE_POLL).await;
    }
}

/// Serves to the end of a process that has been started, if it has, and
/// returns the exit code.
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

/// Answers other routers for as long as the task lives.
async fn run_inbound<C: PeerHandler + 'static>(
    core: Rc<C>,
    mut inbound: mpsc::Receiver<InboundCall>,
) {
    while let Some(InboundCall { call, answer }) = inbound.recv().await {
        let core = core.clone();
        monoio::spawn(async move {
            // A peer that has stopped waiting needs no answer.
            let _ = answer.send(core.handle(call).await);
        });
    }
}

/// The identity of a new incarnation on a VM.
///
/// Two incarnations differ in the time of their start. The random part
/// covers a clock that was set back.
pub(crate) fn new_holder_id(vm: &str) -> HolderId {
    let random = u64::from(rand::random::<u16>());
    let incarnation = (TimerService::now_ms() << 16) | random;
    HolderId::new(vm, incarnation)
}
