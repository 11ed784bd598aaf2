//! Tokens that VMs lend to each other.

use std::time::Instant;

use super::AllowanceLedger;
use crate::ports::LendRequest;

/// A loan is at least this many times the size of the waiting request.
const LOAN_SIZE_FACTOR: u64 = 4;

/// A loan covers the expected demand within this fraction of the horizon.
const LOAN_HORIZON_DIVISOR: u64 = 4;

impl AllowanceLedger {
    /// Transfers available tokens to another VM for good and returns how
    /// many.
    ///
    /// They count as lent from now on, whether or not the answer arrives. A
    /// repeated call gets the same answer.
    pub fn lend(&mut self, request: &LendRequest) -> u64 {
        let LendRequest { budget, min_tokens, wanted_tokens, .. } = request;
        if let Some(known) = self.loans.get(request) {
            return known;
        }
        let available = self.available(budget);
        if available < *min_tokens {
            return 0;
        }
        // Half stays for this VM's requests, unless the borrower needs more.
        let tokens = (*wanted_tokens).min(available / 2).max(*min_tokens);
        if let Some(usage) = self.usage.get_mut(budget) {
            usage.lent += tokens;
            self.loans.record(request, tokens);
        }
        tokens
    }

    /// Cancels a loan whose answer did not reach the borrower and returns its
    /// tokens.
    ///
    /// If the call that asked for the loan is still under way, it will get
    /// nothing.
    pub fn cancel_loan(&mut self, request: &LendRequest) -> u64 {
        let tokens = self.loans.get(request).unwrap_or(0);
        if let Some(usage) = self.usage.get_mut(&request.budget) {
            usage.lent -= tokens;
        }
        self.loans.record(request, 0);
        tokens
    }

    /// Returns how many tokens to borrow for a request of `tokens`, so that
    /// those that follow need no loan of their own.
    pub fn loan_size(
        &mut self,
        account: &str,
        tokens: u64,
        now: Instant,
    ) -> u64 {
        let demand = self.usage_mut(account, now).demand.target(now);
        let ahead = demand / LOAN_HORIZON_DIVISOR;
        ahead.max(tokens.saturating_mul(LOAN_SIZE_FACTOR))
    }

    /// Adds tokens that another VM has lent.
    pub fn add_borrowed(&mut self, account: &str, tokens: u64, now: Instant) {
        self.usage_mut(account, now).borrowed += tokens;
    }
}
