//! What the ledger tells of an account: its balance, and whether it can still
//! serve a request.

use std::time::Instant;

use super::{
    AllowanceLedger, AllowanceRecord, TokenNeed, own_use::AccountUsage,
    stored::StoredRecord,
};
use crate::domain::saturating_sum;

/// The balance of an account as far as this VM knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllowanceBalance {
    /// Tokens that no VM has taken.
    pub free: u64,
    /// Tokens that VMs have taken and can still spend.
    pub held: u64,
    /// Tokens that were lost with VMs.
    pub lost: u64,
    /// Tokens that this VM can reserve for requests.
    pub available: u64,
}

/// What the records of all VMs say of an account.
#[derive(Clone, Copy, Debug)]
pub(super) struct AccountSummary {
    /// Tokens that VMs have taken.
    taken: u64,
    /// Tokens that were lost with VMs.
    lost: u64,
    /// Tokens that other VMs hold and no request has reserved.
    lendable: u64,
}

impl AllowanceLedger {
    pub(super) fn total_taken(&self, account: &str) -> u64 {
        saturating_sum(self.account_records(account).map(|r| r.taken))
    }

    fn total_lost(&self, account: &str) -> u64 {
        saturating_sum(self.account_records(account).map(|r| r.lost))
    }

    /// Returns the tokens that are known to be spent. It is a lower bound,
    /// as the records of other VMs lag behind.
    pub(super) fn known_spent(&self, account: &str) -> u64 {
        let others = self.other_records(account);
        let others = saturating_sum(others.map(|(_, record)| record.spent));
        let own = self.usage.get(account);
        let own = own.map_or(0, |own| own.baseline.spent + own.spent);
        others.saturating_add(own)
    }

    /// Returns the balance of an account with the given prepaid total.
    pub fn balance(&self, account: &str, prepaid: u64) -> AllowanceBalance {
        let taken = self.total_taken(account);
        let lost = self.total_lost(account);
        let spent_or_lost = self.known_spent(account).saturating_add(lost);
        AllowanceBalance {
            free: prepaid.saturating_sub(taken),
            held: taken.saturating_sub(spent_or_lost),
            lost,
            available: self.available(account),
        }
    }

    /// Whether an account certainly cannot cover `tokens`.
    ///
    /// Only tokens that are known to be spent count against it.
    pub fn is_exhausted(
        &self,
        account: &str,
        prepaid: u64,
        tokens: u64,
    ) -> bool {
        prepaid.saturating_sub(self.known_spent(account)) < tokens
    }

    /// Whether no VM can provide `tokens` any more because tokens were lost
    /// with VMs, although the account may not have spent them.
    pub fn is_short_after_losses(
        &self,
        account: &str,
        prepaid: u64,
        tokens: u64,
    ) -> bool {
        let spent_or_lost =
            self.known_spent(account).saturating_add(self.total_lost(account));
        prepaid.saturating_sub(spent_or_lost) < tokens
    }

    /// Whether what is left of an account is kept for requests that rank
    /// before this one.
    ///
    /// Tokens are kept only in place of those that were lost with VMs: what
    /// no VM has lost is served in the order of arrival.
    pub fn is_kept_back(
        &mut self,
        account: &str,
        prepaid: u64,
        need: TokenNeed,
        now: Instant,
    ) -> bool {
        let summary = self.summary(account);
        if summary.lost == 0 {
            return false;
        }
        let usage = self.usage_mut(account, now);
        let expected = usage.expected_before(need, prepaid, now);
        let kept = expected.min(summary.lost);
        let left = prepaid
            .saturating_sub(summary.taken)
            .saturating_add(summary.lendable)
            .saturating_add(usage.available());
        kept > 0 && left < need.tokens().saturating_add(kept)
    }

    fn summary(&mut self, account: &str) -> AccountSummary {
        if let Some(known) = self.summaries.get(account) {
            return *known;
        }
        let others = self.other_records(account);
        let lendable =
            others.map(|(_, r)| r.unspent().saturating_sub(r.reserved));
        let summary = AccountSummary {
            taken: self.total_taken(account),
            lost: self.total_lost(account),
            lendable: saturating_sum(lendable),
        };
        self.summaries.insert(account.to_owned(), summary);
        summary
    }

    /// Returns the other VMs that have tokens left by their records, those
    /// with most first.
    pub fn lenders(&self, account: &str) -> Vec<String> {
        let others = self.other_records(account);
        let left = others.map(|(vm, record)| (record.unspent(), vm));
        let mut ranked: Vec<(u64, &String)> =
            left.filter(|(left, _)| *left > 0).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
    }

    /// Returns the tokens that other VMs want and cannot get.
    pub(super) fn wanted_by_others(&self, account: &str) -> u64 {
        let others = self.other_records(account);
        saturating_sum(others.map(|(_, record)| record.wanted))
    }

    pub(super) fn available(&self, account: &str) -> u64 {
        self.usage.get(account).map_or(0, AccountUsage::available)
    }

    fn account_records(
        &self,
        account: &str,
    ) -> impl Iterator<Item = AllowanceRecord> {
        let stored = self.records.get(account).into_iter().flatten();
        stored.map(|(vm, stored)| self.effective_record(vm, stored))
    }

    fn other_records(
        &self,
        account: &str,
    ) -> impl Iterator<Item = (&String, AllowanceRecord)> {
        let stored = self.records.get(account).into_iter().flatten();
        let others = stored.filter(|(vm, _)| **vm != self.vm);
        others.map(|(vm, stored)| (vm, self.effective_record(vm, stored)))
    }

    /// Returns a VM's record as it counts now.
    ///
    /// A new incarnation writes only to accounts that it uses. Wherever its
    /// predecessor's record is still the newest, what that had left is lost.
    fn effective_record(
        &self,
        vm: &str,
        stored: &StoredRecord,
    ) -> AllowanceRecord {
        let last_writer = self.last_writers.get(vm);
        let is_ended = last_writer.is_some_and(|writer| {
            writer.incarnation != stored.record.incarnation
        });
        let mut record = stored.record;
        if is_ended {
            record = record.after_end();
        }
        let missing = stored.uncovered + stored.reported;
        record.taken += missing;
        record.lost += missing;
        record
    }
}
