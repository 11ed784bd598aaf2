//! The budget service of one router.
//!
//! The keeper owns the router's portions and follows the partitions of the
//! client accounts that it serves. Its tasks are:
//!
//! * [`BudgetKeeper::run_follow`] reads the subscribed partitions,
//! * [`BudgetKeeper::run_flush`] appends records as soon as they are urgent,
//! * [`BudgetKeeper::run_settle`] settles, returns what is idle and renews
//!   checkpoints at intervals.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::{Notify, oneshot};

use super::{
    AccountLedger, AccountRecord, CallOutcome, CheckpointRecord, FoldEffect,
    GrantHolder, GrantRecord, GrantSizer, HeldTotals, IntentRecord,
    IntentState, OutcomeRecord, RecordOutbox, Reservation, Sent, SettleRecord,
    StandbyBook, Unsent, partition_of, partition_stream,
};
use crate::{
    domain::{BillId, BudgetName, HolderId, PortionId, account_of},
    error::{CallError, ErrorKind},
    membership::VmDirectory,
    ports::{
        LendReply, LendRequest, LogCursors, LogFault, LogPort, LogSlice,
        PeerAnswer, PeerCall, PeerPort, RelayBatch, RelayedBill, UpstreamPort,
    },
    streams::StreamFollower,
    timer::TimerService,
};

/// Urgent records that arrive within this time share one append.
const GROUP_DELAY: Duration = Duration::from_millis(2);

/// Longest wait of one read of the log.
const READ_WAIT: Duration = Duration::from_secs(25);

/// Pause after a failed call to the log.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How often a waiting reservation looks at the state anew.
const RESERVE_POLL: Duration = Duration::from_millis(50);

/// Looks of a waiting reservation between two that ask peers.
const BORROW_EVERY: u32 = 4;

/// Looks of a waiting reservation until a missing grant counts as late.
const AWAIT_ROUNDS: u32 = 2;

/// Peers that one round asks for tokens.
const BORROW_PEERS: usize = 3;

/// A grant that was asked for is asked for again after this time.
const GRANT_RETRY: Duration = Duration::from_secs(5);

/// A partition that was not used for this long is no longer followed.
const UNUSED_TIME: Duration = Duration::from_secs(600);

/// Requests that the first grant of a budget covers.
const COLD_REQUESTS: u64 = 4;

/// Entry VMs that hold grants of an account before its first request.
const HOME_VMS: usize = 2;

/// Part of a budget's free tokens that a home VM asks for ahead of demand.
const PREWARM_DIVISOR: u64 = 16;

/// Most tokens that a home VM asks for ahead of demand.
const PREWARM_TOKENS: u64 = 50_000;

/// Peers that are tried until one keeps this router's notes.
const STANDBY_TRIES: usize = 2;

/// Longest wait of a request for the standby.
const RELAY_TIME: Duration = Duration::from_millis(50);

/// Time between two looks for routers that have died.
const RECOVER_PERIOD: Duration = Duration::from_millis(500);

/// Streams over which audit lines are spread.
const BILL_STREAMS: u64 = 16;

/// Times and sizes of a keeper.
#[derive(Clone, Debug)]
pub struct KeeperOptions {
    /// The number of account partitions in the log.
    pub partitions: u32,
    /// Time between two settlements.
    pub settle_interval: Duration,
    /// Demand that one grant covers.
    pub grant_horizon: Duration,
    /// Time after which an unused portion is given back.
    pub idle_time: Duration,
    /// Longest wait of a request for spending rights.
    pub reserve_time: Duration,
    /// Longest wait for an intent to be read back.
    pub claim_time: Duration,
    /// Time for which the log keeps records.
    pub log_retention: Duration,
}

impl KeeperOptions {
    /// Creates options for `partitions` partitions with default times.
    pub fn new(partitions: u32) -> KeeperOptions {
        KeeperOptions {
            partitions,
            settle_interval: Duration::from_secs(20),
            grant_horizon: Duration::from_secs(60),
            idle_time: Duration::from_secs(120),
            reserve_time: Duration::from_millis(1_000),
            claim_time: Duration::from_millis(2_000),
            log_retention: Duration::from_secs(24 * 3600),
        }
    }
}

value_types! {
    /// One line of the audit stream, which no router reads.
    pub struct BillLine {
        /// Identity of the bill.
        pub bill: String,
        /// The budget that paid.
        pub budget: String,
        /// Identity of the request.
        pub request_id: String,
        /// The model or service.
        pub service: String,
        /// Tokens billed.
        pub tokens: u64,
        /// The VM that billed.
        pub vm: String,
        /// Milliseconds since the epoch on that VM's clock.
        pub time_ms: u64,
    }
}

