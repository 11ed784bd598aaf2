//! Forwards the answer of an upstream to the caller.

use std::time::Instant;

use {
    bytes::Bytes,
    http::{HeaderMap, Response, StatusCode},
};

use super::{
    attempt::CallAttempt,
    dispatch::{CallDispatch, NextStep, upstream_error},
    moves::EvidenceKey,
    progress::CallEnd,
    relay::{EventRelay, RelayEnd},
};
use crate::{
    adapters::http::{HttpFault, HttpResponder},
    allowance::TokenHold,
    ports::{ForwardReply, UpstreamBody, UpstreamFault},
    routing::{AssignedUpstream, UpstreamOutcome},
};

impl<'a> CallDispatch<'a> {
    /// Forwards an answer to the caller.
    pub(super) async fn answer(
        &mut self,
        attempt: CallAttempt<'a>,
        reply: ForwardReply,
        hold: &TokenHold,
        responder: &mut HttpResponder,
    ) -> NextStep {
        let request = self.request;
        let is_stream = request.route.kind.is_stream();
        if is_stream && reply.status == StatusCode::OK {
            return self.answer_stream(attempt, reply, hold, responder).await;
        }
        let ForwardReply { status, headers, mut body, .. } = reply;
        let upstream = attempt.slot.upstream().vm.clone();
        let deadline = request.answer_deadline();
        let limit = self.core.settings.limits.answer_bytes;
        let is_delimited = body.is_delimited();
        let whole = read_body(body.as_mut(), deadline, limit).await;
        let whole = match whole {
            Ok(whole) => whole,
            Err(fault) => {
                attempt.record_outcome(UpstreamOutcome::Lost);
                self.record_loss(attempt.slot.upstream(), &fault).await;
                return self.handle_fault(attempt, upstream, &fault);
            }
        };
        self.record_end(attempt.slot.upstream(), is_delimited).await;
        if status.is_server_error() {
            attempt.record_outcome(UpstreamOutcome::Failed);
            self.log_failed_attempt(&upstream, status.as_str());
            let is_unanswered = self.position.events == 0;
            let should_retry = is_unanswered
                && self.may_retry()
                && self.core.try_spend_retry(&request.service);
            if should_retry {
                self.excluded.push(upstream);
                return NextStep::TryAgain;
            }
        } else {
            attempt.record_answer();
        }
        self.progress.answered_after.set(request.arrived_at.elapsed());
        drop(attempt);
        if responder.has_begun() {
            // The caller has received part of a stream, which cannot
            // continue with another kind of answer.
            let fault = UpstreamFault::broken(status);
            let error = upstream_error(request, &fault);
            return NextStep::End(CallEnd::Failed(error));
        }
        let mut response = Response::new(whole);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let end = match responder.send(response).await {
            Ok(()) => CallEnd::Answered(status),
            Err(_) => CallEnd::CallerGone,
        };
        // Until here the memory of the answer is reserved.
        drop(body);
        NextStep::End(end)
    }

