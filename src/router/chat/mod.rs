//! The chat-completions endpoint.
//!
//! * `parse` validates a request and computes the tokens to reserve.
//! * `dispatch` sends the request to upstreams until one responds.
//! * `answer` forwards the response to the caller.
//! * `bill` settles the tokens that the request has used, exactly once.

mod answer;
mod bill;
mod dispatch;
mod parse;

use std::{rc::Rc, time::Instant};

pub(super) use self::parse::{check_account_limit, idempotency_key};
use self::{answer::AnswerOutcome, dispatch::Dispatch, parse::parse_request};
use super::RouterCore;
use crate::{
    adapters::http::{HttpRequest, HttpResponder, RequestReader},
    error::CallError,
    telemetry::LogContext,
};

/// Serves one request and returns whether the connection can be kept open.
pub(super) async fn serve(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    context: &mut LogContext,
) -> Result<bool, CallError> {
    let started = Instant::now();
    let identity = core.authenticate(request.header("authorization"))?;
    context.account = identity.budget.account().to_owned();
    let call = parse_request(core, request, identity)?;
    context.request_id = call.request_id.clone();
    check_account_limit(core, &call.identity)?;
    let budget = &call.identity.budget;
    let reservation = core.keeper.reserve(budget, call.ceiling).await?;
    core.retry_budget.borrow_mut().record_request();
    let mut dispatch = Dispatch::new(core, &call, reservation);
    loop {
        let (open_call, reservation) = match dispatch.open().await {
            Ok(opened) => opened,
            Err(error) => {
                dispatch.settle_unanswered().await;
                return Err(error);
            }
        };
        let vm = open_call.slot.upstream().vm.clone();
        let answer = answer::serve(
            core,
            &call,
            open_call,
            reservation,
            reader,
            responder,
        );
        match answer.await {
            AnswerOutcome::Finished(ended) => {
                let class = call.identity.class.name();
                let time = started.elapsed();
                core.metrics.note_duration(budget.account(), class, time);
                return ended;
            }
            AnswerOutcome::UpstreamFailed(reservation, error) => {
                dispatch.return_reservation(reservation, vm, error);
            }
        }
    }
}
