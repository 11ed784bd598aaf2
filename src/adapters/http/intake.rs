//! The memory of the request that a connection receives.

use std::time::{Duration, Instant};

use bytes::BytesMut;

use super::{
    HttpFault, RECEIVE_BUFFER_BYTES,
    connection::{BoundedReader, READ_SIZE, RESERVE_BYTES},
    frame::LineScanner,
    socket::LARGE_RECEIVE_BUFFER_BYTES,
};
use crate::memory::MemoryLease;

impl BoundedReader {
    /// Sets the memory of the request that begins with the bytes in the
    /// buffer.
    pub(super) fn begin_lease(
        &mut self,
        lease: MemoryLease,
    ) -> Result<(), HttpFault> {
        self.end_lease();
        self.lease = Some(lease);
        self.update_lease()?;
        Ok(())
    }

    /// Records that the current request has been read in full.
    pub(super) fn finish_lease(&self) -> Result<(), HttpFault> {
        match &self.lease {
            Some(lease) => Ok(lease.finish(self.read_bytes())?),
            None => Ok(()),
        }
    }

    /// Frees the memory of the last message, which an empty buffer still
    /// shares.
    pub(super) fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Frees the memory of the current request. Bytes of the next one stay
    /// in the buffer.
    pub(super) fn end_lease(&mut self) {
        self.release_buffer();
        self.lease = None;
        self.body_bytes = 0;
        self.most_bytes = 0;
        self.paused = Duration::ZERO;
    }

    /// Lets the kernel hold little again. Bytes on their way are lost for a
    /// time if the remote end is still sending.
    pub(super) fn narrow_unread(&mut self) {
        if std::mem::take(&mut self.is_wide) {
            self.socket.limit_unread(RECEIVE_BUFFER_BYTES);
        }
    }

    /// Drops everything that was read.
    pub(super) fn discard(&mut self) {
        self.buffer = BytesMut::new();
        self.scanner = LineScanner::new();
        self.end_lease();
    }

    /// Reads and drops bytes until the remote end closes the connection, at
    /// most `bytes` bytes and until `deadline`.
    pub(super) async fn drain(&mut self, bytes: usize, deadline: Instant) {
        let mut drained = 0;
        while drained < bytes && self.fill(deadline).await.is_ok() {
            drained += self.buffer.len();
            self.buffer.clear();
        }
    }

    /// Sets the memory of the current request to the bytes that were read of
    /// it and the buffer of a read; returns `false` if it has to wait.
    pub(super) fn update_lease(&self) -> Result<bool, HttpFault> {
        let Some(lease) = &self.lease else {
            return Ok(true);
        };
        let bytes = self.read_bytes() + READ_SIZE;
        Ok(lease.try_grow(bytes, self.most_bytes)?)
    }

    /// Returns the bytes that were read of the current request.
    fn read_bytes(&self) -> usize {
        self.buffer.len() + self.body_bytes
    }

    /// Waits until the current request has memory for the rest of it. Nothing
    /// is read meanwhile.
    pub(super) async fn wait_memory(&mut self) -> Result<(), HttpFault> {
        let Some(lease) = &self.lease else {
            return Ok(());
        };
        let started = Instant::now();
        let bytes = self.read_bytes() + READ_SIZE;
        lease.wait_turn(bytes, self.most_bytes).await?;
        self.paused += started.elapsed();
        Ok(())
    }

    /// Lets the kernel hold more of a large request, which has memory.
    pub(super) fn widen_unread(&mut self) {
        let bytes = self.read_bytes();
        if self.lease.is_none() || self.is_wide || bytes <= RESERVE_BYTES {
            return;
        }
        self.is_wide = true;
        self.socket.limit_unread(LARGE_RECEIVE_BUFFER_BYTES);
    }
}
