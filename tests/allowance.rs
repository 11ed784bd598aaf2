//! Prepaid tokens under lost, late and contended appends, and deaths.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use {
    magnoliahaven::{
        allowance::{AllowanceBatch, AllowanceLedger, allowance_key},
        domain::HolderId,
        ports::{KeyedRecord, LendRequest},
    },
    proptest::prelude::*,
};

const ACCOUNT: &str = "dairy";
/// Records that are appended while a reader gets the newest ones.
const LATE_RECORDS: usize = 3;

const HORIZON: Duration = Duration::from_secs(8);

/// An append as it is under way to the topic.
#[derive(Clone, Debug)]
struct Append {
    vm: String,
    epoch: u64,
    number: u64,
    draft: AllowanceBatch,
}

/// The appends of one writer that were done.
#[derive(Default)]
struct Writer {
    epoch: u64,
    next: u64,
}

/// A keyed topic that takes the appends of a writer once and in order.
#[derive(Default)]
struct Topic {
    records: Vec<KeyedRecord>,
    writers: BTreeMap<String, Writer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn fence(&mut self, vm: &str, epoch: u64) {
        let writer = self.writers.entry(vm.to_owned()).or_default();
        assert!(epoch > writer.epoch, "an epoch that is used already");
        *writer = Writer { epoch, next: 0 };
    }

    /// Does an append, unless it is fenced, repeated or out of order;
    /// `false` if it was not done and never will be with this number.
    fn append(&mut self, append: &Append) -> bool {
        let writer = self.writers.entry(append.vm.clone()).or_default();
        if append.epoch != writer.epoch || append.number > writer.next {
            return false;
        }
        if append.number < writer.next {
            return true;
        }
        writer.next += 1;
        for (account, record) in &append.draft.records {
            let offset = self.end();
            let key = allowance_key(account, &append.vm);
            let value = Some(record.encode());
            self.records.push(KeyedRecord { key, value, offset });
        }
        true
    }

    /// The newest record of each key, as a reader without history sees it,
    /// and where to read on. The pages are no snapshot: some are from before
    /// the last appends and some from after them.
    fn newest(&self) -> (Vec<KeyedRecord>, u64) {
        let first_end = self.records.len().saturating_sub(LATE_RECORDS);
        let mut newest = BTreeMap::new();
        for (place, record) in self.records.iter().enumerate() {
            let is_late_page = record.key.ends_with(['1', '3']);
            if place < first_end || is_late_page {
                newest.insert(record.key.clone(), record.clone());
            }
        }
        (newest.into_values().collect(), first_end as u64)
    }
}

struct Router {
    vm: String,
    incarnation: u64,
    book: AllowanceLedger,
    number: u64,
    is_loaded: bool,
    reserved: Vec<u64>,
    late: Vec<Append>,
}

impl Router {
    fn new(number: usize, incarnation: u64) -> Router {
        let vm = format!("vm-{number}");
        let book = AllowanceLedger::new(&vm, incarnation, HORIZON);
        Router {
            vm,
            incarnation,
            book,
            number: 0,
            is_loaded: false,
            reserved: Vec::new(),
            late: Vec::new(),
        }
    }

    fn read(&mut self, topic: &mut Topic, total: u64, now: Instant) {
        if !self.is_loaded {
            topic.fence(&self.vm, self.incarnation);
            self.load(topic, total, now);
            self.book.finish_load(&prepaid(total), true);
            self.is_loaded = true;
        }
        self.read_on(topic, total, now);
        self.close(topic);
    }

    /// Begins with the newest records, as if the history was gone.
    fn reload(&mut self, topic: &Topic, total: u64, now: Instant) {
        if !self.is_loaded {
            return;
        }
        self.load(topic, total, now);
        self.book.finish_load(&prepaid(total), false);
        self.close(topic);
    }

    fn load(&mut self, topic: &Topic, total: u64, now: Instant) {
        let (records, next) = topic.newest();
        self.book.load(&records, next, now);
        self.read_on(topic, total, now);
    }

