//! Rejects requests with prompt parts that crash upstreams, and shares what
//! routers know of such parts.
//!
//! Crashes are rare, so each is reported to all routers at once: requests with
//! the part arrive at any of them. A router that missed a report learns of a
//! quarantine from a peer.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{CallRequest, GatewayCore, crashes::JoinedProbe};
use crate::{
    error::{CallError, ErrorKind},
    ports::{PartReport, PeerAnswer, PeerCall},
    routing::{
        AssignedUpstream, LossObserver, QuarantinedPart, UpstreamCrash,
    },
    runtime::spawn,
    telemetry::LogEvent,
};

/// Interval between questions to peers which parts are in quarantine.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after its start in which a router asks all others.
const START_WINDOW: Duration = Duration::from_secs(2);

/// Interval at which a router that has started asks those that have not
/// answered.
const START_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time in which a refusal of a connection counts as the sign of a
/// crash. A refusal comes at once; a connection that does not open may be due
/// to this router's own link.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Asks other routers which parts are in quarantine. Never returns.
///
/// A router that was restarted, frozen or cut off has missed the reports.
pub(super) async fn run_exchange(core: Rc<GatewayCore>) {
    ask_all_at_start(&core).await;
    loop {
        if let Some((_, peer)) = core.random_peer() {
            ask_peer(&core, peer).await;
        }
        // Quarantines also end by time.
        core.update_quarantine_metric();
        core.timer.sleep(EXCHANGE_INTERVAL).await;
    }
}

/// Probes an upstream whose connections broke, and suspects the parts of the
/// requests that it was serving if it refuses a connection.
async fn probe_upstream(core: Rc<GatewayCore>, upstream: AssignedUpstream) {
    let connect = core.ports.upstreams.connect(upstream.address);
    let connected = monoio::time::timeout(REFUSAL_TIMEOUT, connect).await;
    let has_crashed = matches!(connected, Ok(Err(_)));
    let mut probes = core.crash_probes.borrow_mut();
    let Some(decided) = probes.decide(&upstream.vm, has_crashed) else {
        return;
    };
    drop(probes);
    if has_crashed {
        core.report_crash(&upstream.vm, decided.lost);
    }
    // Requests that wait for the verdict find the quarantine updated.
    decided.verdict.set(has_crashed);
}

/// Asks each router that serves callers once. Those that were started at the
/// same time know nothing, so that one answer is not enough.
async fn ask_all_at_start(core: &Rc<GatewayCore>) {
    let until = Instant::now() + START_WINDOW;
    let mut answered = BTreeSet::new();
    while Instant::now() < until {
        for vm in core.serving_routers() {
            let address = core.directory.peer_address(&vm);
            let is_asked = vm == core.id.vm || answered.contains(&vm);
            let Some(peer) = address.filter(|_| !is_asked) else {
                continue;
            };
            if ask_peer(core, peer).await {
                answered.insert(vm);
            }
        }
        core.timer.sleep(START_INTERVAL).await;
    }
}

/// Asks a router which parts are in quarantine; returns whether it answered.
async fn ask_peer(core: &Rc<GatewayCore>, peer: SocketAddr) -> bool {
    let call = PeerCall::Parts(PartReport::default());
    let answer = core.ports.peers.call(peer, call).await;
    let Ok(PeerAnswer::Quarantined(parts)) = answer else {
        return false;
    };
    core.merge_quarantine(&parts);
    true
}

impl GatewayCore {
    /// Rejects a request with a part in quarantine.
    pub(super) fn reject_if_quarantined(
        &self,
        request: &CallRequest,
    ) -> Result<(), CallError> {
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let admitted = quarantine.admit(request.shared_part_ids(), now);
        admitted.map_err(|found| quarantine_error(&found))
    }

    /// Returns whether a request must not be sent again, because one of its
    /// parts is in quarantine by now.
    pub(super) fn is_quarantined(&self, request: &CallRequest) -> bool {
        let quarantine = self.quarantine.borrow();
        quarantine.find(request.shared_part_ids(), Instant::now()).is_some()
    }

    /// Records that an upstream was lost before it had answered a request in
    /// full.
    ///
    /// Parts are suspected only if the upstream has crashed. One that loses
    /// answers but still accepts connections may lose any answer.
    pub(super) async fn record_part_loss(
        self: &Rc<Self>,
        request: &CallRequest,
        upstream: &AssignedUpstream,
    ) {
        let lost: Vec<String> =
            request.shared_part_ids().map(str::to_owned).collect();
        if lost.is_empty() || !self.has_crashed(upstream, &lost).await {
            return;
        }
        log::info!(
            event:% = LogEvent::PartsSuspected,
            request_id = request.id.as_str(),
            upstream = upstream.vm.as_str(),
            parts = lost.join(",").as_str();
            "upstream crashed before the end of an answer"
        );
        self.metrics.note_event("parts_suspected");
    }

