//! Moves of a service to another version of its software.
//!
//! An order names a service, a target version and a time. Until the move is
//! decided, a small share of the requests goes to the target, chosen by the
//! identity of the request alone. That share gives one gateway next to no
//! evidence, so all of them report theirs to a few deciders, who go by the sum.
//! Any gateway whose own requests show that the target is bad stops at once
//! and tells its peers. Only a judge calls a target sound, and only after it
//! has been tried. Whoever decides first writes the status; a status that is
//! final is never changed.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use super::GatewayCore;
use crate::{
    domain::HolderId,
    moves::{MoveEvidence, MoveState, Verdict, VersionEvidence},
    ports::{EvidenceReport, MoveOrder, MoveStatus, PeerCall},
    telemetry::{LogEvent, note_unreadable},
};

/// Time between two rounds of the driver.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Share of the requests that a target takes before it is decided, in
/// percent. A bad version may get a tenth.
const CANARY_PERCENT: u32 = 6;

/// Part of an order's time after which a sound target takes everything, in
/// percent. What goes to the target until the end of that time, its canary
/// share included, stays within a tenth in case it turns bad then.
const DECIDE_PERCENT: u32 = 96;

/// Part of an order's time after which other deciders decide, because the
/// first one may be gone, in percent.
const STANDBY_PERCENT: u32 = 98;

/// Gateways that go by the evidence of all; others stand in for the first.
const DECIDER_COUNT: usize = 3;

/// Rounds between two reports of a gateway to the deciders.
const ROUNDS_PER_REPORT: u32 = 3;

/// Which versions take a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionChoice {
    /// The only version that takes it.
    pub required: Option<String>,
    /// A version that does not take it.
    pub avoided: Option<String>,
}

/// What a stream is evidence of.
#[derive(Clone, Debug)]
pub(super) struct EvidenceKey {
    pub(super) service: String,
    pub(super) version: String,
    pub(super) route: String,
}

/// A move as one gateway knows it.
#[derive(Clone, Debug)]
pub struct ServiceMove {
    order: MoveOrder,
    received_at: Instant,
    status: MoveStatus,
    is_stored: bool,
    tally: MoveEvidence,
    /// What other gateways have seen.
    reports: BTreeMap<HolderId, MoveEvidence>,
}

/// What a gateway does about a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveRole {
    /// It reports its evidence.
    Reporter,
    /// It decides if the first judge does not.
    Standby,
    /// It decides.
    Primary,
}

impl MoveRole {
    /// The role of the gateway at a rank in the ranking of all.
    pub fn for_rank(rank: Option<usize>) -> MoveRole {
        match rank {
            Some(0) => MoveRole::Primary,
            Some(rank) if rank < DECIDER_COUNT => MoveRole::Standby,
            _ => MoveRole::Reporter,
        }
    }
}

impl ServiceMove {
    /// Creates a move whose order was seen now.
    pub fn new(order: MoveOrder, now: Instant) -> ServiceMove {
        ServiceMove {
            order,
            received_at: now,
            status: MoveStatus::Running,
            is_stored: false,
            tally: MoveEvidence::default(),
            reports: BTreeMap::new(),
        }
    }

    /// The versions that take a request.
    pub fn version_choice(&self, request_id: &str) -> VersionChoice {
        let target = self.order.target.clone();
        let takes = match self.status {
            MoveStatus::Running => MoveState::routes_to_new(
                self.order.number,
                CANARY_PERCENT,
                request_id,
            ),
            MoveStatus::Completed => true,
            MoveStatus::RolledBack => false,
        };
        if takes {
            return VersionChoice { required: Some(target), avoided: None };
        }
        VersionChoice { required: None, avoided: Some(target) }
    }

    /// Notes how a version served a request.
    pub fn record_request(
        &mut self,
        version: &str,
        route: &str,
        failed: bool,
        latency_us: Option<u64>,
    ) {
        self.evidence_for(version).record(route, failed, latency_us);
    }

    /// Notes how fast the events of a stream of a version came.
    pub fn record_pace(&mut self, version: &str, route: &str, gap_us: u64) {
        self.evidence_for(version).record_event_gap(route, gap_us);
    }

