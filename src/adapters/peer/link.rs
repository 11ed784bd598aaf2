//! The thread that calls peers and serves their calls.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use {
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{mpsc, oneshot},
    },
    tokio_stream::wrappers::TcpListenerStream,
    tonic::{
        Request, Response, Status,
        transport::{Channel, Endpoint, Server},
    },
};

use super::{
    convert,
    generated::{
        self as wire,
        peer_client::PeerClient as WireClient,
        peer_server::{Peer, PeerServer},
    },
};
use crate::{
    ports::{PeerAnswer, PeerCall, PeerFault, PeerPort, PortFuture},
    telemetry::LogEvent,
};

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a call that a router makes when it gets no answers from the
/// platform. The cause may be congestion of its own link, on which answers
/// are late.
const CONGESTED_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a call whose answer is large.
const LARGE_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time in which the router has to answer an inbound call.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Capacity of each channel between the thread and the router.
const CHANNEL_CAPACITY: usize = 1024;

/// Maximum size of a message of a peer in bytes. The largest message is one
/// with a control state.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

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

struct OutboundCall {
    peer: SocketAddr,
    call: PeerCall,
    answer: oneshot::Sender<Result<PeerAnswer, PeerFault>>,
}

/// The handles to the thread that calls and serves peers.
pub struct PeerThread {
    /// The client that calls peers.
    pub client: PeerClient,
    /// Receives the calls of peers.
    pub inbound: mpsc::Receiver<InboundCall>,
    /// Receives the signals to the process.
    pub signals: mpsc::Receiver<ProcessSignal>,
}

/// A client that calls peers through the thread.
#[derive(Clone)]
pub struct PeerClient {
    outbound: mpsc::Sender<OutboundCall>,
}

impl PeerThread {
    /// Starts the thread and listens for peers.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address `listen`
    /// cannot be used or the thread cannot be started.
    pub fn start(listen: SocketAddr) -> io::Result<PeerThread> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let (outbound, calls) = mpsc::channel(CHANNEL_CAPACITY);
        let (inbound_tx, inbound) = mpsc::channel(CHANNEL_CAPACITY);
        let (signal_tx, signals) = mpsc::channel(CHANNEL_CAPACITY);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new().name("peers".to_owned()).spawn(move || {
            runtime.block_on(async move {
                tokio::spawn(forward_signals(signal_tx));
                tokio::spawn(run_outbound(calls));
                if let Err(err) = serve(listener, inbound_tx).await {
                    log::error!(
                        event:% = LogEvent::ThreadLost, fault:% = err;
                        "peer server ended: {err}"
                    );
                }
            });
        })?;
        let client = PeerClient { outbound };
        Ok(PeerThread { client, inbound, signals })
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

async fn serve(
    listener: std::net::TcpListener,
    inbound: mpsc::Sender<InboundCall>,
) -> Result<(), Box<dyn std::error::Error>> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service = PeerServer::new(PeerService { inbound })
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    Server::builder()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await?;
    Ok(())
}

type Channels = Arc<Mutex<BTreeMap<SocketAddr, Channel>>>;

async fn run_outbound(mut calls: mpsc::Receiver<OutboundCall>) {
    let channels = Channels::default();
    while let Some(outbound) = calls.recv().await {
        let channels = channels.clone();
        tokio::spawn(async move {
            let timeout = call_timeout(&outbound.call);
            let send = send_call(&channels, outbound.peer, outbound.call);
            let reply = match tokio::time::timeout(timeout, send).await {
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(status)) => unreachable(status.message()),
                Err(_) => unreachable("timed out"),
            };
            // Fails only if the caller has stopped waiting.
            let _ = outbound.answer.send(reply);
        });
    }
}

/// Returns the timeout of a call.
fn call_timeout(call: &PeerCall) -> Duration {
    match call {
        PeerCall::Declared { text_after: Some(_), .. } => LARGE_ANSWER_TIMEOUT,
        PeerCall::Declared { text_after: None, .. } | PeerCall::Departures => {
            CONGESTED_CALL_TIMEOUT
        }
        _ => CALL_TIMEOUT,
    }
}

fn unreachable(reason: &str) -> Result<PeerAnswer, PeerFault> {
    Err(PeerFault::Unreachable { reason: reason.to_owned() })
}

