//! Failure detection and dissemination after SWIM.
//!
//! A router probes one other router per interval, directly and, if that
//! fails, through helpers. A router that does not answer becomes suspect,
//! and dead after a timeout unless it refutes that with a higher version.
//! Updates about members are piggybacked on the probes.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    futures_util::future::join_all,
    rand::seq::{IndexedRandom, SliceRandom},
    tokio::sync::Notify,
};

use super::VmDirectory;
use crate::{
    domain::HolderId,
    entry::EntryHealth,
    ports::{
        KnownState, MemberStatus, MemberUpdate, PeerAnswer, PeerCall,
        PeerPort, PingMessage, VmRole,
    },
    runtime::sleep,
    telemetry::LogEvent,
    timer::TimerService,
};

/// Maximum number of updates in one message, not counting the sender's own.
const MAX_UPDATES_PER_MESSAGE: usize = 8;

/// Number of times that an update is sent, per bit of the number of routers;
/// the number of bits grows like its logarithm.
const RETRANSMIT_FACTOR: u32 = 3;

/// Rounds of probes in which an update reaches all of eight routers. The
/// timeout of a suspect is meant for so many, and longer in a larger fleet.
const TIMEOUT_ROUNDS: u32 = 3;

/// Number of helpers that are asked to probe a router that did not answer.
const INDIRECT_PROBES: usize = 2;

/// Delay before a ping of a broadcast that got no answer is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(100);

/// The interval and timeout of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct MemberOptions {
    /// Interval between two probes.
    pub probe_interval: Duration,
    /// Time that a suspect has to refute the suspicion.
    pub suspect_timeout: Duration,
}

impl MemberOptions {
    /// Creates options with a probe per second and a timeout of 3 s.
    pub fn new() -> MemberOptions {
        MemberOptions {
            probe_interval: Duration::from_secs(1),
            suspect_timeout: Duration::from_secs(3),
        }
    }
}

impl Default for MemberOptions {
    fn default() -> MemberOptions {
        MemberOptions::new()
    }
}

struct MemberEntry {
    update: MemberUpdate,
    updated_at: Instant,
}

struct PendingUpdate {
    vm: String,
    sends_left: u32,
}

struct TableState {
    own: MemberUpdate,
    members: BTreeMap<String, MemberEntry>,
    pending: Vec<PendingUpdate>,
    probe_order: Vec<String>,
    first_peer_control_offset: u64,
    newer_state_peer: Option<SocketAddr>,
}

/// The members of the fleet as known to this router.
pub struct MemberTable {
    options: MemberOptions,
    directory: Rc<VmDirectory>,
    state: RefCell<TableState>,
    known_state: Cell<KnownState>,
    messages_applied: Cell<u32>,
    newer_state_found: Notify,
}

impl MemberTable {
    /// Creates a table that knows only its own router.
    pub fn new(
        id: HolderId,
        directory: Rc<VmDirectory>,
        options: MemberOptions,
    ) -> MemberTable {
        let own = MemberUpdate {
            id,
            status: MemberStatus::Alive,
            version: 0,
            full: false,
        };
        let state = TableState {
            own,
            members: BTreeMap::new(),
            pending: Vec::new(),
            probe_order: Vec::new(),
            first_peer_control_offset: 0,
            newer_state_peer: None,
        };
        MemberTable {
            options,
            directory,
            state: RefCell::new(state),
            known_state: Cell::default(),
            messages_applied: Cell::new(0),
            newer_state_found: Notify::new(),
        }
    }

    /// Returns the health of the router on an entry VM, for the selection of
    /// entry addresses.
    pub fn health(&self, vm: &str) -> EntryHealth {
        let state = self.state.borrow();
        let Some(entry) = state.members.get(vm) else {
            return EntryHealth::default();
        };
        let alive = entry.update.status == MemberStatus::Alive;
        EntryHealth { unusable: !alive, full: entry.update.full }
    }

