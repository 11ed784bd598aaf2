//! Passive outlier detection: ejects and readmits upstreams.
//!
//! Health checks say little about an upstream: one that passes them may fail
//! every request, and one that fails them may work. The outcomes of live
//! requests alone decide. An upstream that fails too often is ejected for a
//! while. After that it is on probation and gets one request at a time until
//! enough of them succeed.

use std::time::{Duration, Instant};

/// An upstream is ejected if its failure level exceeds the median of the
/// other upstreams by this much.
const EJECTION_THRESHOLD: f64 = 3.0;

/// Upper bound of a failure level.
const MAX_LEVEL: f64 = 8.0;

/// Half-life of the exponential decay of a failure level.
const LEVEL_HALF_LIFE: Duration = Duration::from_secs(3);

/// Amount that a success subtracts from the failure level.
const SUCCESS_CREDIT: f64 = 0.5;

/// Amount that an error answer adds to the failure level.
const FAILED_WEIGHT: f64 = 1.25;

/// Amount that a lost or invalid answer adds to the failure level.
const LOST_WEIGHT: f64 = 1.25;

/// Amount that a timeout adds to the failure level.
const TIMEOUT_WEIGHT: f64 = 1.5;

/// Duration of the first ejection; doubles with each further one.
const BASE_EJECTION_DURATION: Duration = Duration::from_millis(500);

/// Upper bound of the duration of an ejection.
const MAX_EJECTION_DURATION: Duration = Duration::from_secs(4);

/// Successes without a failed probe in between that end a probation.
const PROBATION_SUCCESSES: u32 = 2;

/// Smoothing factor of the moving average of the slowness.
const SLOWNESS_SMOOTHING: f64 = 0.2;

/// Number of answers before which the average slowness is not used.
const MIN_SLOWNESS_SAMPLES: u32 = 5;

/// The outcome of a request at an upstream.
///
/// Its `Debug` form is the value of a log field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamOutcome {
    /// The upstream answered, or sent the first event of its answer.
    Answered {
        /// Ratio of the latency to the one expected for a request of this
        /// size.
        slowness: f64,
    },
    /// The upstream answered with an error.
    Failed,
    /// The connection broke before the end of the answer, or the answer
    /// was invalid.
    Lost,
    /// The upstream did not answer in the time in which others do.
    Silent,
    /// No connection could be opened.
    Unreachable,
}

/// A change of the health of an upstream that is logged for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The upstream gets no requests for this duration.
    Ejected(Duration),
    /// The upstream has ended its probation and gets requests as before.
    Readmitted,
}

/// The health of one upstream, as seen by the requests of one router.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    level: f64,
    level_updated: Option<Instant>,
    ejected_until: Option<Instant>,
    ejections: u32,
    probation_left: u32,
    slowness: f64,
    samples: u32,
}

impl UpstreamHealth {
    /// Creates the state of an upstream without any requests.
    pub fn new() -> UpstreamHealth {
        UpstreamHealth::default()
    }

    /// Returns whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Returns whether the upstream may get a further request.
    ///
    /// An upstream on probation gets one request at a time.
    pub fn admits(&self, now: Instant, in_progress: u32) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.probation_left == 0 || in_progress == 0
    }

    /// Returns the moving average of the ratio of measured to expected
    /// latency; `None` while there are too few answers.
    pub fn slowness(&self) -> Option<f64> {
        (self.samples >= MIN_SLOWNESS_SAMPLES).then_some(self.slowness)
    }

    /// Returns the failure level at `now`, with the decay applied.
    pub fn failure_level(&self, now: Instant) -> f64 {
        let Some(at) = self.level_updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.level * 0.5_f64.powf(age / LEVEL_HALF_LIFE.as_secs_f64())
    }

    fn set_level(&mut self, level: f64, now: Instant) {
        self.level = level.clamp(0.0, MAX_LEVEL);
        self.level_updated = Some(now);
    }

    /// Records the outcome of a request.
    ///
    /// `baseline` is the failure level of the other upstreams of the
    /// service. If all of them fail alike, the cause is the load or the
    /// requests, and ejecting one after the other would only overload the
    /// rest.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use magnoliahaven::routing::{UpstreamHealth, UpstreamOutcome};
    ///
    /// let now = Instant::now();
    /// let mut health = UpstreamHealth::new();
    /// health.record(UpstreamOutcome::Unreachable, 0.0, now);
    /// assert!(health.is_ejected(now));
    /// ```
    pub fn record(
        &mut self,
        outcome: UpstreamOutcome,
        baseline: f64,
        now: Instant,
    ) -> Option<HealthChange> {
        let weight = match outcome {
            UpstreamOutcome::Answered { slowness } => {
                return self.record_success(slowness, now);
            }
            UpstreamOutcome::Failed => FAILED_WEIGHT,
            UpstreamOutcome::Lost => LOST_WEIGHT,
            UpstreamOutcome::Silent => TIMEOUT_WEIGHT,
            UpstreamOutcome::Unreachable => EJECTION_THRESHOLD + baseline,
        };
        self.record_failure(weight, baseline, now)
    }

    fn record_success(
        &mut self,
        slowness: f64,
        now: Instant,
    ) -> Option<HealthChange> {
        self.set_level(self.failure_level(now) - SUCCESS_CREDIT, now);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.slowness = slowness;
        }
        self.slowness += (slowness - self.slowness) * SLOWNESS_SMOOTHING;
        if self.probation_left == 0 {
            return None;
        }
        self.probation_left -= 1;
        if self.probation_left > 0 {
            return None;
        }
        self.ejections = 0;
        self.set_level(0.0, now);
        Some(HealthChange::Readmitted)
    }

    fn record_failure(
        &mut self,
        weight: f64,
        baseline: f64,
        now: Instant,
    ) -> Option<HealthChange> {
        if self.is_ejected(now) {
            return None;
        }
        self.set_level(self.failure_level(now) + weight, now);
        let is_worse = self.level - baseline >= EJECTION_THRESHOLD;
        if self.probation_left == 0 && !is_worse {
            return None;
        }
        let factor = 2_u32.saturating_pow(self.ejections);
        let duration =
            (BASE_EJECTION_DURATION * factor).min(MAX_EJECTION_DURATION);
        self.ejections = (self.ejections + 1).min(8);
        self.ejected_until = Some(now + duration);
        self.probation_left = PROBATION_SUCCESSES;
        self.set_level(0.0, now);
        Some(HealthChange::Ejected(duration))
    }
}