fn channel_to(
    channels: &Channels,
    peer: SocketAddr,
) -> Result<Channel, Status> {
    // The lock is never poisoned: no code panics while it holds it.
    let mut channels = channels.lock().expect("channels");
    if let Some(channel) = channels.get(&peer) {
        return Ok(channel.clone());
    }
    let endpoint = Endpoint::from_shared(format!("http://{peer}"));
    let endpoint = endpoint.map_err(|e| Status::internal(e.to_string()))?;
    let channel =
        endpoint.connect_timeout(CONGESTED_CALL_TIMEOUT).connect_lazy();
    channels.insert(peer, channel.clone());
    Ok(channel)
}

async fn send_call(
    channels: &Channels,
    peer: SocketAddr,
    call: PeerCall,
) -> Result<PeerAnswer, Status> {
    let channel = channel_to(channels, peer)?;
    let mut client =
        WireClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    Ok(match call {
        PeerCall::Lend(request) => {
            let call = wire::LendCall::from(request);
            let answer = client.lend(call).await?.into_inner();
            PeerAnswer::Lent(answer.into())
        }
        PeerCall::Relay(batch) => {
            client.relay(wire::RelayCall::from(batch)).await?;
            PeerAnswer::Done
        }
        PeerCall::Ping(message) => {
            let call = wire::PingCall::from(message);
            PeerAnswer::Pong(client.ping(call).await?.into_inner().into())
        }
        PeerCall::PingOther { vm } => {
            let call = wire::PingOtherCall { vm };
            let answer = client.ping_other(call).await?.into_inner();
            PeerAnswer::Reached(answer.reached)
        }
        PeerCall::CatchUp(known) => {
            let call = wire::KnownState::from(known);
            let newer = client.catch_up(call).await?.into_inner();
            PeerAnswer::Newer(newer.into())
        }
        PeerCall::Evidence(report) => {
            client.evidence(wire::EvidenceCall::from(report)).await?;
            PeerAnswer::Done
        }
        PeerCall::Departures => {
            let answer = client.departures(wire::Empty {}).await?;
            PeerAnswer::Departed(answer.into_inner().into())
        }
        PeerCall::Declared { text_after, notice } => {
            let call = convert::declared_call(text_after, notice);
            let answer = client.declared(call).await?;
            PeerAnswer::Declared(answer.into_inner().into())
        }
        PeerCall::Parts(report) => {
            let answer = client.parts(wire::PartsCall::from(report)).await?;
            PeerAnswer::Quarantined(answer.into_inner().into())
        }
        PeerCall::Limits(observations) => {
            let call = wire::LimitsMessage::from(observations);
            PeerAnswer::Limits(client.limits(call).await?.into_inner().into())
        }
        PeerCall::Allowances(report) => {
            let call = wire::AllowancesCall::from(report);
            let answer = client.allowances(call).await?.into_inner();
            PeerAnswer::Allowances(answer.into())
        }
        PeerCall::Claim(request) => {
            let call = wire::ClaimCall::from(request);
            PeerAnswer::Claimed(client.claim(call).await?.into_inner().into())
        }
    })
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
                return unreachable("the peer thread has ended");
            }
            match reply.await {
                Ok(reply) => reply,
                Err(_) => unreachable("the peer thread has ended"),
            }
        })
    }
}

struct PeerService {
    inbound: mpsc::Sender<InboundCall>,
}

impl PeerService {
    async fn handle(&self, call: PeerCall) -> Result<PeerAnswer, Status> {
        let (answer, reply) = oneshot::channel();
        let inbound = InboundCall { call, answer };
        if self.inbound.send(inbound).await.is_err() {
            return Err(Status::unavailable("the router has ended"));
        }
        match tokio::time::timeout(HANDLER_TIMEOUT, reply).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(Status::unavailable("the router is busy")),
        }
    }
}

