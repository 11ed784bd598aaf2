//! Calls peers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use {
    tokio::sync::mpsc,
    tonic::{Status, metadata::BinaryMetadataValue},
};

use super::{
    fault::CallFault,
    limits::CallLimits,
    link::{LinkSlot, PeerLink},
    thread::OutboundCall,
};
use crate::{
    ports::{PeerAnswer, PeerCall, PeerFault},
    telemetry::PeerMetrics,
};

/// Time without calls after which a connection may be closed. Peers that are
/// gone are not called any more.
const IDLE_LIFETIME: Duration = Duration::from_secs(600);

/// A slot and when it was used last.
struct UsedSlot {
    slot: Arc<LinkSlot>,
    used_at: Instant,
}

/// The slots of all peers.
struct SlotTable {
    slots: BTreeMap<SocketAddr, UsedSlot>,
    vm: BinaryMetadataValue,
    metrics: PeerMetrics,
}

impl SlotTable {
    fn new(vm: &str, metrics: PeerMetrics) -> SlotTable {
        let vm = BinaryMetadataValue::from_bytes(vm.as_bytes());
        SlotTable { slots: BTreeMap::new(), vm, metrics }
    }

    /// Returns the slot of a peer. A new one takes the place of those that
    /// are not used any more.
    fn slot(&mut self, peer: SocketAddr) -> Result<Arc<LinkSlot>, Status> {
        let now = Instant::now();
        if let Some(used) = self.slots.get_mut(&peer) {
            used.used_at = now;
            return Ok(used.slot.clone());
        }
        self.slots.retain(|_, used| {
            now.saturating_duration_since(used.used_at) < IDLE_LIFETIME
        });
        let (vm, metrics) = (self.vm.clone(), self.metrics.clone());
        let slot = Arc::new(LinkSlot::new(peer, vm, metrics)?);
        let used = UsedSlot { slot: slot.clone(), used_at: now };
        self.slots.insert(peer, used);
        Ok(slot)
    }
}

/// Makes the calls of the VM `vm` that arrive on the channel, each in a task
/// of its own.
pub(super) async fn run_outbound(
    mut calls: mpsc::Receiver<OutboundCall>,
    vm: String,
    metrics: PeerMetrics,
) {
    let mut table = SlotTable::new(&vm, metrics);
    while let Some(outbound) = calls.recv().await {
        let OutboundCall { peer, call, answer } = outbound;
        let slot = match table.slot(peer) {
            Ok(slot) => slot,
            Err(status) => {
                let fault = PeerFault::from(CallFault::from(status));
                let _ = answer.send(Err(fault));
                continue;
            }
        };
        tokio::spawn(async move {
            let name = call.name();
            let reply = call_peer(&slot, call).await;
            slot.record_end(name, &reply);
            // Fails only if the caller has stopped waiting.
            let _ = answer.send(reply.map_err(PeerFault::from));
        });
    }
}

/// Makes a call and waits for its answer.
///
/// If the connection is silent, it is replaced, and the call is sent again on
/// the new one if it is idempotent. An answer to either is accepted.
async fn call_peer(
    slot: &Arc<LinkSlot>,
    call: PeerCall,
) -> Result<PeerAnswer, CallFault> {
    let limits = CallLimits::of(&call);
    let link = slot.link();
    let sent_at = Instant::now();
    let mut timeout = pin!(tokio::time::sleep(limits.timeout));
    let mut first = pin!(slot.send(&link, call.clone()));
    tokio::select! {
        biased;
        answer = &mut first => return answer.map_err(CallFault::from),
        () = wait_for_silence(&link, sent_at, limits) => {}
        () = link.wait_unopened(limits.open_timeout) => {
            return Err(CallFault::Unopened);
        }
        () = &mut timeout => {
            let fault = link.timeout_fault(sent_at);
            if limits.silence.is_none() || fault != CallFault::Silent {
                return Err(fault);
            }
        }
    }
    slot.replace(&link);
    let mut second = pin!(async {
        match limits.is_repeated {
            true => repeat_call(slot, &link, call, sent_at).await,
            false => std::future::pending().await,
        }
    });
    let mut first_fault = None;
    loop {
        tokio::select! {
            answer = &mut first, if first_fault.is_none() => match answer {
                Ok(answer) => return Ok(answer),
                Err(status) => first_fault = Some(CallFault::from(status)),
            },
            answer = &mut second => return answer.map_err(CallFault::from),
            () = &mut timeout => break,
        }
    }
    Err(first_fault.unwrap_or_else(|| link.timeout_fault(sent_at)))
}

/// Waits until the connection of a call is taken to be silent.
async fn wait_for_silence(
    link: &PeerLink,
    sent_at: Instant,
    limits: CallLimits,
) {
    match limits.silence {
        Some(time) => link.wait_for_silence(sent_at, time).await,
        None => std::future::pending().await,
    }
}

/// Sends a call on the connection that replaces a silent one.
async fn repeat_call(
    slot: &LinkSlot,
    silent: &PeerLink,
    call: PeerCall,
    sent_at: Instant,
) -> Result<PeerAnswer, Status> {
    let link = slot.replacement(silent).await;
    let call = call.with_delay(sent_at.elapsed());
    slot.send(&link, call).await
}
