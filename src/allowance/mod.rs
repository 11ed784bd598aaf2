//! Prepaid tokens of client accounts, shared out through a keyed topic.
//!
//! Each VM owns one record per client account: how many tokens it has taken
//! out of the account's prepaid total, and how many of these it has spent.
//! The topic keeps the newest record of each key for good, so that the sum
//! of what has been taken survives the loss of all VMs at once and of the
//! topic's history.
//!
//! A VM raises its record whenever it wants to: the record is a claim, and
//! the order of the topic decides. The VM reads its record back and uses what
//! the records before it have left. Every record counts in full for those
//! behind it, granted or not, so the sum of what is used can never exceed the
//! total. No VM waits for others to be silent, however slow it is. Tokens are
//! spent from what was granted, without any call.
//!
//! Appends of a VM take effect once and in order, and none after a later
//! incarnation has begun (`ports::TopicWriter`).
//!
//! * [`AllowanceLedger`] holds the records and the VM's own use of them. It
//!   decides and does no I/O.
//! * [`AllowanceKeeper`] runs in a router: it reads and appends, and lets
//!   requests wait for tokens.
//!
//! `docs/design/platform.md` weighs this against grants through a log.

mod book;
mod hold;
mod keeper;
mod lending;
mod loans;
mod own_use;
mod record;
mod sync;

pub use self::{
    book::{AllowanceBalance, AllowanceBatch, AllowanceLedger, ClaimCut},
    hold::TokenHold,
    keeper::{AllowanceKeeper, AllowanceOptions, AllowancePorts},
    record::{AllowanceRecord, allowance_key},
};
