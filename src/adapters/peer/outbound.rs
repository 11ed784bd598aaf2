//! Calls peers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use {tokio::sync::mpsc, tonic::Status};

use super::{
    encode::send_call, fault::CallFault, link::LinkSlot, thread::OutboundCall,
};
use crate::{
    ports::{PeerAnswer, PeerCall, PeerFault},
    telemetry::PeerMetrics,
};

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a call that a router makes when it gets no answers from the
/// platform. The cause may be congestion of its own link, on which answers
/// are late.
const CONGESTED_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a call whose answer is large.
const LARGE_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Makes the calls that arrive on the channel, each in a task of its own.
pub(super) async fn run_outbound(
    mut calls: mpsc::Receiver<OutboundCall>,
    metrics: PeerMetrics,
) {
    let mut slots = BTreeMap::new();
    while let Some(outbound) = calls.recv().await {
        let OutboundCall { peer, call, answer } = outbound;
        let slot = match slot_of(&mut slots, peer) {
            Ok(slot) => slot,
            Err(status) => {
                let fault = PeerFault::from(CallFault::from(status));
                let _ = answer.send(Err(fault));
                continue;
            }
        };
        let metrics = metrics.clone();
        tokio::spawn(async move {
            let name = call.name();
            let reply = call_peer(&slot, call).await;
            slot.record_end(name, &reply);
            if let Err(fault) = &reply {
                metrics.record_failed_call(name, fault.name());
            }
            // Fails only if the caller has stopped waiting.
            let _ = answer.send(reply.map_err(PeerFault::from));
        });
    }
}

fn slot_of(
    slots: &mut BTreeMap<SocketAddr, Arc<LinkSlot>>,
    peer: SocketAddr,
) -> Result<Arc<LinkSlot>, Status> {
    if let Some(slot) = slots.get(&peer) {
        return Ok(slot.clone());
    }
    let slot = Arc::new(LinkSlot::new(peer)?);
    slots.insert(peer, slot.clone());
    Ok(slot)
}

/// Makes a call and waits for its answer within its timeout.
async fn call_peer(
    slot: &LinkSlot,
    call: PeerCall,
) -> Result<PeerAnswer, CallFault> {
    let sent_at = Instant::now();
    let timeout = call_timeout(&call);
    let link = slot.link();
    let send = send_call(link.channel(), call);
    match tokio::time::timeout(timeout, send).await {
        Ok(answer) => answer.map_err(CallFault::from),
        Err(_) => Err(link.timeout_fault(sent_at)),
    }
}

/// Returns the timeout of a call.
fn call_timeout(call: &PeerCall) -> Duration {
    match call {
        PeerCall::Declared { text_after: Some(_), .. } => LARGE_ANSWER_TIMEOUT,
        PeerCall::Declared { text_after: None, .. } | PeerCall::Departures => {
            CONGESTED_CALL_TIMEOUT
        }
        _ => CALL_TIMEOUT,
    }
}
