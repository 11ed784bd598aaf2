//! When an upstream takes longer than it should.

use std::{collections::BTreeMap, time::Duration};

use super::CallRequest;

/// Time to the first event of a request without a prompt.
const FIRST_EVENT_BASE: Duration = Duration::from_millis(80);

/// Prompt tokens that an engine reads in a millisecond, as a first guess.
const PROMPT_TOKENS_PER_MS: u64 = 50;

/// Weight of the newest answer in the average slowness of a service.
const SLOWNESS_WEIGHT: f64 = 0.1;

/// An upstream is given this multiple of the time that answers take.
const TIMEOUT_FACTOR: f64 = 5.0;

/// Part of the objective for which an upstream is waited for in any case.
const MIN_OBJECTIVE_FRACTION: f64 = 0.6;

/// The time in which an unloaded upstream begins to answer.
///
/// It is only a scale: [`LatencyEstimator`] learns how much slower the upstreams
/// of a service are.
pub fn expected_latency(request: &CallRequest) -> Duration {
    let prompt = request.ceiling.prompt / PROMPT_TOKENS_PER_MS;
    FIRST_EVENT_BASE + Duration::from_millis(prompt)
}

/// How slowly the upstreams of each service answer.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    slowness: BTreeMap<String, f64>,
}

impl LatencyEstimator {
    /// Creates a book without any answer.
    pub fn new() -> LatencyEstimator {
        LatencyEstimator::default()
    }

    /// Notes an answer of a service and returns its slowness.
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

    /// How long an upstream may take to begin its answer.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use magnoliahaven::gateway::LatencyEstimator;
    ///
    /// let book = LatencyEstimator::new();
    /// let expected = Duration::from_millis(100);
    /// let objective = Duration::from_millis(400);
    /// let patience = book.answer_timeout("chat", expected, objective);
    /// assert_eq!(patience, Duration::from_millis(500));
    /// ```
    pub fn answer_timeout(
        &self,
        service: &str,
        expected: Duration,
        objective: Duration,
    ) -> Duration {
        let slowness = self.slowness.get(service).copied().unwrap_or(1.0);
        let usual = expected.mul_f64(slowness * TIMEOUT_FACTOR);
        usual.max(objective.mul_f64(MIN_OBJECTIVE_FRACTION))
    }
}
