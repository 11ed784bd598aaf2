//! Topics that keep the newest record of each key for good.

use std::time::Duration;

use snafu::Snafu;

use super::PortFuture;

/// One record of a keyed topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; `None` drops the key.
    pub value: Option<String>,
    /// Position in the topic.
    pub offset: u64,
}

/// What a read of a keyed topic returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyedSlice {
    /// Records in order of offset.
    pub records: Vec<KeyedRecord>,
    /// The offset to read from next.
    pub next: u64,
    /// Offset behind the newest record of the topic.
    pub end: u64,
}

/// Who appends to a topic.
///
/// Appends of one epoch are numbered. The topic takes each number once and
/// in order, so that an append may be repeated until it is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopicWriter {
    /// The name, the same in all epochs.
    pub name: String,
    /// The fencing token: a higher one ends all lower ones.
    pub epoch: u64,
}

/// Why a keyed topic did not do what it was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyedFault {
    /// The topic does not end where the append presumed; nothing was done.
    #[snafu(display("the topic ends elsewhere"))]
    OffsetConflict,
    /// A higher epoch of the writer has appended; nothing was done.
    #[snafu(display("a later epoch has taken over"))]
    Fenced,
    /// The append is not the next one of its epoch; nothing was done.
    #[snafu(display("not the next append of its writer"))]
    OutOfSequence,
    /// Records from the wanted offset on are gone.
    #[snafu(display("the history is gone"))]
    Expired,
    /// The service refused the call; nothing was done.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// The reason given by the service.
        reason: String,
    },
    /// No answer arrived; an append may have taken effect or may still do.
    #[snafu(display("no answer: {reason}"))]
    Lost {
        /// What happened to the answer.
        reason: String,
    },
}

/// The platform's keyed topics.
pub trait KeyedPort {
    /// The newest record of each key.
    ///
    /// # Errors
    ///
    /// `Refused` or `Lost`; nothing was read.
    fn newest<'a>(
        &'a self,
        topic: &'a str,
    ) -> PortFuture<'a, Result<KeyedSlice, KeyedFault>>;

    /// Records from an offset on, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// `Expired` if the history from `from` on is not kept any more.
    fn read<'a>(
        &'a self,
        topic: &'a str,
        from: u64,
        wait: Duration,
    ) -> PortFuture<'a, Result<KeyedSlice, KeyedFault>>;

    /// Ends all earlier epochs of a writer: none of their appends takes
    /// effect any more.
    ///
    /// # Errors
    ///
    /// `Fenced` if there is a higher epoch.
    fn fence<'a>(
        &'a self,
        topic: &'a str,
        writer: &'a TopicWriter,
    ) -> PortFuture<'a, Result<(), KeyedFault>>;

    /// Appends records as one batch, the one of this number in the writer's
    /// epoch.
    ///
    /// # Errors
    ///
    /// After `Lost` the batch may still be appended. It has to be repeated
    /// with the same number until the topic answers.
    fn append<'a>(
        &'a self,
        topic: &'a str,
        writer: &'a TopicWriter,
        number: u64,
        records: &'a [KeyedRecord],
    ) -> PortFuture<'a, Result<(), KeyedFault>>;
}