    /// Relays an event stream to the caller.
    async fn answer_stream(
        &mut self,
        mut attempt: CallAttempt<'a>,
        reply: ForwardReply,
        hold: &TokenHold,
        responder: &mut HttpResponder,
    ) -> NextStep {
        let request = self.request;
        let ForwardReply { status, headers, mut body, .. } = reply;
        let upstream = attempt.slot.upstream().vm.clone();
        let deadline = request.answer_deadline();
        let mut relay = self.relay(hold, attempt.slot.upstream());
        let has_event = wait_first_event(
            &mut attempt,
            &mut relay,
            body.as_mut(),
            deadline,
        );
        let has_event = match has_event.await {
            Ok(has_event) => has_event,
            Err(fault) => {
                drop(body);
                if fault != UpstreamFault::TimedOut {
                    attempt.record_outcome(UpstreamOutcome::Lost);
                }
                self.record_loss(attempt.slot.upstream(), &fault).await;
                return self.handle_fault(attempt, upstream, &fault);
            }
        };
        if has_event {
            attempt.record_answer();
            self.core.record_part_begin(request);
            let account = request.account_name();
            let took = request.arrived_at.elapsed();
            if self.progress.answered_after.get().is_zero() {
                self.progress.answered_after.set(took);
            }
            let metrics = &self.core.metrics;
            let kind = request.route.kind.name();
            metrics.note_first_token(account, kind, took);
        }
        if !responder.has_begun()
            && begin_stream(responder, status, headers).await.is_err()
        {
            return NextStep::End(CallEnd::CallerGone);
        }
        attempt.may_retry = self.may_retry();
        let mut end = relay.run(body.as_mut(), responder, deadline).await;
        if matches!(end, RelayEnd::Silent) {
            attempt.record_timeout();
            if !attempt.try_reroute() {
                relay.clear_gap_timeout();
                end = relay.run(body.as_mut(), responder, deadline).await;
            }
        }
        let position = relay.position();
        self.progress.events.set(position.events);
        let is_delimited = body.is_delimited();
        drop(body);
        let fault = match end {
            RelayEnd::Complete => {
                self.record_end(attempt.slot.upstream(), is_delimited).await;
                return NextStep::End(CallEnd::Answered(status));
            }
            RelayEnd::CallerGone => {
                return NextStep::End(CallEnd::CallerGone);
            }
            RelayEnd::Broken(fault) => {
                attempt.record_outcome(UpstreamOutcome::Lost);
                self.record_loss(attempt.slot.upstream(), &fault).await;
                fault
            }
            RelayEnd::Overrun => {
                // The events that were forwarded are wrong, so the stream
                // cannot be resumed elsewhere.
                attempt.record_outcome(UpstreamOutcome::Lost);
                let fault = UpstreamFault::broken("more events than asked");
                self.log_failed_attempt(&upstream, &fault.to_string());
                let error = upstream_error(request, &fault);
                return NextStep::End(CallEnd::Failed(error));
            }
            RelayEnd::Silent => UpstreamFault::TimedOut,
        };
        self.position = position;
        self.handle_fault(attempt, upstream, &fault)
    }

    /// Creates the relay of a stream from `upstream`.
    fn relay(
        &self,
        hold: &'a TokenHold,
        upstream: &AssignedUpstream,
    ) -> EventRelay<'a> {
        let request = self.request;
        let catalog = self.core.catalog().ok();
        let service =
            catalog.and_then(|c| c.service(&request.service).cloned());
        let engine = service.and_then(|service| service.engine);
        let tokens_per_event =
            engine.map_or(1, |engine| engine.max_event_tokens);
        let ceiling = request.ceiling;
        let evidence_key = EvidenceKey {
            service: upstream.service.clone(),
            version: upstream.version.clone(),
            route: request.route.name.clone(),
        };
        let relay = EventRelay::new(self.core, hold, self.position)
            .with_cost(ceiling.prompt, tokens_per_event, ceiling.output)
            .with_pace(evidence_key);
        if self.may_retry() {
            return relay.with_gap_objective(request.route.gap_objective);
        }
        relay
    }
}

/// Waits for the first event of a stream.
///
/// On a timeout of the upstream, the request is reassigned to another one if
/// possible; otherwise the wait continues until `deadline`.
async fn wait_first_event(
    attempt: &mut CallAttempt<'_>,
    relay: &mut EventRelay<'_>,
    body: &mut dyn UpstreamBody,
    deadline: Instant,
) -> Result<bool, UpstreamFault> {
    let until = Instant::now() + attempt.timeout_left();
    let until = until.min(deadline);
    let received = relay.receive_first(body, until).await;
    if received != Err(UpstreamFault::TimedOut) {
        return received;
    }
    attempt.record_timeout();
    if attempt.try_reroute() {
        return received;
    }
    relay.receive_first(body, deadline).await
}

/// Sends the head of a stream to the caller.
async fn begin_stream(
    responder: &mut HttpResponder,
    status: StatusCode,
    headers: HeaderMap,
) -> Result<(), HttpFault> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    *head.headers_mut() = headers;
    responder.begin_stream(head).await
}

/// Reads the whole body of an answer, at most `limit` bytes.
async fn read_body(
    upstream_body: &mut dyn UpstreamBody,
    deadline: Instant,
    limit: usize,
) -> Result<Bytes, UpstreamFault> {
    let mut first = Bytes::new();
    let mut body = Vec::new();
    while let Some(chunk) = upstream_body.next_chunk(deadline).await? {
        let bytes = first.len() + body.len() + chunk.len();
        if bytes > limit {
            return Err(UpstreamFault::broken("an answer is too large"));
        }
        upstream_body.hold(bytes, deadline).await?;
        // A body that arrives as a whole is not copied.
        if first.is_empty() && body.is_empty() {
            first = chunk;
            continue;
        }
        body.extend_from_slice(&std::mem::take(&mut first));
        body.extend_from_slice(&chunk);
    }
    Ok(if first.is_empty() { Bytes::from(body) } else { first })
}
