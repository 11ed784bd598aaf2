//! Bills that are not in the log yet, kept in memory for another router.
//!
//! A router tells one peer in another failure domain which requests it has
//! sent and which of them have ended. If the router dies before it settles,
//! the peer settles for it: what has ended under its final amount, what was
//! in progress under the amount that the engine states when it is stopped.
//! Nothing here decides who may spend; a loss of these notes costs a bill,
//! never an overspent budget.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{
    domain::{BillId, HolderId},
    ports::{RelayBatch, RelayedBill},
};

/// Most bills kept for one router.
const KEPT_BILLS: usize = 60_000;

/// Time for which a bill that has ended is kept. It covers an hour without
/// the log and the time until a death is noticed.
const KEPT_TIME: Duration = Duration::from_secs(2 * 3600);

struct KeptBill {
    bill: RelayedBill,
    since: Instant,
}

/// The bills kept for other routers.
#[derive(Default)]
pub struct StandbyBills {
    kept: BTreeMap<HolderId, BTreeMap<BillId, KeptBill>>,
}

impl StandbyBills {
    /// Creates an empty book.
    pub fn new() -> StandbyBills {
        StandbyBills::default()
    }

    /// Keeps bills; a newer state of a bill replaces an older one.
    pub fn keep(&mut self, batch: &RelayBatch) {
        let bills = self.kept.entry(batch.holder.clone()).or_default();
        for bill in &batch.bills {
            if bills.len() >= KEPT_BILLS {
                bills.pop_first();
            }
            let since = Instant::now();
            let kept = KeptBill { bill: bill.clone(), since };
            bills.insert(bill.bill, kept);
        }
    }

    /// Drops ended bills that their router has had time to settle.
    pub fn forget_settled(&mut self) {
        for bills in self.kept.values_mut() {
            bills.retain(|_, kept| {
                let ended = kept.bill.tokens.is_some();
                !ended || kept.since.elapsed() < KEPT_TIME
            });
        }
        self.kept.retain(|_, bills| !bills.is_empty());
    }

    /// Takes the bills of routers for which `gone` holds.
    pub fn take_gone(
        &mut self,
        gone: impl Fn(&HolderId) -> bool,
    ) -> Vec<RelayedBill> {
        let mut taken = Vec::new();
        self.kept.retain(|holder, bills| {
            if !gone(holder) {
                return true;
            }
            for kept in bills.values() {
                taken.push(kept.bill.clone());
            }
            false
        });
        taken
    }

    /// The number of bills kept.
    pub fn len(&self) -> usize {
        self.kept.values().map(BTreeMap::len).sum()
    }

    /// Whether no bill is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
