//! Answers the calls of other routers.

use std::{rc::Rc, time::Instant};

use super::GatewayCore;
use crate::{
    domain::PortionId,
    ports::{
        DeclaredNotice, DeclaredState, LendReply, PeerAnswer, PeerCall,
        PeerHandler, PortFuture,
    },
    runtime::spawn,
    telemetry::LogEvent,
};

impl PeerHandler for GatewayCore {
    fn handle(&self, call: PeerCall) -> PortFuture<'_, PeerAnswer> {
        Box::pin(async move {
            match call {
                PeerCall::Ping(message) => self.members.handle_ping(&message),
                PeerCall::PingOther { vm } => {
                    let peers = self.ports.peers.as_ref();
                    PeerAnswer::Reached(self.members.ping(peers, &vm).await)
                }
                PeerCall::Lend(request) => {
                    let tokens = self.keeper.lend(&request);
                    // Allowances are not divided into portions.
                    let portion = PortionId::new(0, 0, 0);
                    let reply = LendReply { portion, tokens };
                    PeerAnswer::Lent((tokens > 0).then_some(reply))
                }
                PeerCall::Evidence(report) => {
                    self.record_evidence_report(report);
                    PeerAnswer::Done
                }
                PeerCall::Departures => {
                    let now = Instant::now();
                    let departed = self.roster.borrow().departures(now);
                    PeerAnswer::Departed(departed)
                }
                PeerCall::Declared { text_after, notice } => {
                    if let Some(DeclaredNotice { vm, version }) = notice {
                        self.record_notice(&vm, version);
                    }
                    PeerAnswer::Declared(self.declared_state(text_after))
                }
                PeerCall::Parts(report) => self.apply_part_report(&report),
                PeerCall::Limits(observations) => {
                    self.merge_limits(&observations, "peer");
                    PeerAnswer::Limits(self.limit_observations())
                }
                PeerCall::Allowances(report) => {
                    self.keeper.learn(&report.records);
                    let known = self.keeper.known_records(&report.vm);
                    PeerAnswer::Allowances(known)
                }
                // Gateways exchange no bills, control records or claims.
                PeerCall::Relay(_)
                | PeerCall::CatchUp(_)
                | PeerCall::Claim(_) => PeerAnswer::Done,
            }
        })
    }
}

impl GatewayCore {
    /// Records that another router has announced its declarations.
    fn record_notice(&self, vm: &str, version: u64) {
        if self.declarations.borrow().version() < Some(version) {
            self.spread.note_source(vm, version);
        }
    }

    /// Returns the state of the declarations for another router, without the
    /// text if others have just been sent it.
    fn declared_state(
        &self,
        text_after: Option<u64>,
    ) -> Option<DeclaredState> {
        let now = Instant::now();
        let mut state = self.declarations.borrow().state(now, text_after)?;
        let Some(text) = &state.text else {
            return Some(state);
        };
        let bytes = text.as_bytes().len();
        if !self.spread.try_send(bytes, now) {
            state.text = None;
            return Some(state);
        }
        log::info!(
            event:% = LogEvent::CatalogSent,
            catalog = state.version, bytes;
            "declarations sent to another router"
        );
        Some(state)
    }

    /// Calls all other routers without waiting for their answers.
    ///
    /// A router that misses the call asks for what it has missed.
    pub(super) fn broadcast(self: &Rc<Self>, call: &PeerCall) {
        let vms = self.directory.vms();
        for (vm, entry) in vms.iter() {
            let peer = entry.peer_address.filter(|_| *vm != self.id.vm);
            let Some(peer) = peer else {
                continue;
            };
            let (core, call) = (self.clone(), call.clone());
            spawn("broadcast", async move {
                let _ = core.ports.peers.call(peer, call).await;
            });
        }
    }
}