    /// Returns whether a router is not known to be dead.
    pub fn may_be_alive(&self, vm: &str) -> bool {
        let state = self.state.borrow();
        let entry = state.members.get(vm);
        entry.is_none_or(|e| e.update.status != MemberStatus::Dead)
    }

    /// Returns whether an incarnation is known to have ended.
    pub fn has_ended(&self, id: &HolderId) -> bool {
        let state = self.state.borrow();
        if state.own.id.vm == id.vm {
            return state.own.id.incarnation != id.incarnation;
        }
        let Some(entry) = state.members.get(&id.vm) else {
            // A VM that the platform no longer lists does not return. Version
            // 0 means that no list has been read yet.
            let listed = self.directory.vms().contains_key(&id.vm);
            return self.directory.version() > 0 && !listed;
        };
        let update = &entry.update;
        update.id.incarnation > id.incarnation
            || (update.id == *id && update.status == MemberStatus::Dead)
    }

    /// Returns the latest update of each member, for operators.
    pub fn members(&self) -> Vec<MemberUpdate> {
        let state = self.state.borrow();
        let entries = state.members.values();
        entries.map(|entry| entry.update.clone()).collect()
    }

    /// Returns the offset after the newest control record that the first
    /// message from any peer reported.
    pub fn first_peer_control_offset(&self) -> u64 {
        self.state.borrow().first_peer_control_offset
    }

    /// Sets the versions of the shared state that this router knows.
    pub fn set_known_state(&self, known: KnownState) {
        self.known_state.set(known);
    }

    /// Sets whether this router has no free slot left.
    pub fn set_full(&self, full: bool) {
        let mut state = self.state.borrow_mut();
        if state.own.full != full {
            state.own.full = full;
            state.own.version += 1;
        }
    }

    /// Sets the status of this router to leaving, which spreads with its next
    /// messages.
    pub fn set_leaving(&self) {
        let mut state = self.state.borrow_mut();
        state.own.status = MemberStatus::Leaving;
        state.own.version += 1;
    }

    /// Records that a router has sent something.
    ///
    /// This adds routers that were never probed, so that their death can be
    /// detected. It also revives a router that was considered suspect or
    /// dead because it was paused or partitioned.
    pub fn record_alive(&self, id: &HolderId) {
        let mut state = self.state.borrow_mut();
        let current = state.members.get(&id.vm).map(|entry| &entry.update);
        let mut update = MemberUpdate {
            id: id.clone(),
            status: MemberStatus::Alive,
            version: 0,
            full: false,
        };
        if let Some(current) = current.filter(|current| current.id == *id) {
            let is_suspected = matches!(
                current.status,
                MemberStatus::Suspect | MemberStatus::Dead
            );
            if !is_suspected {
                return;
            }
            update.version = current.version + 1;
        }
        state.merge(&update);
    }

    /// Waits for a peer that has newer shared state and returns its address.
    pub async fn wait_for_newer_state(&self) -> SocketAddr {
        loop {
            if let Some(peer) = self.state.borrow_mut().newer_state_peer.take()
            {
                return peer;
            }
            self.newer_state_found.notified().await;
        }
    }

    /// Pings every other router, all at the same time.
    pub async fn broadcast(&self, peers: &dyn PeerPort) {
        let routers = self.other_routers();
        let pings = routers.iter().map(|vm| self.ping_again(peers, vm));
        join_all(pings).await;
    }

    /// Pings a router, and once more if it does not answer: the connection to
    /// it may have gone silent, and is replaced meanwhile.
    async fn ping_again(&self, peers: &dyn PeerPort, vm: &str) {
        if !self.ping(peers, vm).await {
            sleep(REPEAT_DELAY).await;
            self.ping(peers, vm).await;
        }
    }

    /// Applies the ping of a peer and returns the answer.
    pub fn handle_ping(&self, message: &PingMessage) -> PeerAnswer {
        self.apply_message(message);
        PeerAnswer::Pong(self.next_message())
    }

