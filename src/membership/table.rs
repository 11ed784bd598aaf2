//! Probing of other routers and the news that travels with it.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
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
    telemetry::LogEvent,
    timer::TimerService,
};

/// News in one message.
const NEWS_PER_MESSAGE: usize = 8;

/// A piece of news is passed on this many times, times the logarithm of
/// the number of routers.
const NEWS_REPEATS: u32 = 3;

/// Routers that are asked to probe one that did not answer.
const HELPERS: usize = 2;

/// Times of a member table.
#[derive(Clone, Copy, Debug)]
pub struct MemberOptions {
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Time that a suspect has to object.
    pub suspect_timeout: Duration,
}

impl MemberOptions {
    /// Creates options with a probe each second and 3 s for a suspect.
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
    news: MemberUpdate,
    since: Instant,
}

struct PendingNews {
    vm: String,
    sends: u32,
}

struct TableState {
    own: MemberUpdate,
    members: BTreeMap<String, MemberEntry>,
    pending: Vec<PendingNews>,
    round: Vec<String>,
    first_peer_control_offset: u64,
    ahead: Option<SocketAddr>,
}

/// What this router knows of the others.
pub struct MemberTable {
    options: MemberOptions,
    directory: Rc<VmDirectory>,
    state: RefCell<TableState>,
    known: Cell<KnownState>,
    exchanges: Cell<u32>,
    ahead: Notify,
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
            round: Vec::new(),
            first_peer_control_offset: 0,
            ahead: None,
        };
        MemberTable {
            options,
            directory,
            state: RefCell::new(state),
            known: Cell::default(),
            exchanges: Cell::new(0),
            ahead: Notify::new(),
        }
    }

    /// What is known of an entry VM, for entry answers.
    pub fn health(&self, vm: &str) -> EntryHealth {
        let state = self.state.borrow();
        let Some(entry) = state.members.get(vm) else {
            return EntryHealth::default();
        };
        let alive = entry.news.status == MemberStatus::Alive;
        EntryHealth { unusable: !alive, full: entry.news.full }
    }

    /// Whether a router is believed to answer.
    pub fn is_usable(&self, vm: &str) -> bool {
        let state = self.state.borrow();
        let entry = state.members.get(vm);
        entry.is_none_or(|e| e.news.status != MemberStatus::Dead)
    }

    /// Whether an incarnation is known to have ended.
    pub fn has_ended(&self, id: &HolderId) -> bool {
        let state = self.state.borrow();
        if state.own.id.vm == id.vm {
            return state.own.id.incarnation != id.incarnation;
        }
        let Some(entry) = state.members.get(&id.vm) else {
            // A VM that the platform no longer lists does not come back.
            let listed = self.directory.vms().contains_key(&id.vm);
            return self.directory.version() > 0 && !listed;
        };
        let news = &entry.news;
        news.id.incarnation > id.incarnation
            || (news.id == *id && news.status == MemberStatus::Dead)
    }

    /// The members with their state, for operators.
    pub fn members(&self) -> Vec<MemberUpdate> {
        let state = self.state.borrow();
        let entries = state.members.values();
        entries.map(|entry| entry.news.clone()).collect()
    }

    /// The newest control offset that any peer named in its first answer.
    pub fn first_peer_control_offset(&self) -> u64 {
        self.state.borrow().first_peer_control_offset
    }

    /// Sets what this router knows of the shared state.
    pub fn set_known_state(&self, known: KnownState) {
        self.known.set(known);
    }

    /// Sets whether this router has no free slot left.
    pub fn set_full(&self, full: bool) {
        let mut state = self.state.borrow_mut();
        if state.own.full != full {
            state.own.full = full;
            state.own.version += 1;
        }
    }

    /// Tells the others that this router leaves.
    pub fn set_leaving(&self) {
        let mut state = self.state.borrow_mut();
        state.own.status = MemberStatus::Leaving;
        state.own.version += 1;
    }

    /// Notes that a router has sent something.
    ///
    /// Its death can then be noticed, even if it was never probed; and one
    /// that was held for dead, because it was frozen or cut off, is not any
    /// more.
    pub fn record_alive(&self, id: &HolderId) {
        let mut state = self.state.borrow_mut();
        let known = state.members.get(&id.vm).map(|entry| &entry.news);
        let mut news = MemberUpdate {
            id: id.clone(),
            status: MemberStatus::Alive,
            version: 0,
            full: false,
        };
        if let Some(known) = known.filter(|known| known.id == *id) {
            let doubted = matches!(
                known.status,
                MemberStatus::Suspect | MemberStatus::Dead
            );
            if !doubted {
                return;
            }
            news.version = known.version + 1;
        }
        state.merge(&news);
    }

    /// Waits for a peer that knows more of the shared state.
    pub async fn wait_for_newer_peer(&self) -> SocketAddr {
        loop {
            if let Some(peer) = self.state.borrow_mut().ahead.take() {
                return peer;
            }
            self.ahead.notified().await;
        }
    }

    /// Sends a message to every other router, one after another.
    pub async fn broadcast(&self, peers: &dyn PeerPort) {
        for vm in self.others() {
            self.ping(peers, &vm).await;
        }
    }

    /// Takes the news of another router and answers with those known here.
    pub fn handle_ping(&self, message: &PingMessage) -> PeerAnswer {
        self.apply_message(message);
        PeerAnswer::Pong(self.next_message())
    }

    /// Makes the next message of this router.
    pub fn next_message(&self) -> PingMessage {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut updates = vec![state.own.clone()];
        state.pending.sort_by_key(|pending| std::cmp::Reverse(pending.sends));
        for pending in state.pending.iter_mut().take(NEWS_PER_MESSAGE) {
            pending.sends -= 1;
            if let Some(entry) = state.members.get(&pending.vm) {
                updates.push(entry.news.clone());
            }
        }
        state.pending.retain(|pending| pending.sends > 0);
        PingMessage { updates, known: self.known.get() }
    }

    /// Takes a message of a peer.
    pub fn apply_message(&self, message: &PingMessage) {
        if let Some(sender) = message.updates.first() {
            self.record_alive(&sender.id);
        }
        let mut state = self.state.borrow_mut();
        for news in &message.updates {
            state.merge(news);
        }
        let theirs = message.known;
        let ours = self.known.get();
        let first = self.exchanges.get() == 0;
        self.exchanges.set(self.exchanges.get().saturating_add(1));
        if first {
            state.first_peer_control_offset = theirs.control_next;
        }
        let ahead = theirs.control_next > ours.control_next
            || theirs.list_version > ours.list_version;
        let sender = message.updates.first().map(|news| news.id.vm.as_str());
        if let Some(vm) = sender.filter(|_| ahead) {
            state.ahead = self.directory.peer_address(vm);
            self.ahead.notify_one();
        }
    }

    /// Probes one router in each period, for as long as the task lives.
    pub async fn run(
        self: Rc<Self>,
        peers: Rc<dyn PeerPort>,
        timer: TimerService,
    ) {
        let ticks = timer.subscribe(self.options.probe_interval);
        loop {
            ticks.tick().await;
            self.expire_suspects();
            let Some(vm) = self.next_target() else {
                continue;
            };
            if !self.probe(peers.as_ref(), &vm).await {
                self.suspect(&vm);
            }
        }
    }

    /// Probes a router, directly or through helpers.
    async fn probe(&self, peers: &dyn PeerPort, vm: &str) -> bool {
        if self.ping(peers, vm).await {
            return true;
        }
        for helper in self.helpers(vm) {
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

    /// Exchanges messages with a router; `false` if it did not answer.
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

    /// The next router of a round in which each is probed once.
    fn next_target(&self) -> Option<String> {
        let mut state = self.state.borrow_mut();
        if state.round.is_empty() {
            state.round = self.others();
            state.round.shuffle(&mut rand::rng());
            let listed = self.directory.vms();
            state.members.retain(|vm, _| listed.contains_key(vm));
        }
        state.round.pop()
    }

    fn others(&self) -> Vec<String> {
        let mut others = Vec::new();
        for (vm, entry) in self.directory.vms().iter() {
            if entry.role == VmRole::Entry && vm != self.directory.vm() {
                others.push(vm.clone());
            }
        }
        others
    }

    fn helpers(&self, target: &str) -> Vec<String> {
        let mut others = self.others();
        others.retain(|vm| vm != target && self.is_usable(vm));
        let chosen = others.choose_multiple(&mut rand::rng(), HELPERS);
        chosen.cloned().collect()
    }

    fn suspect(&self, vm: &str) {
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.members.get(vm) else {
            return;
        };
        if entry.news.status != MemberStatus::Alive {
            return;
        }
        let mut news = entry.news.clone();
        news.status = MemberStatus::Suspect;
        state.merge(&news);
    }

    fn expire_suspects(&self) {
        let mut state = self.state.borrow_mut();
        let mut expired = Vec::new();
        for entry in state.members.values() {
            let waited = entry.since.elapsed() >= self.options.suspect_timeout;
            if entry.news.status == MemberStatus::Suspect && waited {
                let mut news = entry.news.clone();
                news.status = MemberStatus::Dead;
                expired.push(news);
            }
        }
        for news in expired {
            log::info!(
                event:% = LogEvent::PeerDead, peer = news.id.vm.as_str();
                "router is believed dead"
            );
            state.merge(&news);
        }
    }
}

impl TableState {
    /// Takes news about a member if it is newer than what is known.
    fn merge(&mut self, news: &MemberUpdate) {
        if news.id.vm == self.own.id.vm {
            self.object(news);
            return;
        }
        if let Some(entry) = self.members.get(&news.id.vm) {
            let known = &entry.news;
            let rank = |n: &MemberUpdate| {
                (n.id.incarnation, n.version, n.status, n.full)
            };
            if rank(news) <= rank(known) {
                return;
            }
        }
        let entry = MemberEntry { news: news.clone(), since: Instant::now() };
        self.members.insert(news.id.vm.clone(), entry);
        let count = self.members.len() as u32 + 1;
        let sends = NEWS_REPEATS * (u32::BITS - count.leading_zeros());
        let vm = news.id.vm.clone();
        self.pending.retain(|pending| pending.vm != vm);
        self.pending.push(PendingNews { vm, sends });
    }

    /// Contradicts news that holds this router for suspect or dead.
    fn object(&mut self, news: &MemberUpdate) {
        let same = news.id == self.own.id;
        if same && news.version >= self.own.version && *news != self.own {
            self.own.version = news.version + 1;
        }
    }
}
