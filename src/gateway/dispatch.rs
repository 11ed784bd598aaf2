//! Serves one request.
//!
//! A request reserves tokens of its client account, waits for a slot at an
//! upstream, is sent, and is answered. Until it is sent, an error says that
//! it has not run. Afterwards it is retried only if its kind allows that or
//! if the upstream reported that it did not run the request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderMap, Response, StatusCode},
};

use super::{
    CallRequest, GatewayCore,
    attempt::{AttemptStart, CallAttempt},
    moves::EvidenceKey,
    relay::{EventRelay, RelayEnd, StreamPosition},
};
use crate::{
    adapters::http::{HttpResponder, RequestReader},
    allowance::TokenHold,
    error::{CallError, ErrorKind},
    ports::{ForwardReply, ForwardVerdict, UpstreamBody, UpstreamFault},
    routing::{AssignedUpstream, UpstreamOutcome, UpstreamSlot},
    telemetry::LogEvent,
};

/// Maximum number of refusals by upstreams after which the request is still
/// tried at another one.
const MAX_REFUSALS: u32 = 3;

/// Wait for a slot or for tokens as a fraction of the latency objective.
const WAIT_FRACTION: f64 = 0.75;

/// Maximum wait for a slot or for tokens.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Minimum time before the deadline for a retry to be worthwhile.
const MIN_RETRY_TIME: Duration = Duration::from_millis(50);

/// How a request ended.
enum CallEnd {
    /// The caller has received the whole answer with this status.
    Answered(StatusCode),
    /// The caller has disconnected.
    CallerGone,
    /// The request failed with an error.
    Failed(CallError),
}

/// The progress of a request. It outlives a dispatch that is cancelled by a
/// timeout or by a disconnect. Durations count from the request's arrival.
#[derive(Default)]
struct CallProgress {
    /// Whether an upstream may have run the request.
    may_have_run: Cell<bool>,
    /// Number of times that the request was sent, without refusals.
    sends: Cell<u32>,
    /// Number of events that were forwarded.
    events: Cell<u64>,
    /// The upstream of the last attempt.
    upstream: RefCell<String>,
    /// Time until the tokens were reserved.
    reserved_after: Cell<Duration>,
    /// Age of the declarations on arrival of the request.
    catalog_age: Cell<Duration>,
    /// Age of the list of upstreams when the request was last sent.
    upstream_list_age: Cell<Duration>,
    /// Time until the request was last sent.
    sent_after: Cell<Duration>,
    /// Time until the answer, or its first event, arrived.
    answered_after: Cell<Duration>,
}

/// Serves one request; returns `false` if the connection has to be closed.
pub(super) async fn serve(
    core: &Rc<GatewayCore>,
    request: &Rc<CallRequest>,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) -> bool {
    let progress = CallProgress::default();
    progress.catalog_age.set(core.catalog_age());
    core.record_request(&request.service);
    let end = {
        let dispatch = CallDispatch::new(core, request, &progress);
        let time_left = request
            .answer_deadline()
            .saturating_duration_since(Instant::now());
        monoio::select! {
            biased;
            end = dispatch.run(responder) => end,
            () = wait_for_disconnect(reader, request, &progress) => {
                CallEnd::CallerGone
            }
            () = monoio::time::sleep(time_left) => {
                CallEnd::Failed(timeout_error(&progress))
            }
        }
    };
    finish(core, request, &progress, end, responder).await
}

/// Completes when the caller has disconnected and the request may be
/// cancelled.
///
/// A call that must run at most once is not cancelled after it was sent. It
/// may already have had an effect, and a cancellation would hide the outcome.
async fn wait_for_disconnect(
    reader: &mut RequestReader,
    request: &CallRequest,
    progress: &CallProgress,
) {
    reader.wait_closed().await;
    let runs_once = request.route.kind == crate::catalog::CallKind::AtMostOnce;
    if runs_once && progress.may_have_run.get() {
        std::future::pending::<()>().await;
    }
}

