//! Reading and writing the records, and requests that wait for tokens.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use super::{
    AllowanceBook, AllowanceDraft, AllowanceView, TokenHold, allowance_key,
};
use crate::{
    catalog::AccountSpec,
    domain::HolderId,
    error::{CallError, ErrorKind},
    membership::{MemberTable, VmDirectory},
    ports::{
        KeyedFault, KeyedPort, KeyedRecord, LendRequest, PeerAnswer, PeerCall,
        PeerPort,
    },
    telemetry::{DependencyLog, LogEvent},
    timer::TimerService,
};

/// The topic of the records.
const TOPIC: &str = "keyed.allowance";

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest random pause before an append that another VM outran is repeated.
const CONFLICT_DELAY_MS: u64 = 12;

/// Time between two lines about appends that others outrun.
const OUTRUN_PERIOD: Duration = Duration::from_secs(1);

/// How often a waiting request looks at the state anew.
const WAIT_POLL: Duration = Duration::from_millis(40);

/// Requests that arrive within this time share one append.
const GROUP_DELAY: Duration = Duration::from_millis(2);

/// Peers that a waiting request asks for tokens.
const LENDERS: usize = 3;

/// `Retry-After` for tokens that were lost with routers; only a top-up or
/// the return of such a router brings them back.
const STRANDED_RETRY: Duration = Duration::from_secs(5);

/// Shortest and longest `Retry-After` while the topic is out of reach.
const OUTAGE_RETRY: [Duration; 2] =
    [Duration::from_secs(1), Duration::from_secs(5)];

/// A router that holds no tokens looks at the topic this much less often.
const IDLE_FACTOR: u32 = 4;

/// Requests of the same size that a loan covers.
const LOAN_REQUESTS: u64 = 4;

/// Time between two looks for loans whose answers were lost; longer than a
/// call to a peer takes.
const TAKE_BACK_PERIOD: Duration = Duration::from_millis(500);

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

