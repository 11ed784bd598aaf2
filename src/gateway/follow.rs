//! Tasks that follow the declarations, the upstreams and the entry VMs.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom;

use super::GatewayCore;
use crate::{
    membership::RosterChange,
    ports::{KeyedFault, PeerAnswer, PeerCall, UpstreamEvent, VmList},
    routing::AssignedUpstream,
    runtime::{RetryBackoff, spawn},
    telemetry::{DependencyLog, LogEvent},
    timer::TimerService,
};

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval between reads of the registered upstreams.
const UPSTREAM_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// The same at a router that no callers are sent to. It must learn within
/// two seconds, too, that an upstream is leaving.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1_200);

/// Maximum wait of one read of the list of entry VMs.
const VM_LIST_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the declarations and the orders of version moves. Never returns.
pub(super) async fn run_catalog(core: Rc<GatewayCore>) {
    let dependency = DependencyLog::new("declarations");
    let mut retry = RetryBackoff::new();
    loop {
        let next = core.ports.catalog.next(core.read_scope()).await;
        match next {
            Ok(update) => {
                retry = RetryBackoff::new();
                dependency.note_answer();
                core.outage.borrow_mut().record_success(Instant::now());
                let pause = core.apply_declared_changes(update);
                core.timer.sleep(pause).await;
            }
            Err(fault) => {
                dependency.note_fault(&fault);
                let now = Instant::now();
                core.outage.borrow_mut().record_failure(now);
                // A store that refuses may be overloaded. After calls without
                // an answer, those in flight may be answered soon.
                let mut delay = RETRY_DELAY;
                if matches!(fault, KeyedFault::Refused { .. }) {
                    core.declarations.borrow_mut().record_refusal(now);
                    delay = retry.next_delay();
                }
                core.timer.sleep(delay).await;
            }
        }
    }
}

/// Reads the registered upstreams at an interval. Never returns.
pub(super) async fn run_upstreams(core: Rc<GatewayCore>) {
    let dependency = DependencyLog::new("upstream list");
    loop {
        let polled = core.ports.upstream_list.poll().await;
        let is_read = polled.is_ok();
        match polled {
            Ok(changes) => {
                dependency.note_answer();
                core.apply_upstream_changes(changes);
            }
            Err(fault) => {
                dependency.note_fault(&fault);
                log::debug!("upstream list: {fault}");
                core.outage.borrow_mut().record_failure(Instant::now());
                spawn("departures", fetch_departures(core.clone()));
            }
        }
        let reachable = core.keeper.is_topic_reachable();
        core.metrics.store_reachable.set(i64::from(reachable));
        let era = core.ports.topics.era();
        core.metrics.store_era.set(era as i64);
        core.keeper.note_era(era);
        core.metrics.claims_cut.inc_by(core.keeper.take_cuts());
        core.metrics.lost_tokens.inc_by(core.keeper.take_lost_tokens());
        let serving = core.serving_state();
        core.keeper.set_serving(serving);
        let is_busy = core.in_progress.get() > 0 || serving.is_listed;
        let is_idle = is_read && !is_busy;
        let interval =
            if is_idle { IDLE_POLL_INTERVAL } else { UPSTREAM_POLL_INTERVAL };
        core.timer.sleep(interval).await;
    }
}

