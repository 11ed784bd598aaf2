//! Canary analysis: compares the requests of two versions and decides
//! whether the new one is worse.

use std::collections::BTreeMap;

use crate::domain::HolderId;

/// Maximum number of routes with counters of their own.
const MAX_COUNTED_ROUTES: usize = 64;

/// The key under which all further routes share counters.
const OVERFLOW_ROUTE: &str = "other";

/// How much evidence against the new version is needed for a verdict.
#[derive(Clone, Copy, Debug)]
struct VerdictBounds {
    /// Minimum number of failures.
    failures: u64,
    /// The new version fails if the probability of as many failures at the
    /// rate of the old version is below this.
    failure_p_value: f64,
    /// Minimum number of measured latencies of the new version.
    timed: u64,
    /// Minimum difference of the mean log latencies, in standard errors.
    latency_z_score: f64,
}

/// Bounds while a move is running. The evidence is tested thousands of times
/// during a move, so a single test needs a very low false positive rate.
const RUNNING_BOUNDS: VerdictBounds = VerdictBounds {
    failures: 4,
    failure_p_value: 1e-6,
    timed: MIN_REQUESTS,
    latency_z_score: 6.0,
};

/// Bounds before the share of the new version grows. This is tested a few
/// times in a move, and a bad version that passes cannot be taken back.
const ADVANCE_BOUNDS: VerdictBounds = VerdictBounds {
    failures: 3,
    failure_p_value: 2e-3,
    timed: 8,
    latency_z_score: 3.0,
};

/// Minimum number of failures for a verdict without enough requests of the
/// old version, if more than half of the requests of the new one failed and
/// no more than half of the few of the old one.
const MIN_FAILURES_WITHOUT_BASELINE: u64 = 6;

/// Minimum number of requests of a version for a comparison.
const MIN_REQUESTS: u64 = 20;

/// Minimum ratio of the geometric mean latencies for a verdict.
const MIN_LATENCY_RATIO: f64 = 1.5;

/// Number of terms of a Poisson tail that are summed up.
const TAIL_TERMS: u64 = 64;

/// Number of requests on a route above which its counters are halved.
const DECAY_THRESHOLD: u64 = 200;

/// Scale of the logarithms of latencies, which are stored as integers.
const LOG_SCALE: f64 = 1_000.0;

value_types! {
    /// Counters of one version on one route.
    #[derive(Copy, Default)]
    pub struct RouteEvidence {
        /// Finished requests.
        pub requests: u64,
        /// Requests that the upstream failed: with an error, a lost answer
        /// or a timeout.
        pub failures: u64,
        /// Requests that were answered with an error.
        #[serde(default)]
        pub errors: u64,
        /// Requests that were not answered in time.
        #[serde(default)]
        pub timeouts: u64,
        /// Requests with a measured latency.
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
        /// The counters of streams, whose latency is the time between two
        /// events.
        #[serde(default)]
        pub streams: BTreeMap<String, RouteEvidence>,
    }

    /// The counters of both versions of a move since its start.
    #[derive(Default)]
    pub struct MoveEvidence {
        /// The version that has the traffic at the start.
        pub old: VersionEvidence,
        /// The version that the traffic moves to.
        pub new: VersionEvidence,
    }
}

/// How an upstream served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// It answered.
    Answered {
        /// The latency in microseconds, if it was measured.
        latency_us: Option<u64>,
    },
    /// It answered with an error.
    Error,
    /// The connection broke before the end of the answer, or the answer was
    /// invalid.
    Lost,
    /// It did not answer in time.
    TimedOut,
}

/// The failures that are compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureKind {
    Any,
    Error,
    Timeout,
    Lost,
}

impl FailureKind {
    const ALL: [FailureKind; 4] = [
        FailureKind::Any,
        FailureKind::Error,
        FailureKind::Timeout,
        FailureKind::Lost,
    ];

    /// Returns what the requests did, for operators.
    fn verb(self) -> &'static str {
        match self {
            FailureKind::Any => "failed",
            FailureKind::Error => "were answered with an error",
            FailureKind::Timeout => "timed out",
            FailureKind::Lost => "lost their answer",
        }
    }
}

