//! The connections to peers.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use {
    hyper_util::rt::TokioIo,
    tokio::net::TcpStream,
    tonic::{
        Status,
        transport::{Channel, Endpoint},
    },
    tower::service_fn,
};

use super::{
    fault::CallFault,
    health::PeerHealth,
    stream::{ReceiveClock, WatchedStream},
};

/// Timeout of opening a connection. Packets may wait for more than a second
/// on a congested link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection to a peer, which is opened by the first call.
#[derive(Clone, Debug)]
pub(super) struct PeerLink {
    channel: Channel,
    clock: Arc<ReceiveClock>,
}

impl PeerLink {
    /// Creates a connection that is not open yet.
    ///
    /// # Errors
    ///
    /// Returns a status if the address cannot be written as a URI.
    fn new(peer: SocketAddr) -> Result<PeerLink, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{peer}"));
        let endpoint =
            endpoint.map_err(|e| Status::internal(e.to_string()))?;
        let clock = Arc::new(ReceiveClock::new());
        let opened = clock.clone();
        let connector = service_fn(move |_| open_stream(peer, opened.clone()));
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT);
        let channel = endpoint.connect_with_connector_lazy(connector);
        Ok(PeerLink { channel, clock })
    }

    /// Returns the channel for calls.
    pub(super) fn channel(&self) -> Channel {
        self.channel.clone()
    }

    /// Returns the time since the connection received something; `None` if
    /// it has not been open yet.
    pub(super) fn silence(&self) -> Option<Duration> {
        self.clock.received_at().map(|at| at.elapsed())
    }

    /// Returns why a call that was sent at `sent_at` has timed out.
    pub(super) fn timeout_fault(&self, sent_at: Instant) -> CallFault {
        match self.clock.received_at() {
            None => CallFault::Unopened,
            Some(at) if at > sent_at => CallFault::Late,
            Some(_) => CallFault::Silent,
        }
    }
}

async fn open_stream(
    peer: SocketAddr,
    clock: Arc<ReceiveClock>,
) -> io::Result<TokioIo<WatchedStream>> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(TokioIo::new(WatchedStream::new(stream, clock)))
}

/// A peer with the connection that calls to it use.
#[derive(Debug)]
pub(super) struct LinkSlot {
    link: PeerLink,
    health: Mutex<PeerHealth>,
}

impl LinkSlot {
    /// Creates a slot with a connection that is not open yet.
    ///
    /// # Errors
    ///
    /// As [`PeerLink::new`].
    pub(super) fn new(peer: SocketAddr) -> Result<LinkSlot, Status> {
        let link = PeerLink::new(peer)?;
        Ok(LinkSlot { link, health: Mutex::new(PeerHealth::new(peer)) })
    }

    /// Returns the connection to use for the next call.
    pub(super) fn link(&self) -> PeerLink {
        self.link.clone()
    }

    /// Records the end of a call with the name `call`.
    pub(super) fn record_end<T>(
        &self,
        call: &'static str,
        result: &Result<T, CallFault>,
    ) {
        let silence = self.link.silence();
        // The lock is never poisoned: no code panics while it holds it.
        let mut health = self.health.lock().expect("health");
        match result {
            Ok(_) => health.record_answer(),
            Err(fault) => health.record_fault(call, fault, silence),
        }
    }
}
