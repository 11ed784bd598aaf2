//! The words of the domain: identities that all other modules share.
//!
//! A *client account* owns prepaid *budgets*. A *holder* is one incarnation
//! of a router on a VM. A *grant* moves tokens of a budget to a holder; the
//! partition and the offset of its record in the log name it. A grant is split into
//! *portions*: number 0 stays with the holder, further ones are lent to
//! other holders. Each *bill* is numbered within the portion that pays it.

mod ids;

pub use self::ids::{
    BillId, BudgetName, HolderId, ParseBillIdError, PortionId, account_of,
};
