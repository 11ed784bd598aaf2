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

/// Why a keyed topic did not do what it was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyedFault {
    /// The topic does not end where the append presumed; nothing was done.
    #[snafu(display("the topic ends elsewhere"))]
    Moved,
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

    /// Appends records as one batch if the topic ends at `at`.
    ///
    /// # Errors
    ///
    /// `Moved` if it does not. After `Lost` the batch may still be appended
    /// for as long as the topic ends at `at`.
    fn append_at<'a>(
        &'a self,
        topic: &'a str,
        at: u64,
        records: &'a [KeyedRecord],
    ) -> PortFuture<'a, Result<(), KeyedFault>>;
}
