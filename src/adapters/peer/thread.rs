//! The thread that calls peers and serves their calls.

use std::{io, net::SocketAddr, thread};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{mpsc, oneshot},
};

use super::{outbound::run_outbound, server::serve};
use crate::{
    ports::{PeerAnswer, PeerCall, PeerFault, PeerPort, PortFuture},
    telemetry::{LogEvent, PeerMetrics},
};

/// Capacity of each channel between the thread and the router.
const CHANNEL_CAPACITY: usize = 1024;

/// A signal that the process received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// The process is told to leave.
    Leave,
    /// The process is told that its settings may have changed.
    Reload,
}

/// A call of another router, with the channel for its answer.
pub struct InboundCall {
    /// The call.
    pub call: PeerCall,
    /// The sender for the answer; if it is dropped, the peer is told that
    /// the router is busy.
    pub answer: oneshot::Sender<PeerAnswer>,
}

/// A call to another router, with the channel for its answer.
pub(super) struct OutboundCall {
    pub(super) peer: SocketAddr,
    pub(super) call: PeerCall,
    pub(super) answer: oneshot::Sender<Result<PeerAnswer, PeerFault>>,
}

/// The handles to the thread that calls and serves peers.
pub struct PeerThread {
    /// The client that calls peers.
    pub client: PeerClient,
    /// Receives the calls of peers.
    pub inbound: mpsc::Receiver<InboundCall>,
    /// Receives the signals to the process.
    pub signals: mpsc::Receiver<ProcessSignal>,
    /// Counts what happens to calls and links.
    pub metrics: PeerMetrics,
}

/// A client that calls peers through the thread.
#[derive(Clone)]
pub struct PeerClient {
    outbound: mpsc::Sender<OutboundCall>,
}

impl PeerThread {
    /// Starts the thread of the VM `vm` and listens for peers.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address `listen`
    /// cannot be used or the thread cannot be started.
    pub fn start(listen: SocketAddr, vm: &str) -> io::Result<PeerThread> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let (outbound, calls) = mpsc::channel(CHANNEL_CAPACITY);
        let (inbound_tx, inbound) = mpsc::channel(CHANNEL_CAPACITY);
        let (signal_tx, signals) = mpsc::channel(CHANNEL_CAPACITY);
        let vm = vm.to_owned();
        let metrics = PeerMetrics::new();
        let counters = metrics.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(async move {
                tokio::spawn(forward_signals(signal_tx));
                tokio::spawn(run_outbound(calls, vm, counters));
                if let Err(err) = serve(listener, inbound_tx).await {
                    log::error!(
                        event:% = LogEvent::ThreadLost, fault:% = err;
                        "peer server ended: {err}"
                    );
                }
            });
        })?;
        let client = PeerClient { outbound };
        Ok(PeerThread { client, inbound, signals, metrics })
    }
}

async fn forward_signals(signals: mpsc::Sender<ProcessSignal>) {
    let term = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let hangup = signal(SignalKind::hangup());
    let (Ok(mut term), Ok(mut interrupt), Ok(mut hangup)) =
        (term, interrupt, hangup)
    else {
        let fault = "signals cannot be received";
        log::error!(event:% = LogEvent::ThreadLost, fault; "{fault}");
        return;
    };
    loop {
        let received = tokio::select! {
            _ = term.recv() => ProcessSignal::Leave,
            _ = interrupt.recv() => ProcessSignal::Leave,
            _ = hangup.recv() => ProcessSignal::Reload,
        };
        if signals.send(received).await.is_err() {
            return;
        }
    }
}

impl PeerPort for PeerClient {
    fn call(
        &self,
        peer: SocketAddr,
        call: PeerCall,
    ) -> PortFuture<'_, Result<PeerAnswer, PeerFault>> {
        Box::pin(async move {
            let (answer, reply) = oneshot::channel();
            let outbound = OutboundCall { peer, call, answer };
            if self.outbound.send(outbound).await.is_err() {
                return thread_ended();
            }
            match reply.await {
                Ok(reply) => reply,
                Err(_) => thread_ended(),
            }
        })
    }
}

fn thread_ended() -> Result<PeerAnswer, PeerFault> {
    let reason = "the peer thread has ended".to_owned();
    Err(PeerFault::Unreachable { reason })
}
