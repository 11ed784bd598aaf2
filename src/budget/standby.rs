//! Bills that are not in the log yet, stored in memory for other routers.
//!
//! A router tells its standby, a peer preferably in another failure domain,
//! which requests it has sent and which of them have ended. If the router
//! dies before it settles, the standby settles for it: a request that has
//! ended at its final amount, a request in progress at the amount that the
//! upstream reports when the request is canceled.
//!
//! Spending rights do not depend on this state. If it is lost, requests may go
//! unbilled, but no budget is overspent.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    domain::{BillId, HolderId},
    ports::{RelayBatch, RelayedBill},
};

/// Maximum number of bills stored for one router.
const MAX_BILLS_PER_ROUTER: usize = 60_000;

/// Time for which an ended bill is stored. It covers a log outage of an hour
/// and the time until the death of a router is detected.
const ENDED_BILL_LIFETIME: Duration = Duration::from_secs(2 * 3600);

struct StoredBill {
    bill: RelayedBill,
    stored_at: Instant,
}

/// The bills stored for other routers.
#[derive(Default)]
pub struct StandbyBills {
    stored: BTreeMap<HolderId, BTreeMap<BillId, StoredBill>>,
}

impl StandbyBills {
    /// Creates an empty store.
    pub fn new() -> StandbyBills {
        StandbyBills::default()
    }

    /// Stores bills; a newer state of a bill replaces an older one.
    pub fn store(&mut self, batch: &RelayBatch) {
        let bills = self.stored.entry(batch.holder.clone()).or_default();
        for bill in &batch.bills {
            if bills.len() >= MAX_BILLS_PER_ROUTER {
                bills.pop_first();
            }
            let stored_at = Instant::now();
            let stored = StoredBill { bill: bill.clone(), stored_at };
            bills.insert(bill.bill, stored);
        }
    }

    /// Drops ended bills whose lifetime has passed. Their router has had time
    /// to settle them.
    pub fn remove_expired(&mut self) {
        for bills in self.stored.values_mut() {
            bills.retain(|_, stored| {
                let has_ended = stored.bill.tokens.is_some();
                !has_ended || stored.stored_at.elapsed() < ENDED_BILL_LIFETIME
            });
        }
        self.stored.retain(|_, bills| !bills.is_empty());
    }

    /// Removes and returns the bills of routers for which `is_dead` holds.
    pub fn take_dead(
        &mut self,
        is_dead: impl Fn(&HolderId) -> bool,
    ) -> Vec<RelayedBill> {
        let mut removed = Vec::new();
        self.stored.retain(|holder, bills| {
            if !is_dead(holder) {
                return true;
            }
            for stored in bills.values() {
                removed.push(stored.bill.clone());
            }
            false
        });
        removed
    }

    /// Returns the number of stored bills.
    pub fn len(&self) -> usize {
        self.stored.values().map(BTreeMap::len).sum()
    }

    /// Whether no bill is stored.
    pub fn is_empty(&self) -> bool {
        self.stored.is_empty()
    }
}
