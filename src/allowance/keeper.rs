//! Reading and writing the records, and requests that wait for tokens.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::{Mutex, Notify};

use super::{
    AllowanceBook, AllowanceView, TokenHold, lending::OpenLoan,
    sync::AppendState,
};
use crate::{
    catalog::AccountSpec,
    domain::HolderId,
    error::{CallError, ErrorKind},
    membership::{MemberTable, VmDirectory},
    ports::{KeyedPort, PeerPort},
    telemetry::DependencyLog,
    timer::TimerService,
};

/// How often a waiting request looks at the state anew.
const WAIT_POLL: Duration = Duration::from_millis(40);

/// `Retry-After` for tokens that were lost with routers; only a top-up or
/// the return of such a router brings them back.
const STRANDED_RETRY: Duration = Duration::from_secs(5);

/// Shortest and longest `Retry-After` while the topic is out of reach.
const OUTAGE_RETRY: [Duration; 2] =
    [Duration::from_secs(1), Duration::from_secs(5)];

/// Time between two rounds in which a waiting request asks peers.
const BORROW_PERIOD: Duration = Duration::from_millis(250);

/// Times of a keeper.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceOptions {
    /// Time between two settlements.
    pub settle_interval: Duration,
    /// Demand for which tokens are taken ahead of need.
    pub horizon: Duration,
    /// Longest wait of a request for tokens.
    pub reserve_time: Duration,
}

/// What a keeper needs from outside.
#[derive(Clone)]
pub struct AllowancePorts {
    /// The keyed topics.
    pub topics: Rc<dyn KeyedPort>,
    /// The other routers.
    pub peers: Rc<dyn PeerPort>,
    /// The known VMs.
    pub directory: Rc<VmDirectory>,
    /// What is known of the other routers.
    pub members: Rc<MemberTable>,
    /// The timer service.
    pub timer: TimerService,
}

/// The prepaid tokens of one router.
pub struct AllowanceKeeper {
    pub(super) id: HolderId,
    pub(super) options: AllowanceOptions,
    pub(super) ports: AllowancePorts,
    pub(super) book: RefCell<AllowanceBook>,
    pub(super) prepaid: RefCell<BTreeMap<String, u64>>,
    pub(super) changed: Notify,
    pub(super) urgent: Notify,
    pub(super) loaded: Cell<bool>,
    pub(super) store: DependencyLog,
    /// Whole reads of what is new in the topic.
    pub(super) reads: Cell<u64>,
    pub(super) cuts: Cell<u64>,
    pub(super) append: RefCell<AppendState>,
    /// Held while records are written and read back.
    pub(super) turn: Mutex<()>,
    pub(super) leaving: Cell<bool>,
    pub(super) borrowing: RefCell<BTreeSet<String>>,
    pub(super) last_loan: Cell<u64>,
    pub(super) open_loans: RefCell<Vec<OpenLoan>>,
}

/// Tokens that a request waits for, taken back on drop.
struct UnmetNeed<'a> {
    keeper: &'a AllowanceKeeper,
    account: &'a str,
    tokens: u64,
}

impl Drop for UnmetNeed<'_> {
    fn drop(&mut self) {
        let mut book = self.keeper.book.borrow_mut();
        book.remove_unmet(self.account, self.tokens);
    }
}

