//! Prepaid tokens of client accounts, shared out through a keyed topic.
//!
//! Each VM owns one record per client account: how many tokens it has taken
//! out of the account's prepaid total, and how many of these it has spent.
//! The topic keeps the newest record of each key for good, so that the sum
//! of what has been taken survives the loss of all VMs at once and of the
//! topic's history.
//!
//! A VM raises its record only by an append that is conditional on the end
//! of the partition. A success proves that the VM has seen every other
//! record, so the sum can never exceed the total. Tokens are spent from what
//! the own record says has been taken, without any call.
//!
//! * [`AllowanceBook`] holds the records and the VM's own use of them. It
//!   decides and does no I/O.
//! * [`AllowanceKeeper`] runs in a router: it reads and appends, and lets
//!   requests wait for tokens.
//!
//! `docs/design/platform.md` weighs this against grants through a log.

mod book;
mod hold;
mod keeper;
mod record;

pub use self::{
    book::{AllowanceBook, AllowanceDraft, AllowanceView},
    hold::TokenHold,
    keeper::{AllowanceKeeper, AllowanceOptions, AllowancePorts},
    record::{AllowanceRecord, allowance_key},
};
