//! Whether something that the process needs answers.

use std::{
    cell::Cell,
    fmt::Display,
    time::{Duration, Instant},
};

use super::LogEvent;

/// Writes one line when a dependency is lost, and one when it is back.
#[derive(Debug)]
pub struct DependencyLog {
    name: &'static str,
    answered_at: Cell<Instant>,
    lost_at: Cell<Option<Instant>>,
}

impl DependencyLog {
    /// Creates the log of a dependency that answers.
    pub fn new(name: &'static str) -> DependencyLog {
        let answered_at = Cell::new(Instant::now());
        DependencyLog { name, answered_at, lost_at: Cell::new(None) }
    }

    /// Creates the log of a dependency that has not answered yet.
    pub fn with_loss(name: &'static str) -> DependencyLog {
        let log = DependencyLog::new(name);
        log.lost_at.set(Some(log.answered_at.get()));
        log
    }

    /// Notes that the dependency did not answer.
    pub fn note_fault(&self, fault: &dyn Display) {
        if self.lost_at.get().is_some() {
            return;
        }
        self.lost_at.set(Some(Instant::now()));
        let silent = self.answered_at.get().elapsed();
        log::warn!(
            event:% = LogEvent::DependencyLost,
            dependency = self.name, fault:% = fault,
            silent_ms = silent.as_millis() as u64;
            "dependency lost: {fault}"
        );
    }

    /// Notes that the dependency has answered.
    pub fn note_answer(&self) {
        self.answered_at.set(Instant::now());
        let Some(time) = self.lost_time() else {
            return;
        };
        self.lost_at.set(None);
        log::info!(
            event:% = LogEvent::DependencyRegained,
            dependency = self.name, lost_ms = time.as_millis() as u64;
            "dependency regained"
        );
    }

    /// How long the dependency has not answered; `None` if it answers.
    pub fn lost_time(&self) -> Option<Duration> {
        self.lost_at.get().map(|at| at.elapsed())
    }
}
