//! Moves of a service to another version of its software.
//!
//! An order names a service, a target version and a time. Until the move is
//! decided, a small share of the requests goes to the target, chosen by the
//! identity of the request alone. Every gateway judges the target by what
//! its own requests show, stops on its own, and tells its peers. Whoever
//! decides first writes the status; a status that is final is never changed.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use super::GatewayCore;
use crate::{
    moves::{EvidenceTally, MoveState, Verdict},
    ports::{EvidenceReport, MoveOrder, MoveStatus, PeerCall, VmRole},
    telemetry::LogEvent,
};

/// Time between two rounds of the driver.
const ROUND: Duration = Duration::from_millis(300);

/// Share of the requests that a target takes before it is decided, in
/// percent. A bad version may get a tenth.
const CANARY_PERCENT: u32 = 6;

/// Part of an order's time after which a sound target takes everything, in
/// percent. A version may turn bad late.
const DECIDE_PERCENT: u32 = 75;

/// Part of an order's time after which any gateway decides, because the one
/// whose turn it is may be gone, in percent.
const ANYONE_PERCENT: u32 = 85;

/// Requests that a target has to have served here before it is called sound.
const LEAST_REQUESTS: u64 = 1;

/// Which versions take a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionChoice {
    /// The only version that takes it.
    pub only: Option<String>,
    /// A version that does not take it.
    pub avoided: Option<String>,
}

/// A move as one gateway knows it.
#[derive(Clone, Debug)]
pub struct ServiceMove {
    order: MoveOrder,
    seen: Instant,
    status: MoveStatus,
    is_written: bool,
    tally: EvidenceTally,
}

impl ServiceMove {
    /// Creates a move whose order was seen now.
    pub fn new(order: MoveOrder, now: Instant) -> ServiceMove {
        ServiceMove {
            order,
            seen: now,
            status: MoveStatus::Running,
            is_written: false,
            tally: EvidenceTally::default(),
        }
    }

    /// The versions that take a request.
    pub fn choice(&self, request_id: &str) -> VersionChoice {
        let target = self.order.target.clone();
        let takes = match self.status {
            MoveStatus::Running => {
                MoveState::takes(self.order.number, CANARY_PERCENT, request_id)
            }
            MoveStatus::Completed => true,
            MoveStatus::RolledBack => false,
        };
        if takes {
            return VersionChoice { only: Some(target), avoided: None };
        }
        VersionChoice { only: None, avoided: Some(target) }
    }

    /// Notes how a version served a request.
    pub fn note(
        &mut self,
        version: &str,
        route: &str,
        failed: bool,
        latency_us: Option<u64>,
    ) {
        let side = if version == self.order.target {
            &mut self.tally.new
        } else {
            &mut self.tally.old
        };
        side.note(route, failed, latency_us);
    }

    /// What is to be decided now, if anything.
    ///
    /// `is_turn` tells whether this gateway decides before the others.
    pub fn decide(&self, is_turn: bool, now: Instant) -> Option<MoveStatus> {
        if self.status != MoveStatus::Running {
            return None;
        }
        if let Verdict::Bad { .. } = self.tally.verdict() {
            return Some(MoveStatus::RolledBack);
        }
        let elapsed = now.saturating_duration_since(self.seen);
        let part = if is_turn { DECIDE_PERCENT } else { ANYONE_PERCENT };
        let is_due = elapsed >= self.order.duration * part / 100;
        let is_tried = self.tally.new.requests() >= LEAST_REQUESTS;
        (is_due && is_tried).then_some(MoveStatus::Completed)
    }

    /// Takes a status that is decided here or elsewhere.
    pub fn take_status(&mut self, status: MoveStatus) -> bool {
        if self.status != MoveStatus::Running || status == self.status {
            return false;
        }
        self.status = status;
        true
    }
}

/// Drives the moves for as long as the task lives.
pub(super) async fn run_moves(core: Rc<GatewayCore>) {
    let ticks = core.timer.subscribe(ROUND);
    loop {
        ticks.tick().await;
        let services: Vec<String> =
            core.moves.borrow().keys().cloned().collect();
        for service in services {
            drive(&core, &service).await;
        }
    }
}

