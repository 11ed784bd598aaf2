//! Settling what a request has used, once.

use std::net::SocketAddr;

use super::{super::RouterCore, dispatch::OpenCall, parse::ChatCall};
use crate::{
    budget::{BillLine, Reservation, Sent},
    domain::BillId,
    ports::RelayedBill,
};

/// What the standby is told about a request.
pub(super) fn relayed_bill(
    chat: &ChatCall,
    bill: BillId,
    upstream: SocketAddr,
    tokens: Option<u64>,
) -> RelayedBill {
    RelayedBill {
        budget: chat.identity.budget.as_str().to_owned(),
        bill,
        request_id: chat.request_id.clone(),
        upstream,
        tokens,
    }
}

/// Bills a request, once.
pub(super) fn bill(
    core: &RouterCore,
    chat: &ChatCall,
    address: SocketAddr,
    sent: Reservation<Sent>,
    tokens: u64,
) {
    let budget = &chat.identity.budget;
    let line = BillLine::new(budget, &chat.request_id, &chat.service);
    let id = sent.bill();
    let line = core.keeper.settle(sent, tokens, line);
    let note = relayed_bill(chat, id, address, Some(line.tokens));
    core.keeper.relay_end(note);
    core.metrics.note_tokens(budget.account(), line.tokens);
}

/// Bills the tokens of an answer to whoever owes them.
///
/// A request that an engine already knew is owed under the bill with which
/// it was first sent. This router's own bill is then empty.
pub(super) fn bill_answer(
    core: &RouterCore,
    chat: &ChatCall,
    open: &OpenCall,
    sent: Reservation<Sent>,
    tokens: u64,
) {
    let own = sent.bill();
    let tokens = tokens.saturating_sub(open.reply.prior_tokens);
    let first = open.reply.bill.as_deref();
    let first = first.and_then(|text| text.parse::<BillId>().ok());
    let Some(first) = first.filter(|first| *first != own) else {
        bill(core, chat, open.address, sent, tokens);
        return;
    };
    bill(core, chat, open.address, sent, 0);
    if !core.keeper.holds(first) {
        core.keeper.settle_for_peer(&chat.identity.budget, first, tokens);
    }
}

/// Stops a request at its engine and returns its tokens, or `seen` if the
/// engine cannot be asked.
pub(super) async fn stop(
    core: &RouterCore,
    address: SocketAddr,
    request_id: &str,
    seen: u64,
) -> u64 {
    match core.ports.upstreams.cancel(address, request_id).await {
        Ok(tokens) => tokens,
        Err(_) => seen,
    }
}
