//! Serves the requests of callers: a dispatch for each, beside its timeout
//! and the disconnect of its caller.

use std::{rc::Rc, time::Instant};

use super::{
    CallRequest, GatewayCore,
    dispatch::CallDispatch,
    progress::{CallEnd, CallProgress},
};
use crate::{
    adapters::http::{HttpResponder, RequestReader},
    catalog::CallKind,
    error::{CallError, ErrorKind},
    telemetry::LogEvent,
};

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
    let runs_once = request.route.kind == CallKind::AtMostOnce;
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
    let charge = progress.charge.borrow().clone();
    core.metrics.note_tokens(account, charge.used());
    if !matches!(end, CallEnd::Answered(_)) {
        core.metrics.note_unanswered_tokens(account, charge.used());
    }
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
        reserved_tokens = charge.reserved(),
        charged_tokens = charge.used(),
        outcome = outcome.as_str();
        "request ended"
    );
    keep_alive
}
