//! Chat-completions requests.
//!
//! * `parse` understands a request and works out its ceiling.
//! * `dispatch` finds an upstream that begins an answer.
//! * `answer` brings the answer to the caller.
//! * `bill` settles what was used, once.

mod answer;
mod bill;
mod dispatch;
mod parse;

use std::{rc::Rc, time::Instant};

pub(super) use self::parse::{check_account_limit, idempotency_key};
use self::{answer::AnswerEnd, dispatch::Dispatch, parse::parse};
use super::RouterCore;
use crate::{
    adapters::http::{HttpRequest, HttpResponder, RequestReader},
    error::CallError,
    telemetry::LogContext,
};

/// Serves one request; `false` if the connection has to be closed.
pub(super) async fn serve(
    core: &Rc<RouterCore>,
    request: &HttpRequest,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
    context: &mut LogContext,
) -> Result<bool, CallError> {
    let started = Instant::now();
    let identity = core.identify(request.header("authorization"))?;
    context.account = identity.budget.account().to_owned();
    let call = parse(core, request, identity)?;
    context.request_id = call.request_id.clone();
    check_account_limit(core, &call.identity)?;
    let budget = &call.identity.budget;
    let reservation = core.keeper.reserve(budget, call.ceiling).await?;
    core.retries.borrow_mut().record_request();
    let mut dispatch = Dispatch::new(core, &call, reservation);
    loop {
        let (open, sent) = match dispatch.open().await {
            Ok(opened) => opened,
            Err(error) => {
                dispatch.give_up().await;
                return Err(error);
            }
        };
        let vm = open.slot.upstream().vm.clone();
        let answer = answer::serve(core, &call, open, sent, reader, responder);
        match answer.await {
            AnswerEnd::Ended(ended) => {
                let class = call.identity.class.name();
                let time = started.elapsed();
                core.metrics.note_duration(budget.account(), class, time);
                return ended;
            }
            AnswerEnd::Lost(sent, error) => {
                dispatch.put_back(sent, vm, error);
            }
        }
    }
}
