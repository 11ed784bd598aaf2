//! Copying a stream of events to a caller that may be slow.
//!
//! A reader that falls behind costs memory here and a slot at the engine.
//! Both are bounded: events are read ahead only up to a number of bytes for
//! the stream and for the router; and a reader that takes nothing for some
//! time loses its slot, while the position is kept. When the reader comes
//! back, the stream is resumed at the engine behind the last event that
//! was received.

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

/// Longest pause between two events of an upstream.
const EVENT_GAP: Duration = Duration::from_secs(30);

/// Times that a reader may lose its slot before the answer is given up.
const LARGEST_RESUMES: u32 = 8;

/// How a relayed stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayEnd {
    /// The caller has the whole answer.
    Complete,
    /// The caller is gone, or has not read for too long.
    CallerGone,
    /// The upstream failed; the caller has a part of the answer.
    UpstreamLost,
}

/// What a relayed stream amounted to.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayReport {
    /// How it ended.
    pub end: RelayEnd,
    /// Events received from the upstream.
    pub events: u64,
    /// The total tokens stated by the upstream.
    pub total_tokens: Option<u64>,
    /// Time to the first event.
    pub first_event: Option<Duration>,
}

/// One stream on its way from an upstream to a caller.
pub(super) struct StreamRelay<'a> {
    core: &'a RouterCore,
    address: SocketAddr,
    call: UpstreamCall,
    labels: (&'a str, &'static str),
    started: Instant,
    parts: Option<Box<dyn UpstreamBody>>,
    scanner: SseScanner,
    waiting: VecDeque<SseEvent>,
    held: usize,
    events: u64,
    total_tokens: Option<u64>,
    first_event: Option<Duration>,
    last_event: Instant,
    ended: bool,
    resumes: u32,
}

/// What happened while a chunk was on its way to the caller.
enum WriteEnd {
    Sent,
    CallerGone,
    UpstreamLost,
}

