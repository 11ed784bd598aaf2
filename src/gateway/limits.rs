//! Obeys the rate limits that upstreams name in their answers.
//!
//! A limit holds over all routers. Only a few of them send requests to a
//! limited upstream and hear from it, so each change is reported to all
//! routers at once, and routers ask each other for what they have missed.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use super::GatewayCore;
use crate::{
    entry::{EntryHealth, select_entries},
    ports::{PeerAnswer, PeerCall},
    routing::{LimitNotice, LimitObservation, rate_share},
    telemetry::LogEvent,
};

/// Interval between questions to peers which limits they know.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Asks other routers which limits they know, while this one serves callers.
/// Never returns.
pub(super) async fn run_exchange(core: Rc<GatewayCore>) {
    loop {
        let is_busy =
            core.in_progress.get() > 0 || core.serving_state().is_listed;
        if let Some((vm, peer)) = core.random_peer().filter(|_| is_busy) {
            let call = PeerCall::Limits(core.limit_observations());
            let answer = core.ports.peers.call(peer, call).await;
            if let Ok(PeerAnswer::Limits(observations)) = answer {
                core.merge_limits(&observations, &vm);
            }
        }
        core.timer.sleep(EXCHANGE_INTERVAL).await;
    }
}

impl GatewayCore {
    /// Records what the answer to a request that was sent at `sent_at` says
    /// about the rate limit of its upstream.
    pub(super) fn record_limit(
        self: &Rc<Self>,
        upstream: &str,
        notice: LimitNotice,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        let mut limits = self.limits.borrow_mut();
        if !limits.record(upstream, notice, sent_at, now) {
            return;
        }
        let rate = limits.rate(upstream);
        let is_reported = limits.try_report(upstream, now);
        drop(limits);
        self.log_limit(upstream, "answer");
        self.update_rate_shares();
        if !is_reported {
            return;
        }
        let upstream = upstream.to_owned();
        let age = Duration::ZERO;
        let observation = LimitObservation { upstream, rate, age };
        self.broadcast(&PeerCall::Limits(vec![observation]));
    }

    /// Takes over what another router knows of limits.
    pub(super) fn merge_limits(
        &self,
        observations: &[LimitObservation],
        from: &str,
    ) {
        let mut limits = self.limits.borrow_mut();
        let changed = limits.merge(observations, Instant::now());
        drop(limits);
        for upstream in &changed {
            self.log_limit(upstream, from);
        }
        if !changed.is_empty() {
            self.update_rate_shares();
        }
    }

    /// Returns what is known of limits here.
    pub(super) fn limit_observations(&self) -> Vec<LimitObservation> {
        self.limits.borrow().observations(Instant::now())
    }

    /// Divides the limits of upstreams among the routers that serve callers.
    pub(super) fn update_rate_shares(&self) {
        let now = Instant::now();
        let mut limits = self.limits.borrow_mut();
        let roster = self.roster.borrow();
        limits.forget(|upstream| roster.entry(upstream).is_some(), now);
        if limits.limited_count() == 0 {
            self.table.set_rate_shares(&BTreeMap::new());
            return;
        }
        let routers = self.serving_routers();
        let own = &self.settings.vm;
        let mut shares = BTreeMap::new();
        for (upstream, rate) in limits.limited() {
            let share = rate_share(upstream, rate, &routers, own);
            shares.insert(upstream.to_owned(), share);
        }
        self.table.set_rate_shares(&shares);
    }

    /// Returns the routers that entry answers list while all are healthy.
    ///
    /// They depend on the platform's list alone, so that they are the same at
    /// all routers.
    pub(super) fn serving_routers(&self) -> Vec<String> {
        let vms = self.directory.vms();
        let regions: BTreeSet<&str> =
            vms.values().map(|entry| entry.region.as_str()).collect();
        let width = self.entry_width();
        let mut serving = BTreeSet::new();
        for region in regions {
            let health = |_: &str| EntryHealth::default();
            let selected = select_entries(vms.iter(), region, width, health);
            serving.extend(selected.into_iter().map(|entry| entry.vm));
        }
        serving.into_iter().collect()
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
