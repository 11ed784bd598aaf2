//! Server-sent events of a streamed answer.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event of an upstream in bytes.
const EVENT_BYTES: usize = 256 * 1024;

/// One event as it goes to the caller, with what the router reads in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The bytes of the event with its closing blank line.
    pub bytes: Bytes,
    /// The number of the event within its stream, if it states one.
    pub id: Option<u64>,
    /// The total tokens of the request, if the event states them.
    pub total_tokens: Option<u64>,
    /// Whether this is the closing `[DONE]` event.
    pub done: bool,
}

#[derive(Deserialize)]
struct UsageFields {
    total_tokens: u64,
}

#[derive(Deserialize)]
struct EventFields {
    usage: Option<UsageFields>,
}

/// The total tokens stated by a JSON answer or event.
pub(super) fn stated_tokens(json: &[u8]) -> Option<u64> {
    let fields: EventFields = serde_json::from_slice(json).ok()?;
    fields.usage.map(|usage| usage.total_tokens)
}

/// Cuts a body into events.
///
/// # Example
///
/// ```
/// use magnoliahaven::router::SseScanner;
///
/// let mut scanner = SseScanner::new();
/// scanner.push(b"data: [DO");
/// assert!(scanner.next_event().is_none());
/// scanner.push(b"NE]\n\n");
/// assert!(scanner.next_event().unwrap().done);
/// ```
#[derive(Debug, Default)]
pub struct SseScanner {
    buffer: BytesMut,
}

impl SseScanner {
    /// Creates a scanner with an empty buffer.
    pub fn new() -> SseScanner {
        SseScanner::default()
    }

    /// Adds bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an event grows beyond what a router keeps.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > EVENT_BYTES
    }

    /// The number of bytes that wait.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no byte waits.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether a whole event waits.
    pub fn has_event(&self) -> bool {
        memchr::memmem::find(&self.buffer, b"\n\n").is_some()
    }

    /// Whether a part of an event waits for its end.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let bytes = self.buffer.split_to(end + 2).freeze();
        let data = bytes.strip_prefix(b"data: ").unwrap_or(&bytes);
        let data = data.trim_ascii_end();
        let done = data == b"[DONE]";
        // Only the last event states the usage; decoding all of them would
        // cost more than relaying them.
        let states = memchr::memmem::find(data, b"\"usage\"").is_some();
        let total_tokens = states.then(|| stated_tokens(data)).flatten();
        let id = stated_id(&bytes);
        Some(SseEvent { bytes, id, total_tokens, done })
    }
}

/// The number in the `id` field of an event.
fn stated_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
