//! Options and errors of a socket that the runtime does not offer.

use std::os::fd::{AsRawFd, BorrowedFd, RawFd};

use {monoio::net::TcpStream, socket2::SockRef};

/// Size of the kernel's receive buffer of a connection of a caller. All
/// connections may fill theirs at the same time.
pub const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// The same while a large body is read. Few are at a time.
pub(super) const LARGE_RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Size of the kernel's send buffer of a connection.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// The socket of an open stream. It must not outlive the stream.
///
/// A socket that refuses an option still works.
#[derive(Debug)]
pub(super) struct StreamSocket(RawFd);

impl StreamSocket {
    /// Creates the socket of a stream.
    pub(super) fn new(stream: &TcpStream) -> StreamSocket {
        StreamSocket(stream.as_raw_fd())
    }

    /// Bounds the bytes that the kernel holds for a slow reader.
    pub(super) fn limit_unsent(&self) {
        self.with(|socket| {
            let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
        });
    }

    /// Bounds the bytes that the kernel holds until they are read.
    pub(super) fn limit_unread(&self, bytes: usize) {
        self.with(|socket| {
            let _ = socket.set_recv_buffer_size(bytes);
        });
    }

    /// Returns whether the connection has met an error that no read or write
    /// has returned.
    pub(super) fn has_error(&self) -> bool {
        let error = self.with(|socket| socket.take_error());
        matches!(error, Ok(Some(_)))
    }

    fn with<T>(&self, action: impl FnOnce(&SockRef<'_>) -> T) -> T {
        // SAFETY: the stream stays open for as long as the borrow lives.
        let fd = unsafe { BorrowedFd::borrow_raw(self.0) };
        action(&SockRef::from(&fd))
    }
}
