//! The budget service of one router.
//!
//! The keeper owns the router's portions and follows the partitions of the
//! client accounts that it serves. Its parts are:
//!
//! * `reserve`: obtains tokens for requests from this router's portions, from
//!   the log or from peers,
//! * `claims`: ensures that non-idempotent calls are sent at most once,
//! * `follow`: the tasks that read the log and append to it
//!   ([`BudgetKeeper::run_follow`], [`BudgetKeeper::run_flush`]),
//! * `upkeep`: the task that settles, gives idle portions back and renews
//!   checkpoints ([`BudgetKeeper::run_settle`]),
//! * `standby`: the tasks that replicate unsettled bills to a standby and
//!   settle for routers that have died ([`BudgetKeeper::run_relay`],
//!   [`BudgetKeeper::run_recovery`]).

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

/// Interval at which a waiting call checks the state again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a [`BudgetKeeper`].
#[derive(Clone, Debug)]
pub struct BudgetOptions {
    /// The number of account partitions in the log.
    pub partitions: u32,
    /// Interval of settlements.
    pub settle_interval: Duration,
    /// Time of expected demand that one grant covers.
    pub grant_horizon: Duration,
    /// Time after which an unused portion is given back.
    pub idle_timeout: Duration,
    /// Maximum time that a request waits for spending rights.
    pub reserve_timeout: Duration,
    /// Maximum time to wait for an intent to be read back.
    pub claim_timeout: Duration,
    /// Time for which the log keeps records.
    pub log_retention: Duration,
}

impl BudgetOptions {
    /// Creates options for `partitions` partitions with default durations.
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
    /// A record of the audit stream, which no router reads.
    pub struct BillLine {
        /// Identity of the bill.
        pub bill: String,
        /// The budget charged.
        pub budget: String,
        /// Identity of the request.
        pub request_id: String,
        /// The model or service.
        pub service: String,
        /// Tokens billed.
        pub tokens: u64,
        /// The VM whose router wrote the bill.
        pub vm: String,
        /// Milliseconds since the epoch on that VM's clock.
        pub time_ms: u64,
    }
}

impl BillLine {
    /// Creates the line of a request; [`BudgetKeeper::settle`] fills in the
    /// other fields.
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

/// The dependencies of a [`BudgetKeeper`].
#[derive(Clone)]
pub struct BudgetPorts {
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The other routers.
    pub peers: Rc<dyn PeerPort>,
    /// The upstreams, to cancel the requests of routers that have died.
    pub upstreams: Rc<dyn UpstreamPort>,
    /// The directory of VMs.
    pub directory: Rc<VmDirectory>,
    /// The timer service.
    pub timer: TimerService,
}

struct FollowedPartition {
    follower: StreamFollower<AccountLedger>,
    last_used: Instant,
    is_checkpoint_requested: bool,
}

struct KeeperState {
    holder: GrantHolder,
    partitions: BTreeMap<u32, FollowedPartition>,
    outbox: RecordOutbox,
    demand: BTreeMap<String, DemandEstimator>,
    /// When the last grant of a budget was requested, while it is pending.
    requested_grants: BTreeMap<String, Instant>,
    /// Budgets whose first grant was requested ahead of demand.
    prewarmed: BTreeSet<String>,
    /// Lines not yet appended to the audit stream.
    bill_lines: Vec<BillLine>,
    pending_relays: Vec<PendingRelay>,
    standby: StandbyBills,
    /// Outcomes recorded here that have not been read back yet, by key.
    local_outcomes: BTreeMap<String, CallOutcome>,
    last_attempt: u64,
    append_count: u64,
}

/// A bill to relay to the standby, and who waits for its arrival.
struct PendingRelay {
    bill: RelayedBill,
    arrived: Option<oneshot::Sender<()>>,
}

/// The budget service of one router.
pub struct BudgetKeeper {
    options: BudgetOptions,
    ports: BudgetPorts,
    state: RefCell<KeeperState>,
    /// Notified when a call to the log has succeeded or failed.
    log_call_done: Notify,
    flush_requested: Notify,
    relay_requested: Notify,
    /// Notified when another partition is followed.
    subscription_changed: Notify,
    log_status: DependencyLog,
    /// Whether the router shuts down and requests no further grants.
    is_draining: Cell<bool>,
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
            demand: BTreeMap::new(),
            requested_grants: BTreeMap::new(),
            prewarmed: BTreeSet::new(),
            bill_lines: Vec::new(),
            pending_relays: Vec::new(),
            standby: StandbyBills::new(),
            local_outcomes: BTreeMap::new(),
            last_attempt: 0,
            append_count: 0,
        };
        BudgetKeeper {
            options,
            ports,
            state: RefCell::new(state),
            log_call_done: Notify::new(),
            flush_requested: Notify::new(),
            relay_requested: Notify::new(),
            subscription_changed: Notify::new(),
            log_status: DependencyLog::new("log"),
            is_draining: Cell::new(false),
        }
    }

    /// Returns the identity of this incarnation.
    pub fn id(&self) -> HolderId {
        self.state.borrow().holder.id().clone()
    }

    /// Whether the last call to the log succeeded.
    pub fn is_log_reachable(&self) -> bool {
        self.log_status.lost_time().is_none()
    }

    /// Returns the number of appends made so far.
    pub fn append_count(&self) -> u64 {
        self.state.borrow().append_count
    }

    /// Returns sums over the portions of a budget.
    pub fn totals(&self, budget: &BudgetName) -> PortionTotals {
        self.state.borrow().holder.totals(budget.as_str())
    }

    /// Returns the number of followed partitions and that of held portions.
    pub fn partition_and_portion_counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.partitions.len(), state.holder.len())
    }

    pub(super) fn partition(&self, account: &str) -> u32 {
        partition_of(account, self.options.partitions)
    }

    /// Follows the partition of an account from now on.
    pub fn follow_account(&self, account: &str) {
        self.follow(self.partition(account));
    }

    pub(super) fn follow(&self, partition: u32) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        if let Some(followed) = state.partitions.get_mut(&partition) {
            followed.last_used = now;
            return;
        }
        let followed = FollowedPartition {
            follower: StreamFollower::new(),
            last_used: now,
            is_checkpoint_requested: false,
        };
        state.partitions.insert(partition, followed);
        self.subscription_changed.notify_one();
    }

    /// Releases the tokens of a request that was not sent.
    pub fn release(&self, reservation: Reservation<Unsent>) {
        self.state.borrow_mut().holder.release(reservation);
    }

    /// Bills a request that was sent.
    ///
    /// Completes `line` with the bill, its tokens, the VM and the time, queues
    /// it for the audit stream and returns it.
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
        state.bill_lines.push(line.clone());
        line
    }

    /// Whether this router holds the portion of a bill.
    pub fn holds(&self, bill: BillId) -> bool {
        self.state.borrow().holder.holds(bill.portion)
    }

    /// Settles a bill that a peer has opened and cannot settle itself.
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
