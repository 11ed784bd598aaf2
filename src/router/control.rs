//! Following the configuration and the list of VMs.

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

/// Longest wait of one read of the log.
const READ_WAIT: Duration = Duration::from_secs(25);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time between two looks at whether a checkpoint is due.
const CHECKPOINT_PERIOD: Duration = Duration::from_secs(5);

/// Follows the control stream for as long as the task lives.
pub(super) async fn run_control(core: Rc<RouterCore>) {
    loop {
        let (cursor, ready) = {
            let control = core.control.borrow();
            (control.cursor(), control.is_ready())
        };
        let cursors = LogCursors::from([(CONTROL_STREAM.to_owned(), cursor)]);
        let wait = if ready { READ_WAIT } else { Duration::ZERO };
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
                log::debug!("control stream: {fault}");
                core.timer.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Follows the list of VMs for as long as the task lives.
pub(super) async fn run_vm_list(core: Rc<RouterCore>) {
    loop {
        let since = core.directory.version();
        match core.ports.vm_list.watch(since, READ_WAIT).await {
            Ok(list) => core.take_list(list),
            Err(fault) => {
                log::debug!("list of VMs: {fault}");
                core.timer.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Asks the seeds for what they know, until something is known here.
///
/// A router that starts while the platform is out knows no other router
/// but its seeds.
pub(super) async fn run_seeds(core: Rc<RouterCore>) {
    for seed in core.settings.seeds.iter().cycle() {
        if core.directory.version() > 0 && core.is_configured() {
            return;
        }
        catch_up(&core, *seed).await;
        core.timer.sleep(RETRY_DELAY).await;
    }
}

/// Catches up with peers that know more, for as long as the task lives.
///
/// With the log in reach this is rarely needed. Without it, it is how a
/// newer revision and the news of a leaving upstream get here.
pub(super) async fn run_catch_up(core: Rc<RouterCore>) {
    loop {
        let peer = core.members.wait_for_newer_peer().await;
        catch_up(&core, peer).await;
    }
}

async fn catch_up(core: &RouterCore, peer: SocketAddr) {
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
        core.take_list(list);
    }
}

/// Writes the control stream's checkpoint again before it expires, for as
/// long as the task lives.
pub(super) async fn run_checkpoints(core: Rc<RouterCore>) {
    let retention = core.settings.log.retention;
    let period = CHECKPOINT_PERIOD.min(retention / 8);
    let ticks = core.timer.subscribe(period);
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
        // A failed append is tried again at the next tick.
        let _ = core.ports.log.append(CONTROL_STREAM, &[record]).await;
    }
}

impl RouterCore {
    /// What this router knows of the shared state.
    pub(super) fn known_state(&self) -> KnownState {
        let control = self.control.borrow();
        KnownState {
            control_next: control.fold().map_or(0, |ledger| ledger.next),
            list_version: self.directory.version(),
        }
    }

    /// Shared state that is newer than what a peer knows.
    pub(super) fn newer_state(&self, known: KnownState) -> NewerState {
        let own = self.known_state();
        let control = self.control.borrow();
        let ledger = control.fold();
        let newer = ledger.filter(|_| own.control_next > known.control_next);
        let list = (own.list_version > known.list_version).then(|| {
            let vms = self.directory.vms().clone();
            let list = VmList { version: own.list_version, vms };
            // The list consists of texts and numbers.
            serde_json::to_string(&list).expect("serializable list")
        });
        NewerState { control: newer.map(StreamFold::to_checkpoint), list }
    }

    /// Takes a list of VMs into use.
    pub(super) fn take_list(&self, list: VmList) {
        self.directory.update(list);
        self.members.set_known_state(self.known_state());
        self.refresh_upstreams();
    }

    /// Takes the configuration into use, if it has changed.
    pub(super) fn apply_configuration(&self) {
        self.members.set_known_state(self.known_state());
        let (identities, revision) = {
            let control = self.control.borrow();
            let Some(ledger) = control.fold() else {
                return;
            };
            (identities_of(ledger), ledger.revision.clone())
        };
        if revision.number != self.applied_revision.get() {
            self.applied_revision.set(revision.number);
            self.applied_ms.set(TimerService::now_ms());
            log::info!(
                event:% = LogEvent::RevisionApplied,
                revision = revision.number, who = revision.who.as_str();
                "revision by {} in force: {}", revision.who, revision.why
            );
        }
        *self.identities.borrow_mut() = identities;
        self.refresh_upstreams();
    }

    /// Obtains grants ahead of the first request.
    pub(super) fn prewarm(&self) {
        let mut budgets: Vec<BudgetName> = Vec::new();
        for identity in self.identities.borrow().values() {
            budgets.push(identity.budget.clone());
        }
        self.keeper.prewarm(&budgets);
    }

    /// Recomputes this router's part of each upstream.
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
                // A leaving router still has requests in progress.
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
                    share: share.slots,
                    limit,
                });
            }
        }
        self.table.update(&views);
    }
}

fn identities_of(ledger: &ControlLedger) -> BTreeMap<String, CallerIdentity> {
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
