//! The connections that peers have opened.
//!
//! A peer that replaces a silent connection closes its own end of the old one,
//! and this end never learns of it. Each call names its VM, so that a later
//! connection of the same VM shows which ones may have been replaced.

use std::{
    collections::BTreeMap,
    future::Future,
    io::{self, ErrorKind},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use {
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::oneshot,
    },
    tonic::transport::server::Connected,
};

use super::stream::{ReceiveClock, delegate_write};

/// Time without a byte after which a connection is closed that was replaced
/// or has carried no call.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of an accepted connection; later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(u64);

/// What is known of an accepted connection.
#[derive(Debug)]
struct AcceptedLink {
    clock: Arc<ReceiveClock>,
    /// The VM that a call has named.
    vm: Option<Vec<u8>>,
    has_carried_call: bool,
    /// Closes the connection when it is dropped.
    guard: oneshot::Sender<()>,
}

/// The connections that peers have opened.
#[derive(Debug, Default)]
pub(super) struct AcceptedTable {
    links: BTreeMap<ConnectionId, AcceptedLink>,
    /// The latest connection of each VM.
    latest: BTreeMap<Vec<u8>, ConnectionId>,
    next_id: u64,
}

impl AcceptedTable {
    /// Adds a connection that has just been accepted.
    pub(super) fn add(&mut self, stream: TcpStream) -> AcceptedStream {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let clock = Arc::new(ReceiveClock::new());
        clock.record();
        let (guard, closed) = oneshot::channel();
        let link = AcceptedLink {
            clock: clock.clone(),
            vm: None,
            has_carried_call: false,
            guard,
        };
        self.links.insert(id, link);
        AcceptedStream { id, stream, clock, closed }
    }

    /// Records a call on a connection and the VM that it names.
    pub(super) fn record_call(&mut self, id: ConnectionId, vm: Option<&[u8]>) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.has_carried_call = true;
        let Some(vm) = vm.filter(|_| link.vm.is_none()) else {
            return;
        };
        link.vm = Some(vm.to_owned());
        let latest = self.latest.entry(vm.to_owned()).or_insert(id);
        *latest = id.max(*latest);
    }

    /// Closes the connections that carry nothing and that nobody will use.
    pub(super) fn close_silent(&mut self, now: Instant) {
        let latest = &self.latest;
        self.links.retain(|id, link| {
            if link.guard.is_closed() {
                return false;
            }
            let latest = link.vm.as_ref().and_then(|vm| latest.get(vm));
            let is_replaced = latest.is_some_and(|latest| latest != id);
            if link.has_carried_call && !is_replaced {
                return true;
            }
            let received_at = link.clock.received_at();
            received_at.is_some_and(|at| {
                now.saturating_duration_since(at) < SILENCE_TIMEOUT
            })
        });
        let links = &self.links;
        self.latest.retain(|_, id| links.contains_key(id));
    }
}

/// An accepted connection. It ends when its entry in the table is removed.
#[derive(Debug)]
pub(super) struct AcceptedStream {
    id: ConnectionId,
    stream: TcpStream,
    clock: Arc<ReceiveClock>,
    closed: oneshot::Receiver<()>,
}

impl Connected for AcceptedStream {
    type ConnectInfo = ConnectionId;

    fn connect_info(&self) -> ConnectionId {
        self.id
    }
}

impl AsyncRead for AcceptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            self.clock.record();
            return read;
        }
        match Pin::new(&mut self.closed).poll(context) {
            Poll::Ready(_) => {
                Poll::Ready(Err(ErrorKind::ConnectionAborted.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for AcceptedStream {
    delegate_write!();
}