    fn read_on(&mut self, topic: &Topic, total: u64, now: Instant) {
        let from = self.book.cursor() as usize;
        let records = topic.records[from..].to_vec();
        self.book.apply(&records, topic.end(), &prepaid(total), now);
    }

    fn close(&mut self, topic: &Topic) {
        if !self.book.has_unconfirmed() && self.is_numbered(topic) {
            self.number += 1;
        }
    }

    /// Whether the append of the present number was done.
    fn is_numbered(&self, topic: &Topic) -> bool {
        let writer = topic.writers.get(&self.vm);
        writer.is_some_and(|writer| writer.next > self.number)
    }

    fn append(&self, draft: AllowanceBatch) -> Append {
        let (vm, epoch) = (self.vm.clone(), self.incarnation);
        Append { vm, epoch, number: self.number, draft }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Router appends and reads; the answer may be lost, the append late.
    Sync { router: usize, fate: u8 },
    /// The history is gone; the router reads the newest records.
    Reload { router: usize },
    /// An append whose answer was lost takes effect now, if it still can.
    Late { router: usize },
    /// A request sets tokens aside, or waits for them.
    Reserve { router: usize, tokens: u64 },
    /// The oldest request ends with a part of its tokens used.
    Settle { router: usize, percent: u64 },
    /// One router lends to another.
    Lend { from: usize, to: usize, tokens: u64 },
    /// The process dies and another one starts on the same VM.
    Restart { router: usize },
    /// Operators add tokens.
    TopUp { tokens: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let router = 0..4_usize;
    let step = prop_oneof![
        6 => (router.clone(), 0..10_u8)
            .prop_map(|(router, fate)| Step::Sync { router, fate }),
        1 => router.clone().prop_map(|router| Step::Late { router }),
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

/// What really happened, as callers and upstreams would count it.
struct Truth {
    prepaid: u64,
    spent: u64,
    in_flight: u64,
}

fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let start = Instant::now();
    let mut topic = Topic::default();
    let mut truth = Truth { prepaid: 3_000, spent: 0, in_flight: 0 };
    let mut routers: Vec<Router> =
        (0..4).map(|number| Router::new(number, 1)).collect();
    for (tick, step) in steps.iter().enumerate() {
        let now = start + Duration::from_millis(100 * tick as u64);
        match *step {
            Step::Sync { router, fate } => {
                let router = &mut routers[router];
                if !router.is_loaded {
                    router.read(&mut topic, truth.prepaid, now);
                }
                let total = prepaid(truth.prepaid);
                let draft = router.book.next_batch(&total, 4, now);
                if draft.records.is_empty() {
                    router.read(&mut topic, truth.prepaid, now);
                    continue;
                }
                let append = router.append(draft);
                match fate {
                    // Done, but the answer is lost.
                    0 => {
                        topic.append(&append);
                    }
                    // Not done yet; it may still be, once or twice.
                    1 => router.late.push(append),
                    2 => {
                        router.late.extend([append.clone(), append.clone()]);
                        topic.append(&append);
                    }
                    // Done, and not read back yet.
                    3 => {
                        topic.append(&append);
                    }
                    _ => {
                        prop_assert!(topic.append(&append));
                        router.read(&mut topic, truth.prepaid, now);
                        prop_assert!(!router.book.has_unconfirmed());
                    }
                }
            }
            Step::Late { router } => {
                let router = &mut routers[router];
                if let Some(append) = router.late.pop() {
                    topic.append(&append);
                }
            }
            Step::Reload { router } => {
                routers[router].reload(&topic, truth.prepaid, now);
            }
            Step::Reserve { router, tokens } => {
                let router = &mut routers[router];
                if router.book.reserve(ACCOUNT, tokens, now) {
                    router.reserved.push(tokens);
                    truth.in_flight += tokens;
                } else {
                    router.book.add_waiting(ACCOUNT, tokens, now);
                }
            }
            Step::Settle { router, percent } => {
                let router = &mut routers[router];
                if router.reserved.is_empty() {
                    continue;
                }
                let tokens = router.reserved.remove(0);
                let used = tokens * percent / 100;
                router.book.settle(ACCOUNT, tokens, used);
                truth.in_flight -= tokens;
                truth.spent += used;
            }
            Step::Lend { from, to, tokens } => {
                if from == to {
                    continue;
                }
                let request = loan(&routers[to], tokens, tick as u64);
                // Every third answer is lost, and the loan is taken back
                // before or after the call arrives, or not at all.
                if tokens % 3 > 0 {
                    let lent = routers[from].book.lend(&request);
                    routers[to].book.add_borrowed(ACCOUNT, lent, now);
                } else if tokens % 2 > 0 {
                    routers[from].book.cancel_loan(&request);
                    let lent = routers[from].book.lend(&request);
                    prop_assert_eq!(lent, 0);
                } else {
                    routers[from].book.lend(&request);
                    routers[from].book.cancel_loan(&request);
                }
            }
            Step::Restart { router } => {
                let old = &routers[router];
                // All that was in progress may have run to its end.
                let running: u64 = old.reserved.iter().sum();
                truth.in_flight -= running;
                truth.spent += running;
                let mut fresh = Router::new(router, old.incarnation + 1);
                fresh.late = old.late.clone();
                routers[router] = fresh;
            }
            Step::TopUp { tokens } => truth.prepaid += tokens,
        }
        let used = truth.spent + truth.in_flight;
        prop_assert!(used <= truth.prepaid, "{used} of {}", truth.prepaid);
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

    /// Whatever is lost, late or repeated, nothing is spent twice.
    #[test]
    fn no_account_is_overspent(steps in steps()) {
        play(&steps)?;
    }
}

fn prepaid(tokens: u64) -> BTreeMap<String, u64> {
    BTreeMap::from([(ACCOUNT.to_owned(), tokens)])
}

/// Reads, appends and reads back without any fault.
fn sync(router: &mut Router, topic: &mut Topic, total: u64, now: Instant) {
    router.read(topic, total, now);
    let draft = router.book.next_batch(&prepaid(total), 2, now);
    if !draft.records.is_empty() {
        assert!(topic.append(&router.append(draft)));
    }
    router.read(topic, total, now);
    assert!(!router.book.has_unconfirmed());
}

#[test]
fn a_waiting_request_gets_tokens_that_another_router_keeps_idle() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut one, mut two) = (Router::new(1, 1), Router::new(2, 1));
    // The first router keeps tokens ahead of need after busy seconds.
    one.book.add_waiting(ACCOUNT, 100, now);
    sync(&mut one, &mut topic, 1_000, now);
    one.book.remove_waiting(ACCOUNT, 100);
    assert!(one.book.reserve(ACCOUNT, 100, now));
    one.book.settle(ACCOUNT, 100, 100);
    sync(&mut one, &mut topic, 1_000, now);
    let kept = one.book.balance(ACCOUNT, 1_000).available;
    assert!(kept > 0, "the first router keeps nothing");
    // The second one needs all that is left.
    two.book.add_waiting(ACCOUNT, 900, now);
    for _ in 0..2 {
        sync(&mut two, &mut topic, 1_000, now);
        sync(&mut one, &mut topic, 1_000, now);
    }
    sync(&mut two, &mut topic, 1_000, now);
    assert!(two.book.reserve(ACCOUNT, 900, now));
}

#[test]
fn a_lowered_limit_holds_while_its_append_may_still_take_effect() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let mut router = Router::new(1, 1);
    router.book.add_waiting(ACCOUNT, 500, now);
    sync(&mut router, &mut topic, 1_000, now);
    router.book.remove_waiting(ACCOUNT, 500);
    // The release is under way without an answer.
    let release = router.book.release_batch();
    assert!(!router.book.reserve(ACCOUNT, 500, now));
    // It takes effect late. Another router may take the tokens then.
    assert!(topic.append(&router.append(release)));
    router.read(&mut topic, 1_000, now);
    assert!(!router.book.reserve(ACCOUNT, 500, now));
}

#[test]
fn tokens_of_a_dead_router_are_neither_spent_again_nor_called_spent() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let mut router = Router::new(1, 1);
    router.book.add_waiting(ACCOUNT, 400, now);
    sync(&mut router, &mut topic, 1_000, now);
    assert!(router.book.reserve(ACCOUNT, 400, now));
    let claimed = 1_000 - router.book.balance(ACCOUNT, 1_000).free;
    assert!(claimed >= 400);
    let mut next = Router::new(1, 2);
    next.book.add_waiting(ACCOUNT, 700, now);
    sync(&mut next, &mut topic, 1_000, now);
    assert!(!next.book.reserve(ACCOUNT, 700, now));
    // The dead router may have spent its tokens or not, so the account is
    // not exhausted; but nobody can serve the request any more.
    assert!(!next.book.is_exhausted(ACCOUNT, 1_000, 700));
    assert!(next.book.is_short_after_losses(ACCOUNT, 1_000, 700));
    assert_eq!(next.book.balance(ACCOUNT, 1_000).lost, claimed);
}

