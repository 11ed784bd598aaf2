//! What routers tell each other of their records, beside the topic.

use super::{AllowanceLedger, AllowanceRecord, RecordWriter, StoredRecord};
use crate::ports::{AccountAllowance, TopicPosition};

impl AllowanceLedger {
    /// Takes over what a VM has reported of its record for an account.
    ///
    /// It counts only once the topic has begun a later era, in which the
    /// record may be lost.
    pub fn learn(&mut self, account: &str, vm: &str, told: AllowanceRecord) {
        let key = (account.to_owned(), vm.to_owned());
        let known = self.told.get(&key).copied().unwrap_or(told);
        let is_later = (told.era, told.incarnation, told.taken)
            >= (known.era, known.incarnation, known.taken);
        let newest = if is_later { told } else { known };
        self.told.insert(key, newest);
        self.apply_told(account, vm, newest);
    }

    pub(super) fn apply_told(
        &mut self,
        account: &str,
        vm: &str,
        told: AllowanceRecord,
    ) {
        self.summaries.clear();
        let era = self.cursor.era;
        if told.era >= era || told.incarnation == self.incarnation {
            return;
        }
        if vm == self.vm {
            self.cover_predecessor(account, told);
            return;
        }
        let all = self.records.entry(account.to_owned()).or_default();
        let stored = all.entry(vm.to_owned()).or_insert_with(|| {
            let nothing = AllowanceRecord { taken: 0, ..told };
            let position = TopicPosition { era: told.era, offset: 0 };
            StoredRecord::new(nothing, position)
        });
        stored.learn(told, era);
    }

    /// Counts as lost what an earlier incarnation of this VM had taken beyond
    /// the record of it that was read.
    fn cover_predecessor(&mut self, account: &str, told: AllowanceRecord) {
        let Some(began_at) = self.era_began_at else {
            return;
        };
        let baseline = &mut self.usage_mut(account, began_at).baseline;
        let missing = told.taken.saturating_sub(baseline.taken);
        baseline.taken += missing;
        baseline.lost += missing;
    }

    /// Returns this VM's records as they would be written now.
    pub fn own_records(&self) -> Vec<(String, AllowanceRecord)> {
        let writer = RecordWriter {
            incarnation: self.incarnation,
            era: self.cursor.era,
        };
        let mut records = Vec::new();
        for (account, usage) in &self.usage {
            let record = usage.record(writer, usage.limit, 0);
            if record.taken > 0 {
                records.push((account.clone(), record));
            }
        }
        records
    }

    /// Returns what is known here of the records of `asking_vm`, and of those
    /// that have not been written again in this era.
    pub fn known_records(&self, asking_vm: &str) -> Vec<AccountAllowance> {
        let mut known = Vec::new();
        for (account, all) in &self.records {
            for (vm, stored) in all {
                let is_lost = stored.record.era < self.cursor.era;
                let is_missed = vm == asking_vm && stored.uncovered > 0;
                if vm != asking_vm && !is_lost {
                    continue;
                }
                let mut record = stored.record;
                record.taken += stored.reported + stored.uncovered;
                if is_missed {
                    // What the topic holds of the VM lacks this.
                    record.era = record.era.saturating_sub(1);
                }
                known.push(AccountAllowance {
                    account: account.clone(),
                    vm: vm.clone(),
                    record: record.encode(),
                });
            }
        }
        known
    }
}
