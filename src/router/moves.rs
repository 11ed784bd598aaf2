//! Version moves: the gradual rollout of a service's new version.
//!
//! One router holds the lease of a move and drives it: it appends the
//! records that raise the new version's share of the traffic, or that roll
//! the move back. Each record carries the lease's fencing token, so that
//! readers ignore the records of a driver that has lost its lease.
//!
//! Every router collects evidence on both versions from its own requests and
//! reports it to the driver. A router whose own evidence shows the new
//! version to be bad stops using it at once and tells all other routers.

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
    runtime::spawn,
    telemetry::LogEvent,
    timer::TimerService,
};

/// Interval at which a router checks all moves.
const DRIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which another router may take over a lease that was not
/// renewed.
const LEASE_LIFETIME: Duration = Duration::from_secs(10);

/// Interval at which the driver renews its lease.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Additional time that a router waits before it takes over a lease, for
/// each router that ranks before it.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Interval at which the weight of old evidence is reduced.
const DECAY_INTERVAL: Duration = Duration::from_secs(15);

/// Assumed size of an evidence report in bytes, from which the interval
/// between reports is computed.
const REPORT_BYTES: u64 = 300;

/// Maximum rate of evidence reports from all routers to one driver, in bytes
/// per second.
const REPORT_BYTES_PER_S: u64 = 5_000;

/// The state that a router keeps between two checks.
#[derive(Default)]
struct DriverState {
    leases: BTreeMap<u64, ObservedLease>,
    steps: BTreeMap<u64, MoveStep>,
    reported: Option<Instant>,
    decayed: Option<Instant>,
}

/// The last lease that this router has seen, and since when.
#[derive(Clone, Copy)]
struct ObservedLease {
    fence: u64,
    since: Instant,
}

/// Drives the moves whose lease this router holds, and checks and reports
/// evidence on all moves. Never returns.
pub(super) async fn run_driver(core: Rc<RouterCore>) {
    let state = RefCell::new(DriverState::default());
    let ticks = core.timer.interval(DRIVE_INTERVAL);
    loop {
        ticks.tick().await;
        let moves = core.current_moves();
        let ids: Vec<u64> = moves.iter().map(|(id, _)| *id).collect();
        core.evidence.borrow_mut().retain(&ids);
        core.tripped_moves.borrow_mut().retain(|id, _| ids.contains(id));
        state.borrow_mut().leases.retain(|id, _| ids.contains(id));
        decay_evidence(&core, &state, &moves);
        for (id, known) in &moves {
            check_own_evidence(&core, *id, known);
        }
        report_evidence(&core, &state, &moves).await;
        for (id, known) in &moves {
            drive_move(&core, &state, *id, known).await;
        }
    }
}

/// Stops using the new version of a move if this router's own evidence shows
/// it to be bad, and tells all other routers.
fn check_own_evidence(core: &Rc<RouterCore>, id: u64, known: &MoveState) {
    if core.tripped_moves.borrow().contains_key(&id) || known.share == 0 {
        return;
    }
    let tally = core.evidence.borrow_mut().local_mut(id).clone();
    let Verdict::Fail { reason } = tally.verdict() else {
        return;
    };
    trip_move(core, id, &reason);
    let report = EvidenceReport {
        holder: core.id.clone(),
        move_id: id,
        evidence: encode_tally(&tally),
        tripped: true,
    };
    let core = core.clone();
    spawn("evidence_report", async move {
        broadcast(&core, &report).await;
    });
}

/// Stops sending requests to the new version of a move.
fn trip_move(core: &RouterCore, id: u64, reason: &str) {
    log::warn!(
        event:% = LogEvent::VersionStopped, move_id = id, reason;
        "stopped using the new version: {reason}"
    );
    core.metrics.note_event("move_tripped");
    core.tripped_moves.borrow_mut().insert(id, reason.to_owned());
}

/// Sends an evidence report to all other routers.
async fn broadcast(core: &RouterCore, report: &EvidenceReport) {
    let mut peers = Vec::new();
    for (vm, entry) in core.directory.vms().iter() {
        let other = entry.role == VmRole::Entry && *vm != core.settings.vm;
        peers.extend(entry.peer_address.filter(|_| other));
    }
    for peer in peers {
        let call = PeerCall::Evidence(report.clone());
        // A router that this call does not reach will collect evidence of
        // its own or read the rollback from the log.
        let _ = core.ports.peers.call(peer, call).await;
    }
}

fn encode_tally(tally: &MoveEvidence) -> String {
    // Strings and numbers always serialize.
    serde_json::to_string(tally).expect("serializable tally")
}

/// Reduces the weight of old evidence at intervals, and clears the evidence
/// on the new version when its move is done.
fn decay_evidence(
    core: &RouterCore,
    state: &RefCell<DriverState>,
    moves: &[(u64, MoveState)],
) {
    let mut state = state.borrow_mut();
    let mut book = core.evidence.borrow_mut();
    for (id, known) in moves {
        let before = state.steps.insert(*id, known.step);
        let finished = known.step == MoveStep::Done;
        if finished && before != Some(MoveStep::Done) {
            book.local_mut(*id).new = Default::default();
        }
    }
    let due = state.decayed.is_none_or(|at| at.elapsed() >= DECAY_INTERVAL);
    if !due {
        return;
    }
    state.decayed = Some(Instant::now());
    for (id, known) in moves {
        let tally = book.local_mut(*id);
        tally.new.decay();
        // After the move, the old version receives no traffic that could
        // replace the decayed evidence.
        if known.is_active() {
            tally.old.decay();
        }
    }
}