impl AllowanceKeeper {
    /// Creates a keeper for one incarnation of a router.
    pub fn new(
        id: HolderId,
        options: AllowanceOptions,
        ports: AllowancePorts,
    ) -> AllowanceKeeper {
        let book = AllowanceBook::new(&id.vm, id.incarnation, options.horizon);
        let append = RefCell::new(AppendState::new(&id));
        AllowanceKeeper {
            id,
            options,
            ports,
            book: RefCell::new(book),
            prepaid: RefCell::default(),
            changed: Notify::new(),
            urgent: Notify::new(),
            loaded: Cell::new(false),
            store: DependencyLog::with_loss("allowance topic"),
            reads: Cell::new(0),
            cuts: Cell::new(0),
            append,
            turn: Mutex::new(()),
            leaving: Cell::new(false),
            borrowing: RefCell::default(),
            last_loan: Cell::new(0),
            open_loans: RefCell::default(),
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

    /// Whether the topic answered the last call.
    pub fn is_healthy(&self) -> bool {
        self.store.lost_time().is_none()
    }

    /// Claims that were not granted in full, since the last call.
    pub fn take_cuts(&self) -> u64 {
        self.cuts.take()
    }

    /// What is known of an account.
    pub fn view(&self, account: &str) -> AllowanceView {
        let prepaid = self.prepaid.borrow().get(account).copied();
        self.book.borrow().view(account, prepaid.unwrap_or(0))
    }

    /// Sets tokens of an account aside for a request.
    ///
    /// With tokens at hand the call does not wait.
    ///
    /// # Errors
    ///
    /// `BudgetExhausted` if the account certainly cannot cover `tokens`,
    /// `BudgetUnavailable` if no tokens arrived within `wait`.
    pub async fn reserve(
        self: &Rc<Self>,
        account: &str,
        tokens: u64,
        wait: Duration,
    ) -> Result<TokenHold, CallError> {
        let prepaid = self.prepaid.borrow().get(account).copied();
        let Some(prepaid) = prepaid else {
            return Ok(TokenHold::unlimited());
        };
        if let Some(hold) = self.try_reserve(account, tokens) {
            return Ok(hold);
        }
        self.check_covers(account, prepaid, tokens)?;
        let now = Instant::now();
        self.book.borrow_mut().add_unmet(account, tokens, now);
        let unmet = UnmetNeed { keeper: self, account, tokens };
        let wait = wait.min(self.options.reserve_time);
        let deadline = now + wait;
        let fresh = self.reads.get() + 1;
        let mut borrowed_at: Option<Instant> = None;
        self.urgent.notify_one();
        loop {
            let changed = self.changed.notified();
            if let Some(hold) = self.try_reserve_unmet(account, tokens) {
                drop(unmet);
                return Ok(hold);
            }
            let known = self.reads.get() >= fresh;
            self.check_covers(account, prepaid, tokens)?;
            if Instant::now() >= deadline {
                return Err(self.unavailable(account, tokens));
            }
            let lacks = !self.is_healthy() || known;
            let due = borrowed_at.is_none_or(|t| t.elapsed() >= BORROW_PERIOD);
            if lacks && due && !self.borrowing.borrow().contains(account) {
                borrowed_at = Some(Instant::now());
                if self.borrow(account, tokens).await {
                    continue;
                }
                if !self.is_healthy() && self.loaded.get() {
                    // Neither the topic nor a peer can give tokens now.
                    return Err(self.unavailable(account, tokens));
                }
            }
            let _ = monoio::time::timeout(WAIT_POLL, changed).await;
        }
    }

    fn try_reserve(
        self: &Rc<Self>,
        account: &str,
        tokens: u64,
    ) -> Option<TokenHold> {
        let now = Instant::now();
        let reserved = self.book.borrow_mut().reserve(account, tokens, now);
        reserved.then(|| TokenHold::new(self.clone(), account, tokens))
    }

    fn try_reserve_unmet(
        self: &Rc<Self>,
        account: &str,
        tokens: u64,
    ) -> Option<TokenHold> {
        let now = Instant::now();
        let mut book = self.book.borrow_mut();
        let reserved = book.reserve_unmet(account, tokens, now);
        reserved.then(|| TokenHold::new(self.clone(), account, tokens))
    }

    /// Refuses a request at once that no wait can help.
    fn check_covers(
        &self,
        account: &str,
        prepaid: u64,
        tokens: u64,
    ) -> Result<(), CallError> {
        let book = self.book.borrow();
        if book.is_exhausted(account, prepaid, tokens) {
            return Err(self.exhausted(account, tokens));
        }
        if book.is_stranded(account, prepaid, tokens) {
            let error = self.unavailable(account, tokens);
            return Err(error.with_retry_delay(STRANDED_RETRY));
        }
        Ok(())
    }

    pub(super) fn settle(&self, account: &str, tokens: u64, used: u64) {
        self.book.borrow_mut().settle(account, tokens, used);
    }

    fn exhausted(&self, account: &str, tokens: u64) -> CallError {
        let AllowanceView { free, held, .. } = self.view(account);
        let message = format!(
            "account {account} has {} tokens left, the request may need \
             {tokens}",
            free + held,
        );
        CallError::new(ErrorKind::BudgetExhausted, message)
    }

    fn unavailable(&self, account: &str, tokens: u64) -> CallError {
        let AllowanceView { free, held, lost, available } = self.view(account);
        let reachable = self.is_healthy();
        let prepaid = self.prepaid.borrow().get(account).copied();
        let prepaid = prepaid.unwrap_or(0);
        let message = format!(
            "{tokens} tokens of {account} did not arrive in time: of \
             {prepaid} {free} free, {held} held, {lost} lost, {available} here, store \
             reachable: {reachable}"
        );
        let error = CallError::new(ErrorKind::BudgetUnavailable, message);
        let lost_for = self.store.lost_time();
        match lost_for {
            Some(time) => error.with_retry_delay(outage_left(time)),
            None => error,
        }
    }
}

/// How long an outage lasts that has lasted for `time`: about as long again.
fn outage_left(time: Duration) -> Duration {
    time.clamp(OUTAGE_RETRY[0], OUTAGE_RETRY[1])
}