/// Watches the list of entry VMs. Never returns.
pub(super) async fn run_vm_list(core: Rc<GatewayCore>) {
    let dependency = DependencyLog::new("list of entry VMs");
    loop {
        let since = core.directory.version();
        match core.ports.vm_list.watch(since, VM_LIST_WATCH_TIMEOUT).await {
            Ok(list) => {
                dependency.note_answer();
                core.apply_vm_list(list, since);
            }
            Err(fault) => {
                dependency.note_fault(&fault);
                core.outage.borrow_mut().record_failure(Instant::now());
                core.timer.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Asks another gateway which upstreams have left. Used while the list
/// cannot be read here.
async fn fetch_departures(core: Rc<GatewayCore>) {
    let Some((vm, peer)) = core.random_peer() else {
        return;
    };
    let answer = core.ports.peers.call(peer, PeerCall::Departures).await;
    let Ok(PeerAnswer::Departed(departures)) = answer else {
        return;
    };
    let mut has_changed = false;
    for departure in &departures {
        let now = Instant::now();
        if core.roster.borrow_mut().apply_departure(departure, now) {
            has_changed = true;
            log::info!(
                event:% = LogEvent::UpstreamDeparted,
                upstream = departure.upstream.as_str(), peer = vm.as_str();
                "upstream has left, as reported by another router"
            );
        }
    }
    if has_changed {
        core.refresh_upstreams();
    }
}

/// Drops retained upstreams that did not register again by `until`.
///
/// They may have left, and the next read may come much later than `until`.
async fn expire_upstreams(core: Rc<GatewayCore>, until: Instant) {
    let wait = until.saturating_duration_since(Instant::now());
    core.timer.sleep(wait).await;
    let gone = core.roster.borrow_mut().expire(Instant::now());
    for upstream in &gone {
        log::info!(
            event:% = LogEvent::UpstreamGone, upstream = upstream.as_str();
            "upstream did not register again"
        );
    }
    core.update_retained_metric();
    if !gone.is_empty() {
        core.refresh_upstreams();
    }
}

impl GatewayCore {
    /// Returns the name and address of another gateway that is believed to
    /// answer, chosen at random.
    pub(super) fn random_peer(&self) -> Option<(String, SocketAddr)> {
        let vms = self.directory.vms();
        let peers = vms.iter().filter_map(|(vm, entry)| {
            let is_usable = *vm != self.id.vm && self.members.may_be_alive(vm);
            let address = entry.peer_address.filter(|_| is_usable)?;
            Some((vm.clone(), address))
        });
        peers.choose(&mut rand::rng())
    }

    /// Applies one read of the registered upstreams.
    fn apply_upstream_changes(self: &Rc<Self>, news: Vec<UpstreamEvent>) {
        let now = Instant::now();
        let mut outage = self.outage.borrow_mut();
        outage.record_success(now);
        self.roster.borrow_mut().begin_read(now, &outage);
        drop(outage);
        self.metrics.list_read_at.set((TimerService::now_ms() / 1_000) as i64);
        let mut has_changed = false;
        let mut retained_until = None;
        for item in news {
            let changes = self.roster.borrow_mut().apply(item, now);
            for change in changes {
                self.log_change(&change, now);
                match change {
                    RosterChange::Changed { .. } => has_changed = true,
                    RosterChange::Retained { until, .. } => {
                        retained_until = Some(until);
                    }
                    RosterChange::Overruled { .. } => {
                        self.metrics.note_event("registration_overruled");
                    }
                    RosterChange::Outdated { .. } => {}
                }
            }
        }
        self.update_retained_metric();
        if let Some(until) = retained_until {
            spawn("upstream_expiry", expire_upstreams(self.clone(), until));
        }
        if has_changed {
            self.refresh_upstreams();
        }
    }

    /// Records that an upstream has said in an answer that it leaves.
    pub(super) fn record_leaving(&self, upstream: &AssignedUpstream) {
        let now = Instant::now();
        let mut roster = self.roster.borrow_mut();
        let AssignedUpstream { vm, started_ms, .. } = upstream;
        let was_in_use = roster.announce_departure(vm, *started_ms, now);
        drop(roster);
        if !was_in_use {
            return;
        }
        log::info!(
            event:% = LogEvent::UpstreamDeparted,
            upstream = upstream.vm.as_str(), peer = "answer";
            "upstream leaves, as its answer says"
        );
        self.refresh_upstreams();
    }

    /// Records that an upstream wants no requests of this router for a time.
    pub(super) fn record_backoff(
        &self,
        upstream: &AssignedUpstream,
        time: Duration,
    ) {
        log::info!(
            event:% = LogEvent::UpstreamBackoff,
            upstream = upstream.vm.as_str(),
            service = upstream.service.as_str(),
            for_ms = time.as_millis() as u64;
            "upstream wants no requests for a time"
        );
        self.metrics.note_event("upstream_backoff");
        self.table.back_off(&upstream.vm, time);
    }

    /// Applies a list of entry VMs if it is newer than version `since`, and
    /// drops retained VMs that did not register again in time.
    fn apply_vm_list(&self, list: VmList, since: u64) {
        let now = Instant::now();
        let mut outage = self.outage.borrow_mut();
        outage.record_success(now);
        let gone = self.directory.begin_read(now, &outage);
        drop(outage);
        let is_new = list.version > since;
        let version = list.version;
        if is_new {
            self.directory.update(list);
        }
        if !is_new && gone.is_empty() {
            return;
        }
        log::info!(
            event:% = LogEvent::VmListChanged,
            vms = self.directory.vms().len(),
            version,
            doubted = self.directory.retained_count();
            "list of entry VMs changed"
        );
        self.refresh_upstreams();
    }

    fn update_retained_metric(&self) {
        let retained = self.roster.borrow().retained_count();
        self.metrics.upstreams_doubted.set(retained as i64);
    }

    fn log_change(&self, change: &RosterChange, now: Instant) {
        match change {
            RosterChange::Changed { id } => {
                let roster = self.roster.borrow();
                let entry = roster.entry(id);
                let shown = entry
                    .map_or("gone".to_owned(), |entry| format!("{entry:?}"));
                log::info!(
                    event:% = LogEvent::UpstreamChanged,
                    upstream = id.as_str(), change = shown.as_str();
                    "upstream list changed: {id} {shown}"
                );
            }
            RosterChange::Retained { id, until } => {
                let left = until.saturating_duration_since(now);
                log::info!(
                    event:% = LogEvent::UpstreamDoubted,
                    upstream = id.as_str(), for_ms = left.as_millis() as u64;
                    "upstream is no longer registered; kept while it may \
                     register again"
                );
            }
            RosterChange::Overruled { id, started_ms } => log::info!(
                event:% = LogEvent::RegistrationOverruled,
                upstream = id.as_str(), started_ms = *started_ms;
                "registration ignored: the upstream has said that it leaves"
            ),
            RosterChange::Outdated { id, started_ms, sequence } => log::info!(
                event:% = LogEvent::RegistrationOutdated,
                upstream = id.as_str(),
                known_started_ms = *started_ms,
                known_sequence = *sequence;
                "registration ignored: a newer one is known"
            ),
        }
    }
}
