//! How many requests run, and how long a step takes.

use std::time::{Duration, Instant};

/// Counts running requests and reports the count late.
#[derive(Debug)]
pub struct LoadMeter {
    limit: u32,
    step: Duration,
    report_lag: Duration,
    running: u32,
    peak: u32,
    reported: u32,
    reported_at: Instant,
}

impl LoadMeter {
    /// Creates a meter for an engine that carries `limit` requests.
    pub fn new(limit: u32, step: Duration, lag: Duration) -> LoadMeter {
        LoadMeter {
            limit,
            step,
            report_lag: lag,
            running: 0,
            peak: 0,
            reported: 0,
            reported_at: Instant::now(),
        }
    }

    /// Counts a request that begins to run.
    pub fn enter(&mut self) {
        self.running += 1;
        self.peak = self.peak.max(self.running);
    }

    /// Counts a request that no longer runs.
    pub fn leave(&mut self) {
        self.running -= 1;
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Most requests that ever ran together.
    pub fn peak(&self) -> u32 {
        self.peak
    }

    /// Forgets the peak.
    pub fn reset_peak(&mut self) {
        self.peak = self.running;
    }

    /// The count as the engine reports it, which may be old.
    pub fn report(&mut self) -> u32 {
        if self.reported_at.elapsed() >= self.report_lag {
            self.reported = self.running;
            self.reported_at = Instant::now();
        }
        self.reported
    }

    /// The duration of the next step.
    ///
    /// Up to the limit a full batch takes twice as long as an empty one.
    /// Past it the duration grows with the fourth power of the excess.
    pub fn step(&self) -> Duration {
        let fill = f64::from(self.running) / f64::from(self.limit.max(1));
        let factor = match fill <= 1.0 {
            true => 1.0 + fill,
            false => 2.0 * fill.powi(4),
        };
        self.step.mul_f64(factor)
    }
}
