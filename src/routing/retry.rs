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
    credit: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> RetryBudget {
        RetryBudget { credit: SAVED_RETRIES * RETRY_COST }
    }

    /// Notes a first attempt.
    pub fn note_request(&mut self) {
        let full = SAVED_RETRIES * RETRY_COST;
        self.credit = (self.credit + RETRY_PERCENT).min(full);
    }

    /// Takes one retry out of the budget, if there is one left.
    pub fn try_spend(&mut self) -> bool {
        if self.credit < RETRY_COST {
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
