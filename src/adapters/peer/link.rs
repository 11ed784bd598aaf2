//! The connections to peers.
//!
//! A connection may stop carrying anything in either direction although
//! nobody has closed it. Only calls without an answer show that. The
//! connection is then replaced by a new one, and stays in use until that one
//! is open: if the peer is slow or the network congested, the calls under way
//! are still answered on it.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use {
    hyper_util::rt::TokioIo,
    tokio::{net::TcpStream, sync::watch},
    tonic::{
        Status,
        metadata::BinaryMetadataValue,
        transport::{self, Channel, Endpoint, Uri},
    },
    tower::{Service, service_fn},
};

use super::{
    encode::send_call,
    fault::CallFault,
    health::PeerHealth,
    pace::ReplacementPace,
    stream::{ReceiveClock, WatchedStream},
};
use crate::{
    ports::{PeerAnswer, PeerCall},
    telemetry::{LogEvent, PeerMetrics},
};

/// Timeout of opening a connection. Packets may wait for more than a second
/// on a congested link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection to a peer.
#[derive(Clone, Debug)]
pub(super) struct PeerLink {
    channel: Channel,
    clock: Arc<ReceiveClock>,
}

impl PeerLink {
    /// Creates a connection that the first call opens.
    fn new(peer: SocketAddr, endpoint: &Endpoint) -> PeerLink {
        let clock = Arc::new(ReceiveClock::new());
        let connector = connector_to(peer, clock.clone());
        let channel = endpoint.connect_with_connector_lazy(connector);
        PeerLink { channel, clock }
    }

    /// Opens a connection.
    async fn open(
        peer: SocketAddr,
        endpoint: &Endpoint,
    ) -> Result<PeerLink, transport::Error> {
        let clock = Arc::new(ReceiveClock::new());
        let connector = connector_to(peer, clock.clone());
        let channel = endpoint.connect_with_connector(connector).await?;
        Ok(PeerLink { channel, clock })
    }

    /// Returns the time since the connection received something; `None` if
    /// it is not open.
    fn silence(&self) -> Option<Duration> {
        self.clock.received_at().map(|at| at.elapsed())
    }

    /// Waits until the connection has received nothing for `time` while a
    /// call that was sent at `sent_at` waits.
    pub(super) async fn wait_for_silence(
        &self,
        sent_at: Instant,
        time: Duration,
    ) {
        loop {
            let received_at = self.clock.received_at();
            let silent_since =
                received_at.map_or_else(Instant::now, |at| at.max(sent_at));
            let left = time.saturating_sub(silent_since.elapsed());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    /// Waits for `time`; returns only if the connection is not open then.
    pub(super) async fn wait_unopened(&self, time: Duration) {
        tokio::time::sleep(time).await;
        if self.clock.received_at().is_some() {
            std::future::pending().await
        }
    }

    /// Returns why a call that was sent at `sent_at` has timed out.
    pub(super) fn timeout_fault(&self, sent_at: Instant) -> CallFault {
        match self.clock.received_at() {
            None => CallFault::Unopened,
            Some(at) if at > sent_at => CallFault::Late,
            Some(_) => CallFault::Silent,
        }
    }

    fn is_same(&self, other: &PeerLink) -> bool {
        Arc::ptr_eq(&self.clock, &other.clock)
    }
}

/// Returns a connector whose connections keep `clock`.
fn connector_to(
    peer: SocketAddr,
    clock: Arc<ReceiveClock>,
) -> impl Service<
    Uri,
    Response = TokioIo<WatchedStream>,
    Error = io::Error,
    Future: Send,
> {
    service_fn(move |_| open_stream(peer, clock.clone()))
}

async fn open_stream(
    peer: SocketAddr,
    clock: Arc<ReceiveClock>,
) -> io::Result<TokioIo<WatchedStream>> {
    clock.record_close();
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    Ok(TokioIo::new(WatchedStream::new(stream, clock)))
}

#[derive(Debug)]
struct SlotState {
    health: PeerHealth,
    pace: ReplacementPace,
    is_opening: bool,
}

/// A peer with the connection that new calls to it use.
#[derive(Debug)]
pub(super) struct LinkSlot {
    peer: SocketAddr,
    /// The VM that makes the calls.
    vm: BinaryMetadataValue,
    endpoint: Endpoint,
    link: watch::Sender<PeerLink>,
    state: Mutex<SlotState>,
    metrics: PeerMetrics,
}

impl LinkSlot {
    /// Creates a slot with a connection that the first call opens.
    ///
    /// # Errors
    ///
    /// Returns a status if the address cannot be written as a URI.
    pub(super) fn new(
        peer: SocketAddr,
        vm: BinaryMetadataValue,
        metrics: PeerMetrics,
    ) -> Result<LinkSlot, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{peer}"));
        let endpoint =
            endpoint.map_err(|e| Status::internal(e.to_string()))?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT);
        let (link, _) = watch::channel(PeerLink::new(peer, &endpoint));
        let state = SlotState {
            health: PeerHealth::new(peer),
            pace: ReplacementPace::new(),
            is_opening: false,
        };
        let state = Mutex::new(state);
        Ok(LinkSlot { peer, vm, endpoint, link, state, metrics })
    }

