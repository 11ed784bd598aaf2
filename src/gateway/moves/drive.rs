//! Evaluates the moves in rounds, with the other gateways and the store.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    DECIDER_COUNT, EvidenceKey, MoveRole, ServiceMove, VersionChoice,
};
use crate::{
    gateway::{GatewayCore, exposure::MoveExposure},
    moves::{MoveEvidence, RequestResult},
    ports::{EvidenceReport, MoveOrder, MoveStatus, PeerCall},
    runtime::spawn,
    telemetry::{LogEvent, note_unreadable},
};

/// Interval between rounds in which the moves are evaluated.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Number of rounds per report of a gateway to the deciders.
const ROUNDS_PER_REPORT: u32 = 3;

/// Evaluates all moves in rounds. Never returns.
pub(in crate::gateway) async fn run_moves(core: Rc<GatewayCore>) {
    for round in 0_u32.. {
        core.timer.sleep(core.next_round_delay(Instant::now())).await;
        let services: Vec<String> =
            core.moves.borrow().keys().cloned().collect();
        for service in services {
            drive_move(&core, &service, round % ROUNDS_PER_REPORT == 0).await;
        }
    }
}

/// Evaluates one move: reports evidence, decides if due and synchronizes the
/// status with the store.
async fn drive_move(
    core: &Rc<GatewayCore>,
    service: &str,
    is_report_round: bool,
) {
    let service_move = core.moves.borrow().get(service).cloned();
    let Some(service_move) =
        service_move.filter(|service_move| !service_move.is_stored)
    else {
        return;
    };
    let mut deciders = core.directory.ranked_entry_vms(service);
    deciders.truncate(DECIDER_COUNT);
    let rank = deciders.iter().position(|vm| *vm == core.id.vm);
    let role = MoveRole::for_rank(rank);
    if is_report_round && service_move.status == MoveStatus::Running {
        let evidence = encode_tally(&service_move.tally);
        send_report(core, &service_move, &deciders, evidence, false);
    }
    let decided = service_move.decide(role, Instant::now());
    if let Some(status) = decided {
        let fault = service_move
            .rollback_reason()
            .or_else(|| service_move.completion_fault());
        let reason = fault.as_deref().unwrap_or("nothing speaks against it");
        core.apply_move_status(service, status, reason);
        if status == MoveStatus::RolledBack {
            let all = core.directory.ranked_entry_vms(service);
            send_report(core, &service_move, &all, String::new(), true);
        }
    }
    // Every gateway writes a final status until the store has one.
    let status = decided.unwrap_or(service_move.status);
    let should_write =
        status != MoveStatus::Running || role == MoveRole::Primary;
    let stored = if should_write {
        core.ports.moves.write(&service_move.order, status).await
    } else {
        core.ports.moves.read(&service_move.order).await
    };
    match stored {
        Ok(Some(found)) => {
            core.apply_stored_move_status(service, found);
            let mut moves = core.moves.borrow_mut();
            let same = moves.get_mut(service);
            let same = same.filter(|m| m.order == service_move.order);
            if let Some(same) = same {
                same.is_stored = found != MoveStatus::Running;
            }
        }
        Ok(None) => {}
        Err(fault) => log::debug!(service; "status of a move: {fault}"),
    }
}

fn log_decision(service_move: &ServiceMove, from: &str) {
    let status = format!("{:?}", service_move.status);
    log::info!(
        event:% = LogEvent::MoveDecided,
        service = service_move.order.service.as_str(),
        to_version = service_move.order.target.as_str(),
        status = status.as_str(), from,
        gateways = service_move.reports.len() + 1,
        evidence = service_move.combined_tally().summary().as_str();
        "version move decided"
    );
}

fn encode_tally(tally: &MoveEvidence) -> String {
    // Counters by route are always serializable.
    serde_json::to_string(tally).unwrap_or_default()
}

/// Sends a report to other gateways. It holds evidence, or says that the
/// target is bad if `tripped` is set.
fn send_report(
    core: &Rc<GatewayCore>,
    service_move: &ServiceMove,
    vms: &[String],
    evidence: String,
    tripped: bool,
) {
    let report = EvidenceReport {
        holder: core.id.clone(),
        move_id: service_move.order.position.offset,
        evidence,
        tripped,
    };
    for vm in vms {
        let peer = core.directory.peer_address(vm);
        let Some(peer) = peer.filter(|_| *vm != core.id.vm) else {
            continue;
        };
        let (core, report) = (core.clone(), report.clone());
        spawn("evidence_report", async move {
            let call = PeerCall::Evidence(report);
            // A lost report does no harm: evidence is cumulative, and a peer
            // that misses a rollback reads the status from the store.
            let _ = core.ports.peers.call(peer, call).await;
        });
    }
}

