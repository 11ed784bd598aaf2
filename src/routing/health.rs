//! Whether an upstream gets requests, by what its requests have shown.
//!
//! Health answers of an upstream say little: one that answers them may fail
//! every request, and one that does not may work. An upstream is judged by
//! live requests alone. One that fails too often is ejected for a while and
//! then gets single requests until some of them succeed.

use std::time::{Duration, Instant};

/// Failure level above that of the other upstreams at which one is ejected.
const EJECT_LEVEL: f64 = 3.0;

/// Largest failure level.
const LARGEST_LEVEL: f64 = 8.0;

/// Time in which a failure level falls to half by itself.
const LEVEL_HALF_TIME: Duration = Duration::from_secs(3);

/// What one good answer takes off the failure level.
const GOOD_ANSWER: f64 = 0.5;

/// What an answer with a failure adds to the failure level.
const FAILED_ANSWER: f64 = 1.25;

/// What a lost or spoiled answer adds to the failure level.
const LOST_ANSWER: f64 = 1.25;

/// What a request without any answer adds to the failure level.
const SILENT_REQUEST: f64 = 1.5;

/// First time for which an upstream is ejected; doubles each time.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is ejected.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Good answers in a row that end a probation.
const PROBATION_ANSWERS: u32 = 2;

/// Weight of the newest answer in the average slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Answers from which on the average slowness counts.
const SLOWNESS_SAMPLES: u32 = 5;

/// What a request at an upstream came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamOutcome {
    /// An answer, or its first event, came.
    Answered {
        /// Time to the answer relative to what its size lets expect.
        slowness: f64,
    },
    /// The upstream answered with a failure.
    Failed,
    /// The answer was lost or was no valid answer.
    Lost,
    /// No answer came in the time in which others answer.
    Silent,
    /// No connection could be opened.
    Unreachable,
}

/// A change that operators should see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The upstream gets nothing for this time.
    Ejected(Duration),
    /// The upstream gets requests as before.
    Readmitted,
}

/// What the requests of one router have shown of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    level: f64,
    level_at: Option<Instant>,
    ejected_until: Option<Instant>,
    ejections: u32,
    probation: u32,
    slowness: f64,
    samples: u32,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that nothing is known of.
    pub fn new() -> UpstreamHealth {
        UpstreamHealth::default()
    }

    /// Whether the upstream is ejected now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Whether a further request may go to the upstream.
    ///
    /// On probation one request at a time goes there.
    pub fn admits(&self, now: Instant, in_progress: u32) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.probation == 0 || in_progress == 0
    }

    /// How slowly the upstream answers, relative to expectation; `None`
    /// before enough answers.
    pub fn slowness(&self) -> Option<f64> {
        (self.samples >= SLOWNESS_SAMPLES).then_some(self.slowness)
    }

    /// How much has failed lately.
    pub fn failure_level(&self, now: Instant) -> f64 {
        let Some(at) = self.level_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.level * 0.5_f64.powf(age / LEVEL_HALF_TIME.as_secs_f64())
    }

    fn set_level(&mut self, level: f64, now: Instant) {
        self.level = level.clamp(0.0, LARGEST_LEVEL);
        self.level_at = Some(now);
    }

    /// Notes what a request came to.
    ///
    /// `usual` is the level of the other upstreams of the service. When all
    /// of them fail alike, it is the load or the requests, and ejecting one
    /// after the other would only burden the rest.
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
        usual: f64,
        now: Instant,
    ) -> Option<HealthChange> {
        let weight = match outcome {
            UpstreamOutcome::Answered { slowness } => {
                return self.note_answer(slowness, now);
            }
            UpstreamOutcome::Failed => FAILED_ANSWER,
            UpstreamOutcome::Lost => LOST_ANSWER,
            UpstreamOutcome::Silent => SILENT_REQUEST,
            UpstreamOutcome::Unreachable => EJECT_LEVEL + usual,
        };
        self.note_failure(weight, usual, now)
    }

    fn note_answer(
        &mut self,
        slowness: f64,
        now: Instant,
    ) -> Option<HealthChange> {
        self.set_level(self.failure_level(now) - GOOD_ANSWER, now);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.slowness = slowness;
        }
        self.slowness += (slowness - self.slowness) * SLOWNESS_WEIGHT;
        if self.probation == 0 {
            return None;
        }
        self.probation -= 1;
        if self.probation > 0 {
            return None;
        }
        self.ejections = 0;
        self.set_level(0.0, now);
        Some(HealthChange::Readmitted)
    }

    fn note_failure(
        &mut self,
        weight: f64,
        usual: f64,
        now: Instant,
    ) -> Option<HealthChange> {
        if self.is_ejected(now) {
            return None;
        }
        self.set_level(self.failure_level(now) + weight, now);
        let is_worse = self.level - usual >= EJECT_LEVEL;
        if self.probation == 0 && !is_worse {
            return None;
        }
        let factor = 2_u32.saturating_pow(self.ejections);
        let time = (FIRST_EJECTION * factor).min(LONGEST_EJECTION);
        self.ejections = (self.ejections + 1).min(8);
        self.ejected_until = Some(now + time);
        self.probation = PROBATION_ANSWERS;
        self.set_level(0.0, now);
        Some(HealthChange::Ejected(time))
    }
}
