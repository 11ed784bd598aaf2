//! Compares the budget ledger, holders and settlements with a reference model.
//!
//! Generated schedules run several nodes on one partition of the log: top-ups,
//! grants, requests, loans, lost answers, repeated appends, crashes, delayed
//! reads and recoveries. The reference model sees all usage at once and in
//! order. After every step:
//!
//! * the tokens used are covered by the top-ups,
//! * every prefix of the log is balanced.
//!
//! At the end, every bill is in the log exactly once.

use std::{collections::BTreeMap, time::Instant};

use {
    magnoliahaven::{
        AccountLedger, AccountRecord, GrantHolder, HolderId, PortionId,
        StreamFold,
        budget::{
            GrantRecord, LedgerEffect, LendRecord, RecordOutbox, Reservation,
            Sent, SettleRecord, TopUpRecord,
        },
        ports::LogRecord,
    },
    proptest::prelude::*,
};

const BUDGET: &str = "dairy/nurses";
const PARTITION: u32 = 3;
const NODES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    TopUp { id: u8, tokens: u64 },
    Ask { node: usize, least: u64, want: u64 },
    Dispatch { node: usize, tokens: u64 },
    Finish { node: usize, index: usize, percent: u64 },
    Release { node: usize, tokens: u64 },
    Lend { from: usize, to: usize, least: u64, lost: bool },
    Settle { node: usize },
    Close { node: usize },
    Flush { node: usize, end: FlushEnd },
    Read { node: usize, records: usize },
    Crash { node: usize },
    RestartReader { node: usize },
    Recover { index: usize, percent: u64 },
}

#[derive(Clone, Copy, Debug)]
enum FlushEnd {
    Confirmed,
    AnswerLost,
    NotApplied,
}

fn steps() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        2 => (0..6u8, 50..400u64)
            .prop_map(|(id, tokens)| Step::TopUp { id, tokens }),
        6 => (node.clone(), 1..80u64, 1..200u64)
            .prop_map(|(node, least, want)| Step::Ask { node, least, want }),
        12 => (node.clone(), 1..60u64)
            .prop_map(|(node, tokens)| Step::Dispatch { node, tokens }),
        10 => (node.clone(), 0..8usize, 0..=100u64).prop_map(
            |(node, index, percent)| Step::Finish { node, index, percent }
        ),
        2 => (node.clone(), 1..60u64)
            .prop_map(|(node, tokens)| Step::Release { node, tokens }),
        4 => (node.clone(), node.clone(), 1..60u64, any::<bool>()).prop_map(
            |(from, to, least, lost)| Step::Lend { from, to, least, lost }
        ),
        4 => node.clone().prop_map(|node| Step::Settle { node }),
        3 => node.clone().prop_map(|node| Step::Close { node }),
        10 => (node.clone(), prop_oneof![
            4 => Just(FlushEnd::Confirmed),
            1 => Just(FlushEnd::AnswerLost),
            1 => Just(FlushEnd::NotApplied),
        ]).prop_map(|(node, end)| Step::Flush { node, end }),
        12 => (node.clone(), 1..12usize)
            .prop_map(|(node, records)| Step::Read { node, records }),
        1 => node.clone().prop_map(|node| Step::Crash { node }),
        1 => node.clone().prop_map(|node| Step::RestartReader { node }),
        2 => (0..8usize, 0..=100u64)
            .prop_map(|(index, percent)| Step::Recover { index, percent }),
    ]
}

/// The actual usage of every bill.
#[derive(Default)]
struct ReferenceModel {
    topped_up: BTreeMap<u8, u64>,
    ceilings: BTreeMap<String, u64>,
    used: BTreeMap<String, u64>,
}

impl ReferenceModel {
    /// Returns the most tokens that can have been used, with requests in
    /// progress counted at their ceilings.
    fn max_used(&self) -> u64 {
        let ceiling = |(bill, ceiling): (&String, &u64)| {
            self.used.get(bill).copied().unwrap_or(*ceiling)
        };
        self.ceilings.iter().map(ceiling).sum()
    }
}

struct Node {
    holder: GrantHolder,
    outbox: RecordOutbox,
    in_flight: Vec<String>,
    ledger: AccountLedger,
    open: Vec<Reservation<Sent>>,
}

impl Node {
    fn new(node: usize, incarnation: u64) -> Node {
        let id = HolderId::new(format!("vm-{node}"), incarnation);
        Node {
            holder: GrantHolder::new(id),
            outbox: RecordOutbox::new(),
            in_flight: Vec::new(),
            ledger: AccountLedger::new(),
            open: Vec::new(),
        }
    }

    fn push(&mut self, record: AccountRecord) {
        self.outbox.push(PARTITION, record);
    }
}

