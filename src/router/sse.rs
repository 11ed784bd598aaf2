//! Parsing of the server-sent events of a streamed response.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// One event as it is forwarded to the caller, with the parsed fields that
/// the router needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// The bytes of the event including the blank line at its end.
    pub bytes: Bytes,
    /// The value of the `id` field, if it is a number: the position of the
    /// event in its stream.
    pub id: Option<u64>,
    /// The total token usage of the request, if the event contains it.
    pub total_tokens: Option<u64>,
    /// Whether this is the final `[DONE]` event.
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

/// Returns the total token usage in a JSON response or event, if it has one.
pub(super) fn parse_total_tokens(json: &[u8]) -> Option<u64> {
    let fields: EventFields = serde_json::from_slice(json).ok()?;
    fields.usage.map(|usage| usage.total_tokens)
}

/// Splits the body of a response into events.
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
    /// Bytes at the start of the buffer that hold no end of an event.
    searched: usize,
    /// Where the first event ends, if its end was found.
    event_end: Option<usize>,
}

impl SseScanner {
    /// Creates a scanner with an empty buffer.
    pub fn new() -> SseScanner {
        SseScanner::default()
    }

    /// Appends received bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.find_end();
    }

    /// Finds the end of the first event. Bytes that were searched before are
    /// not searched again.
    fn find_end(&mut self) {
        if self.event_end.is_some() {
            return;
        }
        // The end may begin in the bytes that were searched.
        let from = self.searched.saturating_sub(EVENT_END.len() - 1);
        let end = memchr::memmem::find(&self.buffer[from..], EVENT_END);
        self.event_end = end.map(|end| from + end + EVENT_END.len());
        self.searched = self.buffer.len();
    }

    /// Returns whether more bytes are buffered than one event may have.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether a complete event is buffered.
    pub fn has_event(&self) -> bool {
        self.event_end.is_some()
    }

    /// Returns whether bytes are buffered, which are an incomplete event
    /// once [`SseScanner::next_event`] has returned `None`.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.event_end.take()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        self.find_end();
        let data = bytes.strip_prefix(b"data: ").unwrap_or(&bytes);
        let data = data.trim_ascii_end();
        let done = data == b"[DONE]";
        // Only the last event contains the usage. Decoding the JSON of every
        // event would cost more than forwarding it.
        let has_usage = memchr::memmem::find(data, b"\"usage\"").is_some();
        let total_tokens =
            has_usage.then(|| parse_total_tokens(data)).flatten();
        let id = parse_event_id(&bytes);
        Some(SseEvent { bytes, id, total_tokens, done })
    }
}

/// The number in the `id` field of an event.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
