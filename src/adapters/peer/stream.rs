//! Connections that notice when nothing arrives.

use std::{
    future::Future,
    io::{self, ErrorKind},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use {
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::Sleep,
    },
    tonic::transport::server::Connected,
};

/// Writes to the field `stream` of a type that implements `AsyncWrite`.
macro_rules! delegate_write {
    () => {
        fn poll_write(
            mut self: Pin<&mut Self>,
            context: &mut Context<'_>,
            bytes: &[u8],
        ) -> Poll<io::Result<usize>> {
            Pin::new(&mut self.stream).poll_write(context, bytes)
        }

        fn poll_flush(
            mut self: Pin<&mut Self>,
            context: &mut Context<'_>,
        ) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_flush(context)
        }

        fn poll_shutdown(
            mut self: Pin<&mut Self>,
            context: &mut Context<'_>,
        ) -> Poll<io::Result<()>> {
            Pin::new(&mut self.stream).poll_shutdown(context)
        }

        fn poll_write_vectored(
            mut self: Pin<&mut Self>,
            context: &mut Context<'_>,
            slices: &[io::IoSlice<'_>],
        ) -> Poll<io::Result<usize>> {
            Pin::new(&mut self.stream).poll_write_vectored(context, slices)
        }

        fn is_write_vectored(&self) -> bool {
            self.stream.is_write_vectored()
        }
    };
}

/// When a connection was opened and when it received something.
///
/// The connection is used by a task of `tonic`; the clock is shared with the
/// tasks of calls.
#[derive(Debug)]
pub(super) struct ReceiveClock {
    created_at: Instant,
    /// Microseconds from the creation to the last byte, or to the opening if
    /// there is none; 0 while the connection is not open.
    received_us: AtomicU64,
}

impl ReceiveClock {
    /// Creates the clock of a connection that is not open yet.
    pub(super) fn new() -> ReceiveClock {
        ReceiveClock {
            created_at: Instant::now(),
            received_us: AtomicU64::new(0),
        }
    }

    /// Returns when the connection received something last, or when it was
    /// opened; `None` if it has not been open yet.
    pub(super) fn received_at(&self) -> Option<Instant> {
        match self.received_us.load(Ordering::Relaxed) {
            0 => None,
            us => Some(self.created_at + Duration::from_micros(us)),
        }
    }

    /// Records that the connection is not open any more.
    pub(super) fn record_close(&self) {
        self.received_us.store(0, Ordering::Relaxed);
    }

    /// Records that the connection was opened or has received something.
    fn record(&self) {
        let us = self.created_at.elapsed().as_micros() as u64;
        self.received_us.store(us.max(1), Ordering::Relaxed);
    }
}

/// A TCP connection with a clock.
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    clock: Arc<ReceiveClock>,
}

impl WatchedStream {
    /// Wraps a connection that has just been opened.
    pub(super) fn new(
        stream: TcpStream,
        clock: Arc<ReceiveClock>,
    ) -> WatchedStream {
        clock.record();
        WatchedStream { stream, clock }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.clock.record();
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    delegate_write!();
}

/// Longest time until an accepted connection has received its first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(5);

/// An accepted connection, which fails if its peer sends nothing at first.
///
/// A connection that goes silent while it is opened would stay open for good:
/// keep-alive probes begin with the first message of the peer.
#[derive(Debug)]
pub(super) struct AcceptedStream {
    stream: TcpStream,
    /// Ends the wait for the first byte; `None` once that has come.
    first_byte_timeout: Option<Pin<Box<Sleep>>>,
}

impl AcceptedStream {
    /// Wraps a connection that has just been accepted.
    pub(super) fn new(stream: TcpStream) -> AcceptedStream {
        let timeout = Box::pin(tokio::time::sleep(FIRST_BYTE_TIMEOUT));
        AcceptedStream { stream, first_byte_timeout: Some(timeout) }
    }
}

impl Connected for AcceptedStream {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for AcceptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            self.first_byte_timeout = None;
            return read;
        }
        let Some(timeout) = &mut self.first_byte_timeout else {
            return read;
        };
        match timeout.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for AcceptedStream {
    delegate_write!();
}
