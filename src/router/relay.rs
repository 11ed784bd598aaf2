//! Forwarding of a stream of events to a caller that may read slowly.
//!
//! A slow caller occupies memory at the router and a slot at the engine.
//! Memory is bounded by a limit on buffered bytes per stream and per router.
//! If the caller reads nothing for some time, the request is cancelled at the
//! engine to free the slot, and the router keeps the position. Once the
//! caller reads again, the stream is resumed at the engine after the last
//! event that was received.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use bytes::BytesMut;

use super::{RouterCore, SseEvent, SseScanner};
use crate::{
    adapters::http::{HttpFault, RequestReader, StreamWriter},
    ports::{UpstreamBody, UpstreamCall, UpstreamFault},
};

/// Maximum time between two reads from an upstream's stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of times that a stream is resumed for a slow caller. A
/// single write may also take this many times the `reader_time` limit.
const MAX_RESUMES: u32 = 8;

/// How a relayed stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayEnd {
    /// The caller has received the complete response.
    Complete,
    /// The caller has disconnected or has stopped reading.
    CallerGone,
    /// The upstream failed before the response was complete.
    UpstreamLost,
}

/// A summary of a relayed stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayReport {
    /// How the stream ended.
    pub end: RelayEnd,
    /// The number of events received from the upstream.
    pub events: u64,
    /// The total token usage, if the upstream has reported it.
    pub total_tokens: Option<u64>,
    /// The time to the first event.
    pub first_event: Option<Duration>,
}

/// A stream that is being forwarded from an upstream to a caller.
pub(super) struct StreamRelay<'a> {
    core: &'a RouterCore,
    address: SocketAddr,
    call: UpstreamCall,
    /// The client account and the class for metrics.
    labels: (&'a str, &'static str),
    started: Instant,
    /// The rest of the upstream's response; `None` while paused.
    body: Option<Box<dyn UpstreamBody>>,
    scanner: SseScanner,
    /// Received events that have not been passed to the caller yet.
    pending: VecDeque<SseEvent>,
    /// Bytes of the pending events and of the chunk that is being written.
    buffered_bytes: usize,
    events: u64,
    total_tokens: Option<u64>,
    first_event: Option<Duration>,
    last_event: Instant,
    /// Whether the final event has been received.
    is_done: bool,
    resumes: u32,
}

/// How writing a chunk to the caller ended.
enum WriteEnd {
    Sent,
    CallerGone,
    UpstreamLost,
}

