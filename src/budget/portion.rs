//! The state of one portion of a grant, by the records of the log.

use std::collections::BTreeMap;

use super::SettleRecord;
use crate::domain::HolderId;

value_types! {
    /// The state of a portion after a prefix of the log.
    pub struct PortionState {
        /// The router that may spend from the portion.
        pub holder: HolderId,
        /// Its size in tokens, without those lent to others.
        pub tokens: u64,
        /// All bills up to this number are final.
        pub upto: u32,
        /// Tokens of the bills up to `upto`.
        pub spent: u64,
        /// Final bills beyond `upto`.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub beyond: BTreeMap<u32, u64>,
        /// Whether the holder has given the rest back.
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

    /// Returns the tokens of all final bills.
    pub fn total_spent(&self) -> u64 {
        self.spent + self.beyond.values().sum::<u64>()
    }

    /// Returns the number of final bills.
    pub fn bill_count(&self) -> u64 {
        u64::from(self.upto) + self.beyond.len() as u64
    }

    /// Returns the tokens that are neither billed nor given back.
    pub fn remainder(&self) -> u64 {
        if self.closed {
            return 0;
        }
        self.tokens - self.total_spent()
    }

    /// Applies a settlement; returns `false` if the portion is closed or too
    /// small for it.
    ///
    /// A settlement of more tokens than the portion has is refused as a whole.
    /// The holder's settlement of all bills up to a number replaces what
    /// another router has recovered for these bills, so that each bill counts
    /// once.
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