#[test]
fn an_account_that_is_spent_is_exhausted_at_every_router() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut one, mut two) = (Router::new(1, 1), Router::new(2, 1));
    one.book.add_waiting(ACCOUNT, 1_000, now);
    sync(&mut one, &mut topic, 1_000, now);
    one.book.remove_waiting(ACCOUNT, 1_000);
    assert!(one.book.reserve(ACCOUNT, 1_000, now));
    one.book.settle(ACCOUNT, 1_000, 990);
    sync(&mut one, &mut topic, 1_000, now);
    two.read(&mut topic, 1_000, now);
    assert!(two.book.is_exhausted(ACCOUNT, 1_000, 20));
    assert!(!two.book.is_exhausted(ACCOUNT, 1_000, 10));
}

/// Load pattern of a slow router: others write between its reads and its
/// appends, each time. It gets what it claims all the same.
#[test]
fn a_router_that_is_always_outrun_gets_tokens() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut fast, mut slow) = (Router::new(1, 1), Router::new(2, 1));
    slow.read(&mut topic, 10_000, now);
    slow.book.add_waiting(ACCOUNT, 500, now);
    let draft = slow.book.next_batch(&prepaid(10_000), 2, now);
    for _ in 0..5 {
        fast.book.add_waiting(ACCOUNT, 100, now);
        sync(&mut fast, &mut topic, 10_000, now);
    }
    assert!(topic.append(&slow.append(draft)));
    sync(&mut fast, &mut topic, 10_000, now);
    slow.read(&mut topic, 10_000, now);
    assert!(slow.book.reserve(ACCOUNT, 500, now));
}