/// Returns the error of a request whose time is over.
fn timeout_error(progress: &CallProgress) -> CallError {
    if progress.may_have_run.get() {
        let message = "no upstream answered within the time of the request";
        return CallError::new(ErrorKind::UpstreamTimeout, message);
    }
    let message = "no upstream took the request within its time";
    CallError::new(ErrorKind::Overloaded, message)
}

/// Sends the error, if there is one, to the caller, and writes the metrics
/// and the log line of the request; returns `false` if the connection has to
/// be closed.
async fn finish(
    core: &GatewayCore,
    request: &CallRequest,
    progress: &CallProgress,
    end: CallEnd,
    responder: &mut HttpResponder,
) -> bool {
    let account = request.account_name();
    let took = request.arrived_at.elapsed();
    let (outcome, keep_alive) = match end {
        CallEnd::Answered(status) => {
            let kind = request.route.kind.name();
            core.metrics.note_duration(account, kind, took);
            (status.as_str().to_owned(), true)
        }
        CallEnd::CallerGone => ("caller_gone".to_owned(), false),
        CallEnd::Failed(error) => {
            let code = error.kind.code().to_owned();
            if error.kind == ErrorKind::BudgetUnavailable {
                core.record_token_shortage();
            }
            log::info!(
                event:% = LogEvent::RequestFailed,
                request_id = request.id.as_str(), kind = code.as_str(),
                retry_ms = error.retry_delay().map_or(0, |w| {
                    w.as_millis() as u64
                });
                "request failed: {}", error.message
            );
            let keep_alive = if responder.has_begun() {
                false
            } else {
                let answer = core.ports.front.error_answer(&error);
                responder.send(answer).await.is_ok()
            };
            (code, keep_alive)
        }
    };
    core.metrics.note_answer(account, &outcome);
    log::info!(
        event:% = LogEvent::RequestEnded,
        request_id = request.id.as_str(),
        account,
        route = request.route.name.as_str(),
        catalog = request.catalog_version,
        catalog_age_ms = progress.catalog_age.get().as_millis() as u64,
        upstream = progress.upstream.borrow().as_str(),
        sends = progress.sends.get(),
        events = progress.events.get(),
        tokens_ms = progress.reserved_after.get().as_millis() as u64,
        list_age_ms = progress.upstream_list_age.get().as_millis() as u64,
        sent_ms = progress.sent_after.get().as_millis() as u64,
        answered_ms = progress.answered_after.get().as_millis() as u64,
        took_ms = took.as_millis() as u64,
        limit_ms = request.route.timeout.as_millis() as u64,
        outcome = outcome.as_str();
        "request ended"
    );
    keep_alive
}

/// What to do after an attempt.
enum NextStep {
    /// End the request.
    End(CallEnd),
    /// Try another upstream.
    TryAgain,
}

/// The state of serving one request.
struct CallDispatch<'a> {
    core: &'a Rc<GatewayCore>,
    request: &'a Rc<CallRequest>,
    progress: &'a CallProgress,
    /// Upstreams at which the request has failed.
    excluded: Vec<String>,
    /// Number of upstreams that were unreachable or refused the request.
    refusals: u32,
    /// The error of the last attempt that may have run the request.
    failure: Option<CallError>,
    /// How much of a stream the caller has received.
    position: StreamPosition,
    /// A slot that was reserved when the previous upstream timed out.
    next_slot: Option<UpstreamSlot>,
}

