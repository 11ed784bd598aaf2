//! The platform's append-only log.

use std::{collections::BTreeMap, time::Duration};

use snafu::Snafu;

use super::PortFuture;

/// The streams to read, each with the offset to start at.
pub type LogCursors = BTreeMap<String, u64>;

/// An error of a call to the log service.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LogFault {
    /// The service refused the call; nothing was appended.
    #[snafu(display("log refused the call: {reason}"))]
    Refused {
        /// The reason given by the service.
        reason: String,
    },
    /// The answer did not arrive; an append may have taken effect.
    #[snafu(display("log answer lost: {reason}"))]
    Lost {
        /// Why the answer did not arrive.
        reason: String,
    },
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The position in the stream; consecutive records have consecutive
    /// offsets.
    pub offset: u64,
    /// When the service appended the record, in milliseconds since the
    /// epoch. It never decreases within a stream.
    pub time_ms: u64,
    /// The content of the record, which is UTF-8 text.
    pub payload: String,
}

/// The part of one stream that a read returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// The offset of the oldest record that the service still keeps.
    pub oldest: u64,
    /// The offset after the newest record of the stream.
    pub next: u64,
    /// The records in order of offset; may be fewer than are available.
    pub records: Vec<LogRecord>,
}

/// The platform's append-only log service.
pub trait LogPort {
    /// Appends records to one stream as one batch, in order.
    ///
    /// Returns the offset of the first record.
    ///
    /// # Errors
    ///
    /// After [`LogFault::Lost`] the batch may or may not have been
    /// appended. A retry can append it twice, so that every record has to
    /// be idempotent.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: &'a [String],
    ) -> PortFuture<'a, Result<u64, LogFault>>;

    /// Reads several streams at once.
    ///
    /// Waits up to `wait` until at least one stream has a record at or
    /// after its cursor.
    ///
    /// # Errors
    ///
    /// Either fault means that nothing was read.
    fn read<'a>(
        &'a self,
        cursors: &'a LogCursors,
        wait: Duration,
    ) -> PortFuture<'a, Result<BTreeMap<String, LogSlice>, LogFault>>;
}
