//! Obeys the rate limits that upstreams name in their answers.

use std::time::Instant;

use super::GatewayCore;
use crate::{routing::LimitNotice, telemetry::LogEvent};

impl GatewayCore {
    /// Records what the answer to a request that was sent at `sent_at` says
    /// about the rate limit of its upstream.
    pub(super) fn record_limit(
        &self,
        upstream: &str,
        notice: LimitNotice,
        sent_at: Instant,
    ) {
        let mut limits = self.limits.borrow_mut();
        let has_changed =
            limits.record(upstream, notice, sent_at, Instant::now());
        drop(limits);
        if has_changed {
            self.log_limit(upstream, "answer");
        }
    }

    fn log_limit(&self, upstream: &str, from: &str) {
        let limits = self.limits.borrow();
        let rate = limits.rate(upstream);
        self.metrics.limited_upstreams.set(limits.limited_count() as i64);
        log::info!(
            event:% = LogEvent::UpstreamLimited, upstream,
            limited = rate.is_some(),
            per_kilosecond = rate.map_or(0, |rate| rate.per_kilosecond()),
            from;
            "rate limit of an upstream changed"
        );
    }
}
