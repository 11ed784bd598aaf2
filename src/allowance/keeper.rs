//! The allowance service of one router: its state, and the requests that wait
//! for tokens.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::{Mutex, Notify};

use super::{
    AllowanceBalance, AllowanceLedger, AllowanceRecord, LenderMemory,
    ServingState, TokenHold, TokenNeed, lending::PendingLoan,
    sync::AppendState,
};
use crate::{
    catalog::AccountSpec,
    domain::HolderId,
    error::{CallError, ErrorKind},
    membership::{MemberTable, VmDirectory},
    ports::{AccountAllowance, AllowanceReport, KeyedPort, PeerPort},
    telemetry::{DependencyLog, note_unreadable},
    timer::TimerService,
};

/// Interval at which a waiting request checks again, in case it missed a
/// notification.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// `Retry-After` of a request that cannot be served because tokens were lost
/// with routers; only a top-up or the return of such a router brings them
/// back.
const LOST_TOKENS_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Minimum and maximum `Retry-After` while the topic is unreachable.
const OUTAGE_RETRY_AFTER: [Duration; 2] =
    [Duration::from_secs(1), Duration::from_secs(5)];

/// Minimum time between two attempts of a waiting request to borrow from
/// peers.
const BORROW_INTERVAL: Duration = Duration::from_millis(250);

/// Timing options of an [`AllowanceKeeper`].
#[derive(Clone, Copy, Debug)]
pub struct AllowanceOptions {
    /// Interval at which the records are written and read.
    pub settle_interval: Duration,
    /// Time of expected demand for which tokens are claimed ahead of need.
    pub horizon: Duration,
    /// Maximum time that a request waits for tokens.
    pub reserve_timeout: Duration,
}

/// The dependencies of an [`AllowanceKeeper`].
#[derive(Clone)]
pub struct AllowancePorts {
    /// The keyed topics.
    pub topics: Rc<dyn KeyedPort>,
    /// The other routers.
    pub peers: Rc<dyn PeerPort>,
    /// The directory of VMs.
    pub directory: Rc<VmDirectory>,
    /// The health of the other routers.
    pub members: Rc<MemberTable>,
    /// The timer service.
    pub timer: TimerService,
}

/// The allowance service of one router: reserves prepaid tokens for requests
/// and keeps this router's records in the topic.
pub struct AllowanceKeeper {
    pub(super) id: HolderId,
    pub(super) options: AllowanceOptions,
    pub(super) ports: AllowancePorts,
    pub(super) ledger: RefCell<AllowanceLedger>,
    pub(super) prepaid: RefCell<BTreeMap<String, u64>>,
    /// Notified when tokens may have become available.
    pub(super) changed: Notify,
    pub(super) sync_requested: Notify,
    pub(super) is_loaded: Cell<bool>,
    pub(super) topic_state: DependencyLog,
    /// How many times the topic has been read up to its end.
    pub(super) complete_reads: Cell<u64>,
    pub(super) cut_claims: Cell<u64>,
    /// Tokens lost with earlier incarnations of this VM, not yet counted in
    /// the metrics.
    pub(super) lost_tokens: Cell<u64>,
    pub(super) append_state: RefCell<AppendState>,
    /// Held while records are written and read back, so that only one task
    /// does so at a time.
    pub(super) sync_lock: Mutex<()>,
    pub(super) is_draining: Cell<bool>,
    /// Whether another router was asked for the records of this VM.
    pub(super) may_claim: Cell<bool>,
    pub(super) serving: Cell<ServingState>,
    /// When a request last needed tokens.
    pub(super) last_needed: Cell<Option<Instant>>,
    /// Accounts for which a request asks peers at the moment.
    pub(super) borrowing_accounts: RefCell<BTreeSet<String>>,
    pub(super) lender_memory: RefCell<LenderMemory>,
    pub(super) last_loan: Cell<u64>,
    pub(super) pending_loans: RefCell<Vec<PendingLoan>>,
}

/// Tokens that a request waits for, removed from the waiting ones on drop.
struct WaitingDemand<'a> {
    keeper: &'a AllowanceKeeper,
    account: &'a str,
    tokens: u64,
}

impl Drop for WaitingDemand<'_> {
    fn drop(&mut self) {
        let mut ledger = self.keeper.ledger.borrow_mut();
        ledger.remove_waiting(self.account, self.tokens);
    }
}