/// What the keeper needs from outside.
#[derive(Clone)]
pub struct KeeperPorts {
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The other routers.
    pub peers: Rc<dyn PeerPort>,
    /// Model engines, for the recovery of bills.
    pub upstreams: Rc<dyn UpstreamPort>,
    /// The known VMs.
    pub directory: Rc<VmDirectory>,
    /// The timer service.
    pub timer: TimerService,
}

struct FollowedPartition {
    follower: StreamFollower<AccountLedger>,
    used: Instant,
    checkpoint_asked: bool,
}

struct KeeperState {
    holder: GrantHolder,
    partitions: BTreeMap<u32, FollowedPartition>,
    outbox: RecordOutbox,
    sizers: BTreeMap<String, GrantSizer>,
    asked: BTreeMap<String, Instant>,
    prewarmed: BTreeSet<String>,
    bills: Vec<BillLine>,
    relays: Vec<PendingRelay>,
    standby: StandbyBook,
    last_attempt: u64,
    appends: u64,
}

/// A note for the standby, and who waits for its arrival.
struct PendingRelay {
    bill: RelayedBill,
    arrived: Option<oneshot::Sender<()>>,
}

/// How to obtain tokens that no portion of this router can give.
enum AcquirePlan {
    /// A grant has been asked for. If it does not come back soon, the log
    /// may be cut off without a sign, and these VMs hold tokens.
    AwaitGrant(Vec<String>),
    /// These VMs hold tokens of the budget.
    AskHolders(Vec<String>),
    /// Nothing is known; the account's home VMs are the best guess.
    AskHomes,
}

/// The result of announcing a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallClaim {
    /// This router may send the call, once.
    Won {
        /// The attempt to name in the outcome.
        attempt: u64,
    },
    /// The key is taken.
    Taken(IntentState),
}

/// The budget service of one router.
pub struct BudgetKeeper {
    options: KeeperOptions,
    ports: KeeperPorts,
    state: RefCell<KeeperState>,
    changed: Notify,
    urgent: Notify,
    relayed: Notify,
    resubscribed: Notify,
    log_healthy: Cell<bool>,
    leaving: Cell<bool>,
}

impl BudgetKeeper {
    /// Creates a keeper for one incarnation of a router.
    pub fn new(
        id: HolderId,
        options: KeeperOptions,
        ports: KeeperPorts,
    ) -> BudgetKeeper {
        let state = KeeperState {
            holder: GrantHolder::new(id),
            partitions: BTreeMap::new(),
            outbox: RecordOutbox::new(),
            sizers: BTreeMap::new(),
            asked: BTreeMap::new(),
            prewarmed: BTreeSet::new(),
            bills: Vec::new(),
            relays: Vec::new(),
            standby: StandbyBook::new(),
            last_attempt: 0,
            appends: 0,
        };
        BudgetKeeper {
            options,
            ports,
            state: RefCell::new(state),
            changed: Notify::new(),
            urgent: Notify::new(),
            relayed: Notify::new(),
            resubscribed: Notify::new(),
            log_healthy: Cell::new(true),
            leaving: Cell::new(false),
        }
    }

    /// The identity of this incarnation.
    pub fn id(&self) -> HolderId {
        self.state.borrow().holder.id().clone()
    }

    /// Whether the last call to the log succeeded.
    pub fn is_log_healthy(&self) -> bool {
        self.log_healthy.get()
    }

    /// The number of appends made so far.
    pub fn appends(&self) -> u64 {
        self.state.borrow().appends
    }

    /// Sums over the portions of a budget.
    pub fn totals(&self, budget: &BudgetName) -> HeldTotals {
        self.state.borrow().holder.totals(budget.as_str())
    }

