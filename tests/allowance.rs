//! Prepaid tokens under lost, delayed and concurrent appends and restarts.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use {
    magnoliahaven::{
        allowance::{
            AllowanceBatch, AllowanceLedger, AllowanceRecord, LenderMemory,
            TokenLoss, TokenNeed, allowance_key,
        },
        domain::HolderId,
        ports::{AccountAllowance, KeyedRecord, LendRequest},
    },
    proptest::prelude::*,
};

const ACCOUNT: &str = "dairy";
/// Records that are appended while a reader loads the newest ones.
const RECORDS_DURING_LOAD: usize = 3;

const HORIZON: Duration = Duration::from_secs(8);

/// An append call to the topic.
#[derive(Clone, Debug)]
struct Append {
    vm: String,
    epoch: u64,
    number: u64,
    batch: AllowanceBatch,
}

/// The state of one writer at the topic.
#[derive(Default)]
struct Writer {
    epoch: u64,
    next: u64,
}

/// A keyed topic that applies the appends of a writer once and in order.
#[derive(Default)]
struct Topic {
    era: u64,
    records: Vec<KeyedRecord>,
    writers: BTreeMap<String, Writer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn fence(&mut self, vm: &str, epoch: u64) {
        let writer = self.writers.entry(vm.to_owned()).or_default();
        assert!(epoch > writer.epoch, "epoch is not above the current one");
        *writer = Writer { epoch, next: 0 };
    }

    /// Comes back from a copy without the newest `count` records.
    fn restore_without(&mut self, count: usize) {
        let end = self.records.len().saturating_sub(count);
        self.records.truncate(end);
        self.era += 1;
    }

    /// Applies an append unless it was applied before. Returns `false` if it
    /// is fenced or out of sequence.
    fn append(&mut self, append: &Append) -> bool {
        let writer = self.writers.entry(append.vm.clone()).or_default();
        if append.epoch != writer.epoch || append.number > writer.next {
            return false;
        }
        if append.number < writer.next {
            return true;
        }
        writer.next += 1;
        for (account, record) in &append.batch.records {
            let offset = self.end();
            let key = allowance_key(account, &append.vm);
            let value = Some(record.encode());
            self.records.push(KeyedRecord { key, value, offset });
        }
        true
    }

    /// Returns the newest record of each key, as a reader without history
    /// loads it, and the offset to read from next. The pages are not a
    /// consistent snapshot: some were read before the last appends and some
    /// after.
    fn newest(&self) -> (Vec<KeyedRecord>, u64) {
        let end_at_start =
            self.records.len().saturating_sub(RECORDS_DURING_LOAD);
        let mut newest = BTreeMap::new();
        for (index, record) in self.records.iter().enumerate() {
            let is_later_page = record.key.ends_with(['1', '3']);
            if index < end_at_start || is_later_page {
                newest.insert(record.key.clone(), record.clone());
            }
        }
        (newest.into_values().collect(), end_at_start as u64)
    }
}

struct Router {
    vm: String,
    incarnation: u64,
    /// The epoch of its appends.
    epoch: u64,
    ledger: AllowanceLedger,
    number: u64,
    is_loaded: bool,
    reserved: Vec<u64>,
    /// Appends that are still under way.
    delayed: Vec<Append>,
}

impl Router {
    fn new(number: usize, incarnation: u64) -> Router {
        let vm = format!("vm-{number}");
        let ledger = AllowanceLedger::new(&vm, incarnation, HORIZON);
        Router {
            vm,
            incarnation,
            epoch: incarnation,
            ledger,
            number: 0,
            is_loaded: false,
            reserved: Vec::new(),
            delayed: Vec::new(),
        }
    }

    /// Takes over what another router knows of records.
    fn learn(&mut self, known: &[AccountAllowance]) {
        for AccountAllowance { account, vm, record } in known {
            let record = AllowanceRecord::decode(record).expect("a record");
            self.ledger.learn(account, vm, record);
        }
    }

    fn read(&mut self, topic: &mut Topic, total: u64, now: Instant) {
        if !self.is_loaded {
            topic.fence(&self.vm, self.epoch);
            self.load(topic, total, now);
            self.ledger.finish_load(&prepaid(total), true);
            self.is_loaded = true;
        }
        self.read_new(topic, total, now);
        self.advance(topic);
    }

    /// Loads the newest records, as after the history has expired.
    fn reload(&mut self, topic: &Topic, total: u64, now: Instant) {
        if !self.is_loaded {
            return;
        }
        self.load(topic, total, now);
        self.ledger.finish_load(&prepaid(total), false);
        self.advance(topic);
    }

