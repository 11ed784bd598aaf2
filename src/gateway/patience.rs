//! How long to wait for an upstream to start its answer.

use std::{collections::BTreeMap, time::Duration};

use super::CallRequest;
use crate::domain::MAX_TIME;

/// Expected time to the first event of a request without a prompt.
const FIRST_EVENT_BASE: Duration = Duration::from_millis(80);

/// Prompt tokens that an engine processes per millisecond. An initial guess;
/// the estimator corrects for it.
const PROMPT_TOKENS_PER_MS: u64 = 50;

/// Weight of the newest answer in the moving average of a service's
/// slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;

/// The answer timeout as a multiple of the average time to an answer.
const TIMEOUT_FACTOR: f64 = 5.0;

/// Lower bound of the answer timeout as a fraction of the latency objective.
const MIN_OBJECTIVE_FRACTION: f64 = 0.6;

/// Returns the time in which an unloaded upstream starts its answer.
///
/// The result only scales with the size of the prompt. [`LatencyEstimator`]
/// learns the ratio of actual to expected time for each service.
pub fn expected_latency(request: &CallRequest) -> Duration {
    let prompt = request.ceiling.prompt / PROMPT_TOKENS_PER_MS;
    FIRST_EVENT_BASE + Duration::from_millis(prompt)
}

/// Tracks the slowness of each service: the moving average of the ratio of
/// actual to expected time to the answer.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    slowness: BTreeMap<String, f64>,
}

impl LatencyEstimator {
    /// Creates an estimator without samples.
    pub fn new() -> LatencyEstimator {
        LatencyEstimator::default()
    }

    /// Records an answer of a service and returns the slowness of that
    /// answer.
    pub fn record_answer(
        &mut self,
        service: &str,
        expected: Duration,
        took: Duration,
    ) -> f64 {
        let slowness = took.as_secs_f64() / expected.as_secs_f64();
        let average = self.slowness.entry(service.to_owned());
        let average = average.or_insert(slowness);
        *average += (slowness - *average) * SLOWNESS_WEIGHT;
        slowness
    }

    /// Returns how long an upstream may take to start its answer.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use magnoliahaven::gateway::LatencyEstimator;
    ///
    /// let estimator = LatencyEstimator::new();
    /// let expected = Duration::from_millis(100);
    /// let objective = Duration::from_millis(400);
    /// let timeout = estimator.answer_timeout("chat", expected, objective);
    /// assert_eq!(timeout, Duration::from_millis(500));
    /// ```
    pub fn answer_timeout(
        &self,
        service: &str,
        expected: Duration,
        objective: Duration,
    ) -> Duration {
        let slowness = self.slowness.get(service).copied().unwrap_or(1.0);
        let usual = expected.mul_f64(slowness * TIMEOUT_FACTOR);
        let timeout = usual.max(objective.mul_f64(MIN_OBJECTIVE_FRACTION));
        timeout.min(MAX_TIME)
    }
}
