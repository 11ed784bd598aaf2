//! Messages that break the rules of HTTP.

use std::{
    fmt::Display,
    sync::atomic::{AtomicU64, Ordering},
};

use super::LogEvent;

/// Who has sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A caller, or whoever calls one of the other listeners.
    Request,
    /// An upstream, the platform's store or another process that was called.
    Answer,
}

static MALFORMED_REQUESTS: AtomicU64 = AtomicU64::new(0);
static MALFORMED_ANSWERS: AtomicU64 = AtomicU64::new(0);

impl MessageKind {
    /// The name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Request => "request",
            MessageKind::Answer => "answer",
        }
    }

    fn counter(self) -> &'static AtomicU64 {
        match self {
            MessageKind::Request => &MALFORMED_REQUESTS,
            MessageKind::Answer => &MALFORMED_ANSWERS,
        }
    }
}

/// Logs and counts a message that is refused, because its bytes are not a
/// valid one.
pub fn note_malformed(kind: MessageKind, fault: impl Display) {
    kind.counter().fetch_add(1, Ordering::Relaxed);
    log::info!(
        event:% = LogEvent::MessageMalformed, kind = kind.name(), fault:%;
        "message refused: {fault}"
    );
}

/// Returns the number of messages of a kind that this process has refused.
pub fn malformed_count(kind: MessageKind) -> u64 {
    kind.counter().load(Ordering::Relaxed)
}
