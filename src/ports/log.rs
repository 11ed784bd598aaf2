//! The append-only log with offsets.

use std::{collections::BTreeMap, time::Duration};

use snafu::Snafu;

use super::PortFuture;

/// Streams to read, each with the first offset that is wanted.
pub type LogCursors = BTreeMap<String, u64>;

/// Why the log service did not do what it was asked for.
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
        /// What happened to the answer.
        reason: String,
    },
}

/// One record as it stands in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream; grows by one with each record.
    pub offset: u64,
    /// When the service took the record, in milliseconds since the epoch.
    /// It never decreases within a stream.
    pub time_ms: u64,
    /// The bytes of the record, in UTF-8.
    pub payload: String,
}

/// The part of one stream that a read returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSlice {
    /// Offset of the oldest record that the service still keeps.
    pub oldest: u64,
    /// Offset after the newest record of the stream.
    pub next: u64,
    /// Records in order of offset; possibly fewer than asked for.
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
    /// [`LogFault::Lost`] leaves open whether the batch was appended, so
    /// that every record has to be idempotent.
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