impl AllowanceKeeper {
    /// Creates a keeper for one incarnation of a router.
    pub fn new(
        id: HolderId,
        options: AllowanceOptions,
        ports: AllowancePorts,
    ) -> AllowanceKeeper {
        let ledger =
            AllowanceLedger::new(&id.vm, id.incarnation, options.horizon);
        let append_state = RefCell::new(AppendState::new(&id));
        AllowanceKeeper {
            id,
            options,
            ports,
            ledger: RefCell::new(ledger),
            prepaid: RefCell::default(),
            changed: Notify::new(),
            sync_requested: Notify::new(),
            is_loaded: Cell::new(false),
            topic_state: DependencyLog::with_loss("allowance topic"),
            complete_reads: Cell::new(0),
            cut_claims: Cell::new(0),
            lost_tokens: Cell::new(0),
            append_state,
            sync_lock: Mutex::new(()),
            is_draining: Cell::new(false),
            may_claim: Cell::new(false),
            serving: Cell::new(ServingState::new()),
            last_needed: Cell::new(None),
            borrowing_accounts: RefCell::default(),
            lender_memory: RefCell::default(),
            last_loan: Cell::new(0),
            pending_loans: RefCell::default(),
        }
    }

    /// Sets the prepaid totals in force.
    pub fn set_prepaid<'a>(
        &self,
        accounts: impl Iterator<Item = &'a AccountSpec>,
    ) {
        let mut prepaid = BTreeMap::new();
        for account in accounts {
            if let Some(tokens) = account.prepaid_tokens {
                prepaid.insert(account.name.clone(), tokens);
            }
        }
        *self.prepaid.borrow_mut() = prepaid;
        self.changed.notify_waiters();
    }

    /// Sets whether callers are sent to this router.
    pub fn set_serving(&self, serving: ServingState) {
        let previous = self.serving.replace(serving);
        if serving.is_listed && !previous.is_listed {
            self.sync_requested.notify_one();
        }
    }

    /// Lets tokens be claimed from now on.
    pub fn allow_claims(&self) {
        self.may_claim.set(true);
        if !self.ledger.borrow().is_idle() {
            self.sync_requested.notify_one();
        }
    }

    /// Returns what this VM has taken out of all accounts.
    pub fn report(&self) -> AllowanceReport {
        let vm = self.id.vm.clone();
        let mut records = Vec::new();
        for (account, record) in self.ledger.borrow().own_records() {
            let (vm, record) = (vm.clone(), record.encode());
            records.push(AccountAllowance { account, vm, record });
        }
        AllowanceReport { vm, records }
    }

    /// Takes over what another router knows of records.
    pub fn learn(&self, records: &[AccountAllowance]) {
        let mut ledger = self.ledger.borrow_mut();
        for AccountAllowance { account, vm, record } in records {
            match AllowanceRecord::decode(record) {
                Some(record) => ledger.learn(account, vm, record),
                None => note_unreadable(vm, "not a record of tokens"),
            }
        }
    }

    /// Returns what is known here of the records of `vm`, and of those that
    /// have not been written again since the topic was restored.
    pub fn known_records(&self, vm: &str) -> Vec<AccountAllowance> {
        self.ledger.borrow().known_records(vm)
    }

    /// Whether the topic answered the last call.
    pub fn is_topic_reachable(&self) -> bool {
        self.topic_state.lost_time().is_none()
    }

    /// Returns the number of claims cut since the last call.
    pub fn take_cuts(&self) -> u64 {
        self.cut_claims.take()
    }

    /// Returns the tokens that were found lost since the last call.
    pub fn take_lost_tokens(&self) -> u64 {
        self.lost_tokens.take()
    }

    /// Returns the balance of an account.
    pub fn balance(&self, account: &str) -> AllowanceBalance {
        let prepaid = self.prepaid.borrow().get(account).copied();
        self.ledger.borrow().balance(account, prepaid.unwrap_or(0))
    }

    /// Reserves tokens of an account for a request.
    ///
    /// If enough tokens are available, the call returns without waiting.
    /// Otherwise it waits for the topic and, once that has been read or while
    /// it is unreachable, asks peers for a loan.
    ///
    /// # Errors
    ///
    /// `BudgetExhausted` if the account certainly cannot cover `need`,
    /// `BudgetUnavailable` if no tokens arrived within `wait`, or if waiting
    /// cannot help.
    pub async fn reserve(
        self: &Rc<Self>,
        account: &str,
        need: TokenNeed,
        wait: Duration,
    ) -> Result<TokenHold, CallError> {
        let prepaid = self.prepaid.borrow().get(account).copied();
        let Some(prepaid) = prepaid else {
            return Ok(TokenHold::uncharged());
        };
        self.last_needed.set(Some(Instant::now()));
        self.check_rank(account, prepaid, need)?;
        if let Some(hold) = self.try_reserve(account, need) {
            return Ok(hold);
        }
        let tokens = need.tokens();
        self.check_covers(account, prepaid, tokens)?;
        let now = Instant::now();
        self.ledger.borrow_mut().add_waiting(account, need, now);
        let waiting = WaitingDemand { keeper: self, account, tokens };
        let wait = wait.min(self.options.reserve_timeout);
        let deadline = now + wait;
        let needed_reads = self.complete_reads.get() + 1;
        let mut borrowed_at: Option<Instant> = None;
        self.sync_requested.notify_one();
        loop {
            let changed = self.changed.notified();
            self.check_rank(account, prepaid, need)?;
            if let Some(hold) = self.try_reserve_waiting(account, tokens) {
                drop(waiting);
                return Ok(hold);
            }
            let is_current = self.complete_reads.get() >= needed_reads;
            self.check_covers(account, prepaid, tokens)?;
            if Instant::now() >= deadline {
                return Err(self.unavailable(account, tokens));
            }
            let can_borrow = !self.is_topic_reachable() || is_current;
            let is_due =
                borrowed_at.is_none_or(|t| t.elapsed() >= BORROW_INTERVAL);
            if can_borrow
                && is_due
                && !self.borrowing_accounts.borrow().contains(account)
            {
                borrowed_at = Some(Instant::now());
                if self.borrow(account, tokens).await {
                    continue;
                }
                // Peers that have not been asked yet may have tokens.
                if !self.lenders(account, tokens).is_empty() {
                    borrowed_at = None;
                    continue;
                }
                if !self.is_topic_reachable() && self.is_loaded.get() {
                    // Neither the topic nor a peer can provide tokens now.
                    return Err(self.unavailable(account, tokens));
                }
            }
            let _ = monoio::time::timeout(WAIT_POLL_INTERVAL, changed).await;
        }
    }

    fn try_reserve(
        self: &Rc<Self>,
        account: &str,
        need: TokenNeed,
    ) -> Option<TokenHold> {
        let now = Instant::now();
        let reserved = self.ledger.borrow_mut().reserve(account, need, now);
        reserved.then(|| TokenHold::new(self.clone(), account, need.tokens()))
    }

    fn try_reserve_waiting(
        self: &Rc<Self>,
        account: &str,
        tokens: u64,
    ) -> Option<TokenHold> {
        let now = Instant::now();
        let mut ledger = self.ledger.borrow_mut();
        let reserved = ledger.reserve_waiting(account, tokens, now);
        reserved.then(|| TokenHold::new(self.clone(), account, tokens))
    }

    /// Returns an error if what is left of the account is kept for requests
    /// that rank before this one.
    fn check_rank(
        &self,
        account: &str,
        prepaid: u64,
        need: TokenNeed,
    ) -> Result<(), CallError> {
        let now = Instant::now();
        let mut ledger = self.ledger.borrow_mut();
        if !ledger.is_kept_back(account, prepaid, need, now) {
            return Ok(());
        }
        let AllowanceBalance { free, held, lost, .. } =
            ledger.balance(account, prepaid);
        let message = format!(
            "{} tokens of {account} are kept for more urgent or smaller \
             requests: of {prepaid} {free} free, {held} held, {lost} lost",
            need.tokens()
        );
        let error = CallError::new(ErrorKind::BudgetUnavailable, message);
        Err(error.with_retry_delay(LOST_TOKENS_RETRY_AFTER))
    }

    /// Returns an error if waiting cannot help: the account is exhausted, or
    /// short after losses.
    fn check_covers(
        &self,
        account: &str,
        prepaid: u64,
        tokens: u64,
    ) -> Result<(), CallError> {
        let ledger = self.ledger.borrow();
        if ledger.is_exhausted(account, prepaid, tokens) {
            return Err(self.exhausted(account, tokens));
        }
        if ledger.is_short_after_losses(account, prepaid, tokens) {
            let error = self.unavailable(account, tokens);
            return Err(error.with_retry_delay(LOST_TOKENS_RETRY_AFTER));
        }
        Ok(())
    }

    pub(super) fn settle(&self, account: &str, tokens: u64, used: u64) {
        self.ledger.borrow_mut().settle(account, tokens, used);
    }

    fn exhausted(&self, account: &str, tokens: u64) -> CallError {
        let AllowanceBalance { free, held, .. } = self.balance(account);
        let message = format!(
            "account {account} has {} tokens left, the request may need \
             {tokens}",
            free + held,
        );
        CallError::new(ErrorKind::BudgetExhausted, message)
    }

    fn unavailable(&self, account: &str, tokens: u64) -> CallError {
        let AllowanceBalance { free, held, lost, available } =
            self.balance(account);
        let reachable = self.is_topic_reachable();
        let prepaid = self.prepaid.borrow().get(account).copied();
        let prepaid = prepaid.unwrap_or(0);
        let message = format!(
            "{tokens} tokens of {account} did not arrive in time: of \
             {prepaid} {free} free, {held} held, {lost} lost, {available} here, store \
             reachable: {reachable}"
        );
        let error = CallError::new(ErrorKind::BudgetUnavailable, message);
        let lost_time = self.topic_state.lost_time();
        match lost_time {
            Some(time) => error.with_retry_delay(outage_retry_after(time)),
            None => error,
        }
    }
}

/// Returns the `Retry-After` of an outage that has lasted for `time`. An
/// outage is expected to last about as long again.
fn outage_retry_after(time: Duration) -> Duration {
    time.clamp(OUTAGE_RETRY_AFTER[0], OUTAGE_RETRY_AFTER[1])
}
