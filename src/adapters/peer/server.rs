//! Serves the calls of peers.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use {
    tokio::sync::{mpsc, oneshot},
    tokio_stream::{StreamExt, wrappers::TcpListenerStream},
    tonic::{
        Request, Response, Status, service::interceptor::InterceptedService,
        transport::Server,
    },
};

use super::{
    InboundCall, MAX_MESSAGE_BYTES, VM_KEY,
    accepted::{AcceptedTable, ConnectionId},
    generated::{
        self as wire,
        peer_server::{Peer, PeerServer},
    },
};
use crate::ports::{PeerAnswer, PeerCall};

/// Longest time in which the router has to answer an inbound call.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a byte from a peer after which its connection is probed: it
/// may have lost power. Each probe takes time of both routers.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(60);

/// Longest time until the answer to such a probe. Packets may wait for more
/// than a second on a congested link.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which silent connections are looked for.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

type SharedTable = Arc<Mutex<AcceptedTable>>;

/// Serves peers until the listener fails.
pub(super) async fn serve(
    listener: std::net::TcpListener,
    inbound: mpsc::Sender<InboundCall>,
) -> Result<(), Box<dyn std::error::Error>> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let table = SharedTable::default();
    tokio::spawn(close_silent(table.clone()));
    let accepting = table.clone();
    let accepted = TcpListenerStream::new(listener)
        .map(move |stream| stream.map(|stream| lock(&accepting).add(stream)));
    let service = PeerServer::new(PeerService { inbound })
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let service = InterceptedService::new(service, move |request| {
        record_call(&table, &request);
        Ok(request)
    });
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(service)
        .serve_with_incoming(accepted)
        .await?;
    Ok(())
}

fn lock(table: &SharedTable) -> MutexGuard<'_, AcceptedTable> {
    // The lock is never poisoned: no code panics while it holds it.
    table.lock().expect("table")
}

async fn close_silent(table: SharedTable) {
    loop {
        tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        lock(&table).close_silent(Instant::now());
    }
}

/// Records on which connection a call came, and from which VM.
fn record_call(table: &SharedTable, request: &Request<()>) {
    let Some(id) = request.extensions().get::<ConnectionId>() else {
        return;
    };
    let vm = request.metadata().get_bin(VM_KEY);
    let vm = vm.and_then(|vm| vm.to_bytes().ok());
    lock(table).record_call(*id, vm.as_deref());
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