    fn load(&mut self, topic: &Topic, total: u64, now: Instant) {
        if self.ledger.era().is_none_or(|era| era < topic.era) {
            self.ledger.begin_era(topic.era, now);
        }
        let (records, next) = topic.newest();
        self.ledger.load(&records, next, now);
        self.read_new(topic, total, now);
    }

    fn read_new(&mut self, topic: &Topic, total: u64, now: Instant) {
        let from = self.ledger.cursor().offset as usize;
        let records = topic.records[from..].to_vec();
        self.ledger.apply(&records, topic.end(), &prepaid(total), now);
    }

    /// Moves on to the next append once the current one is read back.
    fn advance(&mut self, topic: &Topic) {
        if !self.ledger.has_unconfirmed() && self.is_appended(topic) {
            self.number += 1;
        }
    }

    /// Whether the append of the current number was applied.
    fn is_appended(&self, topic: &Topic) -> bool {
        let writer = topic.writers.get(&self.vm);
        writer.is_some_and(|writer| writer.next > self.number)
    }

    fn append(&self, batch: AllowanceBatch) -> Append {
        let (vm, epoch) = (self.vm.clone(), self.epoch);
        Append { vm, epoch, number: self.number, batch }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A router appends and reads; `outcome` decides whether the answer is
    /// lost or the append delayed.
    Sync { router: usize, outcome: u8 },
    /// The history has expired; the router loads the newest records.
    Reload { router: usize },
    /// A delayed append reaches the topic, which applies it if it still can.
    DelayedAppend { router: usize },
    /// A request reserves tokens or waits for them.
    Reserve { router: usize, tokens: u64 },
    /// The oldest request ends, having used `percent` of its tokens.
    Settle { router: usize, percent: u64 },
    /// One router lends to another.
    Lend { from: usize, to: usize, tokens: u64 },
    /// The process dies, and a new incarnation starts on the same VM.
    Restart { router: usize },
    /// Operators add tokens.
    TopUp { tokens: u64 },
    /// The topic comes back from a copy without its newest records. `dead`
    /// dies before it writes its records again, if there is such a router.
    Restore { lost: usize, dead: usize },
}

/// Steps with restores among them.
fn steps_with_restores() -> impl Strategy<Value = Vec<Step>> {
    let restore = (0..30_usize, 0..8_usize)
        .prop_map(|(lost, dead)| Step::Restore { lost, dead });
    let parts = (steps(), restore);
    proptest::collection::vec(parts, 1..4).prop_map(|parts| {
        let mut all = Vec::new();
        for (steps, restore) in parts {
            all.extend(steps);
            all.push(restore);
        }
        all
    })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let router = 0..4_usize;
    let step = prop_oneof![
        6 => (router.clone(), 0..10_u8)
            .prop_map(|(router, outcome)| Step::Sync { router, outcome }),
        1 => router.clone().prop_map(|router| Step::DelayedAppend { router }),
        8 => (router.clone(), 1..400_u64)
            .prop_map(|(router, tokens)| Step::Reserve { router, tokens }),
        6 => (router.clone(), 0..=100_u64)
            .prop_map(|(router, percent)| Step::Settle { router, percent }),
        1 => (router.clone(), router.clone(), 1..200_u64)
            .prop_map(|(from, to, tokens)| Step::Lend { from, to, tokens }),
        1 => router.clone().prop_map(|router| Step::Reload { router }),
        1 => router.prop_map(|router| Step::Restart { router }),
        1 => (1..500_u64).prop_map(|tokens| Step::TopUp { tokens }),
    ];
    proptest::collection::vec(step, 1..200)
}

fn loan(borrower: &Router, tokens: u64, number: u64) -> LendRequest {
    LendRequest {
        budget: ACCOUNT.to_owned(),
        to: HolderId::new(&borrower.vm, borrower.incarnation),
        min_tokens: tokens,
        wanted_tokens: tokens,
        loan: number,
    }
}

/// The actual usage, as counted by callers and upstreams.
struct ActualUsage {
    prepaid: u64,
    spent: u64,
    in_flight: u64,
}

/// Time after a restore in which all routers have written their records again.
const ERA_TIME: Duration = Duration::from_secs(3);

/// Lets all routers report their records to the others, as while the topic is
/// away, and begin a new epoch. `dead` is replaced by a successor, which asks
/// one of the others.
fn restart_in_new_era(routers: &mut [Router], dead: usize) {
    let mut reports = Vec::new();
    for router in routers.iter() {
        for (account, record) in router.ledger.own_records() {
            let vm = router.vm.clone();
            reports.push(AccountAllowance {
                account,
                vm,
                record: record.encode(),
            });
        }
    }
    for (number, router) in routers.iter_mut().enumerate() {
        if number == dead {
            let mut fresh = Router::new(number, router.incarnation + 1);
            fresh.epoch = router.epoch;
            *router = fresh;
        }
        router.epoch += 1;
        router.number = 0;
        router.is_loaded = false;
        router.delayed.clear();
        router.learn(&reports);
    }
}

fn run_steps(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut start = Instant::now();
    let mut topic = Topic { era: 1, ..Topic::default() };
    let mut actual = ActualUsage { prepaid: 3_000, spent: 0, in_flight: 0 };
    let mut routers: Vec<Router> =
        (0..4).map(|number| Router::new(number, 1)).collect();
    for (tick, step) in steps.iter().enumerate() {
        let now = start + Duration::from_millis(100 * tick as u64);
        match *step {
            Step::Sync { router, outcome } => {
                let router = &mut routers[router];
                if !router.is_loaded {
                    router.read(&mut topic, actual.prepaid, now);
                }
                let total = prepaid(actual.prepaid);
                let batch = router.ledger.next_batch(&total, 4, now);
                if batch.records.is_empty() {
                    router.read(&mut topic, actual.prepaid, now);
                    continue;
                }
                let append = router.append(batch);
                match outcome {
                    // Applied, but the answer is lost.
                    0 => {
                        topic.append(&append);
                    }
                    // Delayed; it may be applied later.
                    1 => router.delayed.push(append),
                    // Applied, with two repeats that arrive later.
                    2 => {
                        router
                            .delayed
                            .extend([append.clone(), append.clone()]);
                        topic.append(&append);
                    }
                    // Applied, but not read back yet.
                    3 => {
                        topic.append(&append);
                    }
                    _ => {
                        prop_assert!(topic.append(&append));
                        router.read(&mut topic, actual.prepaid, now);
                        prop_assert!(!router.ledger.has_unconfirmed());
                    }
                }
            }
            Step::DelayedAppend { router } => {
                let router = &mut routers[router];
                if let Some(append) = router.delayed.pop() {
                    topic.append(&append);
                }
            }
            Step::Reload { router } => {
                routers[router].reload(&topic, actual.prepaid, now);
            }
            Step::Reserve { router, tokens } => {
                let router = &mut routers[router];
                if router.ledger.reserve(ACCOUNT, TokenNeed::new(tokens), now)
                {
                    router.reserved.push(tokens);
                    actual.in_flight += tokens;
                } else {
                    router.ledger.add_waiting(
                        ACCOUNT,
                        TokenNeed::new(tokens),
                        now,
                    );
                }
            }
            Step::Settle { router, percent } => {
                let router = &mut routers[router];
                if router.reserved.is_empty() {
                    continue;
                }
                let tokens = router.reserved.remove(0);
                let used = tokens * percent / 100;
                router.ledger.settle(ACCOUNT, tokens, used);
                actual.in_flight -= tokens;
                actual.spent += used;
            }
            Step::Lend { from, to, tokens } => {
                if from == to {
                    continue;
                }
                let request = loan(&routers[to], tokens, tick as u64);
                // A third of the answers is lost. The loan is then canceled
                // before or after the call arrives.
                if tokens % 3 > 0 {
                    let lent = routers[from].ledger.lend(&request);
                    routers[to].ledger.add_borrowed(ACCOUNT, lent, now);
                } else if tokens % 2 > 0 {
                    routers[from].ledger.cancel_loan(&request);
                    let lent = routers[from].ledger.lend(&request);
                    prop_assert_eq!(lent, 0);
                } else {
                    routers[from].ledger.lend(&request);
                    routers[from].ledger.cancel_loan(&request);
                }
            }
            Step::Restart { router } => {
                let old = &routers[router];
                // The requests in progress may have used all their tokens.
                let running: u64 = old.reserved.iter().sum();
                actual.in_flight -= running;
                actual.spent += running;
                let mut fresh = Router::new(router, old.incarnation + 1);
                fresh.delayed = old.delayed.clone();
                fresh.epoch = old.epoch + 1;
                let peer = &routers[(router + 1) % routers.len()];
                fresh.learn(&peer.ledger.known_records(&fresh.vm));
                routers[router] = fresh;
            }
            Step::TopUp { tokens } => actual.prepaid += tokens,
            Step::Restore { lost, dead } => {
                topic.restore_without(lost);
                if dead < routers.len() {
                    let old = &routers[dead];
                    let running: u64 = old.reserved.iter().sum();
                    actual.in_flight -= running;
                    actual.spent += running;
                }
                restart_in_new_era(&mut routers, dead);
                for router in &mut routers {
                    router.read(&mut topic, actual.prepaid, now);
                    let total = prepaid(actual.prepaid);
                    let batch = router.ledger.next_batch(&total, 4, now);
                    if !batch.records.is_empty() {
                        prop_assert!(topic.append(&router.append(batch)));
                        router.read(&mut topic, actual.prepaid, now);
                    }
                }
                start += ERA_TIME;
            }
        }
        let used = actual.spent + actual.in_flight;
        prop_assert!(used <= actual.prepaid, "{used} of {}", actual.prepaid);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// No account is overspent, whichever calls are lost, delayed or
    /// repeated.
    #[test]
    fn no_account_is_overspent(steps in steps()) {
        run_steps(&steps)?;
    }

    /// No account is overspent either when the topic comes back from a copy,
    /// and a router dies then.
    #[test]
    fn no_account_is_overspent_behind_a_restore(
        steps in steps_with_restores(),
    ) {
        run_steps(&steps)?;
    }
}

fn prepaid(tokens: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([(ACCOUNT.to_owned(), tokens)])
}

/// Reads, appends and reads back without faults.
fn sync(router: &mut Router, topic: &mut Topic, total: u64, now: Instant) {
    router.read(topic, total, now);
    let batch = router.ledger.next_batch(&prepaid(total), 2, now);
    if !batch.records.is_empty() {
        assert!(topic.append(&router.append(batch)));
    }
    router.read(topic, total, now);
    assert!(!router.ledger.has_unconfirmed());
}

#[test]
fn a_waiting_request_gets_tokens_that_another_router_keeps_idle() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut first, mut second) = (Router::new(1, 1), Router::new(2, 1));
    // The first router has used tokens and keeps a buffer of them.
    first.ledger.add_waiting(ACCOUNT, TokenNeed::new(100), now);
    sync(&mut first, &mut topic, 1_000, now);
    first.ledger.remove_waiting(ACCOUNT, 100);
    assert!(first.ledger.reserve(ACCOUNT, TokenNeed::new(100), now));
    first.ledger.settle(ACCOUNT, 100, 100);
    sync(&mut first, &mut topic, 1_000, now);
    let kept = first.ledger.balance(ACCOUNT, 1_000).available;
    assert!(kept > 0, "the first router keeps no buffer");
    // The second router needs all that is left.
    second.ledger.add_waiting(ACCOUNT, TokenNeed::new(900), now);
    for _ in 0..2 {
        sync(&mut second, &mut topic, 1_000, now);
        sync(&mut first, &mut topic, 1_000, now);
    }
    sync(&mut second, &mut topic, 1_000, now);
    assert!(second.ledger.reserve(ACCOUNT, TokenNeed::new(900), now));
}