    /// The number of followed partitions and of held portions.
    pub fn sizes(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.partitions.len(), state.holder.len())
    }

    fn partition(&self, account: &str) -> u32 {
        partition_of(account, self.options.partitions)
    }

    /// Starts to follow the partition of an account.
    pub fn follow_account(&self, account: &str) {
        self.follow(self.partition(account));
    }

    fn follow(&self, partition: u32) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        if let Some(followed) = state.partitions.get_mut(&partition) {
            followed.used = now;
            return;
        }
        let followed = FollowedPartition {
            follower: StreamFollower::new(),
            used: now,
            checkpoint_asked: false,
        };
        state.partitions.insert(partition, followed);
        self.resubscribed.notify_one();
    }

    /// Sets tokens of a budget aside for a request.
    ///
    /// With a grant at hand the call does not wait. Otherwise it asks the
    /// log and, if that does not help, the peers that hold tokens.
    ///
    /// # Errors
    ///
    /// `BudgetExhausted` if the budget cannot cover `tokens`,
    /// `BudgetUnavailable` if spending rights did not arrive in time.
    pub async fn reserve(
        &self,
        budget: &BudgetName,
        tokens: u64,
    ) -> Result<Reservation<Unsent>, CallError> {
        let deadline = Instant::now() + self.options.reserve_time;
        let mut rounds = 0;
        loop {
            if let Some(reservation) = self.try_reserve(budget, tokens) {
                return Ok(reservation);
            }
            self.follow_account(budget.account());
            let changed = self.changed.notified();
            if self.acquire(budget, tokens, rounds).await? {
                continue;
            }
            if Instant::now() >= deadline {
                return Err(self.unavailable(budget));
            }
            rounds += 1;
            let _ = monoio::time::timeout(RESERVE_POLL, changed).await;
        }
    }

    fn try_reserve(
        &self,
        budget: &BudgetName,
        tokens: u64,
    ) -> Option<Reservation<Unsent>> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let name = budget.as_str();
        let reservation = state.holder.reserve(name, tokens, now)?;
        let horizon = self.options.grant_horizon;
        let sizer = state.sizers.entry(name.to_owned());
        let sizer = sizer.or_insert_with(|| GrantSizer::new(horizon, now));
        sizer.note(tokens, now);
        let target = sizer.target(now);
        if state.holder.totals(name).available < target / 2 {
            self.ask(state, budget, tokens, target);
        }
        Some(reservation)
    }

    /// Queues a grant record, unless one is on its way.
    fn ask(
        &self,
        state: &mut KeeperState,
        budget: &BudgetName,
        least: u64,
        want: u64,
    ) {
        let now = Instant::now();
        let asked = state.asked.get(budget.as_str());
        let pending = asked.is_some_and(|at| now - *at < GRANT_RETRY);
        if pending || self.leaving.get() {
            return;
        }
        state.asked.insert(budget.as_str().to_owned(), now);
        let record = AccountRecord::Grant(GrantRecord {
            budget: budget.as_str().to_owned(),
            holder: state.holder.id().clone(),
            least,
            want: want.max(least),
        });
        state.outbox.push(self.partition(budget.account()), record);
        self.urgent.notify_one();
    }

    /// Tries to obtain `tokens`; `true` if a new attempt makes sense now.
    async fn acquire(
        &self,
        budget: &BudgetName,
        tokens: u64,
        round: u32,
    ) -> Result<bool, CallError> {
        let (lenders, first) = match self.plan(budget, tokens)? {
            AcquirePlan::AwaitGrant(lenders) => (lenders, AWAIT_ROUNDS),
            AcquirePlan::AskHolders(lenders) => (lenders, 0),
            AcquirePlan::AskHomes => (self.home_peers(budget), 0),
        };
        if round < first || !(round - first).is_multiple_of(BORROW_EVERY) {
            return Ok(false);
        }
        Ok(self.borrow(budget, tokens, &lenders).await)
    }

    fn plan(
        &self,
        budget: &BudgetName,
        tokens: u64,
    ) -> Result<AcquirePlan, CallError> {
        let name = budget.as_str();
        let partition = self.partition(budget.account());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let followed = state.partitions.get(&partition);
        let ready = followed.filter(|f| f.follower.is_ready());
        let Some(ledger) = ready.and_then(|f| f.follower.fold()) else {
            return Ok(AcquirePlan::AskHomes);
        };
        let free = ledger.budgets.get(name).map_or(0, |known| known.free);
        let left = free + ledger.held(name);
        let lenders = lenders_of(ledger, budget, &self.ports);
        let healthy = self.log_healthy.get();
        if free >= tokens && healthy {
            let want = wanted(state, name, tokens);
            self.ask(state, budget, tokens, want);
            return Ok(AcquirePlan::AwaitGrant(lenders));
        }
        // With the log out the balance is only as fresh as the last read.
        if healthy && left < tokens {
            return Err(exhausted(budget, tokens, left));
        }
        if healthy {
            self.give_back(state, budget);
        }
        Ok(AcquirePlan::AskHolders(lenders))
    }

    /// The VMs that most likely hold grants of a budget, without its ledger.
    fn home_peers(&self, budget: &BudgetName) -> Vec<String> {
        let directory = &self.ports.directory;
        let mut peers = directory.ranked_entry_vms(budget.account());
        peers.retain(|vm| vm != directory.vm());
        peers.truncate(BORROW_PEERS);
        peers
    }

    /// Asks peers one after another for tokens.
    async fn borrow(
        &self,
        budget: &BudgetName,
        tokens: u64,
        lenders: &[String],
    ) -> bool {
        let request = LendRequest {
            budget: budget.as_str().to_owned(),
            to: self.id(),
            least: tokens,
            want: self.wanted(budget, tokens),
        };
        for vm in lenders {
            let Some(peer) = self.ports.directory.peer_address(vm) else {
                continue;
            };
            let call = PeerCall::Lend(request.clone());
            let reply = self.ports.peers.call(peer, call).await;
            let Ok(PeerAnswer::Lent(Some(reply))) = reply else {
                continue;
            };
            self.book_loan(budget, &reply);
            return true;
        }
        false
    }

    /// Says what stands between a budget and its tokens.
    fn unavailable(&self, budget: &BudgetName) -> CallError {
        let state = self.state.borrow();
        let followed = state.partitions.get(&self.partition(budget.account()));
        let ledger = followed.and_then(|f| f.follower.fold());
        let known = ledger.and_then(|l| l.budgets.get(budget.as_str()));
        let free = known.map_or(0, |known| known.free);
        let held = ledger.map_or(0, |l| l.held(budget.as_str()));
        let own = state.holder.totals(budget.as_str());
        let reachable = self.log_healthy.get();
        let message = format!(
            "no spending rights for {budget} arrived in time: {free} tokens \
             free, {held} held by routers, {} of them here, log reachable: \
             {reachable}",
            own.available,
        );
        CallError::new(ErrorKind::BudgetUnavailable, message)
    }

    fn wanted(&self, budget: &BudgetName, tokens: u64) -> u64 {
        let mut state = self.state.borrow_mut();
        wanted(&mut state, budget.as_str(), tokens)
    }

    fn book_loan(&self, budget: &BudgetName, reply: &LendReply) {
        let mut state = self.state.borrow_mut();
        let to = state.holder.id().clone();
        let now = Instant::now();
        let name = budget.as_str();
        state.holder.add(reply.portion, name, reply.tokens, now);
        let record = AccountRecord::Lend(super::LendRecord {
            portion: reply.portion,
            to,
            tokens: reply.tokens,
        });
        state.outbox.push(self.partition(budget.account()), record);
    }

    /// Returns this router's own unused portions of a budget, so that the
    /// fold can merge them into one grant.
    fn give_back(&self, state: &mut KeeperState, budget: &BudgetName) {
        let name = budget.as_str();
        let closed =
            state.holder.close_where(|held, free, _| held == name && free > 0);
        if closed.is_empty() {
            return;
        }
        let partition = self.partition(budget.account());
        for settlement in closed {
            let record = AccountRecord::Settle(settlement.record);
            state.outbox.push(partition, record);
        }
        self.urgent.notify_one();
    }

    /// Answers a peer that asks for tokens.
    ///
    /// A router that reaches the log obtains further grants for a peer that
    /// does not. If the budget has no free tokens left, unused portions go
    /// back to the log, where they can be merged into one grant.
    pub fn lend(&self, request: &LendRequest) -> Option<LendReply> {
        let budget = BudgetName::parse(&request.budget)?;
        let partition = self.partition(budget.account());
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let name = budget.as_str();
        let LendRequest { to, least, want, .. } = request;
        let lent = state.holder.lend(name, to, *least, *want);
        let left = state.holder.totals(name).available;
        if left < *want && self.log_healthy.get() {
            let followed = state.partitions.get(&partition);
            let ledger = followed.and_then(|f| f.follower.fold());
            let known = ledger.and_then(|ledger| ledger.budgets.get(name));
            let free = known.map_or(0, |known| known.free);
            if free >= *least {
                let want = want.saturating_mul(COLD_REQUESTS);
                self.ask(state, &budget, *least, want);
            } else if lent.is_none() {
                self.give_back(state, &budget);
            }
        }
        let (reply, record) = lent?;
        state.outbox.push(partition, AccountRecord::Lend(record));
        Some(reply)
    }

    /// Gives back what a request that never left had reserved.
    pub fn release(&self, reservation: Reservation<Unsent>) {
        self.state.borrow_mut().holder.release(reservation);
    }

    /// Bills a request that was sent.
    ///
    /// `line` is completed with the bill and the tokens, and returned as it
    /// goes to the audit stream.
    pub fn settle(
        &self,
        reservation: Reservation<Sent>,
        tokens: u64,
        mut line: BillLine,
    ) -> BillLine {
        let mut state = self.state.borrow_mut();
        let bill = state.holder.settle(reservation, tokens);
        line.bill = bill.bill.to_string();
        line.tokens = bill.tokens;
        line.vm = state.holder.id().vm.clone();
        line.time_ms = TimerService::now_ms();
        state.bills.push(line.clone());
        line
    }

    /// Whether a portion belongs to this router.
    pub fn holds(&self, bill: BillId) -> bool {
        self.state.borrow().holder.holds(bill.portion)
    }

    /// Records a bill that another router had opened and cannot close.
    pub fn settle_for_other(
        &self,
        budget: &BudgetName,
        bill: BillId,
        tokens: u64,
    ) {
        let record = AccountRecord::Settle(SettleRecord {
            portion: bill.portion,
            upto: 0,
            spent: 0,
            beyond: vec![(bill.number, tokens)],
            close: false,
        });
        let partition = self.partition(budget.account());
        self.state.borrow_mut().outbox.push(partition, record);
    }

    /// Tells the standby that a request is about to leave, and waits
    /// briefly until it knows.
    ///
    /// A request that the standby does not know could not be billed if this
    /// router died. A standby that does not answer delays nobody for long.
    pub async fn relay_open(&self, bill: RelayedBill) {
        let (arrived, waiter) = oneshot::channel();
        let arrived = Some(arrived);
        self.state.borrow_mut().relays.push(PendingRelay { bill, arrived });
        self.relayed.notify_one();
        let _ = monoio::time::timeout(RELAY_TIME, waiter).await;
    }

    /// Tells the standby that a request has ended.
    pub fn relay_end(&self, bill: RelayedBill) {
        let pending = PendingRelay { bill, arrived: None };
        self.state.borrow_mut().relays.push(pending);
        self.relayed.notify_one();
    }

    /// Keeps bills for another router.
    pub fn keep_for(&self, batch: &RelayBatch) {
        self.state.borrow_mut().standby.keep(batch);
    }

    /// Sends notes to the standby for as long as the task lives.
    pub async fn run_relay(self: Rc<Self>) {
        loop {
            self.relayed.notified().await;
            let pending = std::mem::take(&mut self.state.borrow_mut().relays);
            if pending.is_empty() {
                continue;
            }
            let mut bills = Vec::with_capacity(pending.len());
            let mut waiters = Vec::new();
            for relay in pending {
                bills.push(relay.bill);
                waiters.extend(relay.arrived);
            }
            let holder = self.id();
            let call = PeerCall::Relay(RelayBatch { holder, bills });
            for peer in self.standby_peers() {
                if self.ports.peers.call(peer, call.clone()).await.is_ok() {
                    break;
                }
            }
            for waiter in waiters {
                // A request that has stopped waiting is under way.
                let _ = waiter.send(());
            }
        }
    }

    /// Routers that may keep this router's notes, those in other failure
    /// domains first.
    fn standby_peers(&self) -> Vec<SocketAddr> {
        let directory = &self.ports.directory;
        let ranked = directory.ranked_entry_vms(directory.vm());
        let vms = directory.vms();
        let own = vms.get(directory.vm()).map(|entry| &entry.domain);
        let mut peers = Vec::new();
        for vm in &ranked {
            let Some(entry) = vms.get(vm) else {
                continue;
            };
            let Some(address) = entry.peer_address else {
                continue;
            };
            if vm != directory.vm() {
                peers.push((Some(&entry.domain) == own, address));
            }
        }
        peers.sort_by_key(|(same_domain, _)| *same_domain);
        peers.truncate(STANDBY_TRIES);
        peers.into_iter().map(|(_, address)| address).collect()
    }

    /// Settles for routers that have died, for as long as the task lives.
    pub async fn run_recover(
        self: Rc<Self>,
        gone: impl Fn(&HolderId) -> bool,
    ) {
        let ticks = self.ports.timer.subscribe(RECOVER_PERIOD);
        loop {
            ticks.tick().await;
            let bills = {
                let mut state = self.state.borrow_mut();
                state.standby.forget_settled();
                state.standby.take_gone(&gone)
            };
            for bill in bills {
                self.recover(&bill).await;
            }
        }
    }

    /// Whether the log has a bill already, as far as it can be read.
    async fn is_settled(&self, budget: &BudgetName, bill: BillId) -> bool {
        let account = budget.account();
        self.follow_account(account);
        let deadline = Instant::now() + self.options.claim_time;
        if !self.wait_ready(account, deadline).await {
            return false;
        }
        let state = self.state.borrow();
        let followed = state.partitions.get(&self.partition(account));
        let ledger = followed.and_then(|f| f.follower.fold());
        ledger.is_some_and(|ledger| ledger.is_settled(bill))
    }

    async fn recover(&self, bill: &RelayedBill) {
        let Some(budget) = BudgetName::parse(&bill.budget) else {
            return;
        };
        if self.is_settled(&budget, bill.bill).await {
            return;
        }
        let tokens = match bill.tokens {
            Some(tokens) => tokens,
            None => {
                let upstreams = &self.ports.upstreams;
                let id = &bill.request_id;
                match upstreams.cancel(bill.upstream, id).await {
                    Ok(tokens) => tokens,
                    // An engine that is gone too has nothing to bill. The
                    // reservation stays with the dead holder's grant.
                    Err(_) => return,
                }
            }
        };
        log::info!(
            request_id = bill.request_id.as_str(),
            account = budget.account();
            "bill {} recovered: {tokens} tokens", bill.bill
        );
        self.settle_for_other(&budget, bill.bill, tokens);
        self.urgent.notify_one();
    }

    /// Announces a non-idempotent call and waits until the log has decided
    /// who may send it.
    ///
    /// # Errors
    ///
    /// `LogUnavailable` if the decision did not arrive in time. The call
    /// must then not be sent.
    pub async fn claim(
        &self,
        account: &str,
        key: &str,
        fingerprint: u64,
    ) -> Result<CallClaim, CallError> {
        self.follow_account(account);
        let full = format!("{account}/{key}");
        let deadline = Instant::now() + self.options.claim_time;
        if !self.wait_ready(account, deadline).await {
            return Err(log_unavailable());
        }
        if let Some(intent) = self.intent(account, &full) {
            return Ok(CallClaim::Taken(intent));
        }
        let attempt = self.push_intent(account, &full, fingerprint);
        let id = self.id();
        loop {
            let changed = self.changed.notified();
            if let Some(intent) = self.intent(account, &full) {
                let won = intent.holder == id && intent.attempt == attempt;
                if won {
                    return Ok(CallClaim::Won { attempt });
                }
                return Ok(CallClaim::Taken(intent));
            }
            if Instant::now() >= deadline {
                // The intent may still reach the log. The outcome behind it
                // frees the key again.
                let outcome = CallOutcome::NotRun;
                self.record_outcome(account, key, attempt, outcome);
                return Err(log_unavailable());
            }
            let _ = monoio::time::timeout(RESERVE_POLL, changed).await;
        }
    }

    async fn wait_ready(&self, account: &str, deadline: Instant) -> bool {
        let partition = self.partition(account);
        loop {
            let changed = self.changed.notified();
            if !self.log_healthy.get() {
                return false;
            }
            let ready = {
                let state = self.state.borrow();
                let followed = state.partitions.get(&partition);
                followed.is_some_and(|f| f.follower.is_ready())
            };
            if ready {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            let _ = monoio::time::timeout(RESERVE_POLL, changed).await;
        }
    }

    fn push_intent(&self, account: &str, full: &str, fingerprint: u64) -> u64 {
        let mut state = self.state.borrow_mut();
        state.last_attempt += 1;
        let attempt = state.last_attempt;
        let record = AccountRecord::Intent(IntentRecord {
            key: full.to_owned(),
            holder: state.holder.id().clone(),
            attempt,
            fingerprint,
        });
        state.outbox.push(self.partition(account), record);
        self.urgent.notify_one();
        attempt
    }

    fn intent(&self, account: &str, full: &str) -> Option<IntentState> {
        let state = self.state.borrow();
        let followed = state.partitions.get(&self.partition(account))?;
        followed.follower.fold()?.intents.get(full).cloned()
    }

    /// Records how a non-idempotent call ended.
    pub fn record_outcome(
        &self,
        account: &str,
        key: &str,
        attempt: u64,
        outcome: CallOutcome,
    ) {
        let mut state = self.state.borrow_mut();
        let record = AccountRecord::Outcome(OutcomeRecord {
            key: format!("{account}/{key}"),
            holder: state.holder.id().clone(),
            attempt,
            outcome,
        });
        state.outbox.push(self.partition(account), record);
        self.urgent.notify_one();
    }

    /// Obtains first grants for the budgets of accounts that callers are
    /// sent here for, so that their first request finds one.
    pub fn prewarm(&self, budgets: &[BudgetName]) {
        for budget in budgets {
            let directory = &self.ports.directory;
            let mut home = directory.ranked_entry_vms(budget.account());
            home.truncate(HOME_VMS);
            if !home.iter().any(|vm| vm == directory.vm()) {
                continue;
            }
            self.follow_account(budget.account());
            self.prewarm_budget(budget);
        }
    }

    fn prewarm_budget(&self, budget: &BudgetName) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let name = budget.as_str();
        if state.prewarmed.contains(name) {
            return;
        }
        let partition = self.partition(budget.account());
        let followed = state.partitions.get(&partition);
        let Some(ledger) = followed.and_then(|f| f.follower.fold()) else {
            return;
        };
        let free = ledger.budgets.get(name).map_or(0, |known| known.free);
        let want = (free / PREWARM_DIVISOR).min(PREWARM_TOKENS);
        if want == 0 {
            return;
        }
        state.prewarmed.insert(name.to_owned());
        if state.holder.totals(name).available == 0 {
            self.ask(state, budget, 1, want);
        }
    }

    /// Follows the subscribed partitions for as long as the task lives.
    pub async fn run_follow(self: Rc<Self>) {
        loop {
            let cursors = self.cursors();
            if cursors.is_empty() {
                self.resubscribed.notified().await;
                continue;
            }
            let wait = self.read_wait();
            let read = self.ports.log.read(&cursors, wait);
            monoio::select! {
                slices = read => self.take_slices(&cursors, slices).await,
                () = self.resubscribed.notified() => {}
            }
        }
    }

    fn read_wait(&self) -> Duration {
        let state = self.state.borrow();
        let mut followed = state.partitions.values();
        // A partition without an answer yet may be empty; the wait would
        // hide that from its readers.
        if followed.all(|followed| followed.follower.is_ready()) {
            return READ_WAIT;
        }
        Duration::ZERO
    }

    fn cursors(&self) -> LogCursors {
        let state = self.state.borrow();
        let mut cursors = LogCursors::new();
        for (partition, followed) in &state.partitions {
            let name = partition_stream(*partition);
            cursors.insert(name, followed.follower.cursor());
        }
        cursors
    }

    async fn take_slices(
        &self,
        cursors: &LogCursors,
        slices: Result<BTreeMap<String, LogSlice>, LogFault>,
    ) {
        let slices = match slices {
            Ok(slices) => slices,
            Err(fault) => {
                self.note_log_fault(&fault);
                self.ports.timer.sleep(LOG_RETRY_DELAY).await;
                return;
            }
        };
        self.log_healthy.set(true);
        {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            for (partition, followed) in &mut state.partitions {
                let name = partition_stream(*partition);
                let Some(slice) = slices.get(&name) else {
                    if cursors.contains_key(&name) {
                        followed.follower.note_end();
                    }
                    continue;
                };
                for effect in followed.follower.feed(slice) {
                    let asked = &mut state.asked;
                    let holder = &mut state.holder;
                    take_effect(holder, asked, *partition, &effect);
                }
            }
        }
        self.changed.notify_waiters();
    }

    fn note_log_fault(&self, fault: &LogFault) {
        if self.log_healthy.replace(false) {
            log::warn!("log unavailable: {fault}");
        }
        self.changed.notify_waiters();
    }

    /// Appends urgent records for as long as the task lives.
    pub async fn run_flush(self: Rc<Self>) {
        loop {
            self.urgent.notified().await;
            self.ports.timer.sleep(GROUP_DELAY).await;
            self.start_appends();
        }
    }

    fn start_appends(self: &Rc<Self>) {
        let waiting = self.state.borrow().outbox.waiting();
        for partition in waiting {
            let batch = self.state.borrow_mut().outbox.start(partition);
            let Some(batch) = batch else {
                continue;
            };
            let keeper = self.clone();
            monoio::spawn(async move {
                keeper.append(partition, batch).await;
            });
        }
    }

    /// Appends a batch, again and again until the log confirms it.
    async fn append(self: Rc<Self>, partition: u32, batch: Vec<String>) {
        let stream = partition_stream(partition);
        loop {
            match self.ports.log.append(&stream, &batch).await {
                Ok(_) => break,
                Err(fault) => self.note_log_fault(&fault),
            }
            self.ports.timer.sleep(LOG_RETRY_DELAY).await;
        }
        self.log_healthy.set(true);
        let mut state = self.state.borrow_mut();
        state.outbox.confirm(partition);
        state.appends += 1;
        if !state.outbox.waiting().is_empty() {
            self.urgent.notify_one();
        }
        self.changed.notify_waiters();
    }

    /// Settles, returns what is idle and renews checkpoints at intervals,
    /// for as long as the task lives.
    pub async fn run_settle(self: Rc<Self>) {
        let ticks = self.ports.timer.subscribe(self.options.settle_interval);
        loop {
            ticks.tick().await;
            self.follow_owned();
            self.queue_settlements();
            self.renew_checkpoints();
            self.forget_unused();
            self.start_appends();
            self.append_bills().await;
        }
    }

    /// Follows the partitions for whose checkpoints this router stands in.
    fn follow_owned(&self) {
        for partition in 0..self.options.partitions {
            if self.owns(partition) {
                self.follow(partition);
            }
        }
    }

    fn owns(&self, partition: u32) -> bool {
        let directory = &self.ports.directory;
        let ranked = directory.ranked_entry_vms(&partition_stream(partition));
        ranked.first().is_some_and(|vm| vm == directory.vm())
    }

    fn queue_settlements(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let now = Instant::now();
        let idle_time = self.options.idle_time;
        let leaving = self.leaving.get();
        let mut settlements = state.holder.take_settlements();
        settlements.extend(
            state
                .holder
                .close_where(|_, _, used| leaving || now - used > idle_time),
        );
        for settlement in settlements {
            let account = account_of(&settlement.budget);
            let partition = self.partition(account);
            let record = AccountRecord::Settle(settlement.record);
            state.outbox.push(partition, record);
        }
    }

    fn renew_checkpoints(&self) {
        let age_limit = self.options.log_retention.as_millis() as u64 / 4;
        let now_ms = TimerService::now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for (partition, followed) in &mut state.partitions {
            let follower = &followed.follower;
            let age = now_ms.saturating_sub(follower.checkpoint_ms());
            let Some(ledger) = follower.fold() else {
                continue;
            };
            if age < age_limit {
                followed.checkpoint_asked = false;
                continue;
            }
            if ledger.next == 0
                || followed.checkpoint_asked
                || !self.owns(*partition)
            {
                continue;
            }
            followed.checkpoint_asked = true;
            let checkpoint = CheckpointRecord { state: ledger.clone() };
            let record = AccountRecord::Checkpoint(checkpoint);
            state.outbox.push(*partition, record);
        }
    }

    fn forget_unused(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if !state.holder.is_empty() {
            return;
        }
        state.partitions.retain(|_, f| now - f.used < UNUSED_TIME);
    }

    async fn append_bills(&self) {
        let lines = std::mem::take(&mut self.state.borrow_mut().bills);
        if lines.is_empty() {
            return;
        }
        let mut records = Vec::new();
        for line in &lines {
            // All fields are strings and integers.
            records.push(serde_json::to_string(line).expect("bill line"));
        }
        let stream = bill_stream(self.ports.directory.vm());
        if let Err(fault) = self.ports.log.append(&stream, &records).await {
            self.note_log_fault(&fault);
            self.state.borrow_mut().bills.splice(0..0, lines);
            return;
        }
        self.state.borrow_mut().appends += 1;
    }

    /// Settles everything and returns all portions, waiting up to `time`.
    ///
    /// Returns `false` if records are left that the log did not take.
    pub async fn drain(self: &Rc<Self>, time: Duration) -> bool {
        self.leaving.set(true);
        let deadline = Instant::now() + time;
        loop {
            self.queue_settlements();
            self.start_appends();
            self.append_bills().await;
            let done = {
                let state = self.state.borrow();
                state.outbox.is_empty()
                    && state.holder.is_empty()
                    && state.bills.is_empty()
            };
            if done || Instant::now() >= deadline {
                return done;
            }
            self.ports.timer.sleep(RESERVE_POLL).await;
        }
    }
}

