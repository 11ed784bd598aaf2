//! Metrics of the calls to other routers.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Counts what happens to the calls to other routers.
///
/// Clones share their counters. Unlike [`RouterMetrics`](super::RouterMetrics)
/// they can be used by other threads.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    failed_calls: IntCounterVec,
    replaced_links: IntCounter,
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
        let replaced_links = IntCounter::new(
            "magnolia_peer_links_replaced_total",
            "Silent connections to other routers that were replaced.",
        );
        PeerMetrics {
            failed_calls: failed_calls.expect("valid counter"),
            replaced_links: replaced_links.expect("valid counter"),
        }
    }

    /// Counts a call that has failed, by its name and that of the reason.
    pub fn record_failed_call(
        &self,
        call: &'static str,
        reason: &'static str,
    ) {
        self.failed_calls.with_label_values(&[call, reason]).inc();
    }

    /// Counts a silent connection that was replaced.
    pub fn record_replaced_link(&self) {
        self.replaced_links.inc();
    }

    /// Adds the counters to a registry.
    pub(super) fn register(&self, registry: &Registry) {
        let failed_calls = Box::new(self.failed_calls.clone());
        let replaced_links = Box::new(self.replaced_links.clone());
        // Each name is used once.
        registry.register(failed_calls).expect("distinct name");
        registry.register(replaced_links).expect("distinct name");
    }
}

impl Default for PeerMetrics {
    fn default() -> PeerMetrics {
        PeerMetrics::new()
    }
}