/// The result of the comparison of the new version with the old one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No regression was found.
    Pass,
    /// The new version is worse than the old one.
    Fail {
        /// The route and the figures that show it.
        reason: String,
    },
}

impl RouteEvidence {
    /// Counts a finished request.
    pub fn record(&mut self, result: RequestResult) {
        self.requests += 1;
        match result {
            RequestResult::Answered { latency_us: Some(latency_us) } => {
                self.record_latency(latency_us);
                return;
            }
            RequestResult::Answered { latency_us: None } => return,
            RequestResult::Error => self.errors += 1,
            RequestResult::TimedOut => self.timeouts += 1,
            RequestResult::Lost => {}
        }
        self.failures += 1;
    }

    fn record_latency(&mut self, latency_us: u64) {
        // Scaled logarithms of microseconds stay below 50,000.
        let log = ((latency_us.max(1) as f64).ln() * LOG_SCALE) as u64;
        self.timed += 1;
        self.log_sum += log;
        self.log_squares += log * log;
    }

    /// Adds the counters of another router.
    pub fn add(&mut self, other: &RouteEvidence) {
        let add = |own: &mut u64, other| *own = own.saturating_add(other);
        add(&mut self.requests, other.requests);
        add(&mut self.failures, other.failures);
        add(&mut self.errors, other.errors);
        add(&mut self.timeouts, other.timeouts);
        add(&mut self.timed, other.timed);
        add(&mut self.log_sum, other.log_sum);
        add(&mut self.log_squares, other.log_squares);
    }

    fn halve(&mut self) {
        self.requests /= 2;
        self.failures /= 2;
        self.errors /= 2;
        self.timeouts /= 2;
        self.timed /= 2;
        self.log_sum /= 2;
        self.log_squares /= 2;
    }

    /// Returns the counts of failures in words, for operators.
    fn failure_counts(&self) -> String {
        format!(
            "{} of {} failed, {} with errors, {} timed out",
            self.failures, self.requests, self.errors, self.timeouts,
        )
    }

    fn failures_of(&self, kind: FailureKind) -> u64 {
        match kind {
            FailureKind::Any => self.failures,
            FailureKind::Error => self.errors,
            FailureKind::Timeout => self.timeouts,
            // A report of an earlier build has only the sum.
            FailureKind::Lost => {
                self.failures.saturating_sub(self.errors + self.timeouts)
            }
        }
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
    pub fn record(&mut self, route: &str, result: RequestResult) {
        counters_of(&mut self.routes, route).record(result);
    }

    /// Counts a section of a stream with its mean time between two events.
    pub fn record_event_gap(&mut self, route: &str, gap_us: u64) {
        let result = RequestResult::Answered { latency_us: Some(gap_us) };
        counters_of(&mut self.streams, route).record(result);
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

    /// Halves the counters of routes with many requests, so that a fault
    /// that begins late is not hidden by earlier successes.
    pub fn decay(&mut self) {
        let routes = self.routes.values_mut();
        for route in routes.chain(self.streams.values_mut()) {
            if route.requests > DECAY_THRESHOLD {
                route.halve();
            }
        }
    }

    /// Returns the number of finished requests on all routes.
    pub fn requests(&self) -> u64 {
        self.routes.values().map(|route| route.requests).sum()
    }
}

/// Returns the counters of a route, or the ones that all further routes
/// share.
fn counters_of<'a>(
    counters: &'a mut BTreeMap<String, RouteEvidence>,
    route: &str,
) -> &'a mut RouteEvidence {
    let known = counters.contains_key(route);
    let has_own_counters = known || counters.len() < MAX_COUNTED_ROUTES;
    let route = if has_own_counters { route } else { OVERFLOW_ROUTE };
    counters.entry(route.to_owned()).or_default()
}

/// Returns the sum of the counters of all routes.
fn sum_of_routes(counters: &BTreeMap<String, RouteEvidence>) -> RouteEvidence {
    let mut sum = RouteEvidence::default();
    for route in counters.values() {
        sum.add(route);
    }
    sum
}