/// The audit stream of the router on a VM.
pub fn bill_stream(vm: &str) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(vm.as_bytes());
    format!("bills-{}", hash % BILL_STREAMS)
}

/// The names of all audit streams.
pub fn bill_streams() -> Vec<String> {
    (0..BILL_STREAMS).map(|number| format!("bills-{number}")).collect()
}

/// The tokens that cover the coming demand of a budget.
fn wanted(state: &mut KeeperState, budget: &str, tokens: u64) -> u64 {
    let sizer = state.sizers.get_mut(budget);
    let target = sizer.map_or(0, |sizer| sizer.target(Instant::now()));
    target.max(tokens.saturating_mul(COLD_REQUESTS))
}

fn take_effect(
    holder: &mut GrantHolder,
    asked: &mut BTreeMap<String, Instant>,
    partition: u32,
    effect: &FoldEffect,
) {
    let now = Instant::now();
    match effect {
        FoldEffect::Granted { grant, record, tokens } => {
            if record.holder != *holder.id() {
                return;
            }
            asked.remove(&record.budget);
            if *tokens > 0 {
                let portion = PortionId::new(partition, *grant, 0);
                holder.add(portion, &record.budget, *tokens, now);
            }
        }
        // The answer to a loan may have been lost; the log has it too.
        FoldEffect::Lent { budget, record } => {
            if record.to == *holder.id() {
                holder.add(record.portion, budget, record.tokens, now);
            }
        }
        FoldEffect::Closed { .. } => {}
    }
}

