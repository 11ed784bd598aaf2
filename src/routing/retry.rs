//! A budget that keeps retries a small share of the traffic.

/// Retries allowed for each request, in percent.
const RETRY_PERCENT: u32 = 10;

/// Most retries that can be saved up.
const SAVED_RETRIES: u32 = 20;

/// Credit that one retry costs.
const RETRY_COST: u32 = 100;

/// Counts requests and retries against each other.
///
/// During an outage every request would like to be retried. The budget then
/// runs dry, and the load on what is left grows by a tenth at most.
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
    full: u32,
    credit: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> RetryBudget {
        RetryBudget::with_limits(RETRY_PERCENT, SAVED_RETRIES)
    }

    /// Creates a full budget of `percent` retries for each hundred requests
    /// and at most `saved` retries saved up.
    pub fn with_limits(percent: u32, saved: u32) -> RetryBudget {
        let full = saved * RETRY_COST;
        RetryBudget { percent, full, credit: full }
    }

    /// Notes a first attempt.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.percent).min(self.full);
    }

    /// Whether a retry is left.
    pub fn has_credit(&self) -> bool {
        self.credit >= RETRY_COST
    }

    /// Takes one retry out of the budget, if there is one left.
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