#[test]
fn a_lowered_limit_holds_from_before_its_append_is_applied() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let mut router = Router::new(1, 1);
    router.ledger.add_waiting(ACCOUNT, TokenNeed::new(500), now);
    sync(&mut router, &mut topic, 1_000, now);
    router.ledger.remove_waiting(ACCOUNT, 500);
    // The release has been sent and not been answered.
    let release = router.ledger.release_batch();
    assert!(!router.ledger.reserve(ACCOUNT, TokenNeed::new(500), now));
    // It is applied late; another router may claim the tokens from then on.
    assert!(topic.append(&router.append(release)));
    router.read(&mut topic, 1_000, now);
    assert!(!router.ledger.reserve(ACCOUNT, TokenNeed::new(500), now));
}

#[test]
fn tokens_of_a_dead_router_are_neither_reused_nor_counted_as_spent() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let mut router = Router::new(1, 1);
    router.ledger.add_waiting(ACCOUNT, TokenNeed::new(400), now);
    sync(&mut router, &mut topic, 1_000, now);
    assert!(router.ledger.reserve(ACCOUNT, TokenNeed::new(400), now));
    let claimed = 1_000 - router.ledger.balance(ACCOUNT, 1_000).free;
    assert!(claimed >= 400);
    let mut next = Router::new(1, 2);
    next.ledger.add_waiting(ACCOUNT, TokenNeed::new(700), now);
    sync(&mut next, &mut topic, 1_000, now);
    assert!(!next.ledger.reserve(ACCOUNT, TokenNeed::new(700), now));
    // The dead router may not have spent its tokens, so the account is not
    // exhausted. Still, no router can serve the request any more.
    assert!(!next.ledger.is_exhausted(ACCOUNT, 1_000, 700));
    assert!(next.ledger.is_short_after_losses(ACCOUNT, 1_000, 700));
    assert_eq!(next.ledger.balance(ACCOUNT, 1_000).lost, claimed);
}

