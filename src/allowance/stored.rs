//! What counts of one VM and account: its newest record, and what other
//! routers know beyond it.
//!
//! A topic that is restored from a copy loses records. What they had taken may
//! be spent, so it counts until their writer has written again, and is lost if
//! a successor writes that does not know of it.

use super::AllowanceRecord;
use crate::ports::TopicPosition;

/// The newest record of a VM, with its position in the topic.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredRecord {
    pub(super) record: AllowanceRecord,
    pub(super) position: TopicPosition,
    /// Tokens that an earlier incarnation had taken by a record that was lost
    /// with an era and that the writer of `record` does not know of.
    pub(super) uncovered: u64,
    /// Tokens beyond `record` that its writer has reported, until it has
    /// written its record again.
    pub(super) reported: u64,
}

impl StoredRecord {
    /// Creates what counts of a VM whose record is the only thing known.
    pub(super) fn new(
        record: AllowanceRecord,
        position: TopicPosition,
    ) -> StoredRecord {
        StoredRecord { record, position, uncovered: 0, reported: 0 }
    }

    /// Returns what counts once `newer` has been read.
    ///
    /// In a new era the topic may hold an old copy of this record, or a record
    /// of a successor that has read only such a copy.
    pub(super) fn merge(self, newer: StoredRecord) -> StoredRecord {
        let StoredRecord { record, position, .. } = newer;
        let era = position.era;
        if self.record.era < era
            && record.era < era
            && record.taken <= self.record.taken
        {
            return StoredRecord { position, ..self };
        }
        let mut merged = StoredRecord::new(record, position);
        merged.uncovered = self.uncovered;
        if self.record.era >= era {
            if record.incarnation == self.record.incarnation {
                // The writer has learned of it and counts it itself.
                let learned = record.base.saturating_sub(self.record.base);
                merged.uncovered = merged.uncovered.saturating_sub(learned);
            }
            return merged;
        }
        if record.era < era {
            merged.reported = self.reported;
        } else if record.incarnation != self.record.incarnation {
            let known = self.record.taken + self.reported;
            merged.uncovered += known.saturating_sub(record.base);
        }
        merged
    }

    /// Counts what a VM has reported of itself in an earlier era than `era`.
    pub(super) fn learn(&mut self, told: AllowanceRecord, era: u64) {
        if self.record.era < era {
            let missing = told.taken.saturating_sub(self.record.taken);
            self.reported = self.reported.max(missing);
        } else if self.record.incarnation != told.incarnation {
            let missing = told.taken.saturating_sub(self.record.base);
            self.uncovered = self.uncovered.max(missing);
        }
    }
}
