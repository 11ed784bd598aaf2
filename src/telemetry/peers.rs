//! Metrics of the calls to other routers.

use prometheus::{IntCounterVec, Opts, Registry};

/// Counts what happens to the calls to other routers.
///
/// Clones share their counters. Unlike [`RouterMetrics`](super::RouterMetrics)
/// they can be used by other threads.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    failed_calls: IntCounterVec,
}

impl PeerMetrics {
    /// Creates counters that are not registered.
    ///
    /// # Panics
    ///
    /// If a name is invalid, which the tests would show.
    pub fn new() -> PeerMetrics {
        let failed_calls = Opts::new(
            "magnolia_peer_calls_failed_total",
            "Failed calls to other routers by call and reason.",
        );
        let labels = &["call", "reason"];
        let failed_calls = IntCounterVec::new(failed_calls, labels);
        PeerMetrics { failed_calls: failed_calls.expect("valid counter") }
    }

    /// Counts a call that has failed, by its name and that of the reason.
    pub fn record_failed_call(
        &self,
        call: &'static str,
        reason: &'static str,
    ) {
        self.failed_calls.with_label_values(&[call, reason]).inc();
    }

    /// Adds the counters to a registry.
    pub(super) fn register(&self, registry: &Registry) {
        let failed_calls = Box::new(self.failed_calls.clone());
        // Each name is used once.
        registry.register(failed_calls).expect("distinct name");
    }
}

impl Default for PeerMetrics {
    fn default() -> PeerMetrics {
        PeerMetrics::new()
    }
}
