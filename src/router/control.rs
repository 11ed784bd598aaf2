//! Tasks that keep the configuration and the list of VMs up to date.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use super::{CallerIdentity, RouterCore};
use crate::{
    config::{CONTROL_STREAM, ControlLedger, Document},
    domain::BudgetName,
    ports::{
        KnownState, LogCursors, NewerState, PeerAnswer, PeerCall, VmList,
        VmRole, VmState,
    },
    routing::{AssignedUpstream, SubsetPlan, upstream_shares},
    streams::StreamFold,
    telemetry::LogEvent,
    timer::TimerService,
};

/// Maximum duration of one long poll of the log or the list of VMs.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(25);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum interval between two checks whether a checkpoint is due.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the control stream. Never returns.
pub(super) async fn run_control(core: Rc<RouterCore>) {
    loop {
        let (cursor, ready) = {
            let control = core.control.borrow();
            (control.cursor(), control.is_ready())
        };
        let cursors = LogCursors::from([(CONTROL_STREAM.to_owned(), cursor)]);
        let wait = if ready { LONG_POLL_TIMEOUT } else { Duration::ZERO };
        let read = core.ports.log.read(&cursors, wait).await;
        match read {
            Ok(mut slices) => {
                {
                    let mut control = core.control.borrow_mut();
                    match slices.remove(CONTROL_STREAM) {
                        Some(slice) => {
                            control.apply_slice(&slice);
                        }
                        None => control.mark_end(),
                    }
                }
                core.apply_configuration();
            }
            Err(fault) => {
                log::debug!("cannot read the control stream: {fault}");
                core.timer.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Follows the platform's list of VMs. Never returns.
pub(super) async fn run_vm_list(core: Rc<RouterCore>) {
    loop {
        let since = core.directory.version();
        match core.ports.vm_list.watch(since, LONG_POLL_TIMEOUT).await {
            Ok(list) => core.apply_vm_list(list),
            Err(fault) => {
                log::debug!("cannot read the list of VMs: {fault}");
                core.timer.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Requests the shared state from the seed routers until this router has a
/// configuration and a list of VMs.
///
/// A router that starts while the platform is unreachable knows no other
/// routers than its seeds.
pub(super) async fn run_seeds(core: Rc<RouterCore>) {
    for seed in core.settings.seeds.iter().cycle() {
        if core.directory.version() > 0 && core.is_configured() {
            return;
        }
        fetch_newer_state(&core, *seed).await;
        core.timer.sleep(RETRY_DELAY).await;
    }
}

/// Fetches newer shared state from peers that have it. Never returns.
///
/// This is rarely needed while the log is reachable. While it is not, a newer
/// revision and a change in the list of VMs, such as a leaving upstream,
/// arrive only in this way.
pub(super) async fn run_catch_up(core: Rc<RouterCore>) {
    loop {
        let peer = core.members.wait_for_newer_state().await;
        fetch_newer_state(&core, peer).await;
    }
}

/// Fetches the configuration and the list of VMs from a peer and applies
/// those that are newer than this router's.
async fn fetch_newer_state(core: &RouterCore, peer: SocketAddr) {
    let call = PeerCall::CatchUp(core.known_state());
    let answer = core.ports.peers.call(peer, call).await;
    let Ok(PeerAnswer::Newer(newer)) = answer else {
        return;
    };
    let state = newer.control.as_deref();
    let state = state.and_then(ControlLedger::from_checkpoint);
    if let Some(state) = state
        && core.control.borrow_mut().adopt(state)
    {
        core.metrics.note_event("control_from_peer");
        core.apply_configuration();
    }
    let list = newer.list.and_then(|list| serde_json::from_str(&list).ok());
    if let Some(list) = list {
        core.metrics.note_event("list_from_peer");
        core.apply_vm_list(list);
    }
}

/// Appends a new checkpoint of the control stream before the retention of
/// the log deletes the last one. Never returns.
pub(super) async fn run_checkpoints(core: Rc<RouterCore>) {
    let retention = core.settings.log.retention;
    let period = CHECKPOINT_INTERVAL.min(retention / 8);
    let ticks = core.timer.interval(period);
    loop {
        ticks.tick().await;
        if !core.directory.is_first_for(CONTROL_STREAM) {
            continue;
        }
        let record = {
            let control = core.control.borrow();
            let age =
                TimerService::now_ms().saturating_sub(control.checkpoint_ms());
            let due = age > retention.as_millis() as u64 / 4;
            let fold = control.fold().filter(|fold| fold.next > 0);
            fold.filter(|_| due).map(StreamFold::to_checkpoint)
        };
        let Some(record) = record else {
            continue;
        };
        // A failed append is retried at the next tick.
        let _ = core.ports.log.append(CONTROL_STREAM, &[record]).await;
    }
}

impl RouterCore {
    /// Returns the versions of the shared state that this router has.
    pub(super) fn known_state(&self) -> KnownState {
        let control = self.control.borrow();
        KnownState {
            control_next: control.fold().map_or(0, |ledger| ledger.next),
            list_version: self.directory.version(),
        }
    }

    /// Returns the shared state that is newer than a peer's.
    pub(super) fn newer_state(&self, known: KnownState) -> NewerState {
        let own = self.known_state();
        let control = self.control.borrow();
        let ledger = control.fold();
        let newer = ledger.filter(|_| own.control_next > known.control_next);
        let list = (own.list_version > known.list_version).then(|| {
            let vms = self.directory.vms().clone();
            let list = VmList { version: own.list_version, vms };
            // Strings and numbers always serialize.
            serde_json::to_string(&list).expect("serializable list")
        });
        NewerState { control: newer.map(StreamFold::to_checkpoint), list }
    }

    /// Applies a list of VMs.
    pub(super) fn apply_vm_list(&self, list: VmList) {
        self.directory.update(list);
        self.members.set_known_state(self.known_state());
        self.refresh_upstreams();
    }

    /// Applies the current configuration to callers and upstreams.
    pub(super) fn apply_configuration(&self) {
        self.members.set_known_state(self.known_state());
        let (identities, revision) = {
            let control = self.control.borrow();
            let Some(ledger) = control.fold() else {
                return;
            };
            (caller_identities(ledger), ledger.revision.clone())
        };
        if revision.number != self.applied_revision.get() {
            self.applied_revision.set(revision.number);
            self.applied_ms.set(TimerService::now_ms());
            log::info!(
                event:% = LogEvent::RevisionApplied,
                revision = revision.number, who = revision.who.as_str();
                "revision applied; author {}: {}", revision.who, revision.why
            );
        }
        *self.identities.borrow_mut() = identities;
        self.refresh_upstreams();
    }

    /// Obtains grants for all budgets before the first request needs them.
    pub(super) fn prewarm(&self) {
        let mut budgets: Vec<BudgetName> = Vec::new();
        for identity in self.identities.borrow().values() {
            budgets.push(identity.budget.clone());
        }
        self.keeper.prewarm(&budgets);
    }

    /// Recomputes the slots that this router may use at each upstream.
    pub(super) fn refresh_upstreams(&self) {
        let mut views = Vec::new();
        let control = self.control.borrow();
        let Some(ledger) = control.fold() else {
            return;
        };
        let vms = self.directory.vms();
        let mut routers = Vec::new();
        let mut workers: BTreeMap<(&str, &str), Vec<String>> = BTreeMap::new();
        for (vm, entry) in vms.iter() {
            if entry.role == VmRole::Entry {
                // A leaving router keeps its slots, since it still has
                // requests in progress.
                routers.push(vm.clone());
                continue;
            }
            if entry.state == VmState::Leaving {
                continue;
            }
            let key = (entry.service.as_str(), entry.version.as_str());
            workers.entry(key).or_default().push(vm.clone());
        }
        for ((service, version), upstreams) in &workers {
            let path = format!("service/{service}");
            let document = ledger.documents.get(&path);
            let Some(Document::Service(document)) = document else {
                continue;
            };
            let limit = document.upstream_limit;
            let plan = SubsetPlan { routers: &routers, upstreams, limit };
            for share in upstream_shares(&plan, &self.settings.vm) {
                views.push(AssignedUpstream {
                    address: vms[&share.upstream].address,
                    domain: vms[&share.upstream].domain.clone(),
                    vm: share.upstream,
                    service: (*service).to_owned(),
                    version: (*version).to_owned(),
                    started_ms: 0,
                    share: share.slots,
                    limit,
                });
            }
        }
        self.upstream_table.update(&views);
    }
}

/// Returns the callers with access, by hash of their API key.
fn caller_identities(
    ledger: &ControlLedger,
) -> BTreeMap<String, CallerIdentity> {
    let mut identities = BTreeMap::new();
    for (path, document) in &ledger.documents {
        let Document::Account(account) = document else {
            continue;
        };
        let name = path.strip_prefix("account/").unwrap_or(path);
        for (budget, known) in &account.budgets {
            let identity = CallerIdentity {
                budget: BudgetName::new(name, budget),
                class: known.class,
                concurrent: account.concurrent,
            };
            for key in &known.keys {
                identities.insert(key.clone(), identity.clone());
            }
        }
    }
    identities
}
