//! What has been seen of two versions, and the verdict on the new one.

use std::collections::BTreeMap;

use crate::domain::HolderId;

/// Routes with counters of their own; further ones share the last entry.
const COUNTED_ROUTES: usize = 64;

/// The route that collects what has no counter of its own.
const OTHER_ROUTE: &str = "other";

/// Fewest failures of the new version that can condemn it.
const LEAST_FAILURES: u64 = 4;

/// Chance of as many failures, if the new version were as good as the old
/// one, below which it is condemned. The evidence is looked at thousands of
/// times in a move, so that a single look has to be very sure.
const FAILURE_CHANCE: f64 = 1e-6;

/// Failures of the new version that condemn it without a comparison, if
/// more than half of its requests failed.
const LONE_FAILURES: u64 = 6;

/// Fewest requests of a version for a comparison.
const LEAST_REQUESTS: u64 = 20;

/// Standard deviations between the mean latencies that condemn a version.
const LATENCY_SCORE: f64 = 6.0;

/// Least ratio between the latencies that condemns a version.
const LATENCY_RATIO: f64 = 1.5;

/// Terms of a tail that are summed up.
const TAIL_TERMS: u64 = 64;

/// Requests on a route beyond which its counters decay.
const DECAYED_REQUESTS: u64 = 200;

/// Resolution of the logarithms of latencies.
const LOG_SCALE: f64 = 1_000.0;

value_types! {
    /// Counters of one version on one route.
    #[derive(Copy, Default)]
    pub struct RouteEvidence {
        /// Finished requests.
        pub requests: u64,
        /// Requests that the upstream failed.
        pub failures: u64,
        /// Answered requests with a measured latency.
        pub timed: u64,
        /// Sum of the logarithms of their latencies, in thousandths.
        pub log_sum: u64,
        /// Sum of the squares of the same logarithms.
        pub log_squares: u64,
    }

    /// Counters of one version by route.
    #[derive(Default)]
    pub struct VersionEvidence {
        /// The counters of requests.
        pub routes: BTreeMap<String, RouteEvidence>,
        /// The counters of streams, which note the time between two events.
        #[serde(default)]
        pub streams: BTreeMap<String, RouteEvidence>,
    }

    /// What one router has seen of a move since its start.
    #[derive(Default)]
    pub struct MoveEvidence {
        /// The version that had the traffic.
        pub old: VersionEvidence,
        /// The version that takes it.
        pub new: VersionEvidence,
    }
}

/// What the evidence says of the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against the version.
    Pass,
    /// The version is worse than the old one.
    Fail {
        /// The route and the numbers that show it.
        reason: String,
    },
}

impl RouteEvidence {
    /// Counts a finished request.
    pub fn record(&mut self, failed: bool, latency_us: Option<u64>) {
        self.requests += 1;
        self.failures += u64::from(failed);
        let Some(latency_us) = latency_us else {
            return;
        };
        // Scaled logarithms of microseconds stay below 50,000.
        let log = ((latency_us.max(1) as f64).ln() * LOG_SCALE) as u64;
        self.timed += 1;
        self.log_sum += log;
        self.log_squares += log * log;
    }

    /// Adds the counters of another router.
    pub fn add(&mut self, other: &RouteEvidence) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.timed += other.timed;
        self.log_sum += other.log_sum;
        self.log_squares += other.log_squares;
    }

    fn halve(&mut self) {
        self.requests /= 2;
        self.failures /= 2;
        self.timed /= 2;
        self.log_sum /= 2;
        self.log_squares /= 2;
    }

    fn failure_rate(&self) -> f64 {
        self.failures as f64 / self.requests.max(1) as f64
    }

    fn log_mean(&self) -> f64 {
        self.log_sum as f64 / self.timed.max(1) as f64
    }

    fn log_variance(&self) -> f64 {
        let squares = self.log_squares as f64 / self.timed.max(1) as f64;
        (squares - self.log_mean().powi(2)).max(1.0)
    }
}

impl VersionEvidence {
    /// Counts a finished request.
    pub fn record(
        &mut self,
        route: &str,
        failed: bool,
        latency_us: Option<u64>,
    ) {
        counters_of(&mut self.routes, route).record(failed, latency_us);
    }

    /// Counts a part of a stream with its mean time between two events.
    pub fn record_event_gap(&mut self, route: &str, gap_us: u64) {
        counters_of(&mut self.streams, route).record(false, Some(gap_us));
    }

    /// Adds the counters of another router.
    pub fn add(&mut self, other: &VersionEvidence) {
        for (route, evidence) in &other.routes {
            self.routes.entry(route.clone()).or_default().add(evidence);
        }
        for (route, evidence) in &other.streams {
            self.streams.entry(route.clone()).or_default().add(evidence);
        }
    }

    /// Halves the counters of routes that have seen much, so that a fault
    /// that begins late is not lost in what went well before.
    pub fn decay(&mut self) {
        let routes = self.routes.values_mut();
        for route in routes.chain(self.streams.values_mut()) {
            if route.requests > DECAYED_REQUESTS {
                route.halve();
            }
        }
    }

    /// Finished requests on all routes.
    pub fn requests(&self) -> u64 {
        self.routes.values().map(|route| route.requests).sum()
    }
}

/// The counters of a route, or those that all further routes share.
fn counters_of<'a>(
    counters: &'a mut BTreeMap<String, RouteEvidence>,
    route: &str,
) -> &'a mut RouteEvidence {
    let known = counters.contains_key(route);
    let counted = known || counters.len() < COUNTED_ROUTES;
    let route = if counted { route } else { OTHER_ROUTE };
    counters.entry(route.to_owned()).or_default()
}

