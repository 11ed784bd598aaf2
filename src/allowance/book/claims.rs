//! The records that this VM appends: its claims, and what it gives back.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{AccountTotals, AllowanceBatch, AllowanceLedger, RecordWriter};

/// Time in a new era of the topic in which nobody claims more, so that all
/// routers can write their records again.
const ERA_SETTLE_TIME: Duration = Duration::from_secs(2);

impl AllowanceLedger {
    /// Returns the records to append now. As long as earlier ones are
    /// unconfirmed, these are returned again.
    ///
    /// A lowered limit takes effect at once, a raised one when its record is
    /// read back.
    pub fn next_batch(
        &mut self,
        prepaid: &BTreeMap<String, u64>,
        routers: u64,
        now: Instant,
    ) -> AllowanceBatch {
        if self.has_unconfirmed() {
            return self.unconfirmed.clone();
        }
        let accounts: Vec<String> = self.usage.keys().cloned().collect();
        for account in accounts {
            // An account without a prepaid total needs no record, and one
            // that is no longer declared gets no new tokens.
            let Some(prepaid) = prepaid.get(&account).copied() else {
                continue;
            };
            let free = self.balance(&account, prepaid).free;
            let totals = AccountTotals {
                prepaid,
                free,
                spent: self.known_spent(&account),
                others_want: self.wanted_by_others(&account) > free,
                routers,
            };
            let is_settling = self.is_settling(&account, now);
            let Some(usage) = self.usage.get_mut(&account) else {
                continue;
            };
            let (limit, wanted) = usage.next_limit(&totals, now);
            let limit =
                if is_settling { limit.min(usage.limit) } else { limit };
            self.add_unconfirmed(account, limit, wanted);
        }
        self.unconfirmed.clone()
    }

    /// Returns records that give back every token that no request in progress
    /// needs. Earlier unconfirmed records are returned first, alone.
    pub fn release_batch(&mut self) -> AllowanceBatch {
        if self.has_unconfirmed() {
            return self.unconfirmed.clone();
        }
        let accounts: Vec<String> = self.usage.keys().cloned().collect();
        for account in accounts {
            let limit = self.usage[&account].min_limit();
            self.add_unconfirmed(account, limit, 0);
        }
        self.unconfirmed.clone()
    }

    /// Adds a record with a new limit to the unconfirmed ones, unless it would
    /// change nothing.
    fn add_unconfirmed(&mut self, account: String, limit: u64, wanted: u64) {
        let stored = self.own_record(&account);
        let Some(usage) = self.usage.get_mut(&account) else {
            return;
        };
        let writer = RecordWriter {
            incarnation: self.incarnation,
            era: self.cursor.era,
        };
        let record = usage.record(writer, limit, wanted);
        usage.limit = usage.limit.min(limit);
        let is_unused = stored.is_none() && record.taken == 0 && wanted == 0;
        let is_unchanged = stored.is_some_and(|stored| {
            let is_earlier = stored.incarnation != record.incarnation;
            let is_idle = is_earlier && limit == 0 && wanted == 0;
            stored == record || is_idle && stored.era == record.era
        });
        if !is_unused && !is_unchanged {
            self.unconfirmed.records.push((account, record));
        }
    }

    /// Returns whether claims on an account have to wait, because other
    /// routers may not have written their records again in this era.
    fn is_settling(&self, account: &str, now: Instant) -> bool {
        let began_at = self.era_began_at;
        let is_recent = began_at.is_some_and(|at| {
            now.saturating_duration_since(at) < ERA_SETTLE_TIME
        });
        let era = self.cursor.era;
        let stored = self.records.get(account).into_iter().flatten();
        let mut others = stored.filter(|(vm, _)| **vm != self.vm);
        is_recent && others.any(|(_, stored)| stored.record.era < era)
    }

    /// Whether some of this VM's records have not been read back yet.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.records.is_empty()
    }

    /// Drops unconfirmed records that were certainly not appended.
    pub fn discard_unconfirmed(&mut self) {
        self.unconfirmed.records.clear();
    }
}
