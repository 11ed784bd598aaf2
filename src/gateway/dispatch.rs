//! Serving one request.
//!
//! A request passes through these states: it waits for tokens of its client
//! account, waits for a slot at an upstream, is sent, and is answered. Until
//! it is sent it has not run, and is refused as such. Afterwards it may be
//! sent again only if its kind allows that, or if the upstream said that it
//! did not run the request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, Response, StatusCode};

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

/// Most upstreams that may refuse a request before it is refused.
const MAX_REFUSALS: u32 = 3;

/// Part of the objective for which a request waits for a slot or tokens.
const WAIT_FRACTION: f64 = 0.75;

/// Longest wait for a slot or tokens.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// A request is not sent again with less time left than this.
const MIN_RETRY_TIME: Duration = Duration::from_millis(50);

/// How the service of a request ended.
enum CallEnd {
    /// The caller has the whole answer with this status.
    Answered(StatusCode),
    /// The caller is gone.
    CallerGone,
    /// The request gets an answer that tells about an error.
    Failed(CallError),
}

/// How far a request has come, for those who end it from outside.
#[derive(Default)]
struct CallProgress {
    may_have_run: Cell<bool>,
    sends: Cell<u32>,
    events: Cell<u64>,
    /// The upstream that was tried last.
    upstream: RefCell<String>,
    /// Time until the tokens were set aside.
    reserved_after: Cell<Duration>,
    /// Age of the declarations when the request had arrived.
    catalog_age: Cell<Duration>,
    /// Age of the list of upstreams when the request left for the last time.
    upstream_list_age: Cell<Duration>,
    /// Time until the request left for the last time.
    sent_after: Cell<Duration>,
    /// Time until the first byte of the answer was there.
    answered_after: Cell<Duration>,
}

/// Serves one request; `false` if the connection has to be closed.
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
        let give_up = request
            .answer_deadline()
            .saturating_duration_since(Instant::now());
        monoio::select! {
            biased;
            end = dispatch.run(responder) => end,
            () = wait_for_disconnect(reader, request, &progress) => {
                CallEnd::CallerGone
            }
            () = monoio::time::sleep(give_up) => {
                CallEnd::Failed(timeout_error(&progress))
            }
        }
    };
    finish(core, request, &progress, end, responder).await
}

/// Completes when the caller has gone and nobody needs the answer.
///
/// A call that runs once is not cut off half-way: it may already have had an
/// effect, and ending it early would only hide which one.
async fn wait_for_disconnect(
    reader: &mut RequestReader,
    request: &CallRequest,
    progress: &CallProgress,
) {
    reader.wait_closed().await;
    let is_once = request.route.kind == crate::catalog::CallKind::AtMostOnce;
    if is_once && progress.may_have_run.get() {
        std::future::pending::<()>().await;
    }
}

fn timeout_error(progress: &CallProgress) -> CallError {
    if progress.may_have_run.get() {
        let message = "no upstream answered within the time of the request";
        return CallError::new(ErrorKind::UpstreamTimeout, message);
    }
    let message = "no upstream took the request within its time";
    CallError::new(ErrorKind::Overloaded, message)
}

/// Tells the caller about an error and writes the request's log line.
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

/// What comes after an attempt.
enum NextStep {
    /// The request is over.
    End(CallEnd),
    /// Another upstream is tried.
    TryAgain,
}

