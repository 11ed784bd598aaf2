//! This VM's usage of one account, and how many tokens it claims next.
//!
//! A VM keeps a buffer of tokens ahead of need, so that requests need not
//! wait for the topic. The buffer covers the expected demand and is limited
//! to this VM's share of a buffer for the whole fleet.

use std::time::{Duration, Instant};

use super::{AllowanceRecord, TokenNeed, ranking::RankedDemand};
use crate::{budget::DemandEstimator, domain::saturating_sum};

/// The buffer of all routers together, in percent of an account's prepaid
/// total, while none of the total has been taken.
///
/// It shrinks with the square of the part that is left. Buffered tokens serve
/// requests while a router is cut off, and are lost with a router that dies.
/// An account with much left can bear such a loss; one near its end cannot.
const FLEET_BUFFER_PERCENT: u64 = 75;

/// The most tokens that are kept for requests that rank before others, in
/// percent of an account's prepaid total. Only the rest of the total is
/// promised to callers.
const MAX_KEPT_PERCENT: u64 = 3;

/// Time of expected demand for which tokens are kept; a top-up may come by
/// then.
const KEPT_TIME: Duration = Duration::from_secs(30);

/// The buffer is refilled as soon as it is below this percentage of its
/// target.
const REFILL_PERCENT: u64 = 90;

/// Tokens beyond this multiple of the buffer's target are given back.
const EXCESS_FACTOR: f64 = 1.25;

/// The state of an account across the fleet, on which the next claim depends
/// beside this VM's usage.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccountTotals {
    pub(super) prepaid: u64,
    /// Tokens that no VM has taken.
    pub(super) free: u64,
    /// Tokens that all routers together are known to have spent.
    pub(super) spent: u64,
    /// Whether other VMs want more than is free.
    pub(super) others_want: bool,
    /// The number of routers listed in the directory.
    pub(super) routers: u64,
}

/// What a record says of its writer.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordWriter {
    pub(super) incarnation: u64,
    /// The era of the topic that the writer knows.
    pub(super) era: u64,
}

/// This VM's usage of one account.
#[derive(Debug)]
pub(super) struct AccountUsage {
    /// The last record of the VM's earlier incarnations.
    pub(super) baseline: AllowanceRecord,
    /// Tokens that were granted to this incarnation.
    pub(super) limit: u64,
    pub(super) spent: u64,
    pub(super) reserved: u64,
    pub(super) lent: u64,
    pub(super) borrowed: u64,
    /// Tokens that requests wait for, one entry for each request.
    pub(super) waiting: Vec<u64>,
    pub(super) demand: RankedDemand,
    fleet_spent: u64,
    fleet_demand: DemandEstimator,
}

impl AccountUsage {
    pub(super) fn new(horizon: Duration, now: Instant) -> AccountUsage {
        AccountUsage {
            baseline: AllowanceRecord::default(),
            limit: 0,
            spent: 0,
            reserved: 0,
            lent: 0,
            borrowed: 0,
            waiting: Vec::new(),
            demand: RankedDemand::new(horizon, now),
            fleet_spent: 0,
            fleet_demand: DemandEstimator::new(horizon, now),
        }
    }

    /// Returns the tokens that further requests can reserve.
    pub(super) fn available(&self) -> u64 {
        (self.limit + self.borrowed).saturating_sub(self.in_use())
    }

    /// Returns the lowest limit that covers the tokens in use.
    pub(super) fn min_limit(&self) -> u64 {
        self.in_use().saturating_sub(self.borrowed)
    }

    /// Returns the tokens that further requests cannot reserve.
    fn in_use(&self) -> u64 {
        self.spent + self.reserved + self.lent
    }

    /// Whether no tokens are reserved, waited for or available.
    pub(super) fn is_idle(&self) -> bool {
        let is_waiting = self.reserved > 0 || !self.waiting.is_empty();
        !is_waiting && self.available() == 0
    }

