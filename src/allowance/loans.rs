//! The loans that this VM has given.

use std::collections::BTreeMap;

use crate::{domain::HolderId, ports::LendRequest};

/// Loans that are kept. When the limit is reached, the loan with the lowest
/// key is dropped: the first borrower's, and of these the lowest number.
const MAX_LOANS: usize = 4_096;

/// Tokens lent, by borrower and loan number; zero for a canceled loan.
#[derive(Debug, Default)]
pub(super) struct LentLoans {
    loans: BTreeMap<(HolderId, u64), u64>,
}

impl LentLoans {
    /// Returns the tokens of a loan; `None` if it is not known.
    pub(super) fn get(&self, request: &LendRequest) -> Option<u64> {
        let loan = (request.to.clone(), request.loan);
        self.loans.get(&loan).copied()
    }

    /// Records the tokens of a loan.
    pub(super) fn record(&mut self, request: &LendRequest, tokens: u64) {
        if self.loans.len() >= MAX_LOANS {
            self.loans.pop_first();
        }
        let loan = (request.to.clone(), request.loan);
        self.loans.insert(loan, tokens);
    }
}
