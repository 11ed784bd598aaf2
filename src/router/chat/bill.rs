//! Settlement of the tokens that a request has used.

use std::net::SocketAddr;

use super::{super::RouterCore, dispatch::OpenCall, parse::ChatCall};
use crate::{
    budget::{BillLine, Reservation, Sent},
    domain::BillId,
    ports::RelayedBill,
};

/// Returns the bill of a request in the form that is replicated to the
/// standby router.
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

/// Settles the bill of a request.
///
/// This consumes the reservation, so that a request is billed only once.
pub(super) fn settle_bill(
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
    let relayed = relayed_bill(chat, id, address, Some(line.tokens));
    core.keeper.relay_end(relayed);
    core.metrics.note_tokens(budget.account(), line.tokens);
}

/// Settles the tokens of a response on the bill that owes them.
///
/// If the engine already knew the request, its tokens belong to the bill with
/// which the request was first sent, and this router's own bill is settled
/// with zero tokens.
pub(super) fn settle_answer(
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
        settle_bill(core, chat, open.address, sent, tokens);
        return;
    };
    settle_bill(core, chat, open.address, sent, 0);
    if !core.keeper.holds(first) {
        core.keeper.settle_for_peer(&chat.identity.budget, first, tokens);
    }
}

/// Cancels a request at its engine and returns the tokens that it has used;
/// if the engine is unreachable, returns `event_count` instead, the number
/// of events received.
pub(super) async fn cancel_request(
    core: &RouterCore,
    address: SocketAddr,
    request_id: &str,
    event_count: u64,
) -> u64 {
    match core.ports.upstreams.cancel(address, request_id).await {
        Ok(tokens) => tokens,
        Err(_) => event_count,
    }
}