/// A loan that was asked for and whose answer has not arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenLoan {
    vm: String,
    request: LendRequest,
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
    id: HolderId,
    options: AllowanceOptions,
    ports: AllowancePorts,
    book: RefCell<AllowanceBook>,
    prepaid: RefCell<BTreeMap<String, u64>>,
    changed: Notify,
    urgent: Notify,
    loaded: Cell<bool>,
    store: DependencyLog,
    reads: Cell<u64>,
    conflicts: Cell<u64>,
    leaving: Cell<bool>,
    borrowing: RefCell<BTreeSet<String>>,
    last_loan: Cell<u64>,
    open_loans: RefCell<Vec<OpenLoan>>,
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
            conflicts: Cell::new(0),
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
            if let Some(tokens) = account.prepaid {
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

    /// Appends that another router outran, since the last call.
    pub fn take_conflicts(&self) -> u64 {
        self.conflicts.take()
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
            if let Some(hold) = self.try_reserve(account, tokens) {
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
            return Err(error.with_retry_wait(STRANDED_RETRY));
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
            Some(time) => error.with_retry_wait(outage_left(time)),
            None => error,
        }
    }

    /// Asks peers for tokens; `true` if one has lent some.
    ///
    /// One request of an account asks at a time; the others use what it
    /// brings.
    async fn borrow(&self, account: &str, tokens: u64) -> bool {
        if !self.borrowing.borrow_mut().insert(account.to_owned()) {
            return false;
        }
        let borrowed = self.borrow_any(account, tokens).await;
        self.borrowing.borrow_mut().remove(account);
        borrowed
    }

    async fn borrow_any(&self, account: &str, tokens: u64) -> bool {
        let mut lenders = self.book.borrow().lenders(account);
        lenders.retain(|vm| !self.ports.members.health(vm).unusable);
        lenders.truncate(LENDERS);
        for vm in lenders {
            let Some(peer) = self.ports.directory.peer_address(&vm) else {
                continue;
            };
            self.last_loan.set(self.last_loan.get() + 1);
            let request = LendRequest {
                budget: account.to_owned(),
                to: self.id.clone(),
                least: tokens,
                want: tokens.saturating_mul(LOAN_REQUESTS),
                loan: self.last_loan.get(),
            };
            // The loan is open until its answer is here; a caller that
            // leaves meanwhile leaves it to the task that takes back.
            let open = OpenLoan { vm, request };
            self.open_loans.borrow_mut().push(open.clone());
            let call = PeerCall::Lend(open.request.clone());
            let reply = self.ports.peers.call(peer, call).await;
            let Ok(PeerAnswer::Lent(reply)) = reply else {
                continue;
            };
            self.close_loan(&open);
            let Some(reply) = reply else {
                continue;
            };
            let now = Instant::now();
            log::info!(
                event:% = LogEvent::TokensBorrowed,
                account, tokens = reply.tokens, peer = open.vm.as_str();
                "tokens borrowed"
            );
            self.book.borrow_mut().borrow(account, reply.tokens, now);
            self.changed.notify_waiters();
            return true;
        }
        false
    }

    fn close_loan(&self, loan: &OpenLoan) {
        self.open_loans.borrow_mut().retain(|open| open != loan);
    }

    /// Gives tokens at hand to a peer for good; zero if there are too few.
    ///
    /// A peer that wants nothing takes a loan back whose answer it missed.
    pub fn lend(&self, request: &LendRequest) -> u64 {
        let mut book = self.book.borrow_mut();
        let account = request.budget.as_str();
        let peer = request.to.vm.as_str();
        if request.want == 0 {
            let tokens = book.take_back(request);
            log::info!(
                event:% = LogEvent::LoanReturned, account, tokens, peer;
                "loan taken back"
            );
            return 0;
        }
        let tokens = book.lend(request);
        if tokens > 0 {
            log::info!(
                event:% = LogEvent::TokensLent, account, tokens, peer;
                "tokens lent"
            );
        }
        tokens
    }

    /// Has loans taken back whose answers were lost, for as long as the
    /// task lives.
    pub async fn run_loans(self: Rc<Self>) {
        let ticks = self.ports.timer.subscribe(TAKE_BACK_PERIOD);
        let mut before: Vec<OpenLoan> = Vec::new();
        loop {
            ticks.tick().await;
            // A loan that was open a period ago has no answer under way.
            let open = self.open_loans.borrow().clone();
            for loan in &open {
                if before.contains(loan) {
                    self.abandon(loan).await;
                }
            }
            before = open;
        }
    }

    async fn abandon(&self, loan: &OpenLoan) {
        let Some(peer) = self.ports.directory.peer_address(&loan.vm) else {
            // A VM that is not listed any more has nothing to take back.
            self.close_loan(loan);
            return;
        };
        if self.ports.members.health(&loan.vm).unusable {
            return;
        }
        let request =
            LendRequest { least: 0, want: 0, ..loan.request.clone() };
        let call = PeerCall::Lend(request);
        if self.ports.peers.call(peer, call).await.is_ok() {
            self.close_loan(loan);
        }
    }

    /// Reads and writes the records for as long as the task lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            let synced = self.sync().await;
            if let Err(fault) = &synced {
                self.note_fault(fault);
                self.ports.timer.sleep(RETRY_DELAY).await;
                continue;
            }
            self.store.note_answer();
            let is_idle = self.book.borrow().is_idle();
            let factor = if is_idle { IDLE_FACTOR } else { 1 };
            let pause = self.options.settle_interval * factor;
            let pause = self.ports.timer.sleep(pause);
            monoio::select! {
                () = pause => {}
                () = self.urgent.notified() => {
                    self.ports.timer.sleep(GROUP_DELAY).await;
                }
            }
        }
    }

    /// Reads everything new, then writes what has changed here.
    async fn sync(&self) -> Result<(), KeyedFault> {
        let mut told = Instant::now();
        let mut tries = 0;
        loop {
            self.read_all().await?;
            let draft = self.draft();
            if draft.records.is_empty() {
                return Ok(());
            }
            match self.append(&draft).await {
                Ok(()) => return Ok(()),
                Err(KeyedFault::Moved) => {
                    tries += 1;
                    self.conflicts.set(self.conflicts.get() + 1);
                    if told.elapsed() >= OUTRUN_PERIOD {
                        told = Instant::now();
                        log::info!(
                            event:% = LogEvent::AppendOutrun,
                            tries, accounts = draft.records.len();
                            "other routers were faster each time"
                        );
                    }
                    let delay = rand::random::<u64>() % CONFLICT_DELAY_MS;
                    let delay = Duration::from_millis(delay);
                    self.ports.timer.sleep(delay).await;
                }
                Err(fault) => return Err(fault),
            }
        }
    }

    fn draft(&self) -> AllowanceDraft {
        let mut book = self.book.borrow_mut();
        if self.leaving.get() {
            return book.draft_release();
        }
        let prepaid = self.prepaid.borrow();
        let routers = self.ports.directory.entry_count() as u64;
        book.draft(&prepaid, routers, Instant::now())
    }

    async fn read_all(&self) -> Result<(), KeyedFault> {
        loop {
            let from = self.book.borrow().cursor();
            let read = async {
                if !self.loaded.get() {
                    return self.ports.topics.newest(TOPIC).await;
                }
                let topics = &self.ports.topics;
                topics.read(TOPIC, from, Duration::ZERO).await
            };
            let slice = match read.await {
                Ok(slice) => slice,
                Err(KeyedFault::Expired) => {
                    self.loaded.set(false);
                    continue;
                }
                Err(fault) => return Err(fault),
            };
            if slice.end < from {
                // An answer from before what is known here.
                let reason = "the topic's end went back".to_owned();
                return Err(KeyedFault::Refused { reason });
            }
            self.loaded.set(true);
            let now = Instant::now();
            self.book.borrow_mut().apply(&slice.records, slice.next, now);
            if slice.next >= slice.end {
                break;
            }
        }
        self.reads.set(self.reads.get() + 1);
        self.changed.notify_waiters();
        Ok(())
    }

    async fn append(&self, draft: &AllowanceDraft) -> Result<(), KeyedFault> {
        let mut records = Vec::with_capacity(draft.records.len());
        for (account, record) in &draft.records {
            records.push(KeyedRecord {
                key: allowance_key(account, &self.id.vm),
                value: Some(record.encode()),
                offset: 0,
            });
        }
        let topics = &self.ports.topics;
        topics.append_at(TOPIC, draft.at, &records).await?;
        self.book.borrow_mut().confirm(draft, Instant::now());
        self.changed.notify_waiters();
        Ok(())
    }

    fn note_fault(&self, fault: &KeyedFault) {
        self.store.note_fault(fault);
        self.changed.notify_waiters();
    }

    /// Gives everything back that no request needs, waiting up to `time`.
    ///
    /// Returns `false` if the topic did not take the records.
    pub async fn drain(&self, time: Duration) -> bool {
        self.leaving.set(true);
        let synced = monoio::time::timeout(time, self.sync()).await;
        matches!(synced, Ok(Ok(())))
    }
}

/// How long an outage lasts that has lasted for `time`: about as long again.
fn outage_left(time: Duration) -> Duration {
    time.clamp(OUTAGE_RETRY[0], OUTAGE_RETRY[1])
}