#[test]
fn a_loss_tells_how_much_of_it_was_reserved_for_requests() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let mut router = Router::new(1, 1);
    router.ledger.add_waiting(ACCOUNT, TokenNeed::new(400), now);
    sync(&mut router, &mut topic, 1_000, now);
    router.ledger.remove_waiting(ACCOUNT, 400);
    assert!(router.ledger.reserve(ACCOUNT, TokenNeed::new(300), now));
    sync(&mut router, &mut topic, 1_000, now);
    let claimed = 1_000 - router.ledger.balance(ACCOUNT, 1_000).free;
    let mut next = Router::new(1, 2);
    next.read(&mut topic, 1_000, now);
    next.reload(&topic, 1_000, now);
    let account = ACCOUNT.to_owned();
    let loss = TokenLoss { account, tokens: claimed, reserved: 300 };
    assert_eq!(next.ledger.take_losses(), [loss]);
}

/// All VMs have lost power. The new process of one serves another account
/// only: what its predecessor held and wanted counts no longer, so that
/// nobody waits for it.
#[test]
fn tokens_of_a_dead_router_are_lost_although_its_successor_is_idle() {
    const OTHER: &str = "yards";
    let now = Instant::now();
    let totals =
        BTreeMap::from([(ACCOUNT.to_owned(), 1_000), (OTHER.to_owned(), 500)]);
    let mut topic = Topic::default();
    let mut dead = Router::new(1, 1);
    dead.ledger.add_waiting(ACCOUNT, TokenNeed::new(900), now);
    sync(&mut dead, &mut topic, 1_000, now);
    let mut reader = Router::new(2, 1);
    reader.read(&mut topic, 1_000, now);
    assert!(!reader.ledger.is_short_after_losses(ACCOUNT, 1_000, 400));
    assert_eq!(reader.ledger.lenders(ACCOUNT), ["vm-1"]);

    let mut next = Router::new(1, 2);
    next.read(&mut topic, 1_000, now);
    next.ledger.add_waiting(OTHER, TokenNeed::new(100), now);
    let batch = next.ledger.next_batch(&totals, 2, now);
    assert!(topic.append(&next.append(batch)));
    reader.read(&mut topic, 1_000, now);
    let balance = reader.ledger.balance(ACCOUNT, 1_000);
    assert_eq!((balance.held, balance.lost), (0, 1_000 - balance.free));
    assert!(reader.ledger.is_short_after_losses(ACCOUNT, 1_000, 400));
    assert!(reader.ledger.lenders(ACCOUNT).is_empty());
}

