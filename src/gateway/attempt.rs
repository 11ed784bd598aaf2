//! One attempt to serve a request at one upstream.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{CallRequest, GatewayCore, expected_latency};
use crate::{
    moves::RequestResult,
    ports::{ForwardCall, ForwardReply, ForwardVerdict, UpstreamFault},
    routing::{HealthChange, UpstreamOutcome, UpstreamSlot},
    telemetry::LogEvent,
};

/// The result of sending a request to an upstream.
pub(super) enum AttemptStart {
    /// The upstream has started an answer.
    Answering(ForwardReply),
    /// The request did not reach the upstream.
    Unreachable(UpstreamFault),
    /// The upstream refused the request without running it.
    Refused(ForwardVerdict),
    /// The request was sent and may have run; the answer was lost.
    Unknown(UpstreamFault),
    /// The upstream did not answer within the timeout, and the request was
    /// reassigned to another one.
    Silent,
}

/// An attempt to serve a request at one upstream.
pub(super) struct CallAttempt<'a> {
    pub(super) core: &'a Rc<GatewayCore>,
    pub(super) request: &'a Rc<CallRequest>,
    pub(super) slot: UpstreamSlot,
    /// Identifier of the last event that the caller has received.
    pub(super) resume_after: Option<u64>,
    /// Whether the request may be sent to another upstream.
    pub(super) may_retry: bool,
    /// Whether the request is sent on a new connection, because it was lost
    /// on another one.
    pub(super) on_new_connection: bool,
    /// Upstreams at which the request has failed.
    pub(super) excluded: Vec<String>,
    /// The slot at another upstream that was reserved when this one timed
    /// out. The retry is already charged to the retry budget.
    pub(super) next_slot: Option<UpstreamSlot>,
    /// When the request was sent.
    pub(super) sent_at: Instant,
    /// How long the upstream may take to start its answer.
    answer_timeout: Duration,
    /// Whether a timeout of this upstream was recorded.
    timed_out: bool,
}

impl<'a> CallAttempt<'a> {
    /// Creates an attempt that uses a slot at an upstream.
    pub(super) fn new(
        core: &'a Rc<GatewayCore>,
        request: &'a Rc<CallRequest>,
        slot: UpstreamSlot,
    ) -> CallAttempt<'a> {
        CallAttempt {
            core,
            request,
            slot,
            resume_after: request.resume_after,
            may_retry: false,
            on_new_connection: false,
            excluded: Vec::new(),
            next_slot: None,
            sent_at: Instant::now(),
            answer_timeout: core.answer_timeout(request),
            timed_out: false,
        }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// Calls `on_send` just before it sends the first byte.
    pub(super) async fn start(
        &mut self,
        on_send: impl FnOnce(),
    ) -> AttemptStart {
        let upstream = self.slot.upstream().clone();
        let ports = &self.core.ports;
        let connect = match self.on_new_connection {
            true => ports.upstreams.connect_new(upstream.address),
            false => ports.upstreams.connect(upstream.address),
        };
        let link = match connect.await {
            Ok(link) => link,
            Err(fault) => {
                self.record_outcome(UpstreamOutcome::Unreachable);
                return AttemptStart::Unreachable(fault);
            }
        };
        self.sent_at = Instant::now();
        on_send();
        self.core.record_version_send(&upstream.service, &upstream.version);
        let left = self.request.answer_deadline() - self.sent_at;
        let call = ForwardCall {
            request: self.request.clone(),
            upstream: upstream.vm,
            time_left: left,
            resume_after: self.resume_after,
        };
        let is_kept = link.is_kept();
        let sent = {
            let mut send = pin!(link.send(call));
            let timely =
                monoio::time::timeout(self.answer_timeout, &mut send).await;
            match timely {
                Ok(sent) => sent,
                Err(_) => {
                    self.record_timeout();
                    if is_kept {
                        self.record_silent_connection();
                    }
                    if self.try_reroute() {
                        return AttemptStart::Silent;
                    }
                    send.await
                }
            }
        };
        let reply = match sent {
            Ok(reply) => reply,
            Err(fault) => {
                self.record_outcome(UpstreamOutcome::Lost);
                return AttemptStart::Unknown(fault);
            }
        };
        if reply.is_leaving {
            self.core.record_leaving(self.slot.upstream());
        }
        self.core.record_limit(
            &self.slot.upstream().vm,
            reply.limit,
            self.sent_at,
        );
        if let Some(time) = reply.retry_after {
            self.core.record_backoff(self.slot.upstream(), time);
        }
        if reply.verdict != ForwardVerdict::Ran {
            return AttemptStart::Refused(reply.verdict);
        }
        AttemptStart::Answering(reply)
    }

