//! Settlement of the tokens that a request has used.

use std::net::SocketAddr;

use super::{super::RouterCore, dispatch::OpenCall, parse::ChatCall};
use crate::{
    budget::{BillLine, Reservation, Sent},
    domain::BillId,
    ports::RelayedBill,
};

/// Returns the bill of a request in the form that is relayed to the standby
/// router.
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
    reservation: Reservation<Sent>,
    tokens: u64,
) {
    let budget = &chat.identity.budget;
    let line = BillLine::new(budget, &chat.request_id, &chat.service);
    let id = reservation.bill();
    let line = core.keeper.settle(reservation, tokens, line);
    let relayed = relayed_bill(chat, id, address, Some(line.tokens));
    core.keeper.relay_end(relayed);
    core.metrics.note_tokens(budget.account(), line.tokens);
}

/// Settles the tokens of a response on the bill that they belong to.
///
/// If the engine already knew the request, its tokens belong to the bill with
/// which the request was first sent, and this router's own bill is settled
/// with zero tokens.
pub(super) fn settle_answer(
    core: &RouterCore,
    chat: &ChatCall,
    open_call: &OpenCall,
    reservation: Reservation<Sent>,
    tokens: u64,
) {
    let own_bill = reservation.bill();
    let tokens = tokens.saturating_sub(open_call.reply.prior_tokens);
    let first_bill = open_call.reply.bill.as_deref();
    let first_bill = first_bill.and_then(|text| text.parse::<BillId>().ok());
    let Some(first_bill) =
        first_bill.filter(|first_bill| *first_bill != own_bill)
    else {
        settle_bill(core, chat, open_call.address, reservation, tokens);
        return;
    };
    settle_bill(core, chat, open_call.address, reservation, 0);
    // A bill on a portion that this router holds was not opened by a peer.
    if !core.keeper.holds(first_bill) {
        core.keeper.settle_for_peer(&chat.identity.budget, first_bill, tokens);
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