/// Reports this router's evidence to the drivers of the moves.
///
/// The interval grows with the number of VMs in order to limit the load on
/// a driver.
async fn report_evidence(
    core: &RouterCore,
    state: &RefCell<DriverState>,
    moves: &[(u64, MoveState)],
) {
    let routers = core.directory.vms().len() as u64;
    let pace = Duration::from_millis(
        routers * REPORT_BYTES * 1_000 / REPORT_BYTES_PER_S,
    );
    let reported = state.borrow().reported;
    if reported.is_some_and(|at| at.elapsed() < pace.max(DRIVE_INTERVAL)) {
        return;
    }
    state.borrow_mut().reported = Some(Instant::now());
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
            tripped: core.tripped_moves.borrow().contains_key(id),
        });
        // Reports are cumulative, so that the next one replaces a lost one.
        let _ = core.ports.peers.call(peer, call).await;
    }
}

/// Performs the next step of a move if this router holds its lease;
/// otherwise takes over the lease if its holder is gone or has not renewed
/// it in time.
async fn drive_move(
    core: &RouterCore,
    state: &RefCell<DriverState>,
    id: u64,
    known: &MoveState,
) {
    let fence = known.lease.as_ref().map_or(0, |lease| lease.fence);
    let seen = {
        let mut state = state.borrow_mut();
        let seen = state.leases.entry(id);
        let seen =
            seen.or_insert(ObservedLease { fence, since: Instant::now() });
        if seen.fence != fence {
            *seen = ObservedLease { fence, since: Instant::now() };
        }
        *seen
    };
    let holder = known.lease.as_ref().map(|lease| &lease.holder);
    let age = seen.since.elapsed();
    if holder != Some(&core.id) {
        let gone = holder.is_none_or(|holder| core.members.has_ended(holder));
        let wait = if gone { Duration::ZERO } else { LEASE_LIFETIME };
        let rank = own_rank(core, id);
        if rank.is_some_and(|rank| age >= wait + TAKEOVER_DELAY * rank) {
            claim_lease(core, id, fence).await;
        }
        return;
    }
    if let Some(step) = next_step(core, id, known) {
        let record = MoveRecord::Step(MoveStepRecord { fence, ..step });
        append_record(core, record).await;
        return;
    }
    if age >= LEASE_RENEW_INTERVAL {
        claim_lease(core, id, fence).await;
    }
}

/// Returns this router's position among the routers that may drive a move;
/// `None` if it is not one of them.
fn own_rank(core: &RouterCore, id: u64) -> Option<u32> {
    if core.leaving.get() {
        return None;
    }
    let mut ranked = core.directory.ranked_entry_vms(&format!("move-{id}"));
    ranked.retain(|vm| core.members.may_be_alive(vm));
    let rank = ranked.iter().position(|vm| *vm == core.settings.vm)?;
    Some(rank as u32)
}

/// Claims or renews the lease of a move, provided that the fence in the log
/// is still `after`.
async fn claim_lease(core: &RouterCore, id: u64, after: u64) {
    let holder = core.id.clone();
    let record = MoveRecord::Lease(MoveLeaseRecord { id, holder, after });
    append_record(core, record).await;
}

async fn append_record(core: &RouterCore, record: MoveRecord) {
    let record = ControlRecord::Move(record).encode();
    let appended = core.ports.log.append(CONTROL_STREAM, &[record]).await;
    if let Err(fault) = appended {
        // The next check decides again by the state in the log.
        log::debug!("cannot append move record: {fault}");
    }
}

/// Returns the step of a move that is due by the evidence and the time.
fn next_step(
    core: &RouterCore,
    id: u64,
    known: &MoveState,
) -> Option<MoveStepRecord> {
    let step = |step, share, reason: String| {
        Some(MoveStepRecord { id, fence: 0, step, share, reason })
    };
    let tripped = core.tripped_moves.borrow().get(&id).cloned();
    if let Some(reason) = tripped {
        return step(MoveStep::Undone, 0, reason);
    }
    let sum = core.evidence.borrow().total(id);
    if let Verdict::Fail { reason } = sum.verdict() {
        trip_move(core, id, &reason);
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
    let (next, share) = plan.next_step(known, &sum, now_ms)?;
    if !core.has_live_worker(&known.start.service, &known.start.to) {
        return None;
    }
    let reason = format!("{requests} requests without a fault");
    step(next, share, reason)
}

impl RouterCore {
    /// Returns the latest move of each service that was not rolled back, as
    /// long as it is active or can still be rolled back.
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
            // A completed move can be rolled back only while a worker still
            // runs the old version.
            let can_roll_back =
                self.has_live_worker(service, &known.start.from);
            if known.is_active() || can_roll_back {
                moves.push((id, known.clone()));
            }
        }
        moves
    }

    /// Returns whether a live worker runs the version.
    fn has_live_worker(&self, service: &str, version: &str) -> bool {
        self.directory.vms().values().any(|entry| {
            entry.role == VmRole::Worker
                && entry.state == VmState::Live
                && entry.service == service
                && entry.version == version
        })
    }

    /// Stores the evidence report of another router and stops using the new
    /// version if that router has.
    pub(super) fn merge_evidence(&self, report: EvidenceReport) {
        let id = report.move_id;
        if report.tripped && !self.tripped_moves.borrow().contains_key(&id) {
            let reason = format!("stopped by {}", report.holder.vm);
            trip_move(self, id, &reason);
        }
        let tally: Result<MoveEvidence, _> =
            serde_json::from_str(&report.evidence);
        if let Ok(tally) = tally {
            let mut book = self.evidence.borrow_mut();
            book.set_report(id, report.holder, tally);
        }
    }
}