    /// Returns the connection to use for a new call.
    pub(super) fn link(&self) -> PeerLink {
        self.link.borrow().clone()
    }

    /// Sends a call on one of the peer's connections.
    pub(super) async fn send(
        &self,
        link: &PeerLink,
        call: PeerCall,
    ) -> Result<PeerAnswer, Status> {
        let channel = link.channel.clone();
        send_call(channel, self.vm.clone(), call).await
    }

    /// Waits for the connection that replaces `silent`.
    pub(super) async fn replacement(&self, silent: &PeerLink) -> PeerLink {
        let mut links = self.link.subscribe();
        let replaced = links.wait_for(|link| !link.is_same(silent)).await;
        // The sender lives as long as `self`.
        replaced.expect("the slot is open").clone()
    }

    /// Begins to replace a silent connection, unless that has been done, is
    /// under way or was done too often of late.
    pub(super) fn replace(self: &Arc<Self>, silent: &PeerLink) {
        if !self.link.borrow().is_same(silent) {
            return;
        }
        let mut state = self.state();
        if state.is_opening || !state.pace.try_replace(Instant::now()) {
            return;
        }
        state.is_opening = true;
        drop(state);
        tokio::spawn(self.clone().open_replacement());
    }

    /// Opens a connection and uses it for new calls.
    async fn open_replacement(self: Arc<Self>) {
        let opened = PeerLink::open(self.peer, &self.endpoint).await;
        self.state().is_opening = false;
        let silence = self.link.borrow().silence().unwrap_or_default();
        let silent_ms = silence.as_millis() as u64;
        let Ok(link) = opened else {
            // The next call that gets no answer tries again.
            return;
        };
        self.metrics.record_replaced_link();
        log::info!(
            event:% = LogEvent::LinkReplaced, address:% = self.peer,
            silent_ms;
            "silent connection to a router replaced"
        );
        self.link.send_replace(link);
    }

    /// Records the end of a call with the name `call`.
    pub(super) fn record_end<T>(
        &self,
        call: &'static str,
        result: &Result<T, CallFault>,
    ) {
        let silence = self.link.borrow().silence();
        let mut state = self.state();
        match result {
            Ok(_) => {
                state.health.record_answer();
                state.pace.record_answer();
            }
            Err(fault) => state.health.record_fault(call, fault, silence),
        }
        drop(state);
        if let Err(fault) = result {
            self.metrics.record_failed_call(call, fault.name());
        }
    }

    fn state(&self) -> MutexGuard<'_, SlotState> {
        // The lock is never poisoned: no code panics while it holds it.
        self.state.lock().expect("state")
    }
}