    /// What this gateway has seen since the order.
    pub fn tally(&self) -> &MoveEvidence {
        &self.tally
    }

    /// Takes what another gateway has seen since the order.
    pub fn record_report(&mut self, from: HolderId, tally: MoveEvidence) {
        self.reports.insert(from, tally);
    }

    fn evidence_for(&mut self, version: &str) -> &mut VersionEvidence {
        if version == self.order.target {
            return &mut self.tally.new;
        }
        &mut self.tally.old
    }

    /// What all gateways have seen, as far as they have reported it.
    fn combined_tally(&self) -> MoveEvidence {
        let mut sum = self.tally.clone();
        for tally in self.reports.values() {
            sum.add(tally);
        }
        sum
    }

    /// What is to be decided now, if anything.
    pub fn decide(&self, role: MoveRole, now: Instant) -> Option<MoveStatus> {
        if self.status != MoveStatus::Running {
            return None;
        }
        if self.rollback_reason().is_some() {
            return Some(MoveStatus::RolledBack);
        }
        let sum = self.combined_tally();
        let elapsed = now.saturating_duration_since(self.received_at);
        let is_past = |percent| elapsed >= self.order.duration * percent / 100;
        let is_due = match role {
            MoveRole::Reporter => false,
            MoveRole::Standby => is_past(STANDBY_PERCENT),
            // A service with few requests is not worth a longer wait.
            MoveRole::Primary if sum.has_enough_requests() => {
                is_past(DECIDE_PERCENT)
            }
            MoveRole::Primary => is_past(STANDBY_PERCENT),
        };
        if !is_due {
            return None;
        }
        // A version that has served nothing was never there.
        let is_served = sum.new.requests() > 0;
        Some(if is_served {
            MoveStatus::Completed
        } else {
            MoveStatus::RolledBack
        })
    }

    /// What shows that the target is bad, to this gateway or to all.
    fn rollback_reason(&self) -> Option<String> {
        for tally in [&self.tally, &self.combined_tally()] {
            if let Verdict::Fail { reason } = tally.verdict() {
                return Some(reason);
            }
        }
        None
    }

    /// Time until a sound target is due, if that is still to come.
    fn time_until_due(&self, now: Instant) -> Option<Duration> {
        let percents = [DECIDE_PERCENT, STANDBY_PERCENT];
        let dues =
            percents.map(|p| self.received_at + self.order.duration * p / 100);
        let due = dues.into_iter().find(|due| *due > now)?;
        (self.status == MoveStatus::Running).then(|| due - now)
    }

    /// Takes the status that is written, which goes before one that was
    /// decided here; `true` if it is another one.
    pub fn apply_stored_status(&mut self, status: MoveStatus) -> bool {
        let is_new = status != MoveStatus::Running && status != self.status;
        if is_new {
            self.status = status;
        }
        is_new
    }

    /// Takes a status that is decided here or elsewhere.
    pub fn apply_status(&mut self, status: MoveStatus) -> bool {
        if self.status != MoveStatus::Running || status == self.status {
            return false;
        }
        self.status = status;
        true
    }
}

/// Drives the moves for as long as the task lives.
pub(super) async fn run_moves(core: Rc<GatewayCore>) {
    for round in 0_u32.. {
        core.timer.sleep(core.next_round_delay(Instant::now())).await;
        let services: Vec<String> =
            core.moves.borrow().keys().cloned().collect();
        for service in services {
            drive_move(&core, &service, round % ROUNDS_PER_REPORT == 0).await;
        }
    }
}

