//! Rejects requests with prompt parts that crash upstreams, and shares what
//! routers know of such parts.
//!
//! Losses are rare, so each is reported to all routers at once: requests with
//! the part arrive at any of them. A router that missed a report learns of a
//! quarantine from a peer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use super::{CallRequest, GatewayCore};
use crate::{
    error::{CallError, ErrorKind},
    ports::{PartReport, PeerAnswer, PeerCall},
    routing::{AssignedUpstream, LossObserver, QuarantinedPart},
    telemetry::LogEvent,
};

/// Interval between questions to peers which parts are in quarantine.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time in which a refusal of a connection counts as the sign of a
/// crash. A refusal comes at once; a connection that does not open may be due
/// to this router's own link.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Asks other routers which parts are in quarantine. Never returns.
///
/// A router that was restarted, frozen or cut off has missed the reports.
pub(super) async fn run_exchange(core: Rc<GatewayCore>) {
    loop {
        if let Some((_, peer)) = core.random_peer() {
            let call = PeerCall::Parts(PartReport::default());
            let answer = core.ports.peers.call(peer, call).await;
            if let Ok(PeerAnswer::Quarantined(parts)) = answer {
                core.merge_quarantine(&parts);
            }
        }
        // Quarantines also end by time.
        core.update_quarantine_metric();
        core.timer.sleep(EXCHANGE_INTERVAL).await;
    }
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

    /// Records that an upstream was lost before it answered a request.
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
        if lost.is_empty() {
            return;
        }
        let connect = self.ports.upstreams.connect(upstream.address);
        let connected = monoio::time::timeout(REFUSAL_TIMEOUT, connect).await;
        if !matches!(connected, Ok(Err(_))) {
            return;
        }
        log::info!(
            event:% = LogEvent::PartsSuspected,
            request_id = request.id.as_str(),
            upstream = upstream.vm.as_str(),
            parts = lost.join(",").as_str();
            "upstream crashed before the first event of an answer"
        );
        self.metrics.note_event("parts_suspected");
        self.apply_part_losses(&lost, LossObserver::Own, &self.id.vm);
        let report = PartReport { lost, answered: Vec::new() };
        self.broadcast(&PeerCall::Parts(report));
    }

    /// Records that an upstream has begun to answer a request.
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
        let report = PartReport { lost: Vec::new(), answered };
        self.broadcast(&PeerCall::Parts(report));
    }

    /// Applies the report of another router and returns the parts that are
    /// in quarantine here.
    pub(super) fn apply_part_report(&self, report: &PartReport) -> PeerAnswer {
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let answered = report.answered.iter().map(String::as_str);
        quarantine.record_answer(answered, now);
        drop(quarantine);
        self.apply_part_losses(&report.lost, LossObserver::Peer, "peer");
        self.update_quarantine_metric();
        PeerAnswer::Quarantined(self.quarantine.borrow().quarantined(now))
    }

    fn apply_part_losses(
        &self,
        lost: &[String],
        observer: LossObserver,
        from: &str,
    ) {
        let lost = lost.iter().map(String::as_str);
        let mut quarantine = self.quarantine.borrow_mut();
        let started = quarantine.record_loss(lost, observer, Instant::now());
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
