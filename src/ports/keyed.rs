//! Compacted topics, which keep the newest record of each key forever.

use std::time::Duration;

use snafu::Snafu;

use super::PortFuture;

/// A position in a topic.
///
/// Positions are ordered by era first: a topic that was restored from a copy
/// uses the offsets of its earlier era again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct TopicPosition {
    /// The era of the topic.
    pub era: u64,
    /// The offset within the era.
    pub offset: u64,
}

/// One record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; `None` is a tombstone, which deletes the key.
    pub value: Option<String>,
    /// The position of the record in the topic.
    pub offset: u64,
}

/// The result of a read of a keyed topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyedSlice {
    /// The era that all offsets of the slice belong to.
    pub era: u64,
    /// The records in order of offset.
    pub records: Vec<KeyedRecord>,
    /// The offset to read from next.
    pub next: u64,
    /// The offset after the newest record of the topic.
    pub end: u64,
}

impl KeyedSlice {
    /// Returns the position of an offset of this slice.
    pub fn position(&self, offset: u64) -> TopicPosition {
        TopicPosition { era: self.era, offset }
    }
}

/// The identity under which a process appends to a topic.
///
/// The appends of one epoch have consecutive sequence numbers. The topic
/// accepts each number once and in order, so that an append can be retried
/// until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicWriter {
    /// The name of the writer, the same in all epochs.
    pub name: String,
    /// The fencing token; a higher epoch invalidates all lower ones.
    pub epoch: u64,
}

/// An error of a call to a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyedFault {
    /// The topic does not end at the expected offset; nothing was appended.
    #[snafu(display("the topic does not end at the expected offset"))]
    OffsetConflict,
    /// A higher epoch has fenced this one off; nothing was appended.
    #[snafu(display("fenced off by a higher epoch of the writer"))]
    Fenced,
    /// The append has not the next sequence number of its epoch; nothing
    /// was appended.
    #[snafu(display("append is out of sequence for its writer"))]
    OutOfSequence,
    /// The records at the requested offset are no longer kept.
    #[snafu(display("records at the requested offset are no longer kept"))]
    Expired,
    /// The service refused the call, which had no effect.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// The reason given by the service.
        reason: String,
    },
    /// No answer arrived; an append may have taken effect or may still take
    /// effect.
    #[snafu(display("no answer: {reason}"))]
    Lost {
        /// Why no answer arrived.
        reason: String,
    },
}

/// The platform's keyed topics.
pub trait KeyedPort {
    /// Returns the highest era that the topics have named.
    ///
    /// Topics that are restored from a copy begin a new era. They lack the
    /// newest records of the one before and use their offsets again.
    fn era(&self) -> u64 {
        0
    }

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// `Refused` or `Lost`; nothing was read.
    fn newest<'a>(
        &'a self,
        topic: &'a str,
    ) -> PortFuture<'a, Result<KeyedSlice, KeyedFault>>;

    /// Reads records from the offset `from` on, and waits up to `wait` for
    /// the first one.
    ///
    /// # Errors
    ///
    /// `Expired` if the records at `from` are no longer kept.
    fn read<'a>(
        &'a self,
        topic: &'a str,
        from: u64,
        wait: Duration,
    ) -> PortFuture<'a, Result<KeyedSlice, KeyedFault>>;

    /// Fences off all earlier epochs of a writer: none of their appends
    /// takes effect from now on.
    ///
    /// # Errors
    ///
    /// `Fenced` if the topic has seen a higher epoch of the writer.
    fn fence<'a>(
        &'a self,
        topic: &'a str,
        writer: &'a TopicWriter,
    ) -> PortFuture<'a, Result<(), KeyedFault>>;

    /// Appends records as one batch, whose sequence number in the writer's
    /// epoch is `number`.
    ///
    /// # Errors
    ///
    /// After `Lost` the batch may still be appended. It has to be retried
    /// with the same number until the topic answers.
    fn append<'a>(
        &'a self,
        topic: &'a str,
        writer: &'a TopicWriter,
        number: u64,
        records: &'a [KeyedRecord],
    ) -> PortFuture<'a, Result<(), KeyedFault>>;
}