impl MoveEvidence {
    /// Adds the counters of another router.
    pub fn add(&mut self, other: &MoveEvidence) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Compares the new version with the old one, on each route and over all
    /// of them.
    ///
    /// The new version fails if its number of failures is very improbable at
    /// the old version's failure rate, or if its mean log latency lies many
    /// standard errors above the old version's.
    pub fn verdict(&self) -> Verdict {
        self.verdict_within(&RUNNING_BOUNDS)
    }

    /// The same with less evidence against the new version, for the decision
    /// to give it a larger share of the requests.
    ///
    /// A version that is probably bad must not advance, although it need not
    /// be rolled back at once.
    pub fn advance_verdict(&self) -> Verdict {
        self.verdict_within(&ADVANCE_BOUNDS)
    }

    fn verdict_within(&self, bounds: &VerdictBounds) -> Verdict {
        let requests =
            find_regression(bounds, &self.old.routes, &self.new.routes);
        let reason = requests.or_else(|| {
            let reason =
                find_regression(bounds, &self.old.streams, &self.new.streams);
            reason.map(|reason| format!("events of {reason}"))
        });
        match reason {
            Some(reason) => Verdict::Fail { reason },
            None => Verdict::Pass,
        }
    }

    /// Returns the counts of each route that the new version has served, for
    /// operators.
    pub fn summary(&self) -> String {
        let requests = summarize(&self.old.routes, &self.new.routes);
        let streams = summarize(&self.old.streams, &self.new.streams);
        let lines = requests.into_iter().chain(
            streams.into_iter().map(|line| format!("events of {line}")),
        );
        lines.collect::<Vec<String>>().join("; ")
    }

    /// Returns whether the new version has served enough requests for a
    /// meaningful verdict.
    pub fn has_enough_requests(&self) -> bool {
        self.new.requests() >= MIN_REQUESTS
    }
}

/// Returns one line for each route of the new version.
fn summarize(
    old: &BTreeMap<String, RouteEvidence>,
    new: &BTreeMap<String, RouteEvidence>,
) -> Vec<String> {
    let mut lines = Vec::new();
    for (route, after) in new {
        let before = old.get(route).copied().unwrap_or_default();
        let LatencyComparison { ratio, z_score } =
            LatencyComparison::new(&before, after);
        lines.push(format!(
            "{route}: {}; old version: {}; {ratio:.2} times as slow, \
             {z_score:.1} standard errors",
            after.failure_counts(),
            before.failure_counts(),
        ));
    }
    lines
}

/// Returns the first route on which the new version is worse, and by how
/// much.
fn find_regression(
    bounds: &VerdictBounds,
    old: &BTreeMap<String, RouteEvidence>,
    new: &BTreeMap<String, RouteEvidence>,
) -> Option<String> {
    for (route, evidence) in new {
        let before = old.get(route).copied().unwrap_or_default();
        if let Some(reason) = compare(bounds, &before, evidence) {
            return Some(format!("{route}: {reason}"));
        }
    }
    let reason = compare(bounds, &sum_of_routes(old), &sum_of_routes(new))?;
    Some(format!("all routes: {reason}"))
}

fn compare(
    bounds: &VerdictBounds,
    old: &RouteEvidence,
    new: &RouteEvidence,
) -> Option<String> {
    let failures = compare_failures(bounds, old, new);
    failures.or_else(|| compare_latencies(bounds, old, new))
}

/// Compares each kind of failure, and all of them together.
///
/// Failures of one kind that the old version has for a reason of its own must
/// not hide another kind that only the new version has.
fn compare_failures(
    bounds: &VerdictBounds,
    old: &RouteEvidence,
    new: &RouteEvidence,
) -> Option<String> {
    for kind in FailureKind::ALL {
        if let Some(reason) = compare_failure_kind(bounds, kind, old, new) {
            return Some(reason);
        }
    }
    None
}

