//! How often a connection is replaced.

use std::time::{Duration, Instant};

/// Least time between two replacements of the connection to a peer.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Most time between two replacements while the peer answers nothing.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Limits how often the connection to a peer is replaced.
///
/// A peer that is frozen, overloaded or cut off looks like a connection that
/// went silent. Each new connection costs it something, so the pause doubles
/// until it answers.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::adapters::peer::ReplacementPace;
///
/// let now = Instant::now();
/// let mut pace = ReplacementPace::new();
/// assert!(pace.try_replace(now));
/// assert!(!pace.try_replace(now + Duration::from_millis(400)));
/// assert!(pace.try_replace(now + Duration::from_millis(600)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ReplacementPace {
    replaced_at: Option<Instant>,
    pause: Duration,
}

impl ReplacementPace {
    /// Creates the pace of a connection that was never replaced.
    pub fn new() -> ReplacementPace {
        ReplacementPace { replaced_at: None, pause: MIN_PAUSE }
    }

    /// Returns whether the connection may be replaced now, and counts it.
    pub fn try_replace(&mut self, now: Instant) -> bool {
        if let Some(replaced_at) = self.replaced_at {
            if now.saturating_duration_since(replaced_at) < self.pause {
                return false;
            }
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
        self.replaced_at = Some(now);
        true
    }

    /// Records that the peer has answered a call.
    pub fn record_answer(&mut self) {
        self.pause = MIN_PAUSE;
    }
}

impl Default for ReplacementPace {
    fn default() -> ReplacementPace {
        ReplacementPace::new()
    }
}
