//! Identifiers that all other modules share.
//!
//! A *client account* owns prepaid *budgets*. A *holder* is one incarnation
//! of a router on a VM: each start of the process is a new one. A *grant*
//! moves tokens of a budget to a holder and is identified by the partition
//! and the offset of its record in the log. A grant is divided into
//! *portions*: portion 0 belongs to the holder itself, and further ones are
//! lent to other holders. A *bill* charges one request to a portion and is
//! numbered within it.

mod bounds;
mod ids;

pub use self::{
    bounds::{
        MAX_SEQUENCE, MAX_SLOTS, MAX_TIME, MAX_TOKENS, saturating_sum,
        time_from_ms, time_from_secs,
    },
    ids::{
        BillId, BudgetName, HolderId, ParseBillIdError, PortionId, account_of,
    },
};