    /// Reserves a slot at another upstream after a timeout; returns `false`
    /// if the request may not be retried, no slot is free or the retry budget
    /// is spent.
    ///
    /// In that case the request stays at the current upstream. A timeout
    /// alone does not fail a request.
    pub(super) fn try_reroute(&mut self) -> bool {
        if !self.may_retry || self.core.is_quarantined(self.request) {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(self.slot.upstream().vm.clone());
        let core = self.core;
        let admission = core.admission(self.request, &excluded);
        let slot = core.table.try_admit(&admission.with_wait(Duration::ZERO));
        let service = &self.request.service;
        self.next_slot = slot.filter(|_| core.try_spend_retry(service));
        self.next_slot.is_some()
    }

    /// Returns the time left until the upstream times out.
    pub(super) fn timeout_left(&self) -> Duration {
        self.answer_timeout.saturating_sub(self.sent_at.elapsed())
    }

    /// Records that the upstream did not answer within the timeout.
    pub(super) fn record_timeout(&mut self) {
        if self.timed_out {
            return;
        }
        self.timed_out = true;
        let address = self.slot.upstream().address;
        // The connection may be dead rather than the upstream.
        self.core.ports.upstreams.close_idle(address);
        self.record_outcome(UpstreamOutcome::Silent);
    }

    /// Records that a kept connection has carried nothing. If those to other
    /// upstreams have neither, all that were idle meanwhile are closed.
    fn record_silent_connection(&self) {
        let upstream = self.slot.upstream().vm.as_str();
        let mut silent = self.core.silent_upstreams.borrow_mut();
        let since = silent.record(upstream, self.sent_at, Instant::now());
        drop(silent);
        let Some(since) = since else {
            return;
        };
        let closed = self.core.ports.upstreams.close_idle_since(since);
        if closed == 0 {
            return;
        }
        log::info!(
            event:% = LogEvent::ConnectionsClosed,
            request_id = self.request.id.as_str(), upstream, closed,
            idle_ms = since.elapsed().as_millis() as u64;
            "idle connections closed: several upstreams are silent"
        );
    }

    /// Records that the answer has arrived, or the first event of a streamed
    /// answer.
    pub(super) fn record_answer(&self) {
        let expected = expected_latency(self.request);
        let took = self.sent_at.elapsed();
        let service = &self.request.service;
        let mut latencies = self.core.latencies.borrow_mut();
        let slowness = latencies.record_answer(service, expected, took);
        drop(latencies);
        if !self.timed_out {
            self.record_outcome(UpstreamOutcome::Answered { slowness });
        }
    }

    /// Returns the ratio of the actual to the expected time to the answer,
    /// which makes requests of different sizes comparable. A ratio of 1 is
    /// returned as one second because evidence is recorded with a duration.
    fn normalized_latency(&self) -> Duration {
        let expected = expected_latency(self.request).as_secs_f64();
        Duration::from_secs_f64(
            self.sent_at.elapsed().as_secs_f64() / expected,
        )
    }

    /// Returns what an outcome is evidence of during a version move.
    ///
    /// A connection failure is no evidence against the version. This router's
    /// link may be at fault, and a new version is more exposed to that
    /// because all of its connections are new.
    fn evidence_of(&self, outcome: UpstreamOutcome) -> Option<RequestResult> {
        Some(match outcome {
            UpstreamOutcome::Answered { .. } => {
                let latency = self.normalized_latency();
                let latency_us = Some(latency.as_micros() as u64);
                RequestResult::Answered { latency_us }
            }
            UpstreamOutcome::Failed => RequestResult::Error,
            UpstreamOutcome::Lost => RequestResult::Lost,
            UpstreamOutcome::Silent => RequestResult::TimedOut,
            UpstreamOutcome::Unreachable => return None,
        })
    }

    /// Records the outcome for the health of the upstream and, during a
    /// version move, as evidence for or against its version.
    pub(super) fn record_outcome(&self, outcome: UpstreamOutcome) {
        let upstream = self.slot.upstream();
        if let Some(result) = self.evidence_of(outcome) {
            self.core.record_evidence(
                &upstream.service,
                &upstream.version,
                &self.request.route.name,
                result,
            );
        }
        match self.slot.record_outcome(outcome) {
            Some(HealthChange::Ejected(time)) => {
                self.core.metrics.note_event("upstream_ejected");
                log::info!(
                    event:% = LogEvent::UpstreamEjected,
                    upstream = upstream.vm.as_str(),
                    service = upstream.service.as_str(),
                    cause:? = outcome,
                    for_ms = time.as_millis() as u64;
                    "upstream ejected"
                );
            }
            Some(HealthChange::Readmitted) => {
                self.core.metrics.note_event("upstream_readmitted");
                log::info!(
                    event:% = LogEvent::UpstreamReadmitted,
                    upstream = upstream.vm.as_str(),
                    service = upstream.service.as_str();
                    "upstream readmitted"
                );
            }
            None => {}
        }
    }
}
