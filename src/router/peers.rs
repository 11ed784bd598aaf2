//! Answers to other routers.

use std::rc::Rc;

use tokio::sync::mpsc;

use super::RouterCore;
use crate::{
    adapters::peer::InboundCall,
    ports::{PeerAnswer, PeerCall, PeerHandler, PortFuture},
};

/// Answers peers for as long as the task lives.
pub(super) async fn run_inbound(
    core: Rc<RouterCore>,
    mut inbound: mpsc::Receiver<InboundCall>,
) {
    while let Some(InboundCall { call, answer }) = inbound.recv().await {
        let core = core.clone();
        monoio::spawn(async move {
            // A peer that has stopped waiting needs no answer.
            let _ = answer.send(core.handle(call).await);
        });
    }
}

impl PeerHandler for RouterCore {
    fn handle(&self, call: PeerCall) -> PortFuture<'_, PeerAnswer> {
        Box::pin(async move {
            match call {
                PeerCall::Lend(request) => {
                    PeerAnswer::Lent(self.keeper.lend(&request))
                }
                PeerCall::Relay(batch) => {
                    self.members.note_alive(&batch.holder);
                    self.keeper.keep_for(&batch);
                    PeerAnswer::Done
                }
                PeerCall::Ping(message) => {
                    self.members.take(&message);
                    PeerAnswer::Pong(self.members.message())
                }
                PeerCall::PingOther { vm } => {
                    let peers = self.ports.peers.as_ref();
                    PeerAnswer::Reached(self.members.ping(peers, &vm).await)
                }
                PeerCall::CatchUp(known) => {
                    PeerAnswer::Newer(self.newer_state(known))
                }
                PeerCall::Evidence(report) => {
                    self.take_evidence(report);
                    PeerAnswer::Done
                }
                PeerCall::Claim(request) => {
                    let claim = self.claims.borrow_mut().claim(&request);
                    PeerAnswer::Claimed(claim)
                }
            }
        })
    }
}