/// Returns the error for a call whose handler returned another kind of
/// answer.
fn unexpected_answer<T>() -> Result<Response<T>, Status> {
    Err(Status::internal("unexpected answer"))
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn lend(
        &self,
        request: Request<wire::LendCall>,
    ) -> Result<Response<wire::LendAnswer>, Status> {
        let call = PeerCall::Lend(request.into_inner().into());
        match self.handle(call).await? {
            PeerAnswer::Lent(reply) => Ok(Response::new(reply.into())),
            _ => unexpected_answer(),
        }
    }

    async fn relay(
        &self,
        request: Request<wire::RelayCall>,
    ) -> Result<Response<wire::Empty>, Status> {
        let call = PeerCall::Relay(request.into_inner().into());
        self.handle(call).await?;
        Ok(Response::new(wire::Empty {}))
    }

    async fn ping(
        &self,
        request: Request<wire::PingCall>,
    ) -> Result<Response<wire::PingCall>, Status> {
        let call = PeerCall::Ping(request.into_inner().into());
        match self.handle(call).await? {
            PeerAnswer::Pong(reply) => Ok(Response::new(reply.into())),
            _ => unexpected_answer(),
        }
    }

    async fn ping_other(
        &self,
        request: Request<wire::PingOtherCall>,
    ) -> Result<Response<wire::PingOtherAnswer>, Status> {
        let call = PeerCall::PingOther { vm: request.into_inner().vm };
        match self.handle(call).await? {
            PeerAnswer::Reached(reached) => {
                Ok(Response::new(wire::PingOtherAnswer { reached }))
            }
            _ => unexpected_answer(),
        }
    }

    async fn catch_up(
        &self,
        request: Request<wire::KnownState>,
    ) -> Result<Response<wire::NewerState>, Status> {
        let call = PeerCall::CatchUp(request.into_inner().into());
        match self.handle(call).await? {
            PeerAnswer::Newer(newer) => Ok(Response::new(newer.into())),
            _ => unexpected_answer(),
        }
    }

    async fn evidence(
        &self,
        request: Request<wire::EvidenceCall>,
    ) -> Result<Response<wire::Empty>, Status> {
        let call = PeerCall::Evidence(request.into_inner().into());
        self.handle(call).await?;
        Ok(Response::new(wire::Empty {}))
    }

    async fn departures(
        &self,
        _: Request<wire::Empty>,
    ) -> Result<Response<wire::DeparturesAnswer>, Status> {
        match self.handle(PeerCall::Departures).await? {
            PeerAnswer::Departed(departures) => {
                Ok(Response::new(departures.into()))
            }
            _ => unexpected_answer(),
        }
    }

    async fn declared(
        &self,
        request: Request<wire::DeclaredCall>,
    ) -> Result<Response<wire::DeclaredAnswer>, Status> {
        let call = PeerCall::from(request.into_inner());
        match self.handle(call).await? {
            PeerAnswer::Declared(state) => Ok(Response::new(state.into())),
            _ => unexpected_answer(),
        }
    }

    async fn parts(
        &self,
        request: Request<wire::PartsCall>,
    ) -> Result<Response<wire::PartsAnswer>, Status> {
        let call = PeerCall::Parts(request.into_inner().into());
        match self.handle(call).await? {
            PeerAnswer::Quarantined(parts) => Ok(Response::new(parts.into())),
            _ => unexpected_answer(),
        }
    }

    async fn limits(
        &self,
        request: Request<wire::LimitsMessage>,
    ) -> Result<Response<wire::LimitsMessage>, Status> {
        let call = PeerCall::Limits(request.into_inner().into());
        match self.handle(call).await? {
            PeerAnswer::Limits(known) => Ok(Response::new(known.into())),
            _ => unexpected_answer(),
        }
    }

    async fn allowances(
        &self,
        request: Request<wire::AllowancesCall>,
    ) -> Result<Response<wire::AllowancesAnswer>, Status> {
        let call = PeerCall::Allowances(request.into_inner().into());
        match self.handle(call).await? {
            PeerAnswer::Allowances(known) => Ok(Response::new(known.into())),
            _ => unexpected_answer(),
        }
    }

    async fn claim(
        &self,
        request: Request<wire::ClaimCall>,
    ) -> Result<Response<wire::ClaimAnswer>, Status> {
        let call = PeerCall::Claim(request.into_inner().into());
        match self.handle(call).await? {
            PeerAnswer::Claimed(reply) => Ok(Response::new(reply.into())),
            _ => unexpected_answer(),
        }
    }
}
