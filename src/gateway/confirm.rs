//! Confirms the declarations at other gateways while reads of the store
//! are late or fail.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{DeclarationTracker, GatewayCore};
use crate::{
    ports::{DeclaredCatalog, DeclaredState, PeerAnswer, PeerCall},
    runtime::{OverlapOptions, OverlappedCalls, TimedAnswer},
    telemetry::LogEvent,
};

/// Interval between checks of the age of the declarations.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after a gateway that could not confirm the declarations.
const ASK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Hedging of the calls to other gateways: a further gateway is asked while
/// one is overdue. Packets may be queued on this router's link, or the other
/// gateway may be down.
const ASK_OPTIONS: OverlapOptions = OverlapOptions {
    overdue_after: Duration::from_millis(400),
    extra_interval: Duration::from_millis(400),
    max_in_flight: 3,
};

/// The answer of another gateway.
pub(super) struct PeerReport {
    /// The VM of the gateway.
    pub(super) vm: String,
    /// The declarations that it uses.
    pub(super) state: DeclaredState,
}

/// Writes one line when the declarations turn stale, and one when they may
/// be used again.
#[derive(Debug, Default)]
struct StalenessLog {
    stale_since: Option<Instant>,
}

impl StalenessLog {
    fn note_state(&mut self, tracker: &DeclarationTracker, now: Instant) {
        let catalog = tracker.version().unwrap_or_default();
        let age_ms = tracker.age(now).unwrap_or_default().as_millis() as u64;
        let reason = tracker.staleness(now);
        match (self.stale_since, reason) {
            (None, Some(reason)) => {
                self.stale_since = Some(now);
                log::info!(
                    event:% = LogEvent::CatalogStale,
                    catalog, reason = reason.name(), age_ms;
                    "declarations are stale: {}", reason.name()
                );
            }
            (Some(since), None) => {
                self.stale_since = None;
                let stale_ms = (now - since).as_millis() as u64;
                log::info!(
                    event:% = LogEvent::CatalogUsable,
                    catalog, age_ms, stale_ms;
                    "declarations may be used again"
                );
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
    }
}

/// Asks other gateways whenever the declarations need a confirmation. Never
/// returns.
pub(super) async fn run_confirmation(core: Rc<GatewayCore>) {
    let asks = OverlappedCalls::new(ASK_OPTIONS);
    let mut log = StalenessLog::default();
    loop {
        core.timer.sleep(CHECK_INTERVAL).await;
        log.note_state(&core.declarations.borrow(), Instant::now());
        if !core.declarations.borrow().needs_confirmation(Instant::now()) {
            continue;
        }
        let TimedAnswer { requested_at, value } =
            asks.next(|| Some(ask_random_peer(core.clone()))).await;
        if let Some(report) = value {
            core.apply_report(&report, requested_at);
        }
        if core.declarations.borrow().needs_confirmation(Instant::now()) {
            core.timer.sleep(ASK_RETRY_DELAY).await;
        }
    }
}

/// Asks a random gateway which declarations it uses.
async fn ask_random_peer(core: Rc<GatewayCore>) -> Option<PeerReport> {
    let (vm, peer) = core.random_peer()?;
    let state = fetch_state(&core, peer, None).await?;
    Some(PeerReport { vm, state })
}

/// Fetches the state of the declarations at `peer`, with their text if they
/// are newer than `text_after`.
pub(super) async fn fetch_state(
    core: &GatewayCore,
    peer: SocketAddr,
    text_after: Option<u64>,
) -> Option<DeclaredState> {
    let call = PeerCall::Declared { text_after, notice: None };
    match core.ports.peers.call(peer, call).await {
        Ok(PeerAnswer::Declared(state)) => state,
        // The next call goes to another random gateway.
        Ok(_) | Err(_) => None,
    }
}

impl GatewayCore {
    /// Applies the answer of another gateway to a call that began at
    /// `requested_at`.
    pub(super) fn apply_report(
        &self,
        report: &PeerReport,
        requested_at: Instant,
    ) {
        let PeerReport { vm, state } = report;
        let known = self.declarations.borrow().version();
        if known < Some(state.version)
            && !self.apply_text(report, requested_at)
        {
            self.record_newer(vm, state);
            self.spread.note_source(vm, state.version);
            return;
        }
        self.apply_peer_confirmation(vm, state, requested_at);
        let known = self.declarations.borrow().version();
        if known == Some(state.version) {
            self.declarations.borrow_mut().advance(state.position);
            self.ports.catalog.advance(state.position);
        }
    }

    /// Applies the text that another gateway has sent; returns `false` if
    /// there is none.
    fn apply_text(&self, report: &PeerReport, requested_at: Instant) -> bool {
        let Some(text) = &report.state.text else {
            return false;
        };
        let unpacked = text.unpack();
        let catalog =
            unpacked.and_then(|text| self.ports.catalog.decode(&text));
        let Some(catalog) = catalog else {
            return false;
        };
        let declared = DeclaredCatalog { catalog, text: text.clone() };
        self.apply_catalog(declared, requested_at, &report.vm);
        true
    }

    /// Records a confirmation if the other gateway uses the same version.
    fn apply_peer_confirmation(
        &self,
        vm: &str,
        state: &DeclaredState,
        requested_at: Instant,
    ) {
        let version = self.declarations.borrow().version();
        let confirmed_at = requested_at.checked_sub(state.age);
        let Some(at) = confirmed_at.filter(|_| version == Some(state.version))
        else {
            return;
        };
        if !self.record_peer_confirmation(at) {
            return;
        }
        log::info!(
            event:% = LogEvent::CatalogConfirmed,
            catalog = state.version, peer = vm,
            age_ms = at.elapsed().as_millis() as u64;
            "declarations confirmed by another router"
        );
    }

    /// Records that another gateway uses newer declarations.
    fn record_newer(&self, vm: &str, state: &DeclaredState) {
        let mut tracker = self.declarations.borrow_mut();
        let known = tracker.version().unwrap_or_default();
        let since = Instant::now().checked_sub(state.in_force);
        let since = since.unwrap_or_else(Instant::now);
        if !tracker.record_newer(state.version, since) {
            return;
        }
        log::info!(
            event:% = LogEvent::CatalogOutdated,
            catalog = known, newer = state.version, peer = vm,
            newer_for_ms = state.in_force.as_millis() as u64;
            "another router uses newer declarations"
        );
    }
}
