//! Identifiers of holders, budgets, portions and bills, which the module
//! [`domain`](crate::domain) defines.

use std::{fmt, str::FromStr};

value_types! {
    /// Identifies one incarnation of a router, which can hold grants of
    /// tokens.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct HolderId {
        /// The name of the VM.
        pub vm: String,
        /// A number that is unique to each start of the router on the VM.
        pub incarnation: u64,
    }

    /// Identifies a part of a grant that belongs to one holder.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct PortionId {
        /// The log partition of the account that owns the budget.
        pub partition: u32,
        /// The offset of the grant's record in the partition.
        pub grant: u64,
        /// 0 for the holder of the grant, counting up for borrowers.
        pub number: u32,
    }

    /// Identifies a bill, which charges one request to a portion.
    ///
    /// The holder of the portion assigns the number.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct BillId {
        /// The portion that pays the bill.
        pub portion: PortionId,
        /// The number of the bill within the portion, starting at 1.
        pub number: u32,
    }
}

impl HolderId {
    /// Creates the identifier of one incarnation.
    pub fn new(vm: impl Into<String>, incarnation: u64) -> HolderId {
        HolderId { vm: vm.into(), incarnation }
    }
}

impl PortionId {
    /// Creates the identifier of a portion.
    pub fn new(partition: u32, grant: u64, number: u32) -> PortionId {
        PortionId { partition, grant, number }
    }
}

impl BillId {
    /// Creates the identifier of a bill.
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

/// The error for a bill identifier that does not have the form
/// `PARTITION.GRANT.PORTION.NUMBER`.
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
    /// Creates the full name from those of an account and its budget.
    pub fn new(account: &str, budget: &str) -> BudgetName {
        BudgetName { full: format!("{account}/{budget}") }
    }

    /// Parses a full name; returns `None` if it contains no `/`.
    pub fn parse(full: &str) -> Option<BudgetName> {
        let (account, budget) = full.split_once('/')?;
        Some(BudgetName::new(account, budget))
    }

    /// Returns the full name.
    pub fn as_str(&self) -> &str {
        &self.full
    }

    /// Returns the name of the client account.
    pub fn account(&self) -> &str {
        account_of(&self.full)
    }
}

/// Returns the name of the client account in the full name of a budget, or
/// the whole text if it contains no `/`.
pub fn account_of(full: &str) -> &str {
    full.split_once('/').map_or(full, |(account, _)| account)
}

impl fmt::Display for BudgetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.full)
    }
}
