//! Progressive delivery: moves a service to another version of its software.
//!
//! An order names a service, a target version and a duration. While the move
//! is running, a canary share of the requests goes to the target, selected by
//! a hash of the request identifier. The canary share alone gives one gateway
//! too little evidence, so all gateways report their evidence to a few
//! deciders, which judge the sum. [`MoveExposure`] bounds the canary share.
//!
//! A gateway whose own requests show that the target is bad rolls the move
//! back at once and tells its peers. Only a decider completes a move, and
//! only if the target is probably not worse than the old version. The first
//! gateway that decides writes the status. A final status never changes.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    GatewayCore,
    exposure::{MoveExposure, SendCounts},
};
use crate::{
    domain::HolderId,
    moves::{
        MoveEvidence, MoveState, RequestResult, Verdict, VersionEvidence,
    },
    ports::{EvidenceReport, MoveOrder, MoveStatus, PeerCall},
    runtime::spawn,
    telemetry::{LogEvent, note_unreadable},
};

/// Interval between rounds in which the moves are evaluated.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Number of gateways that judge the evidence of all gateways. The first is
/// the primary, the others are its standbys.
const DECIDER_COUNT: usize = 3;

/// Number of rounds per report of a gateway to the deciders.
const ROUNDS_PER_REPORT: u32 = 3;

/// Which versions of a service may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionChoice {
    /// The only version that may serve it.
    pub required: Option<String>,
    /// A version that must not serve it.
    pub avoided: Option<String>,
}

/// The version and route that a measurement is evidence for.
#[derive(Clone, Debug)]
pub(super) struct EvidenceKey {
    pub(super) service: String,
    pub(super) version: String,
    pub(super) route: String,
}

/// The state of a move at one gateway.
#[derive(Clone, Debug)]
pub struct ServiceMove {
    order: MoveOrder,
    /// The orders for the service before this one. A topic that is restored
    /// from a copy may hold one of them again.
    earlier_orders: Vec<MoveOrder>,
    exposure: MoveExposure,
    sends: SendCounts,
    /// When this gateway received the order.
    received_at: Instant,
    status: MoveStatus,
    /// Whether a final status is in the store.
    is_stored: bool,
    /// Evidence of this gateway.
    tally: MoveEvidence,
    /// Evidence of the other gateways.
    reports: BTreeMap<HolderId, MoveEvidence>,
}

/// The role of a gateway in a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveRole {
    /// Reports its evidence to the deciders.
    Reporter,
    /// Decides if the primary has not.
    Standby,
    /// Decides.
    Primary,
}

impl MoveRole {
    /// Returns the role of a gateway by its rank for the service; `None` if
    /// it has none.
    pub fn for_rank(rank: Option<usize>) -> MoveRole {
        match rank {
            Some(0) => MoveRole::Primary,
            Some(rank) if rank < DECIDER_COUNT => MoveRole::Standby,
            _ => MoveRole::Reporter,
        }
    }
}

impl ServiceMove {
    /// Creates a running move whose order was received at `now`.
    pub fn new(order: MoveOrder, now: Instant) -> ServiceMove {
        ServiceMove {
            order,
            earlier_orders: Vec::new(),
            exposure: MoveExposure::default(),
            sends: SendCounts::default(),
            received_at: now,
            status: MoveStatus::Running,
            is_stored: false,
            tally: MoveEvidence::default(),
            reports: BTreeMap::new(),
        }
    }

    /// Sets how many requests a bad target may get.
    pub fn with_exposure(mut self, exposure: MoveExposure) -> ServiceMove {
        self.exposure = exposure;
        self
    }

    /// Sets the orders for the service before this one.
    pub fn with_earlier_orders(
        mut self,
        earlier_orders: Vec<MoveOrder>,
    ) -> ServiceMove {
        self.earlier_orders = earlier_orders;
        self
    }

    /// Returns whether an order is a new one. In a later era of the topic it
    /// may be one that is known from before the restore.
    pub fn is_new_order(&self, order: &MoveOrder) -> bool {
        let known = self.order.position;
        if order.position.era <= known.era {
            return order.position > known;
        }
        let is_known = |other: &MoveOrder| other.asks_same(order);
        !is_known(&self.order) && !self.earlier_orders.iter().any(is_known)
    }

    /// Takes over the position at which this order was written again in a
    /// later era. Its status has to be stored again, too.
    pub fn adopt_position(&mut self, order: &MoveOrder) {
        let is_later = order.position.era > self.order.position.era;
        if is_later && order.asks_same(&self.order) {
            self.order.position = order.position;
            self.is_stored = false;
        }
    }

    /// Returns this order and those before it.
    fn all_orders(&self) -> Vec<MoveOrder> {
        let mut orders = self.earlier_orders.clone();
        orders.push(self.order.clone());
        orders
    }

    /// Returns which versions may serve a request that arrived at `now`.
    pub fn version_choice(
        &self,
        request_id: &str,
        now: Instant,
    ) -> VersionChoice {
        let target = self.order.target.clone();
        let takes_target = match self.status {
            MoveStatus::Running => MoveState::routes_to_new(
                self.order.position.offset,
                self.canary_percent(now),
                request_id,
            ),
            MoveStatus::Completed => true,
            MoveStatus::RolledBack => false,
        };
        if takes_target {
            return VersionChoice { required: Some(target), avoided: None };
        }
        VersionChoice { required: None, avoided: Some(target) }
    }