impl<'a> StreamRelay<'a> {
    /// Creates a relay for a response whose head has arrived.
    pub(super) fn new(
        core: &'a RouterCore,
        address: SocketAddr,
        call: UpstreamCall,
        body: Box<dyn UpstreamBody>,
        started: Instant,
    ) -> StreamRelay<'a> {
        StreamRelay {
            core,
            address,
            call,
            labels: ("", ""),
            started,
            body: Some(body),
            scanner: SseScanner::new(),
            pending: VecDeque::new(),
            buffered_bytes: 0,
            events: 0,
            total_tokens: None,
            first_event: None,
            last_event: started,
            is_done: false,
            resumes: 0,
        }
    }

    /// Sets the client account and the class for metrics.
    pub(super) fn with_labels(
        mut self,
        account: &'a str,
        class: &'static str,
    ) -> StreamRelay<'a> {
        self.labels = (account, class);
        self
    }

    /// Waits for the first event.
    ///
    /// Until an event has been sent to the caller, the request may still be
    /// retried at another upstream.
    pub(super) async fn receive_first(
        &mut self,
        reader: &mut RequestReader,
    ) -> Result<(), RelayEnd> {
        while self.pending.is_empty() {
            monoio::select! {
                received = self.receive() => {
                    received.map_err(|_| RelayEnd::UpstreamLost)?;
                }
                () = reader.wait_closed() => return Err(RelayEnd::CallerGone),
            }
            if self.is_done && self.pending.is_empty() {
                return Err(RelayEnd::UpstreamLost);
            }
        }
        Ok(())
    }

    /// Forwards all events to the caller.
    pub(super) async fn run(
        &mut self,
        reader: &mut RequestReader,
        mut writer: StreamWriter<'_>,
    ) -> RelayEnd {
        loop {
            if let Some(chunk) = self.take_pending() {
                match self.write(&mut writer, &chunk).await {
                    WriteEnd::Sent => continue,
                    WriteEnd::CallerGone => return RelayEnd::CallerGone,
                    WriteEnd::UpstreamLost => return RelayEnd::UpstreamLost,
                }
            }
            if self.is_done {
                let finished = writer.finish().await;
                return match finished {
                    Ok(()) => RelayEnd::Complete,
                    Err(_) => RelayEnd::CallerGone,
                };
            }
            if self.body.is_none() && !self.resume().await {
                return RelayEnd::UpstreamLost;
            }
            monoio::select! {
                received = self.receive() => {
                    if received.is_err() {
                        return RelayEnd::UpstreamLost;
                    }
                }
                () = reader.wait_closed() => return RelayEnd::CallerGone,
            }
        }
    }

    /// Returns a summary of the stream so far.
    pub(super) fn report(&self, end: RelayEnd) -> RelayReport {
        RelayReport {
            end,
            events: self.events,
            total_tokens: self.total_tokens,
            first_event: self.first_event,
        }
    }

    /// Removes the pending events and returns them as one chunk.
    fn take_pending(&mut self) -> Option<BytesMut> {
        if self.pending.is_empty() {
            return None;
        }
        let mut chunk = BytesMut::with_capacity(self.buffered_bytes);
        for event in self.pending.drain(..) {
            chunk.extend_from_slice(&event.bytes);
        }
        Some(chunk)
    }

    /// Writes a chunk to the caller and meanwhile reads ahead from the
    /// upstream, as far as the limits on buffered bytes allow.
    async fn write(
        &mut self,
        writer: &mut StreamWriter<'_>,
        chunk: &[u8],
    ) -> WriteEnd {
        let timer = self.core.timer.clone();
        let reader_time = self.core.settings.limits.reader_time;
        let mut write = pin!(writer.send(chunk));
        let mut stall = pin!(timer.sleep(reader_time));
        let mut give_up = pin!(timer.sleep(reader_time * MAX_RESUMES));
        let mut is_paused = false;
        loop {
            let reads =
                self.body.is_some() && !self.is_done && self.has_room();
            monoio::select! {
                sent = &mut write => {
                    self.subtract_buffered(chunk.len());
                    return match sent {
                        Ok(()) => WriteEnd::Sent,
                        Err(_) => WriteEnd::CallerGone,
                    };
                }
                received = self.receive(), if reads => {
                    if received.is_err() {
                        self.body = None;
                        return WriteEnd::UpstreamLost;
                    }
                }
                () = &mut stall, if !is_paused => {
                    is_paused = true;
                    self.pause().await;
                }
                () = &mut give_up => return WriteEnd::CallerGone,
            }
        }
    }

    /// Returns whether the limits allow buffering more bytes.
    fn has_room(&self) -> bool {
        let limits = &self.core.settings.limits;
        let total = self.core.metrics.held_bytes.get() as usize;
        self.buffered_bytes < limits.stream_bytes && total < limits.held_bytes
    }

    fn add_buffered(&mut self, bytes: usize) {
        self.buffered_bytes += bytes;
        self.core.metrics.held_bytes.add(bytes as i64);
    }

    fn subtract_buffered(&mut self, bytes: usize) {
        self.buffered_bytes -= bytes;
        self.core.metrics.held_bytes.sub(bytes as i64);
    }

    /// Reads the next chunk of the body and parses its events.
    async fn receive(&mut self) -> Result<(), UpstreamFault> {
        let Some(body) = &mut self.body else {
            return Ok(());
        };
        let chunk = body.next_chunk(Instant::now() + EVENT_TIMEOUT).await?;
        let Some(chunk) = chunk else {
            // Without the final event the response is incomplete.
            if !self.is_done {
                return Err(UpstreamFault::broken(
                    "the final event is missing",
                ));
            }
            return Ok(());
        };
        self.scanner.push(&chunk);
        while let Some(event) = self.scanner.next_event() {
            self.record_event(event);
        }
        if self.scanner.is_oversized() {
            return Err(UpstreamFault::broken("event exceeds the size limit"));
        }
        Ok(())
    }

    fn record_event(&mut self, event: SseEvent) {
        let now = Instant::now();
        let (account, class) = self.labels;
        if self.first_event.is_none() {
            let time = now - self.started;
            self.first_event = Some(time);
            self.core.metrics.note_first_token(account, class, time);
        } else {
            let gap = now - self.last_event;
            self.core.metrics.note_token_gap(account, class, gap);
        }
        self.last_event = now;
        self.is_done |= event.done;
        self.total_tokens = event.total_tokens.or(self.total_tokens);
        self.events += 1;
        self.add_buffered(event.bytes.len());
        self.pending.push_back(event);
    }

    /// Cancels the request at the engine to free its slot; the number of
    /// received events remains as the position to resume from.
    async fn pause(&mut self) {
        if self.is_done || self.body.take().is_none() {
            return;
        }
        self.scanner = SseScanner::new();
        self.core.metrics.note_event("stream_paused");
        let upstreams = &self.core.ports.upstreams;
        // If the engine is unreachable, there is no slot to free.
        let cancel = upstreams.cancel(self.address, &self.call.request_id);
        let _ = cancel.await;
    }

    /// Resumes the stream at the engine after the last received event.
    async fn resume(&mut self) -> bool {
        if self.resumes >= MAX_RESUMES {
            return false;
        }
        self.resumes += 1;
        self.core.metrics.note_event("stream_resumed");
        let mut call = self.call.clone();
        call.resume_from = self.events;
        let upstreams = &self.core.ports.upstreams;
        let Ok(link) = upstreams.connect(self.address).await else {
            return false;
        };
        match link.send(call).await {
            Ok(reply) if reply.status == 200 => {
                self.body = Some(reply.body);
                true
            }
            _ => false,
        }
    }
}

impl Drop for StreamRelay<'_> {
    fn drop(&mut self) {
        self.core.metrics.held_bytes.sub(self.buffered_bytes as i64);
    }
}

impl From<HttpFault> for RelayEnd {
    fn from(_: HttpFault) -> RelayEnd {
        RelayEnd::CallerGone
    }
}
