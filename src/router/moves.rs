//! Driving version moves and watching new versions.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use super::RouterCore;
use crate::{
    config::{CONTROL_STREAM, ControlRecord, Document},
    moves::{
        MoveEvidence, MoveLeaseRecord, MovePlan, MoveRecord, MoveState,
        MoveStep, MoveStepRecord, Verdict,
    },
    ports::{EvidenceReport, PeerCall, VmRole, VmState},
    telemetry::LogEvent,
    timer::TimerService,
};

/// Time between two rounds of the driver.
const ROUND: Duration = Duration::from_millis(500);

/// A lease that was not renewed for this long may be taken over.
const LEASE_TIME: Duration = Duration::from_secs(10);

/// Time between two renewals of a lease.
const RENEW_TIME: Duration = Duration::from_secs(3);

/// Time that each router waits longer than the one before it in rank.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// Time between two decays of the counters.
const DECAY_TIME: Duration = Duration::from_secs(15);

/// Bytes of one report, for the pace of reports.
const REPORT_BYTES: u64 = 300;

/// Bytes a second that the reports of all routers may bring to a driver.
const REPORT_RATE: u64 = 5_000;

/// What a router remembers between two rounds.
#[derive(Default)]
struct DriverMemory {
    leases: BTreeMap<u64, SeenLease>,
    steps: BTreeMap<u64, MoveStep>,
    reported: Option<Instant>,
    decayed: Option<Instant>,
}

#[derive(Clone, Copy)]
struct SeenLease {
    fence: u64,
    since: Instant,
}

/// Drives and watches moves for as long as the task lives.
pub(super) async fn run_driver(core: Rc<RouterCore>) {
    let memory = RefCell::new(DriverMemory::default());
    let ticks = core.timer.subscribe(ROUND);
    loop {
        ticks.tick().await;
        let moves = core.current_moves();
        let ids: Vec<u64> = moves.iter().map(|(id, _)| *id).collect();
        core.evidence.borrow_mut().retain(&ids);
        core.tripped.borrow_mut().retain(|id, _| ids.contains(id));
        memory.borrow_mut().leases.retain(|id, _| ids.contains(id));
        decay(&core, &memory, &moves);
        for (id, known) in &moves {
            watch(&core, *id, known);
        }
        report(&core, &memory, &moves).await;
        for (id, known) in &moves {
            drive(&core, &memory, *id, known).await;
        }
    }
}

/// Judges a version on this router's own evidence.
fn watch(core: &Rc<RouterCore>, id: u64, known: &MoveState) {
    if core.tripped.borrow().contains_key(&id) || known.share == 0 {
        return;
    }
    let tally = core.evidence.borrow_mut().local_mut(id).clone();
    let Verdict::Fail { reason } = tally.verdict() else {
        return;
    };
    trip(core, id, &reason);
    let report = EvidenceReport {
        holder: core.id.clone(),
        move_id: id,
        evidence: encode_tally(&tally),
        tripped: true,
    };
    let core = core.clone();
    monoio::spawn(async move {
        broadcast(&core, &report).await;
    });
}

/// Stops sending to the new version of a move.
fn trip(core: &RouterCore, id: u64, reason: &str) {
    log::warn!(
        event:% = LogEvent::VersionStopped, move_id = id, reason;
        "new version stopped: {reason}"
    );
    core.metrics.note_event("move_tripped");
    core.tripped.borrow_mut().insert(id, reason.to_owned());
}

async fn broadcast(core: &RouterCore, report: &EvidenceReport) {
    let mut peers = Vec::new();
    for (vm, entry) in core.directory.vms().iter() {
        let other = entry.role == VmRole::Entry && *vm != core.settings.vm;
        peers.extend(entry.peer_address.filter(|_| other));
    }
    for peer in peers {
        let call = PeerCall::Evidence(report.clone());
        // A peer that is missed sees the fault itself or reads the log.
        let _ = core.ports.peers.call(peer, call).await;
    }
}

fn encode_tally(tally: &MoveEvidence) -> String {
    // The tally consists of texts and numbers.
    serde_json::to_string(tally).expect("serializable tally")
}

/// Gives old observations less weight, and starts anew after the move.
fn decay(
    core: &RouterCore,
    memory: &RefCell<DriverMemory>,
    moves: &[(u64, MoveState)],
) {
    let mut memory = memory.borrow_mut();
    let mut book = core.evidence.borrow_mut();
    for (id, known) in moves {
        let before = memory.steps.insert(*id, known.step);
        let finished = known.step == MoveStep::Done;
        if finished && before != Some(MoveStep::Done) {
            book.local_mut(*id).new = Default::default();
        }
    }
    let due = memory.decayed.is_none_or(|at| at.elapsed() >= DECAY_TIME);
    if !due {
        return;
    }
    memory.decayed = Some(Instant::now());
    for (id, known) in moves {
        let tally = book.local_mut(*id);
        tally.new.decay();
        // After the move the old version has no traffic to renew its
        // counters from.
        if known.is_active() {
            tally.old.decay();
        }
    }
}

/// Reports this router's evidence to the drivers of the moves.
async fn report(
    core: &RouterCore,
    memory: &RefCell<DriverMemory>,
    moves: &[(u64, MoveState)],
) {
    let routers = core.directory.vms().len() as u64;
    let pace =
        Duration::from_millis(routers * REPORT_BYTES * 1_000 / REPORT_RATE);
    let reported = memory.borrow().reported;
    if reported.is_some_and(|at| at.elapsed() < pace.max(ROUND)) {
        return;
    }
    memory.borrow_mut().reported = Some(Instant::now());
    for (id, known) in moves {
        let Some(lease) = &known.lease else {
            continue;
        };
        if lease.holder == core.id {
            continue;
        }
        let Some(peer) = core.directory.peer_address(&lease.holder.vm) else {
            continue;
        };
        let tally = core.evidence.borrow_mut().local_mut(*id).clone();
        let call = PeerCall::Evidence(EvidenceReport {
            holder: core.id.clone(),
            move_id: *id,
            evidence: encode_tally(&tally),
            tripped: core.tripped.borrow().contains_key(id),
        });
        // The next report is cumulative too.
        let _ = core.ports.peers.call(peer, call).await;
    }
}