async fn drive_move(core: &Rc<GatewayCore>, service: &str, reports: bool) {
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
    if reports && service_move.status == MoveStatus::Running {
        let evidence = encode_tally(&service_move.tally);
        send_report(core, &service_move, &deciders, evidence, false);
    }
    let decided = service_move.decide(role, Instant::now());
    if let Some(status) = decided {
        let fault = service_move.rollback_reason();
        let reason = fault.as_deref().unwrap_or("nothing speaks against it");
        core.apply_move_status(service, status, reason);
        if status == MoveStatus::RolledBack {
            let all = core.directory.ranked_entry_vms(service);
            send_report(core, &service_move, &all, String::new(), true);
        }
    }
    // A status that is final is written by everyone until it is there.
    let status = decided.unwrap_or(service_move.status);
    let writes = status != MoveStatus::Running || role == MoveRole::Primary;
    let written = if writes {
        core.ports.moves.write(&service_move.order, status).await
    } else {
        core.ports.moves.read(&service_move.order).await
    };
    match written {
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
        status = status.as_str(), from;
        "version move decided"
    );
}

fn encode_tally(tally: &MoveEvidence) -> String {
    // Counters by route are always serializable.
    serde_json::to_string(tally).unwrap_or_default()
}

/// Sends evidence, or the word that a target is bad, to other gateways.
fn send_report(
    core: &Rc<GatewayCore>,
    service_move: &ServiceMove,
    vms: &[String],
    evidence: String,
    tripped: bool,
) {
    let report = EvidenceReport {
        holder: core.id.clone(),
        move_id: service_move.order.number,
        evidence,
        tripped,
    };
    for vm in vms {
        let peer = core.directory.peer_address(vm);
        let Some(peer) = peer.filter(|_| *vm != core.id.vm) else {
            continue;
        };
        let (core, report) = (core.clone(), report.clone());
        monoio::spawn(async move {
            let call = PeerCall::Evidence(report);
            // Reports are cumulative, and a peer that misses the word sees
            // the status.
            let _ = core.ports.peers.call(peer, call).await;
        });
    }
}

impl GatewayCore {
    /// Time until the next round of the driver, which is soon after a move
    /// is due: little of its time is left then.
    fn next_round_delay(&self, now: Instant) -> Duration {
        let moves = self.moves.borrow();
        let left = moves
            .values()
            .filter_map(|service_move| service_move.time_until_due(now));
        left.fold(ROUND_INTERVAL, Duration::min)
    }

    /// Takes an order into account.
    pub(super) fn apply_order(&self, order: MoveOrder) {
        let mut moves = self.moves.borrow_mut();
        let service_move = moves.get(&order.service);
        if service_move.is_some_and(|service_move| {
            service_move.order.number >= order.number
        }) {
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

    /// Takes the written status of a move.
    fn apply_stored_move_status(&self, service: &str, status: MoveStatus) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(service)
            && service_move.apply_stored_status(status)
        {
            log_decision(service_move, "status");
        }
    }

    /// Takes what another gateway has seen of a move, or its word that the
    /// target is bad.
    pub(super) fn record_evidence_report(&self, report: EvidenceReport) {
        let mut moves = self.moves.borrow_mut();
        let mut service_move = moves.iter_mut().filter(|(_, service_move)| {
            service_move.order.number == report.move_id
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

    /// The versions that take a request.
    pub(super) fn version_choice(
        &self,
        service: &str,
        request_id: &str,
    ) -> VersionChoice {
        let moves = self.moves.borrow();
        let choice = moves.get(service).map(|m| m.version_choice(request_id));
        choice.unwrap_or_default()
    }

    /// Notes how an upstream served a request, for the moves.
    pub(super) fn record_evidence(
        &self,
        service: &str,
        version: &str,
        route: &str,
        failed: bool,
        latency: Option<Duration>,
    ) {
        let mut moves = self.moves.borrow_mut();
        let Some(service_move) = moves.get_mut(service) else {
            return;
        };
        let latency = latency.map(|time| time.as_micros() as u64);
        service_move.record_request(version, route, failed, latency);
    }

    /// Notes the mean time between events of a stream, for the moves.
    pub(super) fn record_pace(&self, key: &EvidenceKey, gap: Duration) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(&key.service) {
            let gap_us = gap.as_micros() as u64;
            service_move.record_pace(&key.version, &key.route, gap_us);
        }
    }
}

/// The moves of a gateway by service.
pub(super) type ServiceMoves = BTreeMap<String, ServiceMove>;
