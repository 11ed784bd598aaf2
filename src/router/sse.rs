//! Parsing of the server-sent events of a streamed response.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

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
}

impl SseScanner {
    /// Creates a scanner with an empty buffer.
    pub fn new() -> SseScanner {
        SseScanner::default()
    }

    /// Appends received bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
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
        memchr::memmem::find(&self.buffer, b"\n\n").is_some()
    }

    /// Returns whether bytes are buffered, which are an incomplete event
    /// once [`SseScanner::next_event`] has returned `None`.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let bytes = self.buffer.split_to(end + 2).freeze();
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
