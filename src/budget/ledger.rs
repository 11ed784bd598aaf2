//! The deterministic fold of an account partition.

use std::collections::BTreeMap;

use super::{
    AccountRecord, CallOutcome, CheckpointRecord, GrantRecord, IntentRecord,
    IntentState, KEY_LIFETIME_MS, LendRecord, OutcomeRecord, PortionState,
    SettleRecord, TopUpRecord, grant_size,
};
use crate::{
    domain::{BillId, PortionId},
    ports::LogRecord,
    streams::StreamFold,
};

/// Most settlements that wait for the record of their loan, for a grant.
const EARLY_SETTLEMENTS: usize = 256;

/// How a checkpoint record begins, so that others need no decoding.
const CHECKPOINT_PREFIX: &str = "{\"checkpoint\"";

value_types! {
    /// The balance of one budget.
    #[derive(Default)]
    pub struct BudgetState {
        /// Tokens paid for so far.
        pub topped_up: u64,
        /// Tokens that no grant holds.
        pub free: u64,
        /// Tokens of all final bills.
        pub spent: u64,
        /// The number of final bills.
        pub bills: u64,
        /// Identities of the top-ups, with the log's time for each.
        #[serde(default)]
        pub top_ups: BTreeMap<String, u64>,
    }

    /// A grant with its portions.
    pub struct GrantState {
        /// The budget.
        pub budget: String,
        /// The portions by number.
        pub portions: BTreeMap<u32, PortionState>,
        /// Settlements of portions whose loan has not been recorded yet. A
        /// standby may settle for a borrower before the lender's record.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub early: Vec<SettleRecord>,
    }

    /// The state of an account partition after a prefix of its stream.
    #[derive(Default)]
    pub struct AccountLedger {
        /// Offset of the first record that has not been applied.
        pub next: u64,
        /// Budgets by full name.
        pub budgets: BTreeMap<String, BudgetState>,
        /// Grants with an open portion, by the offset of their record.
        pub grants: BTreeMap<u64, GrantState>,
        /// Non-idempotent calls by account and idempotency key.
        pub intents: BTreeMap<String, IntentState>,
        /// Records that contradicted the state and were skipped.
        #[serde(default)]
        pub refused: u64,
    }
}

/// What the application of a record changed for a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEffect {
    /// A grant was made; zero tokens mean that it was void.
    Granted {
        /// Offset of the grant's record.
        grant: u64,
        /// The request.
        record: GrantRecord,
        /// The tokens given.
        tokens: u64,
    },
    /// A portion was split off a grant.
    Lent {
        /// The budget.
        budget: String,
        /// The new portion.
        record: LendRecord,
    },
    /// A portion was closed, and its rest is free again.
    Closed {
        /// The portion.
        portion: PortionId,
    },
}

impl AccountLedger {
    /// Creates the state of an empty stream.
    pub fn new() -> AccountLedger {
        AccountLedger::default()
    }

    fn top_up(&mut self, record: TopUpRecord, entry: &LogRecord) {
        let budget = self.budgets.entry(record.budget).or_default();
        if budget.top_ups.contains_key(&record.id) {
            return;
        }
        let Some(total) = budget.topped_up.checked_add(record.tokens) else {
            self.refused += 1;
            return;
        };
        budget.topped_up = total;
        budget.free += record.tokens;
        let oldest = entry.time_ms.saturating_sub(KEY_LIFETIME_MS);
        budget.top_ups.retain(|_, time_ms| *time_ms >= oldest);
        budget.top_ups.insert(record.id, entry.time_ms);
    }

    fn grant(
        &mut self,
        record: GrantRecord,
        offset: u64,
    ) -> Option<LedgerEffect> {
        let budget = self.budgets.get_mut(&record.budget);
        let free = budget.as_ref().map_or(0, |budget| budget.free);
        let tokens = grant_size(record.least, record.want, free);
        if tokens == 0 {
            return Some(LedgerEffect::Granted {
                grant: offset,
                record,
                tokens,
            });
        }
        if let Some(budget) = budget {
            budget.free -= tokens;
        }
        let state = PortionState::new(record.holder.clone(), tokens);
        let grant = GrantState {
            budget: record.budget.clone(),
            portions: BTreeMap::from([(0, state)]),
            early: Vec::new(),
        };
        self.grants.insert(offset, grant);
        Some(LedgerEffect::Granted { grant: offset, record, tokens })
    }

    fn lend(&mut self, record: LendRecord) -> Option<LedgerEffect> {
        let PortionId { grant, number, .. } = record.portion;
        let grant = self.grants.get_mut(&grant)?;
        // Lender and borrower both write the record, so that the second one
        // to arrive finds the portion in place.
        if number == 0 || grant.portions.contains_key(&number) {
            return None;
        }
        let own = grant.portions.get_mut(&0)?;
        if own.closed || own.remainder() < record.tokens {
            self.refused += 1;
            return None;
        }
        own.tokens -= record.tokens;
        let state = PortionState::new(record.to.clone(), record.tokens);
        grant.portions.insert(number, state);
        let budget = grant.budget.clone();
        let portion = record.portion;
        let settles_it = |early: &mut SettleRecord| early.portion == portion;
        let early: Vec<SettleRecord> =
            grant.early.extract_if(.., settles_it).collect();
        for settlement in &early {
            self.settle(settlement);
        }
        Some(LedgerEffect::Lent { budget, record })
    }

