//! Prepaid tokens of client accounts, distributed to the VMs through a keyed
//! topic.
//!
//! Each VM owns one record per client account: how many tokens it has taken
//! out of the account's prepaid total, and how many of these it has spent.
//! The topic keeps the newest record of each key forever, so the sum of all
//! taken tokens survives the simultaneous loss of all VMs and the expiry of
//! the topic's history.
//!
//! A VM may increase the taken tokens in its record at any time. The new
//! record is a claim, and its position in the topic decides how much of it is
//! granted: the VM reads the record back and is granted at most the tokens
//! that the records before it do not take. Every record counts in full
//! against those after it, whether or not it was granted in full, so the
//! tokens in use can never exceed the total. No VM, however slow, has to wait
//! or retry because others write at the same time. Granted tokens are spent
//! without any remote call.
//!
//! The appends of a VM take effect exactly once and in order, and none takes
//! effect after a later incarnation has started (`ports::TopicWriter`).
//!
//! * [`AllowanceLedger`] holds the records and this VM's usage. It computes
//!   what to claim and how much of a claim is granted, and does no I/O.
//! * [`AllowanceKeeper`] runs in a router. It reads and appends records, and
//!   queues requests until tokens are available.
//!
//! `docs/design/platform.md` compares this design with granting tokens
//! through a log.

mod balance;
mod book;
mod hold;
mod keeper;
mod lenders;
mod lending;
mod loans;
mod own_use;
mod pace;
mod ranking;
mod record;
mod stored;
mod sync;

pub use self::{
    balance::AllowanceBalance,
    book::{AllowanceBatch, AllowanceLedger, ClaimCut, TokenLoss},
    hold::{TokenCharge, TokenHold},
    keeper::{AllowanceKeeper, AllowanceOptions, AllowancePorts},
    lenders::LenderMemory,
    pace::{ServingState, SyncPace},
    ranking::TokenNeed,
    record::{AllowanceRecord, allowance_key},
};