    /// Builds the next message of this router; counts as a transmission of
    /// the updates in it.
    pub fn next_message(&self) -> PingMessage {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut updates = vec![state.own.clone()];
        state
            .pending
            .sort_by_key(|pending| std::cmp::Reverse(pending.sends_left));
        for pending in state.pending.iter_mut().take(MAX_UPDATES_PER_MESSAGE) {
            pending.sends_left -= 1;
            if let Some(entry) = state.members.get(&pending.vm) {
                updates.push(entry.update.clone());
            }
        }
        state.pending.retain(|pending| pending.sends_left > 0);
        PingMessage { updates, known: self.known_state.get() }
    }

    /// Applies a message of a peer.
    pub fn apply_message(&self, message: &PingMessage) {
        if let Some(sender) = message.updates.first() {
            self.record_alive(&sender.id);
        }
        let mut state = self.state.borrow_mut();
        for update in &message.updates {
            state.merge(update);
        }
        let theirs = message.known;
        let ours = self.known_state.get();
        let is_first_message = self.messages_applied.get() == 0;
        self.messages_applied
            .set(self.messages_applied.get().saturating_add(1));
        if is_first_message {
            state.first_peer_control_offset = theirs.control_next;
        }
        let ahead = theirs.control_next > ours.control_next
            || theirs.list_version > ours.list_version;
        let sender =
            message.updates.first().map(|update| update.id.vm.as_str());
        if let Some(vm) = sender.filter(|_| ahead) {
            state.newer_state_peer = self.directory.peer_address(vm);
            self.newer_state_found.notify_one();
        }
    }

    /// Probes one router per interval, for as long as the task lives.
    pub async fn run(
        self: Rc<Self>,
        peers: Rc<dyn PeerPort>,
        timer: TimerService,
    ) {
        let ticks = timer.interval(self.options.probe_interval);
        loop {
            ticks.tick().await;
            self.expire_suspects();
            let Some(vm) = self.next_probe_target() else {
                continue;
            };
            if !self.probe(peers.as_ref(), &vm).await {
                self.mark_suspect(&vm);
                self.probe_suspect_again(vm);
            }
        }
    }

    /// Probes a router, directly or through helpers.
    async fn probe(&self, peers: &dyn PeerPort, vm: &str) -> bool {
        if self.ping(peers, vm).await {
            return true;
        }
        for helper in self.choose_helpers(vm) {
            let Some(address) = self.directory.peer_address(&helper) else {
                continue;
            };
            let call = PeerCall::PingOther { vm: vm.to_owned() };
            let answer = peers.call(address, call).await;
            if matches!(answer, Ok(PeerAnswer::Reached(true))) {
                return true;
            }
        }
        false
    }

    /// Exchanges messages with a router; returns `false` without an answer.
    pub async fn ping(&self, peers: &dyn PeerPort, vm: &str) -> bool {
        let Some(address) = self.directory.peer_address(vm) else {
            return false;
        };
        let call = PeerCall::Ping(self.next_message());
        match peers.call(address, call).await {
            Ok(PeerAnswer::Pong(message)) => {
                self.apply_message(&message);
                true
            }
            _ => false,
        }
    }

    /// Returns the next router to probe.
    ///
    /// Each router is probed once per cycle, in a random order. One that is
    /// no longer listed has no address and is passed over.
    fn next_probe_target(&self) -> Option<String> {
        let mut state = self.state.borrow_mut();
        if state.probe_order.is_empty() {
            state.probe_order = self.other_routers();
            state.probe_order.shuffle(&mut rand::rng());
            let listed = self.directory.vms();
            state.members.retain(|vm, _| listed.contains_key(vm));
        }
        while let Some(vm) = state.probe_order.pop() {
            if self.directory.peer_address(&vm).is_some() {
                return Some(vm);
            }
        }
        None
    }

