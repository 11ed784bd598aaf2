//! Sending a request to one upstream.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{CallRequest, GatewayCore, expected_latency};
use crate::{
    ports::{ForwardCall, ForwardReply, ForwardVerdict, UpstreamFault},
    routing::{HealthChange, UpstreamOutcome, UpstreamSlot},
    telemetry::LogEvent,
};

/// How an attempt began.
pub(super) enum AttemptStart {
    /// The upstream answers.
    Answering(ForwardReply),
    /// The request did not reach the upstream.
    Unreachable(UpstreamFault),
    /// The upstream refused the request without running it.
    Refused(ForwardVerdict),
    /// The request left, and what became of it is unknown.
    Unknown(UpstreamFault),
    /// The upstream takes longer than it should and was let go.
    Silent,
}

/// One request at one upstream.
pub(super) struct CallAttempt<'a> {
    pub(super) core: &'a GatewayCore,
    pub(super) request: &'a Rc<CallRequest>,
    pub(super) slot: UpstreamSlot,
    pub(super) resume_after: Option<u64>,
    /// Whether the request may be sent to another upstream.
    pub(super) may_retry: bool,
    /// Upstreams that have failed for the request.
    pub(super) excluded: Vec<String>,
    /// The slot to which the request was taken away from a silent upstream;
    /// the retry is paid for then.
    pub(super) next_slot: Option<UpstreamSlot>,
    /// When the request left.
    pub(super) sent_at: Instant,
    answer_timeout: Duration,
    timed_out: bool,
}

impl<'a> CallAttempt<'a> {
    /// Creates an attempt with a slot at an upstream.
    pub(super) fn new(
        core: &'a GatewayCore,
        request: &'a Rc<CallRequest>,
        slot: UpstreamSlot,
    ) -> CallAttempt<'a> {
        CallAttempt {
            core,
            request,
            slot,
            resume_after: request.resume_after,
            may_retry: false,
            excluded: Vec::new(),
            next_slot: None,
            sent_at: Instant::now(),
            answer_timeout: core.answer_timeout(request),
            timed_out: false,
        }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// `on_send` is called just before the first byte leaves.
    pub(super) async fn start(
        &mut self,
        on_send: impl FnOnce(),
    ) -> AttemptStart {
        let upstream = self.slot.upstream().clone();
        let ports = &self.core.ports;
        let link = match ports.upstreams.connect(upstream.address).await {
            Ok(link) => link,
            Err(fault) => {
                self.record_outcome(UpstreamOutcome::Unreachable);
                return AttemptStart::Unreachable(fault);
            }
        };
        self.sent_at = Instant::now();
        on_send();
        let left = self.request.answer_deadline() - self.sent_at;
        let call = ForwardCall {
            request: self.request.clone(),
            upstream: upstream.vm,
            time_left: left,
            resume_after: self.resume_after,
        };
        let sent = {
            let mut send = pin!(link.send(call));
            let timely =
                monoio::time::timeout(self.answer_timeout, &mut send).await;
            match timely {
                Ok(sent) => sent,
                Err(_) => {
                    self.record_silence();
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
        if reply.verdict != ForwardVerdict::Ran {
            return AttemptStart::Refused(reply.verdict);
        }
        AttemptStart::Answering(reply)
    }

    /// Takes the request away from a silent upstream if another one has a
    /// free slot and a retry is left.
    ///
    /// Otherwise the upstream is waited for: its silence alone is no reason
    /// to end an answer.
    pub(super) fn try_reroute(&mut self) -> bool {
        if !self.may_retry {
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

    /// Time left until the upstream counts as silent.
    pub(super) fn timeout_left(&self) -> Duration {
        self.answer_timeout.saturating_sub(self.sent_at.elapsed())
    }

    /// Notes that the upstream has not answered in time.
    pub(super) fn record_silence(&mut self) {
        if self.timed_out {
            return;
        }
        self.timed_out = true;
        let address = self.slot.upstream().address;
        // The connection may have gone silent rather than the upstream.
        self.core.ports.upstreams.close_idle(address);
        self.record_outcome(UpstreamOutcome::Silent);
    }

    /// Notes that the answer, or its first event, has come.
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

    /// The time to the answer as a multiple of what the size of the request
    /// lets expect, in seconds, so that requests of all sizes compare.
    fn normalized_latency(&self) -> Duration {
        let expected = expected_latency(self.request).as_secs_f64();
        Duration::from_secs_f64(
            self.sent_at.elapsed().as_secs_f64() / expected,
        )
    }

    /// Notes what the request came to, for the upstream's health.
    pub(super) fn record_outcome(&self, outcome: UpstreamOutcome) {
        let upstream = self.slot.upstream();
        let is_answer = matches!(outcome, UpstreamOutcome::Answered { .. });
        // A connection that does not open says nothing of the version. It
        // may be this router's link, and a new version needs new ones.
        if outcome != UpstreamOutcome::Unreachable {
            self.core.record_evidence(
                &upstream.service,
                &upstream.version,
                &self.request.route.name,
                !is_answer,
                is_answer.then(|| self.normalized_latency()),
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
