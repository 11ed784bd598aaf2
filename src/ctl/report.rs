//! Rows of the operators' reports.

use serde_json::Value;

use crate::budget::AccountLedger;

value_types! {
    /// The balance of one budget.
    pub struct BudgetRow {
        /// The full name of the budget.
        pub budget: String,
        /// Tokens paid for so far.
        pub topped_up: u64,
        /// Tokens of all final bills.
        pub spent: u64,
        /// The number of final bills.
        pub bills: u64,
        /// Tokens that routers hold and have not billed yet.
        pub held: u64,
        /// Tokens that no router holds.
        pub free: u64,
    }

    /// What a router says of itself.
    pub struct RouterRow {
        /// The name of the VM.
        pub vm: String,
        /// The answer of its operator address; `None` without one.
        pub status: Option<Value>,
    }
}

impl BudgetRow {
    /// Takes the balance of a budget from its ledger.
    pub fn new(budget: &str, ledger: &AccountLedger) -> BudgetRow {
        let known = ledger.budgets.get(budget).cloned().unwrap_or_default();
        BudgetRow {
            budget: budget.to_owned(),
            topped_up: known.topped_up,
            spent: known.spent,
            bills: known.bills,
            held: ledger.held(budget),
            free: known.free,
        }
    }
}

impl RouterRow {
    /// The number of the revision in force there.
    pub fn revision(&self) -> Option<u64> {
        self.status.as_ref()?["revision"]["number"].as_u64()
    }

    /// A field of the router's status as text, `-` without one.
    pub fn field(&self, name: &str) -> String {
        let value = self.status.as_ref().map(|status| &status[name]);
        match value {
            None | Some(Value::Null) => "-".to_owned(),
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
        }
    }
}
