//! How often a router synchronizes its records with the topic.
//!
//! Each record is read by every router that follows the topic, so the bytes
//! read grow with the product of writers and readers. A standby, which no
//! callers are sent to, therefore does not follow the topic: it gives back
//! its tokens, and loads the records again when a request needs some.

use std::time::Duration;

/// How long a router without callers follows the topic after its last
/// request. Callers with a cached entry answer still arrive in that time.
const STANDBY_DELAY: Duration = Duration::from_secs(4);

/// Whether this router is among those that serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingState {
    /// Whether entry answers list this router, so that callers connect to
    /// it.
    pub is_listed: bool,
    /// The number of routers that entry answers list, with this one or
    /// without.
    pub serving_routers: u64,
}

impl ServingState {
    /// Creates the state of a router that knows no others yet.
    pub fn new() -> ServingState {
        ServingState { is_listed: true, serving_routers: 1 }
    }
}

impl Default for ServingState {
    fn default() -> ServingState {
        ServingState::new()
    }
}

/// How a router synchronizes its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncPace {
    /// At intervals, with tokens ahead of need.
    Serving,
    /// At intervals, until all tokens are given back.
    Releasing,
    /// Only when a request needs tokens.
    Dormant,
}

impl SyncPace {
    /// Returns the pace of a router.
    ///
    /// `unused_for` is the time since the last request for tokens, if there
    /// was one; `has_tokens` tells whether tokens are left to give back.
    ///
    /// # Example
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use magnoliahaven::allowance::{ServingState, SyncPace};
    ///
    /// let standby = ServingState { is_listed: false, serving_routers: 5 };
    /// let long = Some(Duration::from_secs(60));
    /// let pace = SyncPace::new(standby, long, true);
    /// assert_eq!(pace, SyncPace::Releasing);
    /// assert_eq!(SyncPace::new(standby, None, false), SyncPace::Dormant);
    /// ```
    pub fn new(
        serving: ServingState,
        unused_for: Option<Duration>,
        has_tokens: bool,
    ) -> SyncPace {
        let is_used = unused_for.is_some_and(|time| time < STANDBY_DELAY);
        if serving.is_listed || is_used {
            return SyncPace::Serving;
        }
        if has_tokens { SyncPace::Releasing } else { SyncPace::Dormant }
    }
}
