//! Copies a stream of server-sent events to a caller.
//!
//! Only complete events are forwarded, so that a stream that breaks inside
//! an event can be resumed at another upstream. While a write to a slow
//! caller is in progress, events are read ahead up to a limit.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use bytes::BytesMut;

use super::{GatewayCore, moves::EvidenceKey};
use crate::{
    adapters::http::HttpResponder,
    allowance::TokenHold,
    ports::{UpstreamBody, UpstreamFault},
    router::SseScanner,
};

/// The timeout between two events as a multiple of the route's objective for
/// the gap.
const GAP_TIMEOUT_FACTOR: u32 = 2;

/// Minimum timeout between two events.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of events whose mean gap is recorded as one sample.
const EVENTS_PER_PACE_SAMPLE: u64 = 8;

/// Lower bound of a recorded gap. Shorter gaps are fast enough for every
/// caller, and their differences are due to the network rather than to the
/// upstream.
const MIN_PACE_GAP: Duration = Duration::from_millis(10);

/// Maximum number of events of a stream that carry no token.
const MAX_EMPTY_EVENTS: u64 = 2;

/// How much of a stream a caller has received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamPosition {
    /// Identifier of the last event.
    pub(super) last_event: Option<u64>,
    /// Number of events that were forwarded.
    pub(super) events: u64,
}

/// How the relay of a stream ended.
#[derive(Debug)]
pub(super) enum RelayEnd {
    /// The caller has received the whole stream.
    Complete,
    /// The caller has disconnected.
    CallerGone,
    /// The upstream failed.
    Broken(UpstreamFault),
    /// The gap between two events exceeded its timeout.
    Silent,
    /// The upstream sent more events than the request allows.
    Overrun,
}

/// The relay of one stream from an upstream to a caller.
pub(super) struct EventRelay<'a> {
    core: &'a GatewayCore,
    hold: &'a TokenHold,
    prompt_tokens: u64,
    max_output_tokens: u64,
    tokens_per_event: u64,
    gap_timeout: Option<Duration>,
    /// What the gaps between events are evidence for, if they are recorded.
    evidence_key: Option<EvidenceKey>,
    /// The start of the current sample: its time and number of events.
    pace_start: Option<(Instant, u64)>,
    scanner: SseScanner,
    position: StreamPosition,
    /// Bytes received since the last new event.
    bytes_since_event: usize,
    ended: bool,
}

