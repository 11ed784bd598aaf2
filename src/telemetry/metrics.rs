//! Metrics of a router.

use std::{cell::RefCell, collections::BTreeSet, time::Duration};

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

use super::{MessageKind, PeerMetrics, malformed_count};
use crate::runtime::panic_count;

/// Client accounts with label values of their own. Further ones share the
/// value `other`, so that the number of series is bounded.
const LABELLED_ACCOUNTS: usize = 64;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.83, 1.5, 3.0, 10.0, 30.0];

/// Upper bounds of the buckets for the time between tokens, in seconds.
const TOKEN_GAP_BUCKETS: &[f64] =
    &[0.005, 0.01, 0.02, 0.04, 0.078, 0.15, 0.3, 1.0];

/// The metrics of one router.
pub struct RouterMetrics {
    registry: Registry,
    accounts: RefCell<BTreeSet<String>>,
    first_token: HistogramVec,
    token_gap: HistogramVec,
    duration: HistogramVec,
    answers: IntCounterVec,
    tokens: IntCounterVec,
    unanswered_tokens: IntCounterVec,
    events: IntCounterVec,
    /// Bytes held in memory for slow readers.
    pub held_bytes: IntGauge,
    /// Bytes that the requests of callers hold or have reserved.
    pub request_bytes: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Version of the catalog in force.
    pub catalog_version: IntGauge,
    /// When the operators' declarations were confirmed last, in seconds since
    /// the epoch.
    pub catalog_confirmed_at: IntGauge,
    /// Upstreams in use.
    pub upstreams: IntGauge,
    /// Upstreams in use whose registration was removed.
    pub upstreams_doubted: IntGauge,
    /// When the registered upstreams were read last, in seconds since the
    /// epoch.
    pub list_read_at: IntGauge,
    /// Routers on the list of entry VMs.
    pub entry_vms: IntGauge,
    /// Claims on tokens that were not granted in full.
    pub claims_cut: IntCounter,
    /// Tokens that earlier processes on this VM had in hand when they ended.
    pub lost_tokens: IntCounter,
    /// Prompt parts in quarantine.
    pub quarantined_parts: IntGauge,
    /// Upstreams that name a limit of requests per second.
    pub limited_upstreams: IntGauge,
    /// Panics of tasks.
    task_panics: IntGauge,
    /// Requests that were not valid messages.
    malformed_requests: IntGauge,
    /// Answers that were not valid messages.
    malformed_answers: IntGauge,
    /// The era of the store, which rises when it is restored from a copy.
    pub store_era: IntGauge,
    /// Whether the store of prepaid tokens answers.
    pub store_reachable: IntGauge,
}

impl RouterMetrics {
    /// Creates the metrics with a registry of their own.
    ///
    /// # Panics
    ///
    /// If two metrics share a name, which the tests would show.
    pub fn new() -> RouterMetrics {
        let labels = &["account", "class"];
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let opts = HistogramOpts::new(name, help);
            let opts = opts.buckets(buckets.to_vec());
            HistogramVec::new(opts, labels).expect("valid histogram")
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(name, help);
            IntCounterVec::new(opts, labels).expect("valid counter")
        };
        let gauge = |name: &str, help: &str| {
            IntGauge::new(name, help).expect("valid gauge")
        };
        let metrics = RouterMetrics {
            registry: Registry::new(),
            accounts: RefCell::default(),
            first_token: histogram(
                "magnolia_first_token_seconds",
                "Time from the request to the first event of its answer.",
                LATENCY_BUCKETS,
            ),
            token_gap: histogram(
                "magnolia_token_gap_seconds",
                "Time between two events of an answer.",
                TOKEN_GAP_BUCKETS,
            ),
            duration: histogram(
                "magnolia_request_seconds",
                "Time from the request to the end of its answer.",
                LATENCY_BUCKETS,
            ),
            answers: counter(
                "magnolia_answers_total",
                "Answers by client account and kind; ok for success.",
                &["account", "kind"],
            ),
            tokens: counter(
                "magnolia_billed_tokens_total",
                "Tokens billed by client account.",
                &["account"],
            ),
            unanswered_tokens: counter(
                "magnolia_unanswered_tokens_total",
                "Tokens billed for requests that were not answered in full.",
                &["account"],
            ),
            events: counter(
                "magnolia_events_total",
                "Internal events by name.",
                &["event"],
            ),
            held_bytes: gauge(
                "magnolia_held_bytes",
                "Bytes held in memory for slow readers.",
            ),
            request_bytes: gauge(
                "magnolia_request_bytes",
                "Bytes that the requests of callers hold or have reserved.",
            ),
            connections: gauge(
                "magnolia_connections",
                "Open connections of callers.",
            ),
            catalog_version: gauge(
                "magnolia_catalog_version",
                "Version of the catalog in force; 0 before the first one.",
            ),
            catalog_confirmed_at: gauge(
                "magnolia_catalog_confirmed_timestamp_seconds",
                "When the operators' declarations were confirmed last.",
            ),
            upstreams: gauge("magnolia_upstreams", "Upstreams in use."),
            upstreams_doubted: gauge(
                "magnolia_upstreams_doubted",
                "Upstreams in use whose registration was removed.",
            ),
            list_read_at: gauge(
                "magnolia_upstream_list_read_timestamp_seconds",
                "When the registered upstreams were read last.",
            ),
            entry_vms: gauge(
                "magnolia_entry_vms",
                "Routers on the list of entry VMs.",
            ),
            claims_cut: IntCounter::new(
                "magnolia_claims_cut_total",
                "Claims on tokens that were not granted in full.",
            )
            .expect("valid counter"),
            lost_tokens: IntCounter::new(
                "magnolia_lost_tokens_total",
                "Tokens that earlier processes on this VM ended with.",
            )
            .expect("valid counter"),
            quarantined_parts: gauge(
                "magnolia_quarantined_parts",
                "Prompt parts whose requests are rejected.",
            ),
            limited_upstreams: gauge(
                "magnolia_limited_upstreams",
                "Upstreams that name a limit of requests per second.",
            ),
            malformed_requests: gauge(
                "magnolia_malformed_requests",
                "Requests that were refused as no valid messages.",
            ),
            malformed_answers: gauge(
                "magnolia_malformed_answers",
                "Answers that were refused as no valid messages.",
            ),
            task_panics: gauge(
                "magnolia_task_panics",
                "Panics of tasks, each of which ended alone.",
            ),
            store_era: gauge(
                "magnolia_store_era",
                "Era of the store; it rises with each restore from a copy.",
            ),
            store_reachable: gauge(
                "magnolia_store_reachable",
                "1 while the store of prepaid tokens answers.",
            ),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let collectors: Vec<Box<dyn prometheus::core::Collector>> = vec![
            Box::new(self.first_token.clone()),
            Box::new(self.token_gap.clone()),
            Box::new(self.duration.clone()),
            Box::new(self.answers.clone()),
            Box::new(self.tokens.clone()),
            Box::new(self.events.clone()),
            Box::new(self.held_bytes.clone()),
            Box::new(self.request_bytes.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.catalog_version.clone()),
            Box::new(self.catalog_confirmed_at.clone()),
            Box::new(self.upstreams.clone()),
            Box::new(self.entry_vms.clone()),
            Box::new(self.store_reachable.clone()),
            Box::new(self.upstreams_doubted.clone()),
            Box::new(self.list_read_at.clone()),
            Box::new(self.claims_cut.clone()),
            Box::new(self.lost_tokens.clone()),
            Box::new(self.unanswered_tokens.clone()),
            Box::new(self.quarantined_parts.clone()),
            Box::new(self.limited_upstreams.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.task_panics.clone()),
            Box::new(self.malformed_requests.clone()),
            Box::new(self.malformed_answers.clone()),
        ];
        for collector in collectors {
            // Every name above is used once.
            self.registry.register(collector).expect("distinct name");
        }
    }

