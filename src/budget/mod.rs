//! Prepaid budgets: which router may spend which tokens, and what was spent.
//!
//! # How a token is spent
//!
//! 1. An operator tops up a budget with an [`AccountRecord::TopUp`].
//! 2. A router requests a grant. The position of its record in the log
//!    decides how much it gets: [`AccountLedger`] folds the records of a
//!    partition in order, and every reader computes the same result.
//! 3. The router reads its record back and adds the grant to its
//!    [`GrantHolder`]. Only then may it spend the tokens.
//! 4. Each request reserves its ceiling from one portion before dispatch and
//!    settles the tokens it used afterwards.
//! 5. Settlements are appended to the log in batches. They are cumulative, so
//!    that a repeated or late one changes nothing.
//!
//! A grant consists of portions. Portion 0 belongs to the router that got the
//! grant; the others were lent to peers.
//!
//! No step compares clocks, and no router estimates what another one has
//! spent. `docs/design/budgets.md` describes the design and the alternatives
//! considered.
//!
//! [`BudgetKeeper`] runs all of this in a router: it follows the partitions,
//! requests grants ahead of demand and gives idle portions back.

mod holder;
mod intent;
mod keeper;
mod ledger;
mod outbox;
mod portion;
mod record;
mod sizing;
mod standby;

pub use self::{
    holder::{
        BudgetSettlement, FinalBill, GrantHolder, PortionTotals, Reservation,
        Sent, Unsent,
    },
    intent::{IntentState, KEY_LIFETIME_MS},
    keeper::{
        BillLine, BudgetKeeper, BudgetOptions, BudgetPorts, CallClaim,
        bill_stream, bill_streams,
    },
    ledger::{AccountLedger, BudgetState, GrantState, LedgerEffect},
    outbox::RecordOutbox,
    portion::PortionState,
    record::{
        AccountRecord, CallOutcome, CheckpointRecord, GrantRecord,
        IntentRecord, LendRecord, OutcomeRecord, SettleRecord, TopUpRecord,
        partition_of, partition_stream,
    },
    sizing::{DemandEstimator, grant_size},
    standby::StandbyBills,
};