impl GatewayCore {
    /// Returns the delay until the next round. A move that becomes due is
    /// evaluated at once, since little of its duration is left.
    fn next_round_delay(&self, now: Instant) -> Duration {
        let moves = self.moves.borrow();
        let left = moves
            .values()
            .filter_map(|service_move| service_move.time_until_due(now));
        left.fold(ROUND_INTERVAL, Duration::min)
    }

    /// Starts a move unless the service has the same or a newer order.
    pub(in crate::gateway) fn apply_order(&self, order: MoveOrder) {
        let mut moves = self.moves.borrow_mut();
        let mut earlier_orders = Vec::new();
        if let Some(service_move) = moves.get_mut(&order.service) {
            if !service_move.is_new_order(&order) {
                service_move.adopt_position(&order);
                return;
            }
            earlier_orders = service_move.all_orders();
        }
        log::info!(
            event:% = LogEvent::MoveOrdered,
            service = order.service.as_str(), to_version = order.target.as_str(),
            number = order.position.offset,
            for_ms = order.duration.as_millis() as u64;
            "version move ordered"
        );
        let service = order.service.clone();
        // Before the list of gateways is known, none are counted.
        let gateways = match self.directory.entry_count() {
            0 => self.entry_width(),
            count => count.min(self.entry_width()),
        };
        let exposure = MoveExposure::new(self.settings.moves, gateways);
        let service_move = ServiceMove::new(order, Instant::now())
            .with_exposure(exposure)
            .with_earlier_orders(earlier_orders);
        moves.insert(service, service_move);
    }

    /// Applies the status of a move that `from` gives as its origin.
    fn apply_move_status(
        &self,
        service: &str,
        status: MoveStatus,
        from: &str,
    ) {
        let mut moves = self.moves.borrow_mut();
        let Some(service_move) = moves.get_mut(service) else {
            return;
        };
        if service_move.apply_status(status) {
            log_decision(service_move, from);
        }
    }

    /// Applies the status of a move from the store.
    fn apply_stored_move_status(&self, service: &str, status: MoveStatus) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(service)
            && service_move.apply_stored_status(status)
        {
            log_decision(service_move, "status");
        }
    }

    /// Records a report of another gateway: its evidence, or that the target
    /// is bad.
    pub(in crate::gateway) fn record_evidence_report(
        &self,
        report: EvidenceReport,
    ) {
        let mut moves = self.moves.borrow_mut();
        let mut service_move = moves.iter_mut().filter(|(_, service_move)| {
            service_move.order.position.offset == report.move_id
        });
        let Some((service, service_move)) = service_move.next() else {
            return;
        };
        if !report.tripped {
            match serde_json::from_str(&report.evidence) {
                Ok(tally) => service_move.record_report(report.holder, tally),
                Err(err) => note_unreadable(&report.holder.vm, err),
            }
            return;
        }
        let service = service.clone();
        drop(moves);
        let status = MoveStatus::RolledBack;
        self.apply_move_status(&service, status, &report.holder.vm);
    }

    /// Returns which versions may serve a request.
    pub(in crate::gateway) fn version_choice(
        &self,
        service: &str,
        request_id: &str,
    ) -> VersionChoice {
        let moves = self.moves.borrow();
        let service_move = moves.get(service);
        let choice =
            service_move.map(|m| m.version_choice(request_id, Instant::now()));
        choice.unwrap_or_default()
    }

    /// Counts a request that is sent to a version of a service.
    pub(in crate::gateway) fn record_version_send(
        &self,
        service: &str,
        version: &str,
    ) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(service) {
            service_move.record_send(version);
        }
    }

    /// Records how an upstream served a request as evidence for a move.
    pub(in crate::gateway) fn record_evidence(
        &self,
        service: &str,
        version: &str,
        route: &str,
        result: RequestResult,
    ) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(service) {
            service_move.record_request(version, route, result);
        }
    }

    /// Records the mean time between events of a stream as evidence for a
    /// move.
    pub(in crate::gateway) fn record_pace(
        &self,
        key: &EvidenceKey,
        gap: Duration,
    ) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(&key.service) {
            let gap_us = gap.as_micros() as u64;
            service_move.record_pace(&key.version, &key.route, gap_us);
        }
    }
}