fn compare_failure_kind(
    bounds: &VerdictBounds,
    kind: FailureKind,
    old: &RouteEvidence,
    new: &RouteEvidence,
) -> Option<String> {
    let failures = new.failures_of(kind);
    let old_failures = old.failures_of(kind);
    if failures < bounds.failures {
        return None;
    }
    let reason = || {
        format!(
            "{failures} of {} requests {}, {old_failures} of {} on the old \
             version",
            new.requests,
            kind.verb(),
            old.requests,
        )
    };
    if old.requests < MIN_REQUESTS {
        let fails_mostly = failures * 2 > new.requests;
        let is_alone = old_failures * 2 <= old.requests;
        let is_worse = failures >= MIN_FAILURES_WITHOUT_BASELINE
            && fails_mostly
            && is_alone;
        return is_worse.then(reason);
    }
    // One failure is added to both counts, because a few requests without
    // failures do not show a failure rate of zero.
    let old_rate = (old_failures + 1) as f64 / (old.requests + 1) as f64;
    let expected = old_rate * new.requests as f64;
    let p_value = poisson_tail(expected, failures);
    (p_value < bounds.failure_p_value).then(reason)
}

/// Returns the probability of at least `count` events in a Poisson
/// distribution with the mean `expected`.
fn poisson_tail(expected: f64, count: u64) -> f64 {
    if count as f64 <= expected {
        return 1.0;
    }
    // Above the mean the terms decrease fast, so the sum starts at `count`.
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

/// How the latencies of two versions differ.
struct LatencyComparison {
    /// Ratio of the geometric means.
    ratio: f64,
    /// Difference of the mean log latencies in standard errors.
    z_score: f64,
}

impl LatencyComparison {
    fn new(old: &RouteEvidence, new: &RouteEvidence) -> LatencyComparison {
        let difference = new.log_mean() - old.log_mean();
        let ratio = (difference / LOG_SCALE).exp();
        let old_part = old.log_variance() / old.timed.max(1) as f64;
        let new_part = new.log_variance() / new.timed.max(1) as f64;
        let z_score = difference / (old_part + new_part).sqrt();
        LatencyComparison { ratio, z_score }
    }
}

fn compare_latencies(
    bounds: &VerdictBounds,
    old: &RouteEvidence,
    new: &RouteEvidence,
) -> Option<String> {
    if old.timed < MIN_REQUESTS || new.timed < bounds.timed {
        return None;
    }
    let LatencyComparison { ratio, z_score } =
        LatencyComparison::new(old, new);
    if z_score < bounds.latency_z_score || ratio < MIN_LATENCY_RATIO {
        return None;
    }
    Some(format!("{ratio:.1} times as slow as the old version"))
}

/// The evidence of all routers on the known moves.
#[derive(Debug, Default)]
pub struct EvidenceStore {
    local: BTreeMap<u64, MoveEvidence>,
    reported: BTreeMap<u64, BTreeMap<HolderId, MoveEvidence>>,
}

impl EvidenceStore {
    /// Creates an empty store.
    pub fn new() -> EvidenceStore {
        EvidenceStore::default()
    }

    /// Returns this router's own evidence on a move.
    pub fn local_mut(&mut self, id: u64) -> &mut MoveEvidence {
        self.local.entry(id).or_default()
    }

    /// Replaces the evidence that another router has reported on a move.
    ///
    /// Reports are cumulative, so a lost or repeated one does no harm.
    pub fn set_report(
        &mut self,
        id: u64,
        from: HolderId,
        evidence: MoveEvidence,
    ) {
        self.reported.entry(id).or_default().insert(from, evidence);
    }

    /// Returns the summed evidence of all routers on a move.
    pub fn total(&self, id: u64) -> MoveEvidence {
        let mut sum = self.local.get(&id).cloned().unwrap_or_default();
        let Some(reports) = self.reported.get(&id) else {
            return sum;
        };
        for evidence in reports.values() {
            sum.add(evidence);
        }
        sum
    }

    /// Removes the evidence on moves that are not in `ids`.
    pub fn retain(&mut self, ids: &[u64]) {
        self.local.retain(|id, _| ids.contains(id));
        self.reported.retain(|id, _| ids.contains(id));
    }
}