/// The service of one request.
struct CallDispatch<'a> {
    core: &'a Rc<GatewayCore>,
    request: &'a Rc<CallRequest>,
    progress: &'a CallProgress,
    excluded: Vec<String>,
    refusals: u32,
    failure: Option<CallError>,
    position: StreamPosition,
    /// A slot that was taken before a silent upstream was left.
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
        let hold = match self.reserve().await {
            Ok(hold) => hold,
            Err(error) => {
                return CallEnd::Failed(
                    self.core.soften_if_unconfirmed(error),
                );
            }
        };
        self.progress.reserved_after.set(self.request.arrived_at.elapsed());
        loop {
            let slot = match self.acquire_slot().await {
                Ok(slot) => slot,
                // The failure of an attempt says more than the lack of a
                // further upstream.
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

    /// Sets the tokens aside that the request may use.
    async fn reserve(&self) -> Result<TokenHold, CallError> {
        let request = self.request;
        let tokens = request.ceiling.total();
        if tokens == 0 {
            return Ok(TokenHold::unlimited());
        }
        let account = request.account_name();
        let wait = self.max_wait();
        self.core.keeper.reserve(account, tokens, wait).await
    }

    fn max_wait(&self) -> Duration {
        let request = self.request;
        let left = request.answer_deadline() - request.arrived_at;
        let wait = request.route.latency_objective.mul_f64(WAIT_FRACTION);
        wait.min(left / 2).min(MAX_WAIT)
    }

    async fn acquire_slot(&mut self) -> Result<UpstreamSlot, CallError> {
        if let Some(slot) = self.next_slot.take() {
            return Ok(slot);
        }
        let wait = self.max_wait();
        let admission = self.core.admission(self.request, &self.excluded);
        self.core.table.admit(&admission.with_wait(wait)).await
    }

    /// Whether the request may run at a further upstream.
    fn may_retry(&self) -> bool {
        let request = self.request;
        let left = request.answer_deadline() - Instant::now();
        request.route.kind.is_retryable()
            && self.progress.sends.get() < request.route.max_attempts
            && left > MIN_RETRY_TIME
    }

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
        // One attempt is under way; another one has to be left after it.
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
                    core.drop_misplaced(&upstream);
                }
                self.excluded.push(upstream);
                let kind = match verdict {
                    ForwardVerdict::Full => ErrorKind::Overloaded,
                    _ => ErrorKind::NoUpstream,
                };
                self.handle_refusal(kind, true)
            }
            AttemptStart::Unknown(fault) => {
                self.handle_fault(attempt, upstream, &fault)
            }
            AttemptStart::Silent => {
                self.log_failed_attempt(&upstream, "no answer in time");
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

    /// Goes on after an upstream that did not run the request.
    fn handle_refusal(&mut self, kind: ErrorKind, arrived: bool) -> NextStep {
        self.refusals += 1;
        let service = &self.request.service;
        let allowed = !arrived || self.core.try_spend_retry(service);
        if self.refusals <= MAX_REFUSALS && allowed {
            return NextStep::TryAgain;
        }
        if let Some(failure) = self.failure.take() {
            return NextStep::End(CallEnd::Failed(failure));
        }
        let message = format!("no upstream of {service} took the request");
        NextStep::End(CallEnd::Failed(CallError::new(kind, message)))
    }

    /// Goes on after a fault of an upstream that may have run the request.
    fn handle_fault(
        &mut self,
        attempt: CallAttempt<'a>,
        upstream: String,
        fault: &UpstreamFault,
    ) -> NextStep {
        self.log_failed_attempt(&upstream, &fault.to_string());
        self.retry_or_fail(attempt, upstream, fault)
    }

    /// Goes on after an upstream was left that may have run the request.
    ///
    /// With a slot at another one, the retry is paid for already.
    fn retry_or_fail(
        &mut self,
        mut attempt: CallAttempt<'a>,
        upstream: String,
        fault: &UpstreamFault,
    ) -> NextStep {
        self.next_slot = attempt.next_slot.take();
        self.excluded.push(upstream);
        let error = upstream_error(self.request, fault);
        let again = self.next_slot.is_some()
            || self.may_retry()
                && self.core.try_spend_retry(&self.request.service);
        if !again {
            return NextStep::End(CallEnd::Failed(error));
        }
        self.failure = Some(error);
        NextStep::TryAgain
    }

    /// Brings an answer to the caller.
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
        let body = match read_body(body.as_mut(), deadline, limit).await {
            Ok(body) => body,
            Err(fault) => {
                attempt.record_outcome(UpstreamOutcome::Lost);
                return self.handle_fault(attempt, upstream, &fault);
            }
        };
        if status.is_server_error() {
            attempt.record_outcome(UpstreamOutcome::Failed);
            self.log_failed_attempt(&upstream, status.as_str());
            let is_idle = self.position.events == 0;
            let again = is_idle
                && self.may_retry()
                && self.core.try_spend_retry(&request.service);
            if again {
                self.excluded.push(upstream);
                return NextStep::TryAgain;
            }
        } else {
            attempt.record_answer();
        }
        self.progress.answered_after.set(request.arrived_at.elapsed());
        drop(attempt);
        if responder.has_begun() {
            // A stream cannot go on with an answer of another kind.
            let fault = UpstreamFault::broken(status);
            let error = upstream_error(request, &fault);
            return NextStep::End(CallEnd::Failed(error));
        }
        let mut response = Response::new(body.into());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let end = match responder.send(response).await {
            Ok(()) => CallEnd::Answered(status),
            Err(_) => CallEnd::CallerGone,
        };
        NextStep::End(end)
    }

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
        let first =
            first_event(&mut attempt, &mut relay, body.as_mut(), deadline);
        let first = match first.await {
            Ok(first) => first,
            Err(fault) => {
                drop(body);
                if fault != UpstreamFault::TimedOut {
                    attempt.record_outcome(UpstreamOutcome::Lost);
                }
                return self.handle_fault(attempt, upstream, &fault);
            }
        };
        if first {
            attempt.record_answer();
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
            attempt.record_silence();
            if !attempt.try_reroute() {
                relay.clear_gap_timeout();
                end = relay.run(body.as_mut(), responder, deadline).await;
            }
        }
        self.position = relay.position();
        self.progress.events.set(self.position.events);
        drop(body);
        let fault = match end {
            RelayEnd::Complete => {
                return NextStep::End(CallEnd::Answered(status));
            }
            RelayEnd::CallerGone => {
                return NextStep::End(CallEnd::CallerGone);
            }
            RelayEnd::Broken(fault) => {
                attempt.record_outcome(UpstreamOutcome::Lost);
                fault
            }
            RelayEnd::Overrun => {
                // What the caller has is not the answer; nothing can follow.
                attempt.record_outcome(UpstreamOutcome::Lost);
                let fault = UpstreamFault::broken("more events than asked");
                self.log_failed_attempt(&upstream, &fault.to_string());
                let error = upstream_error(request, &fault);
                return NextStep::End(CallEnd::Failed(error));
            }
            RelayEnd::Silent => UpstreamFault::TimedOut,
        };
        self.handle_fault(attempt, upstream, &fault)
    }

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
        let event_tokens = engine.map_or(1, |engine| engine.max_event_tokens);
        let ceiling = request.ceiling;
        let evidence_key = EvidenceKey {
            service: upstream.service.clone(),
            version: upstream.version.clone(),
            route: request.route.name.clone(),
        };
        let relay = EventRelay::new(self.core, hold, self.position)
            .with_cost(ceiling.prompt, event_tokens, ceiling.output)
            .with_pace(evidence_key);
        if self.may_retry() {
            return relay.with_gap_objective(request.route.gap_objective);
        }
        relay
    }
}