impl<'a> StreamRelay<'a> {
    /// Creates a relay for a stream whose head has arrived.
    pub(super) fn new(
        core: &'a RouterCore,
        address: SocketAddr,
        call: UpstreamCall,
        parts: Box<dyn UpstreamBody>,
        started: Instant,
    ) -> StreamRelay<'a> {
        StreamRelay {
            core,
            address,
            call,
            labels: ("", ""),
            started,
            parts: Some(parts),
            scanner: SseScanner::new(),
            waiting: VecDeque::new(),
            held: 0,
            events: 0,
            total_tokens: None,
            first_event: None,
            last_event: started,
            ended: false,
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

    /// Receives events until the first one has arrived.
    ///
    /// As long as no event has gone to the caller, the request may still be
    /// tried elsewhere.
    pub(super) async fn receive_first(
        &mut self,
        reader: &mut RequestReader,
    ) -> Result<(), RelayEnd> {
        while self.waiting.is_empty() {
            monoio::select! {
                received = self.receive() => {
                    received.map_err(|_| RelayEnd::UpstreamLost)?;
                }
                () = reader.wait_closed() => return Err(RelayEnd::CallerGone),
            }
            if self.ended && self.waiting.is_empty() {
                return Err(RelayEnd::UpstreamLost);
            }
        }
        Ok(())
    }

    /// Relays everything to the caller.
    pub(super) async fn run(
        &mut self,
        reader: &mut RequestReader,
        mut writer: StreamWriter<'_>,
    ) -> RelayEnd {
        loop {
            if let Some(chunk) = self.take_chunk() {
                match self.write(&mut writer, &chunk).await {
                    WriteEnd::Sent => continue,
                    WriteEnd::CallerGone => return RelayEnd::CallerGone,
                    WriteEnd::UpstreamLost => return RelayEnd::UpstreamLost,
                }
            }
            if self.ended {
                let finished = writer.finish().await;
                return match finished {
                    Ok(()) => RelayEnd::Complete,
                    Err(_) => RelayEnd::CallerGone,
                };
            }
            if self.parts.is_none() && !self.resume().await {
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

    /// What the stream has amounted to so far.
    pub(super) fn report(&self, end: RelayEnd) -> RelayReport {
        RelayReport {
            end,
            events: self.events,
            total_tokens: self.total_tokens,
            first_event: self.first_event,
        }
    }

    /// Joins the waiting events into one chunk.
    fn take_chunk(&mut self) -> Option<BytesMut> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut chunk = BytesMut::with_capacity(self.held);
        for event in self.waiting.drain(..) {
            chunk.extend_from_slice(&event.bytes);
        }
        Some(chunk)
    }

    /// Sends a chunk and reads ahead as far as the bounds allow.
    async fn write(
        &mut self,
        writer: &mut StreamWriter<'_>,
        chunk: &[u8],
    ) -> WriteEnd {
        let timer = self.core.timer.clone();
        let reader_time = self.core.settings.limits.reader_time;
        let mut write = pin!(writer.send(chunk));
        let mut stalled = pin!(timer.sleep(reader_time));
        let mut patience = pin!(timer.sleep(reader_time * LARGEST_RESUMES));
        let mut is_stalled = false;
        loop {
            let reads = self.parts.is_some() && !self.ended && self.has_room();
            monoio::select! {
                sent = &mut write => {
                    self.release(chunk.len());
                    return match sent {
                        Ok(()) => WriteEnd::Sent,
                        Err(_) => WriteEnd::CallerGone,
                    };
                }
                received = self.receive(), if reads => {
                    if received.is_err() {
                        self.parts = None;
                        return WriteEnd::UpstreamLost;
                    }
                }
                () = &mut stalled, if !is_stalled => {
                    is_stalled = true;
                    self.pause().await;
                }
                () = &mut patience => return WriteEnd::CallerGone,
            }
        }
    }

    fn has_room(&self) -> bool {
        let limits = &self.core.settings.limits;
        let total = self.core.metrics.held_bytes.get() as usize;
        self.held < limits.stream_bytes && total < limits.held_bytes
    }

    fn hold(&mut self, bytes: usize) {
        self.held += bytes;
        self.core.metrics.held_bytes.add(bytes as i64);
    }

    fn release(&mut self, bytes: usize) {
        self.held -= bytes;
        self.core.metrics.held_bytes.sub(bytes as i64);
    }

    /// Reads the next part of the body.
    async fn receive(&mut self) -> Result<(), UpstreamFault> {
        let Some(parts) = &mut self.parts else {
            return Ok(());
        };
        let part = parts.next_chunk(Instant::now() + EVENT_GAP).await?;
        let Some(part) = part else {
            // Without a closing event the answer is not whole.
            if !self.ended {
                return Err(UpstreamFault::broken("the answer ended early"));
            }
            return Ok(());
        };
        self.scanner.push(&part);
        while let Some(event) = self.scanner.next_event() {
            self.take_event(event);
        }
        if self.scanner.is_oversized() {
            return Err(UpstreamFault::broken("an event is too large"));
        }
        Ok(())
    }

    fn take_event(&mut self, event: SseEvent) {
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
        self.ended |= event.done;
        self.total_tokens = event.total_tokens.or(self.total_tokens);
        self.events += 1;
        self.hold(event.bytes.len());
        self.waiting.push_back(event);
    }

    /// Frees the slot at the engine and keeps the position.
    async fn pause(&mut self) {
        if self.ended || self.parts.take().is_none() {
            return;
        }
        self.scanner = SseScanner::new();
        self.core.metrics.note_event("stream_paused");
        let upstreams = &self.core.ports.upstreams;
        // An engine that cannot be reached has nothing to free.
        let cancel = upstreams.cancel(self.address, &self.call.request_id);
        let _ = cancel.await;
    }

    /// Resumes at the engine behind the last event.
    async fn resume(&mut self) -> bool {
        if self.resumes >= LARGEST_RESUMES {
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
                self.parts = Some(reply.body);
                true
            }
            _ => false,
        }
    }
}

impl Drop for StreamRelay<'_> {
    fn drop(&mut self) {
        self.core.metrics.held_bytes.sub(self.held as i64);
    }
}

impl From<HttpFault> for RelayEnd {
    fn from(_: HttpFault) -> RelayEnd {
        RelayEnd::CallerGone
    }
}
