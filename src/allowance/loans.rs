//! Tokens that this VM has lent.

use std::collections::BTreeMap;

use crate::{domain::HolderId, ports::LendRequest};

/// Loans that are remembered, the lowest numbers of a VM making room.
const LARGEST_LOANS: usize = 4_096;

/// Tokens lent, by borrower and number of the loan; zero for a loan that was
/// taken back.
#[derive(Debug, Default)]
pub(super) struct LoanBook {
    loans: BTreeMap<(HolderId, u64), u64>,
}

impl LoanBook {
    /// The tokens of a loan; `None` for one that is not known.
    pub(super) fn get(&self, request: &LendRequest) -> Option<u64> {
        let loan = (request.to.clone(), request.loan);
        self.loans.get(&loan).copied()
    }

    /// Notes a loan.
    pub(super) fn note(&mut self, request: &LendRequest, tokens: u64) {
        if self.loans.len() >= LARGEST_LOANS {
            self.loans.pop_first();
        }
        let loan = (request.to.clone(), request.loan);
        self.loans.insert(loan, tokens);
    }
}