    /// Returns the time that a suspect has to refute the suspicion.
    ///
    /// An update takes a number of probe intervals to reach all routers that
    /// grows with the logarithm of their number.
    fn suspect_timeout(&self, router_count: usize) -> Duration {
        let rounds = (router_count.max(1) as f64).log2();
        let factor = (rounds / f64::from(TIMEOUT_ROUNDS)).max(1.0);
        self.options.suspect_timeout.mul_f64(factor)
    }

    fn other_routers(&self) -> Vec<String> {
        let mut other_routers = Vec::new();
        for (vm, entry) in self.directory.vms().iter() {
            if entry.role == VmRole::Entry && vm != self.directory.vm() {
                other_routers.push(vm.clone());
            }
        }
        other_routers
    }

    fn choose_helpers(&self, target: &str) -> Vec<String> {
        let mut other_routers = self.other_routers();
        other_routers.retain(|vm| vm != target && self.may_be_alive(vm));
        let chosen =
            other_routers.choose_multiple(&mut rand::rng(), INDIRECT_PROBES);
        chosen.cloned().collect()
    }

    fn mark_suspect(&self, vm: &str) {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.members.get(vm) else {
            return;
        };
        if entry.update.status != MemberStatus::Alive {
            return;
        }
        let mut update = entry.update.clone();
        update.status = MemberStatus::Suspect;
        state.merge(&update);
    }

    /// Probes a suspect again after the next router. The message tells it of
    /// the suspicion, so that it can refute.
    fn probe_suspect_again(&self, vm: String) {
        let mut state = self.state.borrow_mut();
        let status = state.members.get(&vm).map(|entry| entry.update.status);
        if status != Some(MemberStatus::Suspect) {
            return;
        }
        let place = state.probe_order.len().saturating_sub(1);
        state.probe_order.insert(place, vm);
    }

    fn expire_suspects(&self) {
        let mut state = self.state.borrow_mut();
        let mut expired = Vec::new();
        let timeout = self.suspect_timeout(state.members.len() + 1);
        for entry in state.members.values() {
            let has_timed_out = entry.updated_at.elapsed() >= timeout;
            if entry.update.status == MemberStatus::Suspect && has_timed_out {
                let mut update = entry.update.clone();
                update.status = MemberStatus::Dead;
                expired.push(update);
            }
        }
        for update in expired {
            log::info!(
                event:% = LogEvent::PeerDead, peer = update.id.vm.as_str();
                "router is believed dead"
            );
            state.merge(&update);
        }
    }
}

impl TableState {
    /// Merges an update about a member if it is newer than the current one.
    fn merge(&mut self, update: &MemberUpdate) {
        if update.id.vm == self.own.id.vm {
            self.refute(update);
            return;
        }
        if let Some(entry) = self.members.get(&update.id.vm) {
            let current = &entry.update;
            let rank = |u: &MemberUpdate| {
                (u.id.incarnation, u.version, u.status, u.full)
            };
            if rank(update) <= rank(current) {
                return;
            }
        }
        let entry =
            MemberEntry { update: update.clone(), updated_at: Instant::now() };
        self.members.insert(update.id.vm.clone(), entry);
        // This router is not in `members`.

        let router_count = self.members.len() as u32 + 1;
        let sends_left =
            RETRANSMIT_FACTOR * (u32::BITS - router_count.leading_zeros());
        let vm = update.id.vm.clone();
        self.pending.retain(|pending| pending.vm != vm);
        self.pending.push(PendingUpdate { vm, sends_left });
    }

    /// Refutes an update that differs from this router's own and is not older,
    /// such as one that says that it is suspect or dead, by a higher version.
    fn refute(&mut self, update: &MemberUpdate) {
        let is_same_incarnation = update.id == self.own.id;
        if is_same_incarnation
            && update.version >= self.own.version
            && *update != self.own
        {
            self.own.version = update.version + 1;
        }
    }
}
