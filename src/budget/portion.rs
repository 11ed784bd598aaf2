//! What the log knows of one portion of a grant.

use std::collections::BTreeMap;

use super::SettleRecord;
use crate::domain::HolderId;

value_types! {
    /// A portion as the fold sees it.
    pub struct PortionState {
        /// Who may spend from the portion.
        pub holder: HolderId,
        /// Its size in tokens, without what was lent to others.
        pub tokens: u64,
        /// All bills up to this number are final.
        pub upto: u32,
        /// Tokens of the bills up to `upto`.
        pub spent: u64,
        /// Final bills beyond `upto`.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub beyond: BTreeMap<u32, u64>,
        /// Whether the rest was given back.
        #[serde(default)]
        pub closed: bool,
    }
}

impl PortionState {
    /// Creates a portion from which nothing has been spent.
    pub fn new(holder: HolderId, tokens: u64) -> PortionState {
        PortionState {
            holder,
            tokens,
            upto: 0,
            spent: 0,
            beyond: BTreeMap::new(),
            closed: false,
        }
    }

    /// Tokens of all final bills.
    pub fn total_spent(&self) -> u64 {
        self.spent + self.beyond.values().sum::<u64>()
    }

    /// The number of final bills.
    pub fn bills(&self) -> u64 {
        u64::from(self.upto) + self.beyond.len() as u64
    }

    /// Tokens that are neither billed nor given back.
    pub fn remainder(&self) -> u64 {
        if self.closed {
            return 0;
        }
        self.tokens - self.total_spent()
    }

    /// Applies a settlement; `false` if it contradicts the portion.
    ///
    /// A settlement that claims more than the portion holds is refused as a
    /// whole. The holder's own prefix replaces what another router recovered
    /// for the same bills, so that each bill counts once.
    pub(super) fn settle(&mut self, record: &SettleRecord) -> bool {
        if self.closed {
            return false;
        }
        let mut settled = self.clone();
        if record.upto >= settled.upto {
            settled.upto = record.upto;
            settled.spent = record.spent;
        }
        for (number, tokens) in &record.beyond {
            // The first amount recorded for a bill is final.
            settled.beyond.entry(*number).or_insert(*tokens);
        }
        let upto = settled.upto;
        settled.beyond.retain(|number, _| *number > upto);
        let total = settled.total_spent();
        if total > self.tokens {
            return false;
        }
        settled.closed = record.close;
        *self = settled;
        true
    }
}
