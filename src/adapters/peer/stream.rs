//! Connections that note when they receive something.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
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

pub(super) use delegate_write;

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
    pub(super) fn record(&self) {
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