struct Simulation {
    log: Vec<LogRecord>,
    full_ledger: AccountLedger,
    nodes: Vec<Node>,
    orphaned: Vec<(Reservation<Sent>, bool)>,
    reference: ReferenceModel,
    incarnation: u64,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            log: Vec::new(),
            full_ledger: AccountLedger::new(),
            nodes: (0..NODES).map(|node| Node::new(node, 0)).collect(),
            orphaned: Vec::new(),
            reference: ReferenceModel::default(),
            incarnation: 0,
        }
    }

    fn append(&mut self, payloads: &[String]) {
        for payload in payloads {
            let offset = self.log.len() as u64;
            let payload = payload.clone();
            let record = LogRecord { offset, time_ms: offset, payload };
            self.full_ledger.apply(&record);
            assert!(
                self.full_ledger.is_balanced(),
                "prefix {offset} unbalanced"
            );
            self.log.push(record);
        }
    }

    fn read(&mut self, node: usize, records: usize) {
        let node = &mut self.nodes[node];
        let from = node.ledger.next as usize;
        for record in self.log.iter().skip(from).take(records) {
            let now = Instant::now();
            match node.ledger.apply(record) {
                Some(LedgerEffect::Granted { grant, record, tokens })
                    if record.holder == *node.holder.id() && tokens > 0 =>
                {
                    let portion = PortionId::new(PARTITION, grant, 0);
                    node.holder.add(portion, BUDGET, tokens, now);
                }
                Some(LedgerEffect::Lent { record, .. })
                    if record.to == *node.holder.id() =>
                {
                    let LendRecord { portion, tokens, .. } = record;
                    node.holder.add(portion, BUDGET, tokens, now);
                }
                _ => {}
            }
        }
    }

    fn flush(&mut self, node: usize, end: FlushEnd) {
        let queue = &mut self.nodes[node];
        if queue.in_flight.is_empty() {
            match queue.outbox.start_append(PARTITION) {
                Some(batch) => queue.in_flight = batch,
                None => return,
            }
        }
        let batch = queue.in_flight.clone();
        if !matches!(end, FlushEnd::NotApplied) {
            self.append(&batch);
        }
        if matches!(end, FlushEnd::Confirmed) {
            let queue = &mut self.nodes[node];
            queue.outbox.confirm_append(PARTITION);
            queue.in_flight.clear();
        }
    }

    fn settle(&mut self, node: usize, close: bool) {
        let node = &mut self.nodes[node];
        let mut settlements = node.holder.take_settlements();
        if close {
            settlements.extend(node.holder.close_where(|_, _, _| true));
        }
        for settlement in settlements {
            node.push(AccountRecord::Settle(settlement.record));
        }
    }

    fn finish(&mut self, node: usize, index: usize, percent: u64) {
        let node = &mut self.nodes[node];
        if node.open.is_empty() {
            return;
        }
        let index = index % node.open.len();
        let reservation = node.open.remove(index);
        let tokens = reservation.tokens() * percent / 100;
        let bill = node.holder.settle(reservation, tokens);
        self.reference.used.insert(bill.bill.to_string(), bill.tokens);
    }

    fn lend(&mut self, from: usize, to: usize, least: u64, lost: bool) {
        if from == to {
            return;
        }
        let to_id = self.nodes[to].holder.id().clone();
        let lent = self.nodes[from].holder.lend(BUDGET, &to_id, least, least);
        let Some((reply, record)) = lent else {
            return;
        };
        self.nodes[from].push(AccountRecord::Lend(record));
        if lost {
            return;
        }
        let now = Instant::now();
        let borrower = &mut self.nodes[to];
        borrower.holder.add(reply.portion, BUDGET, reply.tokens, now);
        borrower.push(AccountRecord::Lend(LendRecord {
            portion: reply.portion,
            to: to_id,
            tokens: reply.tokens,
        }));
    }

    fn crash(&mut self, node: usize) {
        self.incarnation += 1;
        let fresh = Node::new(node, self.incarnation);
        let dead = std::mem::replace(&mut self.nodes[node], fresh);
        for reservation in dead.open {
            self.orphaned.push((reservation, false));
        }
    }

    /// Settles a request of a crashed node, as its standby does.
    fn recover(&mut self, index: usize, percent: u64) {
        if self.orphaned.is_empty() {
            return;
        }
        let index = index % self.orphaned.len();
        let (reservation, recovered) = &mut self.orphaned[index];
        if *recovered {
            return;
        }
        *recovered = true;
        let bill = reservation.bill();
        let tokens = reservation.tokens() * percent / 100;
        self.reference.used.insert(bill.to_string(), tokens);
        let record = AccountRecord::Settle(SettleRecord {
            portion: bill.portion,
            upto: 0,
            spent: 0,
            beyond: vec![(bill.number, tokens)],
            close: false,
        });
        self.append(&[record.encode()]);
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::TopUp { id, tokens } => {
                let tokens =
                    *self.reference.topped_up.entry(id).or_insert(tokens);
                let record = AccountRecord::TopUp(TopUpRecord {
                    budget: BUDGET.to_owned(),
                    id: id.to_string(),
                    tokens,
                    who: "ana".to_owned(),
                });
                self.append(&[record.encode()]);
            }
            Step::Ask { node, least, want } => {
                let holder = self.nodes[node].holder.id().clone();
                self.nodes[node].push(AccountRecord::Grant(GrantRecord {
                    budget: BUDGET.to_owned(),
                    holder,
                    least,
                    want: want.max(least),
                }));
            }
            Step::Dispatch { node, tokens } => {
                let node = &mut self.nodes[node];
                let now = Instant::now();
                let reserved = node.holder.reserve(BUDGET, tokens, now);
                let Some(reservation) = reserved else {
                    return;
                };
                let bill = reservation.bill().to_string();
                let earlier = self.reference.ceilings.insert(bill, tokens);
                assert_eq!(earlier, None, "a bill number was used twice");
                node.open.push(reservation.into_sent());
            }
            Step::Finish { node, index, percent } => {
                self.finish(node, index, percent);
            }
            Step::Release { node, tokens } => {
                let node = &mut self.nodes[node];
                let now = Instant::now();
                let reserved = node.holder.reserve(BUDGET, tokens, now);
                if let Some(reservation) = reserved {
                    let bill = reservation.bill().to_string();
                    self.reference.ceilings.insert(bill.clone(), 0);
                    self.reference.used.insert(bill, 0);
                    node.holder.release(reservation);
                }
            }
            Step::Lend { from, to, least, lost } => {
                self.lend(from, to, least, lost);
            }
            Step::Settle { node } => self.settle(node, false),
            Step::Close { node } => self.settle(node, true),
            Step::Flush { node, end } => self.flush(node, end),
            Step::Read { node, records } => self.read(node, records),
            Step::Crash { node } => self.crash(node),
            Step::RestartReader { node } => {
                self.nodes[node].ledger = AccountLedger::new();
            }
            Step::Recover { index, percent } => self.recover(index, percent),
        }
        let topped_up =
            self.full_ledger.budgets.get(BUDGET).map_or(0, |b| b.topped_up);
        let used = self.reference.max_used();
        assert!(
            used <= topped_up,
            "{used} tokens used, {topped_up} topped up"
        );
        assert_eq!(self.full_ledger.refused, 0, "the fold refused a record");
    }

    /// Ends all requests of live nodes and gives all portions back.
    fn finish_all(&mut self) {
        for node in 0..NODES {
            while !self.nodes[node].open.is_empty() {
                self.finish(node, 0, 50);
            }
        }
        // A borrower may read about a loan only after the lender has closed
        // its portion, so a second round is needed.
        for _ in 0..2 {
            for node in 0..NODES {
                self.flush(node, FlushEnd::Confirmed);
                self.read(node, usize::MAX);
                self.settle(node, true);
                while !self.nodes[node].outbox.is_empty() {
                    self.flush(node, FlushEnd::Confirmed);
                }
            }
        }
        for node in 0..NODES {
            self.read(node, usize::MAX);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_schedule_overspends_a_budget(
        schedule in proptest::collection::vec(steps(), 1..160),
    ) {
        let mut simulation = Simulation::new();
        for step in &schedule {
            simulation.run(step);
        }
        simulation.finish_all();
        let full_ledger = &simulation.full_ledger;
        prop_assert!(full_ledger.is_balanced());
        for node in &simulation.nodes {
            prop_assert_eq!(&node.ledger, full_ledger, "readers disagree");
        }
        let budget =
            full_ledger.budgets.get(BUDGET).cloned().unwrap_or_default();
        let crashed = simulation.incarnation > 0;
        let used: u64 = simulation.reference.used.values().sum();
        let bills = simulation.reference.used.len() as u64;
        if crashed {
            // Usage that a crashed node did not settle stays in its grants.
            prop_assert!(budget.spent <= used);
            prop_assert!(budget.bills <= bills);
            prop_assert!(used <= budget.spent + full_ledger.held(BUDGET));
        } else {
            prop_assert_eq!(budget.spent, used, "tokens billed once");
            prop_assert_eq!(budget.bills, bills, "requests billed once");
            prop_assert_eq!(full_ledger.held(BUDGET), 0, "no tokens held");
        }
    }

    #[test]
    fn a_checkpoint_replaces_its_prefix(
        schedule in proptest::collection::vec(steps(), 1..160),
        cut in 0..=100usize,
    ) {
        let mut simulation = Simulation::new();
        for step in &schedule {
            simulation.run(step);
        }
        let cut = simulation.log.len() * cut / 100;
        let mut prefix = AccountLedger::new();
        for record in &simulation.log[..cut] {
            prefix.apply(record);
        }
        let text = prefix.to_checkpoint();
        let mut resumed = AccountLedger::from_checkpoint(&text).unwrap();
        for record in &simulation.log[cut..] {
            resumed.apply(record);
        }
        prop_assert_eq!(&resumed, &simulation.full_ledger);
    }
}