/// VMs that hold tokens of a budget, the largest remainder first.
fn lenders_of(
    ledger: &AccountLedger,
    budget: &BudgetName,
    ports: &KeeperPorts,
) -> Vec<String> {
    let mut remainders: BTreeMap<&str, u64> = BTreeMap::new();
    for grant in ledger.grants.values() {
        if grant.budget != budget.as_str() {
            continue;
        }
        let Some(own) = grant.portions.get(&0) else {
            continue;
        };
        if own.holder.vm == ports.directory.vm() {
            continue;
        }
        *remainders.entry(&own.holder.vm).or_default() += own.remainder();
    }
    let mut ranked: Vec<(u64, &str)> =
        remainders.into_iter().map(|(vm, tokens)| (tokens, vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(BORROW_PEERS);
    ranked.into_iter().map(|(_, vm)| vm.to_owned()).collect()
}

fn exhausted(budget: &BudgetName, tokens: u64, left: u64) -> CallError {
    let message = format!(
        "budget {budget} has {left} tokens left, the request may need {tokens}"
    );
    CallError::new(ErrorKind::BudgetExhausted, message)
}

fn log_unavailable() -> CallError {
    let message = "the call was not sent, because its intent could not be \
                   recorded";
    CallError::new(ErrorKind::LogUnavailable, message)
}