/// Load pattern of a router that was cut off: it had to refuse 100 requests a
/// second. When one append gets through at last, it has to bring enough for
/// those that come, or refusals go on, come back and keep the link full.
#[test]
fn what_had_to_be_refused_is_demand() {
    const TOTAL: u64 = 50_000_000;
    const TOKENS: u64 = 5_000;
    let start = Instant::now();
    let mut topic = Topic::default();
    let mut router = Router::new(1, 1);
    router.read(&mut topic, TOTAL, start);
    let mut now = start;
    for number in 0..500 {
        now = start + Duration::from_millis(10 * number);
        assert!(!router.book.reserve(ACCOUNT, TOKENS, now));
        router.book.add_waiting(ACCOUNT, TOKENS, now);
        router.book.remove_waiting(ACCOUNT, TOKENS);
    }
    sync(&mut router, &mut topic, TOTAL, now);
    let mut served = 0;
    while router.book.reserve(ACCOUNT, TOKENS, now) {
        served += 1;
    }
    assert!(served >= 400, "{served} requests, 100 come each second");
}

/// Two routers claim the end of an account at once: the first one in the
/// topic gets what it claims, the other one what that leaves.
#[test]
fn claims_on_the_last_tokens_are_granted_in_order() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut one, mut two) = (Router::new(1, 1), Router::new(2, 1));
    let mut drafts = Vec::new();
    for router in [&mut one, &mut two] {
        router.read(&mut topic, 1_000, now);
        for _ in 0..7 {
            router.book.add_waiting(ACCOUNT, 100, now);
        }
        let draft = router.book.next_batch(&prepaid(1_000), 2, now);
        drafts.push(router.append(draft));
    }
    // In the order of the topic, not of the drafts.
    assert!(topic.append(&drafts[1]) && topic.append(&drafts[0]));
    one.read(&mut topic, 1_000, now);
    two.read(&mut topic, 1_000, now);
    let claimed = drafts[1].draft.records[0].1.taken;
    assert_eq!(two.book.balance(ACCOUNT, 1_000).available, claimed);
    assert_eq!(one.book.balance(ACCOUNT, 1_000).available, 1_000 - claimed);
    let cuts = one.book.take_cuts();
    assert_eq!(cuts.len(), 1);
    assert_eq!(cuts[0].granted, 1_000 - claimed);
    // The rest of the claim is withdrawn and can be had again.
    sync(&mut one, &mut topic, 1_000, now);
    two.read(&mut topic, 1_000, now);
    assert_eq!(two.book.balance(ACCOUNT, 1_500).free, 500);
}