    /// Builds the record of this usage with a new limit.
    pub(super) fn record(
        &self,
        writer: RecordWriter,
        limit: u64,
        wanted: u64,
    ) -> AllowanceRecord {
        let waiting = saturating_sum(self.waiting.iter().copied());
        let net_lent = self.lent as i64 - self.borrowed as i64;
        AllowanceRecord {
            incarnation: writer.incarnation,
            era: writer.era,
            base: self.baseline.taken,
            taken: self.baseline.taken + limit,
            spent: self.baseline.spent + self.spent,
            lent: self.baseline.lent + net_lent,
            lost: self.baseline.unspent() + self.baseline.lost,
            wanted,
            reserved: self.reserved + waiting,
        }
    }

    /// Returns the next limit to claim, and the tokens wanted beyond it.
    pub(super) fn next_limit(
        &mut self,
        totals: &AccountTotals,
        now: Instant,
    ) -> (u64, u64) {
        let buffer = self.buffer_target(totals, now);
        let free = totals.free;
        let available = self.available();
        let waiting: u64 = self.waiting.iter().sum();
        if waiting > available {
            let covered = self.waiting_within(available + free);
            let more = (covered + buffer).saturating_sub(available);
            return (self.limit + more.min(free), waiting - covered);
        }
        let left = available - waiting;
        if left < buffer * REFILL_PERCENT / 100 {
            return (self.limit + (buffer - left).min(free), 0);
        }
        let is_excess = left as f64 > buffer as f64 * EXCESS_FACTOR;
        if totals.others_want || is_excess {
            return (self.limit.saturating_sub(left - buffer), 0);
        }
        (self.limit, 0)
    }

    /// Returns the tokens to keep ahead of need; none while other VMs want
    /// more than is free.
    fn buffer_target(&mut self, totals: &AccountTotals, now: Instant) -> u64 {
        self.record_fleet_demand(totals.spent, now);
        if totals.others_want {
            return 0;
        }
        let demand_share = self.demand_share(totals.routers, now);
        let share = fleet_buffer(totals.prepaid, totals.free) * demand_share;
        self.demand.target(now).min(share as u64)
    }

    /// Updates the fleet's demand from what all routers have spent.
    fn record_fleet_demand(&mut self, spent: u64, now: Instant) {
        let known = std::mem::replace(&mut self.fleet_spent, spent);
        if known > 0 {
            self.fleet_demand.record(spent.saturating_sub(known), now);
        }
    }

    /// Returns this router's share of the fleet's demand, at least an equal
    /// one.
    fn demand_share(&mut self, routers: u64, now: Instant) -> f64 {
        let own = self.demand.target(now) as f64;
        let fleet = self.fleet_demand.target(now) as f64;
        let equal_share = 1.0 / routers.max(1) as f64;
        if fleet <= 0.0 {
            return equal_share;
        }
        (own / fleet).clamp(equal_share, 1.0)
    }

    /// Returns the tokens that the fleet's requests which rank before `need`
    /// are expected to use, up to a share of the prepaid total.
    ///
    /// The requests of this router stand for those of the fleet.
    pub(super) fn expected_before(
        &mut self,
        need: TokenNeed,
        prepaid: u64,
        now: Instant,
    ) -> u64 {
        let before = self.demand.target_before(need, now);
        if before == 0 {
            return 0;
        }
        let own = self.demand.target(now).max(1);
        let fleet = self.fleet_demand.target(now).max(own);
        let share = before as f64 / own as f64;
        let time = KEPT_TIME.div_duration_f64(self.demand.horizon());
        let expected = share * fleet as f64 * time;
        (expected as u64).min(prepaid / 100 * MAX_KEPT_PERCENT)
    }

    /// Returns how many of `tokens` the waiting requests can use if they are
    /// served in order of size, smallest first.
    fn waiting_within(&self, tokens: u64) -> u64 {
        let mut sizes = self.waiting.clone();
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

/// Returns the largest buffer of all routers together.
fn fleet_buffer(prepaid: u64, free: u64) -> f64 {
    let left = free as f64 / prepaid.max(1) as f64;
    prepaid as f64 * left.powi(2) * FLEET_BUFFER_PERCENT as f64 / 100.0
}