#[test]
fn a_spent_account_is_exhausted_at_every_router() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut first, mut second) = (Router::new(1, 1), Router::new(2, 1));
    first.ledger.add_waiting(ACCOUNT, TokenNeed::new(1_000), now);
    sync(&mut first, &mut topic, 1_000, now);
    first.ledger.remove_waiting(ACCOUNT, 1_000);
    assert!(first.ledger.reserve(ACCOUNT, TokenNeed::new(1_000), now));
    first.ledger.settle(ACCOUNT, 1_000, 990);
    sync(&mut first, &mut topic, 1_000, now);
    second.read(&mut topic, 1_000, now);
    assert!(second.ledger.is_exhausted(ACCOUNT, 1_000, 20));
    assert!(!second.ledger.is_exhausted(ACCOUNT, 1_000, 10));
}

/// A fast router appends between each read and append of a slow one. The
/// slow router must still be granted what it claims.
#[test]
fn a_slow_router_is_granted_tokens_despite_faster_writers() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut fast, mut slow) = (Router::new(1, 1), Router::new(2, 1));
    slow.read(&mut topic, 10_000, now);
    slow.ledger.add_waiting(ACCOUNT, TokenNeed::new(500), now);
    let batch = slow.ledger.next_batch(&prepaid(10_000), 2, now);
    for _ in 0..5 {
        fast.ledger.add_waiting(ACCOUNT, TokenNeed::new(100), now);
        sync(&mut fast, &mut topic, 10_000, now);
    }
    assert!(topic.append(&slow.append(batch)));
    sync(&mut fast, &mut topic, 10_000, now);
    slow.read(&mut topic, 10_000, now);
    assert!(slow.ledger.reserve(ACCOUNT, TokenNeed::new(500), now));
}

/// A router that was cut off from the topic refuses 100 requests each second.
/// Once an append succeeds, it must claim enough for the requests to come.
/// Otherwise refusals go on, and their retries keep the link saturated.
#[test]
fn refused_requests_count_as_demand() {
    const TOTAL: u64 = 50_000_000;
    const TOKENS: u64 = 5_000;
    let start = Instant::now();
    let mut topic = Topic::default();
    let mut router = Router::new(1, 1);
    router.read(&mut topic, TOTAL, start);
    let mut now = start;
    for number in 0..500 {
        now = start + Duration::from_millis(10 * number);
        assert!(!router.ledger.reserve(ACCOUNT, TokenNeed::new(TOKENS), now));
        router.ledger.add_waiting(ACCOUNT, TokenNeed::new(TOKENS), now);
        router.ledger.remove_waiting(ACCOUNT, TOKENS);
    }
    sync(&mut router, &mut topic, TOTAL, now);
    let mut served = 0;
    while router.ledger.reserve(ACCOUNT, TokenNeed::new(TOKENS), now) {
        served += 1;
    }
    assert!(served >= 400, "{served} requests, 100 come each second");
}