async fn drive(core: &Rc<GatewayCore>, service: &str) {
    let is_turn = core.directory.is_first_for(service);
    let now = Instant::now();
    let known = core.moves.borrow().get(service).cloned();
    let Some(known) = known.filter(|known| !known.is_written) else {
        return;
    };
    let decided = known.decide(is_turn, now);
    if let Some(status) = decided {
        core.take_move_status(service, status, "own evidence");
        if status == MoveStatus::RolledBack {
            tell_peers(core, &known).await;
        }
    }
    // A status that is final is written by everyone until it is there.
    let status = decided.unwrap_or(known.status);
    let writes = status != MoveStatus::Running || is_turn;
    let written = if writes {
        core.ports.moves.write(&known.order, status).await
    } else {
        core.ports.moves.read(&known.order).await
    };
    match written {
        Ok(Some(found)) => {
            core.take_move_status(service, found, "status");
            let mut moves = core.moves.borrow_mut();
            let same = moves.get_mut(service);
            let same = same.filter(|m| m.order == known.order);
            if let Some(same) = same {
                same.is_written = found != MoveStatus::Running;
            }
        }
        Ok(None) => {}
        Err(fault) => log::debug!(service; "status of a move: {fault}"),
    }
}

/// Tells the other routers that a target is bad.
async fn tell_peers(core: &Rc<GatewayCore>, known: &ServiceMove) {
    let report = EvidenceReport {
        holder: core.id.clone(),
        move_id: known.order.number,
        evidence: String::new(),
        tripped: true,
    };
    let mut peers = Vec::new();
    for (vm, entry) in core.directory.vms().iter() {
        let is_other = entry.role == VmRole::Entry && *vm != core.id.vm;
        peers.extend(entry.peer_address.filter(|_| is_other));
    }
    for peer in peers {
        let (core, report) = (core.clone(), report.clone());
        monoio::spawn(async move {
            let call = PeerCall::Evidence(report);
            // A peer that is missed sees the fault itself or the status.
            let _ = core.ports.peers.call(peer, call).await;
        });
    }
}

impl GatewayCore {
    /// Takes an order into account.
    pub(super) fn take_order(&self, order: MoveOrder) {
        let mut moves = self.moves.borrow_mut();
        let known = moves.get(&order.service);
        if known.is_some_and(|known| known.order.number >= order.number) {
            return;
        }
        log::info!(
            event:% = LogEvent::MoveOrdered,
            service = order.service.as_str(), to_version = order.target.as_str(),
            number = order.number,
            for_ms = order.duration.as_millis() as u64;
            "version move ordered"
        );
        let service = order.service.clone();
        moves.insert(service, ServiceMove::new(order, Instant::now()));
    }

    /// Takes the status of a move.
    fn take_move_status(&self, service: &str, status: MoveStatus, from: &str) {
        let mut moves = self.moves.borrow_mut();
        let Some(known) = moves.get_mut(service) else {
            return;
        };
        if known.take_status(status) {
            let status = format!("{status:?}");
            log::info!(
                event:% = LogEvent::MoveDecided,
                service, to_version = known.order.target.as_str(),
                status = status.as_str(), from;
                "version move decided"
            );
        }
    }

    /// Takes a peer's word that the target of a move is bad.
    pub(super) fn take_trip(&self, report: &EvidenceReport) {
        let mut service = None;
        for (name, known) in self.moves.borrow().iter() {
            if known.order.number == report.move_id && report.tripped {
                service = Some(name.clone());
            }
        }
        if let Some(service) = service {
            let status = MoveStatus::RolledBack;
            self.take_move_status(&service, status, &report.holder.vm);
        }
    }

    /// The versions that take a request.
    pub(super) fn version_choice(
        &self,
        service: &str,
        request_id: &str,
    ) -> VersionChoice {
        let moves = self.moves.borrow();
        let choice = moves.get(service).map(|m| m.choice(request_id));
        choice.unwrap_or_default()
    }

    /// Notes how an upstream served a request, for the moves.
    pub(super) fn note_evidence(
        &self,
        service: &str,
        version: &str,
        route: &str,
        failed: bool,
        latency: Option<Duration>,
    ) {
        let mut moves = self.moves.borrow_mut();
        let Some(known) = moves.get_mut(service) else {
            return;
        };
        let latency = latency.map(|time| time.as_micros() as u64);
        known.note(version, route, failed, latency);
    }
}

/// The moves of a gateway by service.
pub(super) type ServiceMoves = BTreeMap<String, ServiceMove>;
