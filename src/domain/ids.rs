//! Identities of holders, budgets, portions and bills.

use std::{fmt, str::FromStr};

value_types! {
    /// One incarnation of a router.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct HolderId {
        /// The name of the VM.
        pub vm: String,
        /// Differs between two starts of the router on one VM.
        pub incarnation: u64,
    }

    /// A part of a grant with a sole holder.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct PortionId {
        /// The account partition of the grant.
        pub partition: u32,
        /// Offset of the grant's record.
        pub grant: u64,
        /// 0 for the grant's own holder, counting up for borrowers.
        pub number: u32,
    }

    /// A bill, numbered by the holder of the portion that pays it.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct BillId {
        /// The portion that pays.
        pub portion: PortionId,
        /// Counts up from 1 within the portion.
        pub number: u32,
    }
}

impl HolderId {
    /// Creates the identity of one incarnation.
    pub fn new(vm: impl Into<String>, incarnation: u64) -> HolderId {
        HolderId { vm: vm.into(), incarnation }
    }
}

impl PortionId {
    /// Creates the identity of a portion.
    pub fn new(partition: u32, grant: u64, number: u32) -> PortionId {
        PortionId { partition, grant, number }
    }
}

impl BillId {
    /// Creates the identity of a bill.
    pub fn new(portion: PortionId, number: u32) -> BillId {
        BillId { portion, number }
    }
}

impl fmt::Display for BillId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PortionId { partition, grant, number } = self.portion;
        write!(f, "{partition}.{grant}.{number}.{}", self.number)
    }
}

/// The text is not `PARTITION.GRANT.PORTION.NUMBER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseBillIdError;

impl FromStr for BillId {
    type Err = ParseBillIdError;

    fn from_str(text: &str) -> Result<BillId, ParseBillIdError> {
        let mut fields = text.split('.');
        let mut field = || fields.next().ok_or(ParseBillIdError);
        let partition = field()?.parse().map_err(|_| ParseBillIdError)?;
        let grant = field()?.parse().map_err(|_| ParseBillIdError)?;
        let portion = field()?.parse().map_err(|_| ParseBillIdError)?;
        let number = field()?.parse().map_err(|_| ParseBillIdError)?;
        if fields.next().is_some() {
            return Err(ParseBillIdError);
        }
        Ok(BillId::new(PortionId::new(partition, grant, portion), number))
    }
}

/// The full name of a budget, `ACCOUNT/BUDGET`.
///
/// # Example
///
/// ```
/// use magnoliahaven::BudgetName;
///
/// let name = BudgetName::new("dairy", "nurses");
/// assert_eq!(name.as_str(), "dairy/nurses");
/// assert_eq!(name.account(), "dairy");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BudgetName {
    full: String,
}

impl BudgetName {
    /// Joins the names of an account and of one of its budgets.
    pub fn new(account: &str, budget: &str) -> BudgetName {
        BudgetName { full: format!("{account}/{budget}") }
    }

    /// Splits a full name; `None` without a `/`.
    pub fn parse(full: &str) -> Option<BudgetName> {
        let (account, budget) = full.split_once('/')?;
        Some(BudgetName::new(account, budget))
    }

    /// The full name.
    pub fn as_str(&self) -> &str {
        &self.full
    }

    /// The client account.
    pub fn account(&self) -> &str {
        account_of(&self.full)
    }
}

/// The client account within the full name of a budget.
pub fn account_of(full: &str) -> &str {
    full.split_once('/').map_or(full, |(account, _)| account)
}

impl fmt::Display for BudgetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.full)
    }
}