/// Two routers claim the last tokens of an account at once. The claim that
/// comes first in the topic is granted in full, the other up to what is left.
#[test]
fn claims_on_the_last_tokens_are_granted_in_order() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut first, mut second) = (Router::new(1, 1), Router::new(2, 1));
    let mut appends = Vec::new();
    for router in [&mut first, &mut second] {
        router.read(&mut topic, 1_000, now);
        for _ in 0..7 {
            router.ledger.add_waiting(ACCOUNT, TokenNeed::new(100), now);
        }
        let batch = router.ledger.next_batch(&prepaid(1_000), 2, now);
        appends.push(router.append(batch));
    }
    // The order in the topic counts, not the order of the claims.
    assert!(topic.append(&appends[1]) && topic.append(&appends[0]));
    first.read(&mut topic, 1_000, now);
    second.read(&mut topic, 1_000, now);
    let claimed = appends[1].batch.records[0].1.taken;
    assert_eq!(second.ledger.balance(ACCOUNT, 1_000).available, claimed);
    assert_eq!(
        first.ledger.balance(ACCOUNT, 1_000).available,
        1_000 - claimed
    );
    let cuts = first.ledger.take_cuts();
    assert_eq!(cuts.len(), 1);
    assert_eq!(cuts[0].granted, 1_000 - claimed);
    // The cut part of the claim is withdrawn and becomes free again.
    sync(&mut first, &mut topic, 1_000, now);
    second.read(&mut topic, 1_000, now);
    assert_eq!(second.ledger.balance(ACCOUNT, 1_500).free, 500);
}

/// A router that was suspended answers calls whose callers have timed out.
/// The tokens of such loans must return to the lender.
#[test]
fn tokens_of_a_canceled_loan_return_to_the_lender() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut lender, borrower) = (Router::new(1, 1), Router::new(2, 1));
    lender.ledger.add_waiting(ACCOUNT, TokenNeed::new(600), now);
    sync(&mut lender, &mut topic, 1_000, now);
    lender.ledger.remove_waiting(ACCOUNT, 600);
    let (first, second) = (loan(&borrower, 200, 1), loan(&borrower, 200, 2));
    // The first loan is canceled after the call, the second before it.
    assert_eq!(lender.ledger.lend(&first), 200);
    assert_eq!(lender.ledger.lend(&first), 200);
    assert_eq!(lender.ledger.cancel_loan(&first), 200);
    assert_eq!(lender.ledger.cancel_loan(&second), 0);
    assert_eq!(lender.ledger.lend(&second), 0);
    assert!(lender.ledger.reserve(ACCOUNT, TokenNeed::new(600), now));
}

/// Covers an outage of the store of 8 s at a steady draw.
///
/// With much of an account left, a busy router serves most of the outage from
/// its buffer. Near the end of the account it keeps little, so that its death
/// loses at most 3% of the account.
#[yare::parameterized(
    early = { 900_000, 7, true },
    late = { 200_000, 0, false },
)]
fn the_buffer_covers_an_outage_early_and_is_small_late(
    left: u64,
    least_seconds: u64,
    is_early: bool,
) {
    const TOTAL: u64 = 1_000_000;
    const DRAW: u64 = 2_000;
    let start = Instant::now();
    let mut topic = Topic::default();
    let (mut old, mut router) = (Router::new(1, 1), Router::new(2, 1));
    // Another router has used the rest of the account before.
    let used = TOTAL - left;
    old.ledger.add_waiting(ACCOUNT, TokenNeed::new(used), start);
    sync(&mut old, &mut topic, TOTAL, start);
    old.ledger.remove_waiting(ACCOUNT, used);
    assert!(old.ledger.reserve(ACCOUNT, TokenNeed::new(used), start));
    old.ledger.settle(ACCOUNT, used, used);
    sync(&mut old, &mut topic, TOTAL, start);
    let batch = old.ledger.release_batch();
    assert!(topic.append(&old.append(batch)));
    let mut now = start;
    for second in 0..20 {
        now = start + Duration::from_secs(second);
        if !router.ledger.reserve(ACCOUNT, TokenNeed::new(DRAW), now) {
            router.ledger.add_waiting(ACCOUNT, TokenNeed::new(DRAW), now);
            sync(&mut router, &mut topic, TOTAL, now);
            router.ledger.remove_waiting(ACCOUNT, DRAW);
            assert!(router.ledger.reserve(ACCOUNT, TokenNeed::new(DRAW), now));
        }
        router.ledger.settle(ACCOUNT, DRAW, DRAW);
        sync(&mut router, &mut topic, TOTAL, now);
    }
    let kept = router.ledger.balance(ACCOUNT, TOTAL).available;
    let mut seconds = 0;
    while router.ledger.reserve(ACCOUNT, TokenNeed::new(DRAW), now) {
        seconds += 1;
    }
    assert!(seconds >= least_seconds, "{seconds} s of the outage served");
    if !is_early {
        assert!(kept * 100 <= TOTAL * 3, "{kept} of {TOTAL} would be lost");
    }
}