/// A router that was frozen answers calls that nobody waits for any more.
#[test]
fn a_loan_whose_answer_was_lost_is_not_lost() {
    let now = Instant::now();
    let mut topic = Topic::default();
    let (mut one, two) = (Router::new(1, 1), Router::new(2, 1));
    one.book.add_waiting(ACCOUNT, 600, now);
    sync(&mut one, &mut topic, 1_000, now);
    one.book.remove_waiting(ACCOUNT, 600);
    let (first, second) = (loan(&two, 200, 1), loan(&two, 200, 2));
    // Taken back after it was lent, and before the call arrives.
    assert_eq!(one.book.lend(&first), 200);
    assert_eq!(one.book.lend(&first), 200);
    assert_eq!(one.book.cancel_loan(&first), 200);
    assert_eq!(one.book.cancel_loan(&second), 0);
    assert_eq!(one.book.lend(&second), 0);
    assert!(one.book.reserve(ACCOUNT, 600, now));
}

/// Load pattern of a cut: 8 s without the store at a steady draw.
///
/// With much of an account left, a router that was busy serves most of the
/// cut from what it keeps; near the end it keeps little, so that its death
/// costs the account less than 3 in 100.
#[yare::parameterized(
    early = { 900_000, 7, true },
    late = { 200_000, 0, false },
)]
fn the_float_covers_a_cut_early_and_is_small_late(
    left: u64,
    least_seconds: u64,
    is_early: bool,
) {
    const TOTAL: u64 = 1_000_000;
    const DRAW: u64 = 2_000;
    let start = Instant::now();
    let mut topic = Topic::default();
    let (mut old, mut router) = (Router::new(1, 1), Router::new(2, 1));
    // What the account has used before.
    let used = TOTAL - left;
    old.book.add_waiting(ACCOUNT, used, start);
    sync(&mut old, &mut topic, TOTAL, start);
    old.book.remove_waiting(ACCOUNT, used);
    assert!(old.book.reserve(ACCOUNT, used, start));
    old.book.settle(ACCOUNT, used, used);
    sync(&mut old, &mut topic, TOTAL, start);
    let draft = old.book.release_batch();
    assert!(topic.append(&old.append(draft)));
    let mut now = start;
    for second in 0..20 {
        now = start + Duration::from_secs(second);
        if !router.book.reserve(ACCOUNT, DRAW, now) {
            router.book.add_waiting(ACCOUNT, DRAW, now);
            sync(&mut router, &mut topic, TOTAL, now);
            router.book.remove_waiting(ACCOUNT, DRAW);
            assert!(router.book.reserve(ACCOUNT, DRAW, now));
        }
        router.book.settle(ACCOUNT, DRAW, DRAW);
        sync(&mut router, &mut topic, TOTAL, now);
    }
    let kept = router.book.balance(ACCOUNT, TOTAL).available;
    let mut seconds = 0;
    while router.book.reserve(ACCOUNT, DRAW, now) {
        seconds += 1;
    }
    assert!(seconds >= least_seconds, "{seconds} s of the cut served");
    if !is_early {
        assert!(kept * 100 <= TOTAL * 3, "{kept} of {TOTAL} would be lost");
    }
}
