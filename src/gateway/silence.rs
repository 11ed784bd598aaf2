//! Tells connections to upstreams that went silent from slow upstreams.
//!
//! A kept connection may carry nothing any more without a sign of it. A
//! request on it gets no answer, which may also be the fault of its upstream.
//! If that happens at several upstreams at the same time, the connections are
//! the more likely cause, and all that were idle meanwhile are in doubt.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Number of upstreams that have to be silent at the same time.
const MIN_UPSTREAMS: usize = 2;

/// Time within which they have to be found silent.
const WINDOW: Duration = Duration::from_secs(1);

/// A request on a kept connection that got no answer within its usual time.
#[derive(Clone, Copy, Debug)]
struct SilentRequest {
    sent_at: Instant,
    found_at: Instant,
}

/// The upstreams whose kept connections have got no answer of late.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use magnoliahaven::gateway::SilentUpstreams;
///
/// let sent_at = Instant::now();
/// let now = sent_at + Duration::from_millis(300);
/// let mut silent = SilentUpstreams::new();
/// assert_eq!(silent.record("w-1", sent_at, now), None);
/// assert_eq!(silent.record("w-1", sent_at, now), None);
/// assert_eq!(silent.record("w-2", sent_at, now), Some(sent_at));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SilentUpstreams {
    requests: BTreeMap<String, SilentRequest>,
}

impl SilentUpstreams {
    /// Creates a record of no upstream.
    pub fn new() -> SilentUpstreams {
        SilentUpstreams::default()
    }

    /// Records that a request that was sent to `upstream` at `sent_at` on a
    /// kept connection has got no answer.
    ///
    /// Returns the time since which idle connections are in doubt, once
    /// enough upstreams were silent. The record starts anew then.
    pub fn record(
        &mut self,
        upstream: &str,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Instant> {
        self.requests.retain(|_, request| {
            now.saturating_duration_since(request.found_at) < WINDOW
        });
        let request = SilentRequest { sent_at, found_at: now };
        self.requests.insert(upstream.to_owned(), request);
        if self.requests.len() < MIN_UPSTREAMS {
            return None;
        }
        let requests = std::mem::take(&mut self.requests);
        requests.values().map(|request| request.sent_at).min()
    }
}