impl<'a> CallDispatch<'a> {
    fn new(
        core: &'a Rc<GatewayCore>,
        request: &'a Rc<CallRequest>,
        progress: &'a CallProgress,
    ) -> CallDispatch<'a> {
        let position =
            StreamPosition { last_event: request.resume_after, events: 0 };
        CallDispatch {
            core,
            request,
            progress,
            excluded: Vec::new(),
            refusals: 0,
            failure: None,
            position,
            next_slot: None,
        }
    }

    async fn run(mut self, responder: &mut HttpResponder) -> CallEnd {
        if let Err(error) = self.core.reject_if_quarantined(self.request) {
            return CallEnd::Failed(error);
        }
        let hold = match self.reserve().await {
            Ok(hold) => hold,
            Err(error) => {
                return CallEnd::Failed(
                    self.core.make_retryable_unless_fresh(error),
                );
            }
        };
        self.progress.reserved_after.set(self.request.arrived_at.elapsed());
        loop {
            let slot = match self.acquire_slot().await {
                Ok(slot) => slot,
                // The error of an earlier attempt is more informative than
                // the lack of another upstream.
                Err(error) => {
                    let failure = self.failure.take();
                    return CallEnd::Failed(failure.unwrap_or(error));
                }
            };
            let step = self.attempt(slot, &hold, responder).await;
            match step {
                NextStep::End(end) => return end,
                NextStep::TryAgain => {}
            }
        }
    }

    /// Reserves the maximum number of tokens that the request may use.
    async fn reserve(&self) -> Result<TokenHold, CallError> {
        let request = self.request;
        let tokens = request.ceiling.total();
        if tokens == 0 {
            return Ok(TokenHold::uncharged());
        }
        let account = request.account_name();
        let wait = self.max_wait();
        self.core.keeper.reserve(account, tokens, wait).await
    }

    /// Returns the maximum wait for a slot or for tokens.
    fn max_wait(&self) -> Duration {
        let request = self.request;
        let left = request.answer_deadline() - request.arrived_at;
        let wait = request.route.latency_objective.mul_f64(WAIT_FRACTION);
        wait.min(left / 2).min(MAX_WAIT)
    }

    /// Waits for a slot at an upstream.
    async fn acquire_slot(&mut self) -> Result<UpstreamSlot, CallError> {
        if let Some(slot) = self.next_slot.take() {
            return Ok(slot);
        }
        let wait = self.max_wait();
        let admission = self.core.admission(self.request, &self.excluded);
        self.core.table.admit(&admission.with_wait(wait)).await
    }

    /// Returns whether the request may be sent to another upstream.
    fn may_retry(&self) -> bool {
        let request = self.request;
        let left = request.answer_deadline() - Instant::now();
        request.route.kind.is_retryable()
            && self.progress.sends.get() < request.route.max_attempts
            && left > MIN_RETRY_TIME
            && !self.core.is_quarantined(request)
    }

    /// Sends the request to the upstream of `slot` and handles the result.
    async fn attempt(
        &mut self,
        slot: UpstreamSlot,
        hold: &TokenHold,
        responder: &mut HttpResponder,
    ) -> NextStep {
        let (core, request, progress) =
            (self.core, self.request, self.progress);
        let upstream = slot.upstream().vm.clone();
        progress.upstream.replace(upstream.clone());
        let mut attempt = CallAttempt::new(core, request, slot);
        attempt.resume_after = self.position.last_event;
        attempt.excluded = self.excluded.clone();
        // This attempt counts, too: one more has to be left after it.
        attempt.may_retry = request.route.kind.is_retryable()
            && progress.sends.get() + 1 < request.route.max_attempts;
        let ran_before = progress.may_have_run.get();
        let on_send = || {
            progress.may_have_run.set(true);
            progress.sends.set(progress.sends.get() + 1);
            progress.upstream_list_age.set(core.list_age());
            progress.sent_after.set(request.arrived_at.elapsed());
            hold.set_used(hold.used().max(request.ceiling.prompt));
        };
        let start = attempt.start(on_send).await;
        match start {
            AttemptStart::Answering(reply) => {
                self.answer(attempt, reply, hold, responder).await
            }
            AttemptStart::Unreachable(fault) => {
                self.log_failed_attempt(&upstream, &fault.to_string());
                self.excluded.push(upstream);
                self.handle_refusal(ErrorKind::NoUpstream, false)
            }
            AttemptStart::Refused(verdict) => {
                self.log_failed_attempt(&upstream, &format!("{verdict:?}"));
                progress.sends.set(progress.sends.get() - 1);
                if !ran_before {
                    progress.may_have_run.set(false);
                    hold.set_used(0);
                }
                if verdict == ForwardVerdict::WrongUpstream {
                    core.remove_misaddressed(&upstream);
                }
                self.excluded.push(upstream);
                let kind = match verdict {
                    ForwardVerdict::Full => ErrorKind::Overloaded,
                    _ => ErrorKind::NoUpstream,
                };
                self.handle_refusal(kind, true)
            }
            AttemptStart::Unknown(fault) => {
                self.record_loss(attempt.slot.upstream(), &fault).await;
                self.handle_fault(attempt, upstream, &fault)
            }
            AttemptStart::Silent => {
                self.log_failed_attempt(
                    &upstream,
                    "no answer within the timeout",
                );
                self.retry_or_fail(attempt, upstream, &UpstreamFault::TimedOut)
            }
        }
    }

    fn log_failed_attempt(&self, upstream: &str, reason: &str) {
        log::info!(
            event:% = LogEvent::AttemptFailed,
            request_id = self.request.id.as_str(),
            service = self.request.service.as_str(),
            upstream,
            sends = self.progress.sends.get();
            "attempt failed: {reason}"
        );
    }

    /// Records that an upstream was lost before the end of the answer.
    async fn record_loss(
        &self,
        upstream: &AssignedUpstream,
        fault: &UpstreamFault,
    ) {
        if *fault != UpstreamFault::TimedOut {
            self.core.record_part_loss(self.request, upstream).await;
        }
    }

    /// Records that the upstream has answered in full.
    ///
    /// The rest of a stream that broke off at another upstream is no whole
    /// answer.
    async fn record_end(
        &self,
        upstream: &AssignedUpstream,
        is_delimited: bool,
    ) {
        if self.position.last_event.is_some() {
            return;
        }
        if is_delimited {
            self.core.record_part_answer(self.request);
        } else {
            self.core.record_part_close(self.request, upstream).await;
        }
    }

    /// Handles an upstream that did not run the request.
    ///
    /// A retry after a refusal is charged to the retry budget, but one after
    /// a failure to connect is not.
    fn handle_refusal(
        &mut self,
        kind: ErrorKind,
        reached_upstream: bool,
    ) -> NextStep {
        self.refusals += 1;
        let service = &self.request.service;
        let allowed = !reached_upstream || self.core.try_spend_retry(service);
        if self.refusals <= MAX_REFUSALS && allowed {
            return NextStep::TryAgain;
        }
        if let Some(failure) = self.failure.take() {
            return NextStep::End(CallEnd::Failed(failure));
        }
        let message = format!("no upstream of {service} took the request");
        NextStep::End(CallEnd::Failed(CallError::new(kind, message)))
    }

    /// Logs a fault of an upstream that may have run the request, then
    /// retries or fails the request.
    fn handle_fault(
        &mut self,
        attempt: CallAttempt<'a>,
        upstream: String,
        fault: &UpstreamFault,
    ) -> NextStep {
        self.log_failed_attempt(&upstream, &fault.to_string());
        self.retry_or_fail(attempt, upstream, fault)
    }

    /// Retries a request that may have run at `upstream`, or fails it if no
    /// retry is allowed.
    ///
    /// If a slot at another upstream is reserved, its retry is already spent.
    fn retry_or_fail(
        &mut self,
        mut attempt: CallAttempt<'a>,
        upstream: String,
        fault: &UpstreamFault,
    ) -> NextStep {
        self.next_slot = attempt.next_slot.take();
        self.excluded.push(upstream);
        let error = upstream_error(self.request, fault);
        let should_retry = self.next_slot.is_some()
            || self.may_retry()
                && self.core.try_spend_retry(&self.request.service);
        if !should_retry {
            return NextStep::End(CallEnd::Failed(error));
        }
        self.failure = Some(error);
        NextStep::TryAgain
    }

    /// Forwards an answer to the caller.
    async fn answer(
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
) -> Result<(), crate::adapters::http::HttpFault> {
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

/// Returns the error of a request that was sent and has no valid answer.
fn upstream_error(request: &CallRequest, fault: &UpstreamFault) -> CallError {
    let kind = match fault {
        UpstreamFault::TimedOut => ErrorKind::UpstreamTimeout,
        _ if request.route.kind.is_retryable() => ErrorKind::UpstreamFailed,
        _ => ErrorKind::OutcomeUnknown,
    };
    CallError::new(kind, format!("the upstream failed: {fault}"))
}
