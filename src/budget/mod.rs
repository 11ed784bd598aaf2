//! Prepaid budgets: who may spend which tokens, and what was spent.
//!
//! # How a token is spent
//!
//! 1. An operator tops up a budget with an [`AccountRecord::TopUp`].
//! 2. A router asks for a grant. Where its record stands in the log decides
//!    what it gets: [`AccountLedger`] folds the records of a partition in
//!    order, and every reader computes the same result.
//! 3. The router reads its own record back and books the grant into its
//!    [`GrantHolder`]. Only then may it spend from it.
//! 4. Each request reserves its ceiling from one portion before dispatch and
//!    settles the actual use afterwards.
//! 5. Settlements travel to the log in batches and are cumulative, so that
//!    a repeated or late one changes nothing.
//!
//! No step compares clocks, and no router ever guesses what another one has
//! spent. The design and the ways that were weighed against it stand in
//! `docs/design/budgets.md`.
//!
//! [`BudgetKeeper`] is the part that runs in a router: it follows the
//! partitions, keeps grants ahead of demand and returns what is idle.

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