/// Rounds of calls that a request has time for.
const LOAN_ROUNDS: u64 = 3;

/// Borrows for one request from peers whose records are as old as the outage;
/// returns whether one had enough.
fn borrow(
    routers: &mut [Router],
    memory: &mut LenderMemory,
    borrower: usize,
    tokens: u64,
    loan_number: &mut u64,
    now: Instant,
) -> bool {
    for _ in 0..LOAN_ROUNDS {
        let ranked = routers[borrower].ledger.lenders(ACCOUNT);
        for vm in memory.choose(ACCOUNT, tokens, ranked, now) {
            let position = routers.iter().position(|r| r.vm == vm);
            let lender = position.expect("a router");
            *loan_number += 1;
            let mut request = loan(&routers[borrower], tokens, *loan_number);
            let ledger = &mut routers[borrower].ledger;
            request.wanted_tokens = ledger.loan_size(ACCOUNT, tokens, now);
            let lent = routers[lender].ledger.lend(&request);
            if lent > 0 {
                routers[borrower].ledger.add_borrowed(ACCOUNT, lent, now);
                return true;
            }
            memory.record_refusal(ACCOUNT, &vm, tokens, now);
        }
    }
    false
}

/// Load pattern of a large fleet without the store: an account is held in 24
/// pieces, each worth a few requests. The records that rank the lenders stay
/// as they were before the outage, so all routers think of the same ones.
#[test]
fn in_an_outage_a_request_finds_any_peer_that_has_its_tokens() {
    const ROUTERS: usize = 24;
    const TOTAL: u64 = 10_000_000;
    let start = Instant::now();
    let mut topic = Topic::default();
    let mut routers: Vec<Router> =
        (0..ROUTERS).map(|number| Router::new(number, 1)).collect();
    let sizes = [1_200, 13_000, 2_400, 900, 40_000, 1_500];
    let mut now = start;
    for step in 0..ROUTERS * 20 {
        now = start + Duration::from_millis(10 * step as u64);
        let router = &mut routers[step % ROUTERS];
        let tokens = sizes[(step / ROUTERS) % sizes.len()];
        router.ledger.add_waiting(ACCOUNT, TokenNeed::new(tokens), now);
        sync(router, &mut topic, TOTAL, now);
        router.ledger.remove_waiting(ACCOUNT, tokens);
        if router.ledger.reserve_waiting(ACCOUNT, tokens, now) {
            router.ledger.settle(ACCOUNT, tokens, tokens);
        }
    }
    for router in &mut routers {
        sync(router, &mut topic, TOTAL, now);
    }
    for router in &mut routers {
        router.read(&mut topic, TOTAL, now);
    }
    let mut memories: Vec<LenderMemory> =
        (0..ROUTERS).map(|_| LenderMemory::new()).collect();
    let (mut loan_number, mut refused) = (0, 0);
    for step in 0..800 {
        now += Duration::from_millis(10);
        let index = step * 7 % ROUTERS;
        let tokens = sizes[step % sizes.len()];
        if !routers[index].ledger.reserve(ACCOUNT, TokenNeed::new(tokens), now)
        {
            let memory = &mut memories[index];
            let number = &mut loan_number;
            borrow(&mut routers, memory, index, tokens, number, now);
            if !routers[index].ledger.reserve(
                ACCOUNT,
                TokenNeed::new(tokens),
                now,
            ) {
                refused += 1;
                let has_more = |router: &Router| {
                    let balance = router.ledger.balance(ACCOUNT, TOTAL);
                    balance.available >= tokens
                };
                let having = routers.iter().filter(|r| has_more(r)).count();
                assert_eq!(having, 0, "step {step}: {tokens} tokens refused");
                continue;
            }
        }
        routers[index].ledger.settle(ACCOUNT, tokens, tokens);
    }
    assert!(refused > 0, "the pieces last longer than the outage");
}

/// Kinds of requests: how many come in 10 s, how many tokens they need and
/// use, and their priority.
const REQUEST_KINDS: [(u64, u64, u64, u8); 3] =
    [(287, 12_400, 12_000, 1), (464, 1_120, 970, 0), (426, 2_400, 2_390, 2)];

