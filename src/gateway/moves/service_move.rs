//! The state of a move at one gateway, and when the move is decided.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::DECIDER_COUNT;
use crate::{
    domain::HolderId,
    gateway::exposure::{MoveExposure, SendCounts},
    moves::{
        MoveEvidence, MoveState, RequestResult, Verdict, VersionEvidence,
    },
    ports::{MoveOrder, MoveStatus},
};

/// Which versions of a service may serve a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionChoice {
    /// The only version that may serve it.
    pub required: Option<String>,
    /// A version that must not serve it.
    pub avoided: Option<String>,
}

/// The state of a move at one gateway.
#[derive(Clone, Debug)]
pub struct ServiceMove {
    pub(super) order: MoveOrder,
    /// The orders for the service before this one. A topic that is restored
    /// from a copy may hold one of them again.
    earlier_orders: Vec<MoveOrder>,
    exposure: MoveExposure,
    sends: SendCounts,
    /// When this gateway received the order.
    received_at: Instant,
    pub(super) status: MoveStatus,
    /// Whether a final status is in the store.
    pub(super) is_stored: bool,
    /// Evidence of this gateway.
    pub(super) tally: MoveEvidence,
    /// Evidence of the other gateways.
    pub(super) reports: BTreeMap<HolderId, MoveEvidence>,
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
    pub(super) fn all_orders(&self) -> Vec<MoveOrder> {
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
    pub(super) fn combined_tally(&self) -> MoveEvidence {
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
    pub(super) fn completion_fault(&self) -> Option<String> {
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
    pub(super) fn rollback_reason(&self) -> Option<String> {
        for tally in [&self.tally, &self.combined_tally()] {
            if let Verdict::Fail { reason } = tally.verdict() {
                return Some(reason);
            }
        }
        None
    }

    /// Returns the time until the next point at which a running move may be
    /// completed.
    pub(super) fn time_until_due(&self, now: Instant) -> Option<Duration> {
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