/// Waits for the first event, as long as the upstream may take.
async fn first_event(
    attempt: &mut CallAttempt<'_>,
    relay: &mut EventRelay<'_>,
    parts: &mut dyn UpstreamBody,
    deadline: Instant,
) -> Result<bool, UpstreamFault> {
    let until = Instant::now() + attempt.timeout_left();
    let until = until.min(deadline);
    let received = relay.receive_first(parts, until).await;
    if received != Err(UpstreamFault::TimedOut) {
        return received;
    }
    attempt.record_silence();
    if attempt.try_reroute() {
        return received;
    }
    relay.receive_first(parts, deadline).await
}

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

/// Reads a whole answer of at most `limit` bytes.
async fn read_body(
    parts: &mut dyn UpstreamBody,
    deadline: Instant,
    limit: usize,
) -> Result<Vec<u8>, UpstreamFault> {
    let mut body = Vec::new();
    while let Some(part) = parts.next_chunk(deadline).await? {
        if body.len() + part.len() > limit {
            return Err(UpstreamFault::broken("an answer is too large"));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// The error of a request that was sent and has no answer.
fn upstream_error(request: &CallRequest, fault: &UpstreamFault) -> CallError {
    let kind = match fault {
        UpstreamFault::TimedOut => ErrorKind::UpstreamTimeout,
        _ if request.route.kind.is_retryable() => ErrorKind::UpstreamFailed,
        _ => ErrorKind::OutcomeUnknown,
    };
    CallError::new(kind, format!("the upstream failed: {fault}"))
}
