//! How many requests a version gets while it is on trial.

use crate::config::MoveSettings;

/// Part of the allowed share of requests that the target gets while the move
/// is running. The rest is for the time after its completion.
const CANARY_PART: f64 = 0.6;

/// Part of the allowed number of further requests that the canary uses. The
/// rest covers gateways whose load is uneven, and retries.
const EXTRA_PART: f64 = 0.6;

/// Share of the requests that the target gets while it has had fewer than it
/// may have, in percent.
const MAX_CANARY_PERCENT: u32 = 20;

/// How many requests a target that turns out bad may have got until the end
/// of its order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveExposure {
    /// Share of all requests of the service.
    pub share: f64,
    /// Requests beyond that share at this gateway.
    pub extra_requests: f64,
}

impl MoveExposure {
    /// Creates limits from the settings of the fleet; `gateways` is the
    /// number of gateways that serve callers.
    pub fn new(settings: MoveSettings, gateways: usize) -> MoveExposure {
        let MoveSettings { exposed_share, exposed_requests } = settings;
        let extra_requests = exposed_requests / gateways.max(1) as f64;
        MoveExposure { share: exposed_share, extra_requests }
    }

    /// Returns the share of the requests that the target gets, in percent,
    /// after a part of the duration of its order.
    ///
    /// The canary share of a small service is too few requests to judge by.
    /// So the target gets extra requests, spread over the duration.
    pub(super) fn canary_percent(
        &self,
        sends: SendCounts,
        elapsed_part: f64,
    ) -> u32 {
        let canary = sends.all as f64 * self.share * CANARY_PART;
        let extra = self.extra_requests * EXTRA_PART * elapsed_part;
        let is_due = sends.target as f64 <= canary + extra;
        if is_due { MAX_CANARY_PERCENT } else { 0 }
    }

    /// Returns the part of an order's duration after which the primary
    /// completes the move. A completed target may turn bad under full load;
    /// the requests that it gets until the end of the duration, those of the
    /// canary included, still stay within the allowed share.
    pub(super) fn decide_part(&self) -> f64 {
        1.0 - self.share * (1.0 - CANARY_PART)
    }

    /// Returns the part of an order's duration after which the standbys
    /// decide. The primary may be down.
    pub(super) fn standby_part(&self) -> f64 {
        (1.0 + self.decide_part()) / 2.0
    }
}

impl Default for MoveExposure {
    fn default() -> MoveExposure {
        MoveExposure::new(MoveSettings::default(), 1)
    }
}

/// Requests of a service that this gateway has sent since the order.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendCounts {
    /// Those to the target.
    pub(super) target: u64,
    /// Those to all versions.
    pub(super) all: u64,
}