    /// Returns whether an upstream has crashed. If it has, the parts `lost`
    /// of a request that it was serving are suspected.
    ///
    /// A crash breaks off many requests at once. One of them probes the
    /// upstream, and all their parts are reported together.
    async fn has_crashed(
        self: &Rc<Self>,
        upstream: &AssignedUpstream,
        lost: &[String],
    ) -> bool {
        let now = Instant::now();
        let joined = self.crash_probes.borrow_mut().join(upstream, lost, now);
        match joined {
            JoinedProbe::Decided(has_crashed) => {
                if has_crashed {
                    self.report_crash(&upstream.vm, lost.to_vec());
                }
                has_crashed
            }
            JoinedProbe::Pending(verdict) => verdict.wait().await,
            JoinedProbe::New(verdict) => {
                let probe = probe_upstream(self.clone(), upstream.clone());
                spawn("crash_probe", probe);
                verdict.wait().await
            }
        }
    }

    /// Suspects parts of requests that a crashed upstream was serving, here
    /// and at the other routers.
    fn report_crash(self: &Rc<Self>, upstream: &str, lost: Vec<String>) {
        let observer = LossObserver::Own;
        let crash = UpstreamCrash { upstream, observer };
        self.apply_part_losses(&lost, crash, &self.id.vm);
        let upstream = upstream.to_owned();
        let report = PartReport { upstream, lost, answered: Vec::new() };
        self.broadcast(&PeerCall::Parts(report));
    }

    /// Records that an upstream has begun to answer a request.
    pub(super) fn record_part_begin(&self, request: &CallRequest) {
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record_begin(request.shared_part_ids(), now);
    }

    /// Records that an upstream has answered a request in full.
    pub(super) fn record_part_answer(self: &Rc<Self>, request: &CallRequest) {
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let answered =
            quarantine.record_answer(request.shared_part_ids(), now);
        drop(quarantine);
        if answered.is_empty() {
            return;
        }
        self.update_quarantine_metric();
        log::info!(
            event:% = LogEvent::PartsCleared,
            request_id = request.id.as_str(),
            parts = answered.join(",").as_str();
            "prompt parts answered, no longer suspected"
        );
        let report = PartReport { answered, ..PartReport::default() };
        self.broadcast(&PeerCall::Parts(report));
    }

    /// Records the end of an answer that has no length and ends with its
    /// connection. The crash of an upstream looks the same.
    pub(super) async fn record_part_close(
        self: &Rc<Self>,
        request: &CallRequest,
        upstream: &AssignedUpstream,
    ) {
        let is_suspected = {
            let quarantine = self.quarantine.borrow();
            quarantine.is_suspected(request.shared_part_ids())
        };
        let lost: Vec<String> =
            request.shared_part_ids().map(str::to_owned).collect();
        if is_suspected && !self.has_crashed(upstream, &lost).await {
            self.record_part_answer(request);
        }
    }

    /// Applies the report of another router and returns the parts that are
    /// in quarantine here.
    pub(super) fn apply_part_report(&self, report: &PartReport) -> PeerAnswer {
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let answered = report.answered.iter().map(String::as_str);
        quarantine.record_answer(answered, now);
        drop(quarantine);
        let crash = UpstreamCrash {
            upstream: &report.upstream,
            observer: LossObserver::Peer,
        };
        self.apply_part_losses(&report.lost, crash, "peer");
        self.update_quarantine_metric();
        PeerAnswer::Quarantined(self.quarantine.borrow().quarantined(now))
    }

    fn apply_part_losses(
        &self,
        lost: &[String],
        crash: UpstreamCrash<'_>,
        from: &str,
    ) {
        let lost = lost.iter().map(String::as_str);
        let mut quarantine = self.quarantine.borrow_mut();
        let started = quarantine.record_crash(lost, crash, Instant::now());
        drop(quarantine);
        self.log_quarantined(&started, from);
    }

    fn merge_quarantine(&self, parts: &[QuarantinedPart]) {
        let mut quarantine = self.quarantine.borrow_mut();
        let started = quarantine.merge(parts, Instant::now());
        drop(quarantine);
        self.log_quarantined(&started, "exchange");
    }

    fn log_quarantined(&self, started: &[QuarantinedPart], from: &str) {
        for quarantined in started {
            log::warn!(
                event:% = LogEvent::PartQuarantined,
                part = quarantined.part.as_str(),
                for_ms = quarantined.time_left.as_millis() as u64, from;
                "prompt part quarantined: its requests crash upstreams"
            );
            self.metrics.note_event("part_quarantined");
        }
        self.update_quarantine_metric();
    }

    fn update_quarantine_metric(&self) {
        let quarantine = self.quarantine.borrow();
        let parts = quarantine.quarantined(Instant::now());
        self.metrics.quarantined_parts.set(parts.len() as i64);
    }
}

fn quarantine_error(found: &QuarantinedPart) -> CallError {
    let message = format!(
        "requests with the part {} of the prompt crash upstreams",
        found.part
    );
    let error = CallError::new(ErrorKind::Quarantined, message);
    error.with_retry_delay(found.time_left)
}