    /// Returns the share of the requests that the target gets at `now`, in
    /// percent.
    fn canary_percent(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.received_at);
        let elapsed_part =
            elapsed.as_secs_f64() / self.order.duration.as_secs_f64();
        self.exposure.canary_percent(self.sends, elapsed_part.min(1.0))
    }

    /// Records that a request is sent to a version.
    pub fn record_send(&mut self, version: &str) {
        self.sends.all += 1;
        self.sends.target += u64::from(version == self.order.target);
    }

    /// Records how a version served a request.
    pub fn record_request(
        &mut self,
        version: &str,
        route: &str,
        result: RequestResult,
    ) {
        self.evidence_for(version).record(route, result);
    }

    /// Records the mean time between events of a stream.
    pub fn record_pace(&mut self, version: &str, route: &str, gap_us: u64) {
        self.evidence_for(version).record_event_gap(route, gap_us);
    }

    /// Returns the evidence of this gateway since the order.
    pub fn tally(&self) -> &MoveEvidence {
        &self.tally
    }

    /// Records the evidence of another gateway since the order. It replaces
    /// the gateway's previous report.
    pub fn record_report(&mut self, from: HolderId, tally: MoveEvidence) {
        self.reports.insert(from, tally);
    }

    fn evidence_for(&mut self, version: &str) -> &mut VersionEvidence {
        if version == self.order.target {
            return &mut self.tally.new;
        }
        &mut self.tally.old
    }

    /// Returns the sum of the evidence of all gateways that have reported.
    fn combined_tally(&self) -> MoveEvidence {
        let mut sum = self.tally.clone();
        for tally in self.reports.values() {
            sum.add(tally);
        }
        sum
    }

    /// Returns the final status if the move is to be decided at `now`.
    pub fn decide(&self, role: MoveRole, now: Instant) -> Option<MoveStatus> {
        if self.status != MoveStatus::Running {
            return None;
        }
        if self.rollback_reason().is_some() {
            return Some(MoveStatus::RolledBack);
        }
        let sum = self.combined_tally();
        let elapsed = now.saturating_duration_since(self.received_at);
        let is_past = |part| elapsed >= self.order.duration.mul_f64(part);
        let decide_part = self.exposure.decide_part();
        let standby_part = self.exposure.standby_part();
        let is_due = match role {
            MoveRole::Reporter => false,
            MoveRole::Standby => is_past(standby_part),
            // With few requests, the primary waits for more evidence, but
            // no longer than the standbys.
            MoveRole::Primary if sum.has_enough_requests() => {
                is_past(decide_part)
            }
            MoveRole::Primary => is_past(standby_part),
        };
        if !is_due {
            return None;
        }
        let is_safe = self.completion_fault().is_none();
        Some(if is_safe {
            MoveStatus::Completed
        } else {
            MoveStatus::RolledBack
        })
    }

    /// Returns why the target must not get all requests; `None` if it may.
    ///
    /// On completion the old upstreams end, so a target that turns out bad
    /// afterwards cannot be rolled back.
    fn completion_fault(&self) -> Option<String> {
        let sum = self.combined_tally();
        if sum.new.requests() == 0 {
            return Some("it has served no request".to_owned());
        }
        match sum.advance_verdict() {
            Verdict::Fail { reason } => Some(reason),
            Verdict::Pass => None,
        }
    }

    /// Returns why the target is bad by the evidence of this gateway or of
    /// all gateways; `None` if it is not.
    fn rollback_reason(&self) -> Option<String> {
        for tally in [&self.tally, &self.combined_tally()] {
            if let Verdict::Fail { reason } = tally.verdict() {
                return Some(reason);
            }
        }
        None
    }

    /// Returns the time until the next point at which a running move may be
    /// completed.
    fn time_until_due(&self, now: Instant) -> Option<Duration> {
        let parts =
            [self.exposure.decide_part(), self.exposure.standby_part()];
        let dues = parts
            .map(|part| self.received_at + self.order.duration.mul_f64(part));
        let due = dues.into_iter().find(|due| *due > now)?;
        (self.status == MoveStatus::Running).then(|| due - now)
    }

    /// Applies the status from the store, which overrides one that was
    /// decided here; returns `true` if the status changes.
    pub fn apply_stored_status(&mut self, status: MoveStatus) -> bool {
        let is_new = status != MoveStatus::Running && status != self.status;
        if is_new {
            self.status = status;
        }
        is_new
    }

    /// Applies a status that this gateway or a peer has decided, unless the
    /// move already has a final one; returns `true` if the status changes.
    pub fn apply_status(&mut self, status: MoveStatus) -> bool {
        if self.status != MoveStatus::Running || status == self.status {
            return false;
        }
        self.status = status;
        true
    }
}

/// Evaluates all moves in rounds. Never returns.
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
    pub(super) fn apply_order(&self, order: MoveOrder) {
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
    pub(super) fn record_evidence_report(&self, report: EvidenceReport) {
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
    pub(super) fn version_choice(
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
    pub(super) fn record_version_send(&self, service: &str, version: &str) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(service) {
            service_move.record_send(version);
        }
    }

    /// Records how an upstream served a request as evidence for a move.
    pub(super) fn record_evidence(
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
    pub(super) fn record_pace(&self, key: &EvidenceKey, gap: Duration) {
        let mut moves = self.moves.borrow_mut();
        if let Some(service_move) = moves.get_mut(&key.service) {
            let gap_us = gap.as_micros() as u64;
            service_move.record_pace(&key.version, &key.route, gap_us);
        }
    }
}

/// The latest move of each service.
pub(super) type ServiceMoves = BTreeMap<String, ServiceMove>;
