//! Answers to other routers.

use std::rc::Rc;

use tokio::sync::mpsc;

use super::GatewayCore;
use crate::{
    adapters::peer::InboundCall,
    domain::PortionId,
    ports::{LendReply, PeerAnswer, PeerCall},
};

/// Answers peers for as long as the task lives.
pub(super) async fn run_inbound(
    core: Rc<GatewayCore>,
    mut inbound: mpsc::Receiver<InboundCall>,
) {
    while let Some(InboundCall { call, answer }) = inbound.recv().await {
        let core = core.clone();
        monoio::spawn(async move {
            let reply = handle(&core, call).await;
            // A peer that has stopped waiting needs no answer.
            let _ = answer.send(reply);
        });
    }
}

async fn handle(core: &GatewayCore, call: PeerCall) -> PeerAnswer {
    match call {
        PeerCall::Ping(message) => {
            core.members.take(&message);
            PeerAnswer::Pong(core.members.message())
        }
        PeerCall::PingOther { vm } => {
            let peers = core.ports.peers.as_ref();
            PeerAnswer::Reached(core.members.ping(peers, &vm).await)
        }
        PeerCall::Lend(request) => {
            let tokens = core.keeper.lend(&request);
            // Tokens of an allowance have no portion of their own.
            let portion = PortionId::new(0, 0, 0);
            let reply = LendReply { portion, tokens };
            PeerAnswer::Lent((tokens > 0).then_some(reply))
        }
        PeerCall::Evidence(report) => {
            core.take_trip(&report);
            PeerAnswer::Done
        }
        // Gateways share neither notes on bills nor control records.
        PeerCall::Relay(_) | PeerCall::CatchUp(_) | PeerCall::Claim(_) => {
            PeerAnswer::Done
        }
    }
}