    /// Adds the metrics of the calls to other routers; used once.
    pub fn add_peers(&self, peers: &PeerMetrics) {
        peers.register(&self.registry);
    }

    /// The label value of a client account.
    fn label<'a>(&self, account: &'a str) -> &'a str {
        let mut accounts = self.accounts.borrow_mut();
        if accounts.contains(account) {
            return account;
        }
        if accounts.len() >= LABELLED_ACCOUNTS || account.is_empty() {
            return "other";
        }
        accounts.insert(account.to_owned());
        account
    }

    /// Notes the time to the first event of an answer.
    pub fn note_first_token(&self, account: &str, class: &str, t: Duration) {
        let labels = [self.label(account), class];
        let histogram = self.first_token.with_label_values(&labels);
        histogram.observe(t.as_secs_f64());
    }

    /// Notes the time between two events of an answer.
    pub fn note_token_gap(&self, account: &str, class: &str, t: Duration) {
        let labels = [self.label(account), class];
        let histogram = self.token_gap.with_label_values(&labels);
        histogram.observe(t.as_secs_f64());
    }

    /// Notes the whole duration of a request.
    pub fn note_duration(&self, account: &str, class: &str, t: Duration) {
        let labels = [self.label(account), class];
        let histogram = self.duration.with_label_values(&labels);
        histogram.observe(t.as_secs_f64());
    }

    /// Counts an answer; `kind` is `ok` or the code of an error kind.
    pub fn note_answer(&self, account: &str, kind: &str) {
        let labels = [self.label(account), kind];
        self.answers.with_label_values(&labels).inc();
    }

    /// Counts billed tokens.
    pub fn note_tokens(&self, account: &str, tokens: u64) {
        let labels = [self.label(account)];
        self.tokens.with_label_values(&labels).inc_by(tokens);
    }

    /// Counts tokens billed for a request that was not answered in full.
    pub fn note_unanswered_tokens(&self, account: &str, tokens: u64) {
        let labels = [self.label(account)];
        self.unanswered_tokens.with_label_values(&labels).inc_by(tokens);
    }

    /// Counts an internal event from a fixed set of names.
    pub fn note_event(&self, event: &'static str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        self.task_panics.set(panic_count() as i64);
        let requests = malformed_count(MessageKind::Request);
        self.malformed_requests.set(requests as i64);
        let answers = malformed_count(MessageKind::Answer);
        self.malformed_answers.set(answers as i64);
        let families = self.registry.gather();
        // Writing to memory cannot fail.
        let _ = TextEncoder::new().encode(&families, &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for RouterMetrics {
    fn default() -> RouterMetrics {
        RouterMetrics::new()
    }
}