/// Takes the lease of a move if nobody holds it, and the next step if this
/// router does.
async fn drive(
    core: &RouterCore,
    memory: &RefCell<DriverMemory>,
    id: u64,
    known: &MoveState,
) {
    let fence = known.lease.as_ref().map_or(0, |lease| lease.fence);
    let seen = {
        let mut memory = memory.borrow_mut();
        let seen = memory.leases.entry(id);
        let seen = seen.or_insert(SeenLease { fence, since: Instant::now() });
        if seen.fence != fence {
            *seen = SeenLease { fence, since: Instant::now() };
        }
        *seen
    };
    let holder = known.lease.as_ref().map(|lease| &lease.holder);
    let age = seen.since.elapsed();
    if holder != Some(&core.id) {
        let gone = holder.is_none_or(|holder| core.members.has_ended(holder));
        let wait = if gone { Duration::ZERO } else { LEASE_TIME };
        let rank = rank_of(core, id);
        if rank.is_some_and(|rank| age >= wait + RANK_DELAY * rank) {
            take_lease(core, id, fence).await;
        }
        return;
    }
    if let Some(step) = next_step(core, id, known) {
        let record = MoveRecord::Step(MoveStepRecord { fence, ..step });
        append(core, record).await;
        return;
    }
    if age >= RENEW_TIME {
        take_lease(core, id, fence).await;
    }
}

/// This router's place among those that may drive a move.
fn rank_of(core: &RouterCore, id: u64) -> Option<u32> {
    if core.leaving.get() {
        return None;
    }
    let mut ranked = core.directory.ranked_entry_vms(&format!("move-{id}"));
    ranked.retain(|vm| core.members.is_usable(vm));
    let place = ranked.iter().position(|vm| *vm == core.settings.vm)?;
    Some(place as u32)
}

async fn take_lease(core: &RouterCore, id: u64, after: u64) {
    let holder = core.id.clone();
    let record = MoveRecord::Lease(MoveLeaseRecord { id, holder, after });
    append(core, record).await;
}

async fn append(core: &RouterCore, record: MoveRecord) {
    let record = ControlRecord::Move(record).encode();
    let appended = core.ports.log.append(CONTROL_STREAM, &[record]).await;
    if let Err(fault) = appended {
        // The next round decides anew from what the log says.
        log::debug!("move record not appended: {fault}");
    }
}

/// The step that the evidence and the time ask for.
fn next_step(
    core: &RouterCore,
    id: u64,
    known: &MoveState,
) -> Option<MoveStepRecord> {
    let step = |step, share, reason: String| {
        Some(MoveStepRecord { id, fence: 0, step, share, reason })
    };
    let tripped = core.tripped.borrow().get(&id).cloned();
    if let Some(reason) = tripped {
        return step(MoveStep::Undone, 0, reason);
    }
    let sum = core.evidence.borrow().total(id);
    if let Verdict::Fail { reason } = sum.verdict() {
        trip(core, id, &reason);
        return step(MoveStep::Undone, 0, reason);
    }
    if !known.is_active() {
        return None;
    }
    let now_ms = TimerService::now_ms();
    if now_ms >= known.start.deadline_ms {
        let reason = "not done by its deadline".to_owned();
        return step(MoveStep::Undone, 0, reason);
    }
    let canary = core.preset().map_or(1, |preset| preset.canary_percent);
    let plan = MovePlan::new(canary);
    let requests = sum.new.requests();
    let (next, share) = plan.next_step(known, requests, now_ms)?;
    if !core.has_workers(&known.start.service, &known.start.to) {
        return None;
    }
    let reason = format!("{requests} requests without a fault");
    step(next, share, reason)
}

impl RouterCore {
    /// The newest move of each service that is not undone, and can still be
    /// taken back.
    fn current_moves(&self) -> Vec<(u64, MoveState)> {
        let mut moves = Vec::new();
        let control = self.control.borrow();
        let Some(ledger) = control.fold() else {
            return moves;
        };
        for (path, document) in &ledger.documents {
            let Document::Service(_) = document else {
                continue;
            };
            let service = path.strip_prefix("service/").unwrap_or(path);
            let Some((id, known)) = ledger.latest_move(service) else {
                continue;
            };
            // There is no way back once the old version is gone.
            let back = self.has_workers(service, &known.start.from);
            if known.is_active() || back {
                moves.push((id, known.clone()));
            }
        }
        moves
    }

    /// Whether a live worker runs a version.
    fn has_workers(&self, service: &str, version: &str) -> bool {
        self.directory.vms().values().any(|entry| {
            entry.role == VmRole::Worker
                && entry.state == VmState::Live
                && entry.service == service
                && entry.version == version
        })
    }

    /// Takes the evidence of another router.
    pub(super) fn take_evidence(&self, report: EvidenceReport) {
        let id = report.move_id;
        if report.tripped && !self.tripped.borrow().contains_key(&id) {
            let reason = format!("stopped by {}", report.holder.vm);
            trip(self, id, &reason);
        }
        let tally: Result<MoveEvidence, _> =
            serde_json::from_str(&report.evidence);
        if let Ok(tally) = tally {
            let mut book = self.evidence.borrow_mut();
            book.set_report(id, report.holder, tally);
        }
    }
}