/// A request in progress.
struct OpenRequest {
    router: usize,
    need: TokenNeed,
    used: u64,
}

/// Routers that serve requests which last for a second each.
struct LoadedFleet {
    routers: Vec<Router>,
    topic: Topic,
    total: u64,
    open: VecDeque<OpenRequest>,
    came: u64,
    served: u64,
    spent: u64,
    now: Instant,
}

/// Steps of a second of load.
const STEPS_PER_SECOND: u32 = 50;

impl LoadedFleet {
    /// Steps between two synchronizations of all routers.
    const STEPS_PER_SYNC: u64 = 35;

    fn new(routers: usize, total: u64) -> LoadedFleet {
        LoadedFleet {
            routers: (0..routers).map(|n| Router::new(n, 1)).collect(),
            topic: Topic::default(),
            total,
            open: VecDeque::new(),
            came: 0,
            served: 0,
            spent: 0,
            now: Instant::now(),
        }
    }

    /// Serves requests for some seconds; returns how many came and how many
    /// were served.
    fn run(&mut self, seconds: u64) -> (u64, u64) {
        (self.came, self.served) = (0, 0);
        for _ in 0..seconds {
            let mut ending = std::mem::take(&mut self.open);
            for step in 0..u64::from(STEPS_PER_SECOND) {
                let steps_left = u64::from(STEPS_PER_SECOND) - step;
                let ended = ending.len() / steps_left as usize;
                for request in ending.drain(..ended) {
                    self.end(&request);
                }
                self.take_arrivals(step);
                self.now += Duration::from_secs(1) / STEPS_PER_SECOND;
                if step % Self::STEPS_PER_SYNC == 0 {
                    self.sync_all();
                }
            }
        }
        (self.came, self.served)
    }

    fn end(&mut self, request: &OpenRequest) {
        let ledger = &mut self.routers[request.router].ledger;
        ledger.settle(ACCOUNT, request.need.tokens(), request.used);
        self.spent += request.used;
    }

    fn sync_all(&mut self) {
        for router in &mut self.routers {
            sync(router, &mut self.topic, self.total, self.now);
        }
    }

    fn take_arrivals(&mut self, step: u64) {
        for (rate, tokens, used, priority) in REQUEST_KINDS {
            let arrived =
                |steps: u64| rate * steps / u64::from(STEPS_PER_SECOND) / 10;
            for _ in arrived(step)..arrived(step + 1) {
                self.came += 1;
                let router = self.came as usize % self.routers.len();
                let need = TokenNeed::new(tokens).with_priority(priority);
                if self.reserve(router, need) {
                    self.served += 1;
                    self.open.push_back(OpenRequest { router, need, used });
                }
            }
        }
    }

    /// Reserves tokens for a request, after a claim if that is needed.
    fn reserve(&mut self, router: usize, need: TokenNeed) -> bool {
        let (total, now) = (self.total, self.now);
        let router = &mut self.routers[router];
        if router.ledger.is_kept_back(ACCOUNT, total, need, now) {
            return false;
        }
        if router.ledger.reserve(ACCOUNT, need, now) {
            return true;
        }
        router.ledger.add_waiting(ACCOUNT, need, now);
        sync(router, &mut self.topic, total, now);
        router.ledger.remove_waiting(ACCOUNT, need.tokens());
        router.ledger.reserve_waiting(ACCOUNT, need.tokens(), now)
    }

    /// All VMs lose power and start again. The requests in progress have used
    /// what they can.
    fn lose_power(&mut self) {
        for request in self.open.drain(..) {
            self.spent += request.used;
        }
        for (number, router) in self.routers.iter_mut().enumerate() {
            let mut fresh = Router::new(number, 2);
            fresh.epoch = router.epoch + 1;
            *router = fresh;
        }
    }
}

/// RECOVER: all VMs lost power, tokens were lost with them, and 12 s later
/// fewer than a quarter of the requests were served.
#[test]
fn a_quarter_is_served_12_s_after_a_loss_of_power_that_took_tokens() {
    const TOTAL: u64 = 18_000_000;
    let mut fleet = LoadedFleet::new(8, TOTAL);
    let (came, served) = fleet.run(27);
    assert_eq!(came, served, "the account lasts until the power goes");
    fleet.lose_power();
    fleet.run(12);
    let (came, served) = fleet.run(3);
    let lost = fleet.routers[0].ledger.balance(ACCOUNT, TOTAL).lost;
    let in_progress = fleet.open.iter().map(|request| request.used);
    let spent = fleet.spent + in_progress.sum::<u64>();
    assert!(spent <= TOTAL, "{spent} tokens spent of {TOTAL}");
    assert!(
        served * 4 >= came,
        "{served} of {came} requests served, {lost} tokens were lost"
    );
}
