//! Handling of calls from other routers.

use super::RouterCore;
use crate::ports::{PeerAnswer, PeerCall, PeerHandler, PortFuture};

impl PeerHandler for RouterCore {
    fn handle(&self, call: PeerCall) -> PortFuture<'_, PeerAnswer> {
        Box::pin(async move {
            match call {
                PeerCall::Lend(request) => {
                    PeerAnswer::Lent(self.keeper.lend(&request))
                }
                PeerCall::Relay(batch) => {
                    self.members.record_alive(&batch.holder);
                    self.keeper.store_standby_bills(&batch);
                    PeerAnswer::Done
                }
                PeerCall::Ping(message) => self.members.handle_ping(&message),
                PeerCall::PingOther { vm } => {
                    let peers = self.ports.peers.as_ref();
                    PeerAnswer::Reached(self.members.ping(peers, &vm).await)
                }
                PeerCall::CatchUp(known) => {
                    PeerAnswer::Newer(self.newer_state(known))
                }
                PeerCall::Evidence(report) => {
                    self.merge_evidence(report);
                    PeerAnswer::Done
                }
                // Routers take upstreams from the platform's list of VMs
                // alone, so that they have no declarations or departures
                // to report.
                PeerCall::Declared { .. } => PeerAnswer::Declared(None),
                PeerCall::Departures => PeerAnswer::Departed(Vec::new()),
                // Routers do not know the parts of prompts.
                PeerCall::Parts(_) => PeerAnswer::Quarantined(Vec::new()),
                // Routers keep prepaid tokens in streams of the log.
                PeerCall::Allowances(_) => PeerAnswer::Allowances(Vec::new()),
                // Engines name no rate limits.
                PeerCall::Limits(_) => PeerAnswer::Limits(Vec::new()),
                PeerCall::Claim(request) => {
                    let claim = self.claims.borrow_mut().claim(&request);
                    PeerAnswer::Claimed(claim)
                }
            }
        })
    }
}
