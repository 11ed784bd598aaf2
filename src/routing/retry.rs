//! A retry budget: retries stay a small fraction of the traffic.

/// Retries allowed per hundred requests.
const RETRY_PERCENT: u32 = 10;

/// Maximum number of retries that can be saved up.
const MAX_SAVED_RETRIES: u32 = 20;

/// Credit that one retry costs; a request earns its percentage of it.
const RETRY_COST: u32 = 100;

/// A token bucket that requests fill and retries drain.
///
/// During an outage every request would be retried. The budget then runs
/// out, and the load on the remaining upstreams grows by a tenth at most.
///
/// # Example
///
/// ```
/// use magnoliahaven::routing::RetryBudget;
///
/// let mut budget = RetryBudget::new();
/// let spent = (0..100).filter(|_| budget.try_spend()).count();
/// assert_eq!(spent, 20);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    max_credit: u32,
    credit: u32,
}

impl RetryBudget {
    /// Creates a full budget with the default limits.
    pub fn new() -> RetryBudget {
        RetryBudget::with_limits(RETRY_PERCENT, MAX_SAVED_RETRIES)
    }

    /// Creates a full budget of `percent` retries per hundred requests, with
    /// at most `saved` retries saved up.
    pub fn with_limits(percent: u32, saved: u32) -> RetryBudget {
        let max_credit = saved * RETRY_COST;
        RetryBudget { percent, max_credit, credit: max_credit }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.percent).min(self.max_credit);
    }

    /// Returns whether a retry is left.
    pub fn has_credit(&self) -> bool {
        self.credit >= RETRY_COST
    }

    /// Spends one retry; returns `false` if none is left.
    pub fn try_spend(&mut self) -> bool {
        if !self.has_credit() {
            return false;
        }
        self.credit -= RETRY_COST;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}
