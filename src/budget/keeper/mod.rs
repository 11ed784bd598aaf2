//! The budget service of one router.
//!
//! The keeper owns the router's portions and follows the partitions of the
//! client accounts that it serves. Its parts are:
//!
//! * `reserve`: tokens for requests, from own grants, the log or peers,
//! * `claims`: calls that must not run twice,
//! * `follow`: the tasks that read and append
//!   ([`BudgetKeeper::run_follow`], [`BudgetKeeper::run_flush`]),
//! * `upkeep`: the task that settles, returns what is idle and renews
//!   checkpoints ([`BudgetKeeper::run_settle`]),
//! * `standby`: the tasks that keep unsettled bills safe
//!   ([`BudgetKeeper::run_relay`], [`BudgetKeeper::run_recovery`]).

mod claims;
mod follow;
mod reserve;
mod standby;
mod upkeep;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::{Notify, oneshot};

pub use self::{
    claims::CallClaim,
    upkeep::{bill_stream, bill_streams},
};
use super::{
    AccountLedger, AccountRecord, CallOutcome, DemandEstimator, GrantHolder,
    PortionTotals, RecordOutbox, Reservation, Sent, SettleRecord,
    StandbyBills, Unsent, partition_of,
};
use crate::{
    domain::{BillId, BudgetName, HolderId},
    membership::VmDirectory,
    ports::{LogPort, PeerPort, RelayedBill, UpstreamPort},
    streams::StreamFollower,
    telemetry::DependencyLog,
    timer::TimerService,
};

/// How often a waiting reservation looks at the state anew.
const RESERVE_POLL: Duration = Duration::from_millis(50);

/// Times and sizes of a keeper.
#[derive(Clone, Debug)]
pub struct BudgetOptions {
    /// The number of account partitions in the log.
    pub partitions: u32,
    /// Time between two settlements.
    pub settle_interval: Duration,
    /// Demand that one grant covers.
    pub grant_horizon: Duration,
    /// Time after which an unused portion is given back.
    pub idle_timeout: Duration,
    /// Longest wait of a request for spending rights.
    pub reserve_timeout: Duration,
    /// Longest wait for an intent to be read back.
    pub claim_timeout: Duration,
    /// Time for which the log keeps records.
    pub log_retention: Duration,
}

impl BudgetOptions {
    /// Creates options for `partitions` partitions with default times.
    pub fn new(partitions: u32) -> BudgetOptions {
        BudgetOptions {
            partitions,
            settle_interval: Duration::from_secs(20),
            grant_horizon: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(120),
            reserve_timeout: Duration::from_millis(1_000),
            claim_timeout: Duration::from_millis(2_000),
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

impl BillLine {
    /// Creates the line of a request; the keeper adds bill and tokens.
    pub fn new(
        budget: &BudgetName,
        request_id: &str,
        service: &str,
    ) -> BillLine {
        BillLine {
            bill: String::new(),
            budget: budget.as_str().to_owned(),
            request_id: request_id.to_owned(),
            service: service.to_owned(),
            tokens: 0,
            vm: String::new(),
            time_ms: 0,
        }
    }
}

/// What the keeper needs from outside.
#[derive(Clone)]
pub struct BudgetPorts {
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
    sizers: BTreeMap<String, DemandEstimator>,
    asked: BTreeMap<String, Instant>,
    prewarmed: BTreeSet<String>,
    bills: Vec<BillLine>,
    relays: Vec<PendingRelay>,
    standby: StandbyBills,
    outcomes: BTreeMap<String, CallOutcome>,
    last_attempt: u64,
    appends: u64,
}

/// A note for the standby, and who waits for its arrival.
struct PendingRelay {
    bill: RelayedBill,
    arrived: Option<oneshot::Sender<()>>,
}

/// The budget service of one router.
pub struct BudgetKeeper {
    options: BudgetOptions,
    ports: BudgetPorts,
    state: RefCell<KeeperState>,
    changed: Notify,
    urgent: Notify,
    relayed: Notify,
    resubscribed: Notify,
    log_state: DependencyLog,
    leaving: Cell<bool>,
}

impl BudgetKeeper {
    /// Creates a keeper for one incarnation of a router.
    pub fn new(
        id: HolderId,
        options: BudgetOptions,
        ports: BudgetPorts,
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
            standby: StandbyBills::new(),
            outcomes: BTreeMap::new(),
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
            log_state: DependencyLog::new("log"),
            leaving: Cell::new(false),
        }
    }

    /// The identity of this incarnation.
    pub fn id(&self) -> HolderId {
        self.state.borrow().holder.id().clone()
    }

    /// Whether the last call to the log succeeded.
    pub fn is_log_reachable(&self) -> bool {
        self.log_state.lost_time().is_none()
    }

    /// The number of appends made so far.
    pub fn append_count(&self) -> u64 {
        self.state.borrow().appends
    }

    /// Sums over the portions of a budget.
    pub fn totals(&self, budget: &BudgetName) -> PortionTotals {
        self.state.borrow().holder.totals(budget.as_str())
    }

    /// The number of followed partitions and of held portions.
    pub fn partition_and_portion_counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.partitions.len(), state.holder.len())
    }

    pub(super) fn partition(&self, account: &str) -> u32 {
        partition_of(account, self.options.partitions)
    }

    /// Starts to follow the partition of an account.
    pub fn follow_account(&self, account: &str) {
        self.follow(self.partition(account));
    }

    pub(super) fn follow(&self, partition: u32) {
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
    pub fn settle_for_peer(
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
}