    fn settle(&mut self, record: &SettleRecord) -> Option<LedgerEffect> {
        let PortionId { grant: offset, number, .. } = record.portion;
        // A grant without open portions is forgotten, so that repetitions
        // of its settlements find nothing.
        let grant = self.grants.get_mut(&offset)?;
        let Some(portion) = grant.portions.get_mut(&number) else {
            if grant.early.len() < EARLY_SETTLEMENTS {
                grant.early.push(record.clone());
            } else {
                self.refused += 1;
            }
            return None;
        };
        if portion.closed {
            return None;
        }
        let (spent, bills) = (portion.total_spent(), portion.bills());
        if !portion.settle(record) {
            self.refused += 1;
            return None;
        }
        let budget = self.budgets.entry(grant.budget.clone()).or_default();
        budget.spent = budget.spent - spent + portion.total_spent();
        budget.bills = budget.bills - bills + portion.bills();
        if !portion.closed {
            return None;
        }
        budget.free += portion.tokens - portion.total_spent();
        if grant.portions.values().all(|portion| portion.closed) {
            self.grants.remove(&offset);
        }
        Some(LedgerEffect::Closed { portion: record.portion })
    }

    fn intent(&mut self, record: IntentRecord, time_ms: u64) {
        // The first intent in log order wins.
        self.intents.entry(record.key).or_insert(IntentState {
            holder: record.holder,
            attempt: record.attempt,
            fingerprint: record.fingerprint,
            time_ms,
            outcome: None,
        });
    }

    fn outcome(&mut self, record: OutcomeRecord) {
        let Some(intent) = self.intents.get_mut(&record.key) else {
            return;
        };
        let winner =
            intent.holder == record.holder && intent.attempt == record.attempt;
        let settled =
            matches!(intent.outcome, Some(CallOutcome::Answered { .. }));
        if !winner || settled {
            return;
        }
        if record.outcome == CallOutcome::NotRun {
            self.intents.remove(&record.key);
            return;
        }
        intent.outcome = Some(record.outcome);
    }

    fn forget_intents(&mut self, time_ms: u64) {
        let oldest = time_ms.saturating_sub(KEY_LIFETIME_MS);
        if oldest == 0 {
            return;
        }
        self.intents.retain(|_, intent| intent.time_ms >= oldest);
    }

    /// Tokens of a budget that open grants hold.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::AccountLedger;
    ///
    /// assert_eq!(AccountLedger::new().held("dairy/nurses"), 0);
    /// ```
    pub fn held(&self, budget: &str) -> u64 {
        let mut held = 0;
        for grant in self.grants.values() {
            if grant.budget != budget {
                continue;
            }
            for portion in grant.portions.values() {
                held += portion.remainder();
            }
        }
        held
    }

    /// VMs that hold tokens of a budget, with how many each of them holds.
    pub fn holders(&self, budget: &str) -> BTreeMap<&str, u64> {
        let mut holders: BTreeMap<&str, u64> = BTreeMap::new();
        for grant in self.grants.values() {
            if grant.budget != budget {
                continue;
            }
            for portion in grant.portions.values() {
                let vm = portion.holder.vm.as_str();
                *holders.entry(vm).or_default() += portion.remainder();
            }
        }
        holders
    }

    /// Whether a bill is final here, or can never become so any more.
    pub fn is_settled(&self, bill: BillId) -> bool {
        let PortionId { grant: offset, number, .. } = bill.portion;
        let Some(grant) = self.grants.get(&offset) else {
            return self.next > offset;
        };
        let Some(portion) = grant.portions.get(&number) else {
            return false;
        };
        portion.closed
            || bill.number <= portion.upto
            || portion.beyond.contains_key(&bill.number)
    }

    /// Whether every budget's tokens are accounted for: free, held or spent.
    pub fn is_balanced(&self) -> bool {
        for (name, budget) in &self.budgets {
            let sum = budget.free + budget.spent + self.held(name);
            if sum != budget.topped_up {
                return false;
            }
        }
        true
    }
}

impl StreamFold for AccountLedger {
    type Effect = LedgerEffect;

    /// Applies the next record of the stream.
    ///
    /// A record that cannot be decoded is skipped by every reader alike.
    fn apply(&mut self, record: &LogRecord) -> Option<LedgerEffect> {
        if record.offset < self.next {
            return None;
        }
        self.next = record.offset + 1;
        let Some(decoded) = AccountRecord::decode(&record.payload) else {
            self.refused += 1;
            return None;
        };
        self.forget_intents(record.time_ms);
        match decoded {
            AccountRecord::TopUp(top_up) => self.top_up(top_up, record),
            AccountRecord::Grant(grant) => {
                return self.grant(grant, record.offset);
            }
            AccountRecord::Lend(lend) => return self.lend(lend),
            AccountRecord::Settle(settle) => return self.settle(&settle),
            AccountRecord::Intent(intent) => {
                self.intent(intent, record.time_ms)
            }
            AccountRecord::Outcome(outcome) => self.outcome(outcome),
            // Whoever applies records in order already has this state.
            AccountRecord::Checkpoint(_) => {}
        }
        None
    }

    fn next_offset(&self) -> u64 {
        self.next
    }

    fn from_checkpoint(payload: &str) -> Option<AccountLedger> {
        if !payload.starts_with(CHECKPOINT_PREFIX) {
            return None;
        }
        match AccountRecord::decode(payload)? {
            AccountRecord::Checkpoint(checkpoint) => Some(checkpoint.state),
            _ => None,
        }
    }

    fn to_checkpoint(&self) -> String {
        let checkpoint = CheckpointRecord { state: self.clone() };
        AccountRecord::Checkpoint(checkpoint).encode()
    }
}
