//! This VM's use of one account.

use std::time::{Duration, Instant};

use super::AllowanceRecord;
use crate::budget::DemandEstimator;

/// Part of an account's prepaid total that all routers together keep ahead
/// of need while nothing of it has been taken, in percent.
///
/// It shrinks with the square of what is left. Tokens ahead of need serve
/// requests while a router is cut off, and are lost with a router that dies.
/// An account with much left bears such a loss; one near its end does not.
const FLOAT_PERCENT: u64 = 75;

/// Tokens are taken as soon as less than this part of the float is at hand,
/// in percent.
const REFILL_PERCENT: u64 = 90;

/// Tokens at hand beyond this multiple of the float are given back.
const EXCESS_FACTOR: f64 = 1.25;

/// What the next record depends on beside the own use.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccountState {
    pub(super) prepaid: u64,
    /// Tokens that no VM has taken.
    pub(super) free: u64,
    /// What all routers together have spent.
    pub(super) spent: u64,
    /// Whether other VMs want more than is free.
    pub(super) others_want: bool,
    /// Routers on the list of VMs.
    pub(super) routers: u64,
}

/// This VM's use of one account.
#[derive(Debug)]
pub(super) struct OwnUse {
    /// What earlier incarnations have left.
    pub(super) base: AllowanceRecord,
    /// Tokens that this incarnation may use.
    pub(super) limit: u64,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    pub(super) lent: u64,
    pub(super) borrowed: u64,
    pub(super) unmet: Vec<u64>,
    pub(super) sizer: DemandEstimator,
    fleet_spent: u64,
    fleet_sizer: DemandEstimator,
}

impl OwnUse {
    pub(super) fn new(horizon: Duration, now: Instant) -> OwnUse {
        OwnUse {
            base: AllowanceRecord::default(),
            limit: 0,
            spent: 0,
            reserved: 0,
            lent: 0,
            borrowed: 0,
            unmet: Vec::new(),
            sizer: DemandEstimator::new(horizon, now),
            fleet_spent: 0,
            fleet_sizer: DemandEstimator::new(horizon, now),
        }
    }

    /// Tokens that can be given to further requests.
    pub(super) fn available(&self) -> u64 {
        (self.limit + self.borrowed).saturating_sub(self.in_use())
    }

    /// The least limit that covers what is in use.
    pub(super) fn least_limit(&self) -> u64 {
        self.in_use().saturating_sub(self.borrowed)
    }

    /// Tokens that cannot be used for further requests.
    fn in_use(&self) -> u64 {
        self.spent + self.reserved + self.lent
    }

    /// Whether nothing is in use and nothing at hand.
    pub(super) fn is_idle(&self) -> bool {
        let is_waiting = self.reserved > 0 || !self.unmet.is_empty();
        !is_waiting && self.available() == 0
    }

    /// The record of this use with a limit.
    pub(super) fn record(
        &self,
        incarnation: u64,
        limit: u64,
        wanted: u64,
    ) -> AllowanceRecord {
        let net_lent = self.lent as i64 - self.borrowed as i64;
        AllowanceRecord {
            incarnation,
            taken: self.base.taken + limit,
            spent: self.base.spent + self.spent,
            lent: self.base.lent + net_lent,
            lost: self.base.unspent() + self.base.lost,
            wanted,
        }
    }

    /// The limit to have next, and the tokens that are wanted beyond it.
    pub(super) fn next_limit(
        &mut self,
        state: &AccountState,
        now: Instant,
    ) -> (u64, u64) {
        let float = self.float(state, now);
        let free = state.free;
        let available = self.available();
        let unmet: u64 = self.unmet.iter().sum();
        if unmet > available {
            let covered = self.unmet_within(available + free);
            let more = (covered + float).saturating_sub(available);
            return (self.limit + more.min(free), unmet - covered);
        }
        let left = available - unmet;
        if left < float * REFILL_PERCENT / 100 {
            return (self.limit + (float - left).min(free), 0);
        }
        let is_excess = left as f64 > float as f64 * EXCESS_FACTOR;
        if state.others_want || is_excess {
            return (self.limit.saturating_sub(left - float), 0);
        }
        (self.limit, 0)
    }

    /// Tokens to keep ahead of need.
    fn float(&mut self, state: &AccountState, now: Instant) -> u64 {
        self.note_fleet(state.spent, now);
        if state.others_want {
            return 0;
        }
        let part = self.demand_part(state.routers, now);
        let share = fleet_float(state.prepaid, state.free) * part;
        self.sizer.target(now).min(share as u64)
    }

    /// Notes what all routers together have spent.
    fn note_fleet(&mut self, spent: u64, now: Instant) {
        let known = std::mem::replace(&mut self.fleet_spent, spent);
        if known > 0 {
            self.fleet_sizer.record(spent.saturating_sub(known), now);
        }
    }

    /// This router's part of the demand.
    fn demand_part(&mut self, routers: u64, now: Instant) -> f64 {
        let own = self.sizer.target(now) as f64;
        let fleet = self.fleet_sizer.target(now) as f64;
        let least = 1.0 / routers.max(1) as f64;
        if fleet <= 0.0 {
            return least;
        }
        (own / fleet).clamp(least, 1.0)
    }

    /// The most tokens out of `tokens` that waiting requests can be given,
    /// small requests first.
    fn unmet_within(&self, tokens: u64) -> u64 {
        let mut sizes = self.unmet.clone();
        sizes.sort_unstable();
        let mut sum = 0;
        for size in sizes {
            if sum + size > tokens {
                break;
            }
            sum += size;
        }
        sum
    }
}

/// The most tokens that all routers together keep ahead of need.
fn fleet_float(prepaid: u64, free: u64) -> f64 {
    let left = free as f64 / prepaid.max(1) as f64;
    prepaid as f64 * left.powi(2) * FLOAT_PERCENT as f64 / 100.0
}