impl<'a> EventRelay<'a> {
    /// Creates a relay that continues after `position`.
    pub(super) fn new(
        core: &'a GatewayCore,
        hold: &'a TokenHold,
        position: StreamPosition,
    ) -> EventRelay<'a> {
        EventRelay {
            core,
            hold,
            prompt_tokens: 0,
            max_output_tokens: 0,
            tokens_per_event: 0,
            gap_timeout: None,
            evidence_key: None,
            pace_start: None,
            scanner: SseScanner::new(),
            position,
            bytes_since_event: 0,
            ended: false,
        }
    }

    /// Sets the tokens of the prompt, the tokens per event and the maximum
    /// number of output tokens.
    pub(super) fn with_cost(
        mut self,
        prompt_tokens: u64,
        tokens_per_event: u64,
        max_output_tokens: u64,
    ) -> EventRelay<'a> {
        self.prompt_tokens = prompt_tokens;
        self.tokens_per_event = tokens_per_event;
        self.max_output_tokens = max_output_tokens;
        self
    }

    /// Sets the timeout between two events from the objective for the gap.
    pub(super) fn with_gap_objective(
        mut self,
        objective: Duration,
    ) -> EventRelay<'a> {
        self.gap_timeout =
            Some((objective * GAP_TIMEOUT_FACTOR).max(MIN_GAP_TIMEOUT));
        self
    }

    /// Records the gaps between events as evidence for a version move.
    pub(super) fn with_pace(mut self, key: EvidenceKey) -> EventRelay<'a> {
        self.evidence_key = Some(key);
        self
    }

    /// Removes the timeout between events; the deadline of the request still
    /// applies.
    pub(super) fn clear_gap_timeout(&mut self) {
        self.gap_timeout = None;
    }

    /// Returns how much of the stream the caller has received.
    pub(super) fn position(&self) -> StreamPosition {
        self.position
    }

    /// Waits for the first complete event; returns `false` if the stream
    /// ends without one.
    pub(super) async fn receive_first(
        &mut self,
        body: &mut dyn UpstreamBody,
        deadline: Instant,
    ) -> Result<bool, UpstreamFault> {
        while !self.scanner.has_event() {
            self.receive(body, deadline).await?;
            if self.ended {
                break;
            }
        }
        Ok(self.scanner.has_event())
    }

    /// Relays events until the stream ends.
    pub(super) async fn run(
        &mut self,
        body: &mut dyn UpstreamBody,
        responder: &mut HttpResponder,
        deadline: Instant,
    ) -> RelayEnd {
        loop {
            let chunk = self.drain_events();
            if self.has_overrun() {
                return RelayEnd::Overrun;
            }
            if !chunk.is_empty() {
                let sent = self.write(body, responder, &chunk, deadline).await;
                match sent {
                    Ok(true) => continue,
                    Ok(false) => return RelayEnd::CallerGone,
                    Err(fault) => return RelayEnd::Broken(fault),
                }
            }
            if self.ended && self.scanner.has_partial() {
                return RelayEnd::Broken(cut_event_fault());
            }
            if self.ended {
                return match responder.end_stream().await {
                    Ok(()) => RelayEnd::Complete,
                    Err(_) => RelayEnd::CallerGone,
                };
            }
            let gap_end = self.gap_timeout.map(|gap| Instant::now() + gap);
            let until = gap_end.map_or(deadline, |end| end.min(deadline));
            match self.receive(body, until).await {
                Ok(()) => {}
                Err(UpstreamFault::TimedOut) if until < deadline => {
                    return RelayEnd::Silent;
                }
                Err(fault) => return RelayEnd::Broken(fault),
            }
        }
    }

    /// Writes a chunk while reading ahead; returns `false` if the caller has
    /// disconnected.
    async fn write(
        &mut self,
        body: &mut dyn UpstreamBody,
        responder: &mut HttpResponder,
        chunk: &[u8],
        deadline: Instant,
    ) -> Result<bool, UpstreamFault> {
        let limit = self.core.settings.limits.stream_bytes;
        let mut write = pin!(responder.send_chunk(chunk));
        let mut fault = None;
        loop {
            let reads =
                fault.is_none() && !self.ended && self.scanner.len() < limit;
            monoio::select! {
                biased;
                sent = &mut write => {
                    if sent.is_err() {
                        return Ok(false);
                    }
                    break;
                }
                received = self.receive(body, deadline), if reads => {
                    fault = received.err();
                }
            }
        }
        match fault {
            // Events that arrived before the fault are still forwarded.
            Some(fault) if !self.scanner.has_event() => Err(fault),
            _ => Ok(true),
        }
    }

    /// Removes all complete events from the buffer and returns them joined.
    fn drain_events(&mut self) -> BytesMut {
        let mut chunk = BytesMut::new();
        while let Some(event) = self.scanner.next_event() {
            let repeats = event.id.is_some_and(|id| {
                self.position.last_event.is_some_and(|last| id <= last)
            });
            // A resumed stream may repeat events that the caller has.
            if repeats {
                continue;
            }
            self.position.last_event = event.id.or(self.position.last_event);
            self.position.events += 1;
            self.bytes_since_event = self.scanner.len();
            chunk.extend_from_slice(&event.bytes);
        }
        self.record_pace();
        let output =
            self.position.events.saturating_mul(self.tokens_per_event);
        let output = output.min(self.max_output_tokens);
        self.hold.set_used(self.prompt_tokens + output);
        chunk
    }

    /// Records a sample of the gap once it has enough events or the stream
    /// has ended.
    fn record_pace(&mut self) {
        let events = self.position.events;
        let Some((start, first)) = self.pace_start else {
            let began = events > 0;
            self.pace_start = began.then(|| (Instant::now(), events));
            return;
        };
        let count = events - first;
        let is_due =
            count >= EVENTS_PER_PACE_SAMPLE || self.ended && count > 0;
        if let Some(key) = self.evidence_key.as_ref().filter(|_| is_due) {
            let gap = start.elapsed() / count as u32;
            self.core.record_pace(key, gap.max(MIN_PACE_GAP));
            self.pace_start = Some((Instant::now(), events));
        }
    }

    /// Returns whether there are more events than the request has output
    /// tokens.
    fn has_overrun(&self) -> bool {
        let ceiling = self.max_output_tokens;
        ceiling > 0 && self.position.events > ceiling + MAX_EMPTY_EVENTS
    }

    /// Reads one chunk of the stream into the buffer.
    async fn receive(
        &mut self,
        body: &mut dyn UpstreamBody,
        deadline: Instant,
    ) -> Result<(), UpstreamFault> {
        let chunk = body.next_chunk(deadline).await?;
        let Some(chunk) = chunk else {
            if self.scanner.has_partial() && !self.scanner.has_event() {
                return Err(cut_event_fault());
            }
            self.ended = true;
            return Ok(());
        };
        self.scanner.push(&chunk);
        self.bytes_since_event += chunk.len();
        let limit = self.core.settings.limits.answer_bytes;
        if self.scanner.is_oversized() || self.bytes_since_event > limit {
            return Err(UpstreamFault::broken("an event is too large"));
        }
        Ok(())
    }
}

/// Returns the fault of a stream that ended inside an event.
fn cut_event_fault() -> UpstreamFault {
    UpstreamFault::broken("the stream ended inside an event")
}