/// Counters over all routes.
fn whole(counters: &BTreeMap<String, RouteEvidence>) -> RouteEvidence {
    let mut whole = RouteEvidence::default();
    for route in counters.values() {
        whole.add(route);
    }
    whole
}

impl MoveEvidence {
    /// Adds the counters of another router.
    pub fn add(&mut self, other: &MoveEvidence) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Judges the new version, on each route and over all of them.
    ///
    /// Failures condemn a version if so many of them would be next to
    /// impossible at the old version's rate under the same load. A latency
    /// condemns it if its mean lies far above the old version's, measured
    /// in standard deviations.
    pub fn verdict(&self) -> Verdict {
        let requests = judge(&self.old.routes, &self.new.routes);
        let reason = requests.or_else(|| {
            let reason = judge(&self.old.streams, &self.new.streams);
            reason.map(|reason| format!("events of {reason}"))
        });
        match reason {
            Some(reason) => Verdict::Fail { reason },
            None => Verdict::Pass,
        }
    }

    /// Whether the new version has served enough requests for a verdict to
    /// mean something.
    pub fn has_enough_requests(&self) -> bool {
        self.new.requests() >= LEAST_REQUESTS
    }
}

/// The route on which a version is worse than the old one, and by how much.
fn judge(
    old: &BTreeMap<String, RouteEvidence>,
    new: &BTreeMap<String, RouteEvidence>,
) -> Option<String> {
    for (route, evidence) in new {
        let before = old.get(route).copied().unwrap_or_default();
        if let Some(reason) = compare(&before, evidence) {
            return Some(format!("{route}: {reason}"));
        }
    }
    let reason = compare(&whole(old), &whole(new))?;
    Some(format!("all routes: {reason}"))
}

fn compare(old: &RouteEvidence, new: &RouteEvidence) -> Option<String> {
    compare_failures(old, new).or_else(|| compare_latencies(old, new))
}

fn compare_failures(
    old: &RouteEvidence,
    new: &RouteEvidence,
) -> Option<String> {
    if new.failures < LEAST_FAILURES {
        return None;
    }
    let reason = || {
        format!(
            "{} of {} requests failed, {} of {} on the old version",
            new.failures, new.requests, old.failures, old.requests,
        )
    };
    if old.requests < LEAST_REQUESTS {
        let lone = new.failures >= LONE_FAILURES && new.failure_rate() > 0.5;
        return lone.then(reason);
    }
    // One failure more than was seen, because none in a few requests does
    // not mean that there never is one.
    let old_rate = (old.failures + 1) as f64 / (old.requests + 1) as f64;
    let expected = old_rate * new.requests as f64;
    let chance = tail_chance(expected, new.failures);
    (chance < FAILURE_CHANCE).then(reason)
}

/// The chance of at least `count` events where `expected` are expected,
/// by the Poisson distribution.
fn tail_chance(expected: f64, count: u64) -> f64 {
    if count as f64 <= expected {
        return 1.0;
    }
    // Beyond the mean the terms fall fast; the sum begins at `count`.
    let mut log_term = -expected;
    for event in 1..=count {
        log_term += (expected / event as f64).ln();
    }
    let mut term = log_term.exp();
    let mut sum = term;
    for event in count + 1..count + TAIL_TERMS {
        term *= expected / event as f64;
        sum += term;
    }
    sum
}

fn compare_latencies(
    old: &RouteEvidence,
    new: &RouteEvidence,
) -> Option<String> {
    if old.timed < LEAST_REQUESTS || new.timed < LEAST_REQUESTS {
        return None;
    }
    let difference = new.log_mean() - old.log_mean();
    let ratio = (difference / LOG_SCALE).exp();
    let old_part = old.log_variance() / old.timed as f64;
    let new_part = new.log_variance() / new.timed as f64;
    let score = difference / (old_part + new_part).sqrt();
    if score < LATENCY_SCORE || ratio < LATENCY_RATIO {
        return None;
    }
    Some(format!("{ratio:.1} times as slow as the old version"))
}

/// The evidence of all routers on the moves of today.
#[derive(Debug, Default)]
pub struct EvidenceStore {
    own: BTreeMap<u64, MoveEvidence>,
    reported: BTreeMap<u64, BTreeMap<HolderId, MoveEvidence>>,
}

impl EvidenceStore {
    /// Creates an empty book.
    pub fn new() -> EvidenceStore {
        EvidenceStore::default()
    }

    /// This router's own evidence on a move.
    pub fn local_mut(&mut self, id: u64) -> &mut MoveEvidence {
        self.own.entry(id).or_default()
    }

    /// Replaces what a router has reported on a move.
    ///
    /// Reports are cumulative, so that a lost or repeated one does no harm.
    pub fn set_report(
        &mut self,
        id: u64,
        from: HolderId,
        tally: MoveEvidence,
    ) {
        self.reported.entry(id).or_default().insert(from, tally);
    }

    /// The evidence of all routers on a move.
    pub fn total(&self, id: u64) -> MoveEvidence {
        let mut sum = self.own.get(&id).cloned().unwrap_or_default();
        let Some(reports) = self.reported.get(&id) else {
            return sum;
        };
        for tally in reports.values() {
            sum.add(tally);
        }
        sum
    }

    /// Drops the evidence on moves that are not in `ids`.
    pub fn retain(&mut self, ids: &[u64]) {
        self.own.retain(|id, _| ids.contains(id));
        self.reported.retain(|id, _| ids.contains(id));
    }
}
