//! Finds an upstream that answers a request.
//!
//! A request reserves tokens of its client account, waits for a slot at an
//! upstream, is sent, and is answered. Until it is sent, an error says that
//! it has not run. Afterwards it is retried only if its kind allows that or
//! if the upstream reported that it did not run the request.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    CallRequest, GatewayCore,
    attempt::{AttemptStart, CallAttempt},
    progress::{CallEnd, CallProgress},
    relay::StreamPosition,
};
use crate::{
    adapters::http::HttpResponder,
    allowance::{TokenHold, TokenNeed},
    error::{CallError, ErrorKind},
    ports::{ForwardVerdict, UpstreamFault},
    routing::{AssignedUpstream, UpstreamSlot},
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

/// What to do after an attempt.
pub(super) enum NextStep {
    /// End the request.
    End(CallEnd),
    /// Try another upstream.
    TryAgain,
}

/// The state of serving one request.
pub(super) struct CallDispatch<'a> {
    pub(super) core: &'a Rc<GatewayCore>,
    pub(super) request: &'a Rc<CallRequest>,
    pub(super) progress: &'a CallProgress,
    /// Upstreams at which the request has failed.
    pub(super) excluded: Vec<String>,
    /// Number of upstreams that were unreachable or refused the request.
    refusals: u32,
    /// The error of the last attempt that may have run the request.
    failure: Option<CallError>,
    /// How much of a stream the caller has received.
    pub(super) position: StreamPosition,
    /// A slot that was reserved when the previous upstream timed out.
    next_slot: Option<UpstreamSlot>,
}

impl<'a> CallDispatch<'a> {
    pub(super) fn new(
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

    pub(super) async fn run(
        mut self,
        responder: &mut HttpResponder,
    ) -> CallEnd {
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
        self.progress.charge.replace(hold.charge().clone());
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
        // The priority of the account ranks it among others; among its own
        // requests that of the route counts.
        let need = TokenNeed::new(tokens);
        let need = need.with_priority(request.route.priority);
        self.core.keeper.reserve(account, need, wait).await
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
    pub(super) fn may_retry(&self) -> bool {
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
        attempt.on_new_connection = self.failure.is_some();
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

    pub(super) fn log_failed_attempt(&self, upstream: &str, reason: &str) {
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
    pub(super) async fn record_loss(
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
    pub(super) async fn record_end(
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
    pub(super) fn handle_fault(
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
}

/// Returns the error of a request that was sent and has no valid answer.
pub(super) fn upstream_error(
    request: &CallRequest,
    fault: &UpstreamFault,
) -> CallError {
    let kind = match fault {
        UpstreamFault::TimedOut => ErrorKind::UpstreamTimeout,
        _ if request.route.kind.is_retryable() => ErrorKind::UpstreamFailed,
        _ => ErrorKind::OutcomeUnknown,
    };
    CallError::new(kind, format!("the upstream failed: {fault}"))
}
