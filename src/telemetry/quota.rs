//! How many lines of a kind are logged.

use std::time::{Duration, Instant};

/// Lines a second about requests that were answered.
const SUCCESS_RATE: f64 = 100.0;

/// Lines a second about everything else below warnings.
const OTHER_RATE: f64 = 400.0;

/// Seconds of lines that may come at once.
const BURST_S: f64 = 2.0;

/// Least time between two lines about lines that were not logged.
const TELL_PERIOD: Duration = Duration::from_secs(1);

/// What a line is about, for its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A request that was answered as it should be.
    Success,
    /// Any other line below a warning.
    Other,
    /// A warning or an error, which is always logged.
    Warning,
}

#[derive(Debug)]
struct LineBucket {
    rate: f64,
    credit: f64,
    updated: Instant,
}

impl LineBucket {
    fn new(rate: f64, now: Instant) -> LineBucket {
        LineBucket { rate, credit: rate * BURST_S, updated: now }
    }

    fn take(&mut self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.updated);
        let full = self.rate * BURST_S;
        let credit = self.credit + age.as_secs_f64() * self.rate;
        self.credit = credit.min(full);
        self.updated = now;
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Bounds the lines of each kind, so that a flood of successes never costs
/// the lines about failures.
///
/// # Example
///
/// ```
/// use std::time::Instant;
///
/// use magnoliahaven::telemetry::{LineKind, LineQuota};
///
/// let now = Instant::now();
/// let mut quota = LineQuota::new(now);
/// let logged = (0..1_000).filter(|_| quota.take(LineKind::Success, now));
/// assert_eq!(logged.count(), 200);
/// assert!(quota.take(LineKind::Other, now));
/// ```
#[derive(Debug)]
pub struct LineQuota {
    success: LineBucket,
    other: LineBucket,
    dropped: u64,
    told_at: Instant,
}

impl LineQuota {
    /// Creates full quotas.
    pub fn new(now: Instant) -> LineQuota {
        LineQuota {
            success: LineBucket::new(SUCCESS_RATE, now),
            other: LineBucket::new(OTHER_RATE, now),
            dropped: 0,
            told_at: now,
        }
    }

    /// Whether a line of a kind may be logged now.
    pub fn take(&mut self, kind: LineKind, now: Instant) -> bool {
        let is_taken = match kind {
            LineKind::Success => self.success.take(now),
            LineKind::Other => self.other.take(now),
            LineKind::Warning => true,
        };
        self.dropped += u64::from(!is_taken);
        is_taken
    }

    /// How many lines were not logged, if that has to be told now.
    ///
    /// It is told once a second at most.
    pub fn take_dropped(&mut self, now: Instant) -> Option<u64> {
        let age = now.saturating_duration_since(self.told_at);
        if self.dropped == 0 || age < TELL_PERIOD {
            return None;
        }
        self.told_at = now;
        Some(std::mem::take(&mut self.dropped))
    }
}
