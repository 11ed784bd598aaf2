//! The configuration fold against a naive version, and its refusals.

use std::collections::BTreeMap;

use {
    magnoliahaven::{
        ControlLedger, Declaration, HolderId, StreamFold,
        config::{ChangeRecord, ControlRecord, Document},
        moves::{
            MoveLeaseRecord, MoveRecord, MoveStartRecord, MoveStep,
            MoveStepRecord, MoveUndoRecord,
        },
        ports::LogRecord,
    },
    proptest::prelude::*,
};

fn documents() -> BTreeMap<String, Document> {
    let text = "
accounts: {dairy: {budgets: {nurses: {}}}}
services: {chat: {kind: model, version: v1}}
presets: {ordinary: {}, peak: {}}
";
    Declaration::parse("d.yaml", text).unwrap().documents
}

struct Stream {
    ledger: ControlLedger,
    records: Vec<LogRecord>,
}

impl Stream {
    fn new() -> Stream {
        let mut stream =
            Stream { ledger: ControlLedger::new(), records: Vec::new() };
        stream.change(0, documents(), Some("ordinary")).unwrap();
        stream
    }

    fn push(&mut self, record: ControlRecord) -> Result<u64, String> {
        let offset = self.records.len() as u64;
        let time_ms = offset * 1_000;
        let payload = record.encode();
        let record = LogRecord { offset, time_ms, payload };
        self.ledger.apply(&record);
        self.records.push(record);
        match self.ledger.refusal(offset) {
            None => Ok(offset),
            Some(reason) => Err(reason.to_owned()),
        }
    }

    fn change(
        &mut self,
        parent: u64,
        set: BTreeMap<String, Document>,
        preset: Option<&str>,
    ) -> Result<u64, String> {
        self.push(ControlRecord::Change(ChangeRecord {
            parent,
            who: "ana".to_owned(),
            why: "test".to_owned(),
            set,
            remove: Vec::new(),
            preset: preset.map(str::to_owned),
        }))
    }

    fn start(&mut self, from: &str, to: &str) -> Result<u64, String> {
        self.push(ControlRecord::Move(MoveRecord::Start(MoveStartRecord {
            service: "chat".to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            deadline_ms: 50_000,
            who: "ana".to_owned(),
        })))
    }

    fn lease(&mut self, id: u64, vm: &str, after: u64) -> Result<u64, String> {
        let holder = HolderId::new(vm, 1);
        let record = MoveLeaseRecord { id, holder, after };
        self.push(ControlRecord::Move(MoveRecord::Lease(record)))
    }

    fn step(
        &mut self,
        id: u64,
        fence: u64,
        step: MoveStep,
        share: u32,
    ) -> Result<u64, String> {
        let reason = "test".to_owned();
        let record = MoveStepRecord { id, fence, step, share, reason };
        self.push(ControlRecord::Move(MoveRecord::Step(record)))
    }

    fn undo(&mut self, id: u64) -> Result<u64, String> {
        let (who, why) = ("ana".to_owned(), "test".to_owned());
        let record = MoveUndoRecord { id, who, why };
        self.push(ControlRecord::Move(MoveRecord::Undo(record)))
    }

    fn version(&self) -> &str {
        match &self.ledger.documents["service/chat"] {
            Document::Service(service) => &service.version,
            _ => panic!("not a service"),
        }
    }
}

#[test]
fn of_racing_operators_one_wins_and_the_other_is_told() {
    let mut stream = Stream::new();
    let parent = stream.ledger.revision.number;
    stream.change(parent, BTreeMap::new(), Some("peak")).unwrap();
    let told = stream.change(parent, BTreeMap::new(), Some("ordinary"));
    let told = told.unwrap_err();
    assert!(told.contains("by ana (test) is in force"), "{told}");
    assert_eq!(stream.ledger.preset, "peak");
}

#[test]
fn a_change_that_breaks_a_link_takes_no_effect() {
    let mut stream = Stream::new();
    let before = stream.ledger.clone();
    let parent = before.revision.number;
    stream.change(parent, BTreeMap::new(), Some("holiday")).unwrap_err();
    assert_eq!(stream.ledger.documents, before.documents);
    assert_eq!(stream.ledger.preset, "ordinary");
}

#[test]
fn a_version_changes_by_a_move_only() {
    let mut stream = Stream::new();
    let mut set = documents();
    if let Some(Document::Service(chat)) = set.get_mut("service/chat") {
        chat.version = "v2".to_owned();
    }
    let parent = stream.ledger.revision.number;
    let told = stream.change(parent, set, None).unwrap_err();
    assert!(told.contains("move start"), "{told}");
    assert_eq!(stream.version(), "v1");
}

#[test]
fn a_second_move_of_a_service_is_refused() {
    let mut stream = Stream::new();
    stream.start("v1", "v2").unwrap();
    let told = stream.start("v1", "v3").unwrap_err();
    assert!(told.contains("in progress"), "{told}");
}

#[test]
fn a_preset_switch_during_a_move_leaves_the_move_alone() {
    let mut stream = Stream::new();
    let id = stream.start("v1", "v2").unwrap();
    let parent = stream.ledger.revision.number;
    stream.change(parent, BTreeMap::new(), Some("peak")).unwrap();
    assert!(stream.ledger.moves[&id].is_active());
    assert_eq!(stream.ledger.preset, "peak");
}

#[test]
fn a_step_under_an_old_lease_is_refused() {
    let mut stream = Stream::new();
    let id = stream.start("v1", "v2").unwrap();
    let first = stream.lease(id, "vm-1", 0).unwrap();
    let second = stream.lease(id, "vm-2", first).unwrap();
    stream.lease(id, "vm-3", first).unwrap_err();
    stream.step(id, first, MoveStep::Canary, 5).unwrap_err();
    stream.step(id, second, MoveStep::Canary, 5).unwrap();
    assert_eq!(stream.ledger.moves[&id].share, 5);
}

#[test]
fn an_undo_that_races_a_ramp_wins_in_either_order() {
    let mut stream = Stream::new();
    let id = stream.start("v1", "v2").unwrap();
    let fence = stream.lease(id, "vm-1", 0).unwrap();
    stream.undo(id).unwrap();
    stream.step(id, fence, MoveStep::Ramping, 50).unwrap_err();
    assert_eq!(stream.ledger.moves[&id].share, 0);

    let id = stream.start("v1", "v2").unwrap();
    let fence = stream.lease(id, "vm-1", 0).unwrap();
    stream.step(id, fence, MoveStep::Ramping, 50).unwrap();
    stream.undo(id).unwrap();
    assert_eq!(stream.ledger.moves[&id].share, 0);
    assert_eq!(stream.version(), "v1");
}

#[test]
fn a_move_cannot_be_done_after_its_deadline() {
    let mut stream = Stream::new();
    let id = stream.start("v1", "v2").unwrap();
    let fence = stream.lease(id, "vm-1", 0).unwrap();
    while stream.records.len() < 50 {
        stream.undo(99).unwrap_err();
    }
    stream.step(id, fence, MoveStep::Done, 100).unwrap_err();
    assert_eq!(stream.version(), "v1");
    assert_eq!(stream.ledger.moves[&id].share_at(50_000), 0);
}

#[test]
fn a_done_move_can_be_rolled_back() {
    let mut stream = Stream::new();
    let id = stream.start("v1", "v2").unwrap();
    let fence = stream.lease(id, "vm-1", 0).unwrap();
    stream.step(id, fence, MoveStep::Done, 100).unwrap();
    assert_eq!(stream.version(), "v2");
    stream.step(id, fence, MoveStep::Undone, 0).unwrap();
    assert_eq!(stream.version(), "v1");
}

#[derive(Clone, Debug)]
enum Step {
    Change { behind: u64, preset: usize },
    Start { from: bool },
    Lease { vm: u8, behind: u64 },
    Advance { behind: u64, step: usize, share: u32 },
    Undo,
}

fn steps() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..2u64, 0..3usize)
            .prop_map(|(behind, preset)| Step::Change { behind, preset }),
        any::<bool>().prop_map(|from| Step::Start { from }),
        (0..3u8, 0..2u64).prop_map(|(vm, behind)| Step::Lease { vm, behind }),
        (0..2u64, 0..4usize, 0..=100u32).prop_map(|(behind, step, share)| {
            Step::Advance { behind, step, share }
        }),
        Just(Step::Undo),
    ]
}

/// What an operator with paper and pencil would say is in force.
struct NaiveControl {
    revision: u64,
    preset: &'static str,
    version: &'static str,
    active: Option<NaiveMove>,
    last: Option<NaiveMove>,
}

#[derive(Clone)]
struct NaiveMove {
    id: u64,
    to: &'static str,
    fence: u64,
    step: MoveStep,
    share: u32,
}

const PRESETS: [&str; 3] = ["ordinary", "peak", "missing"];
const STEPS: [MoveStep; 4] =
    [MoveStep::Canary, MoveStep::Ramping, MoveStep::Done, MoveStep::Undone];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 800,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_205),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_fold_agrees_with_a_naive_operator(
        schedule in proptest::collection::vec(steps(), 1..45),
    ) {
        let mut stream = Stream::new();
        let mut naive = NaiveControl {
            revision: 1,
            preset: "ordinary",
            version: "v1",
            active: None,
            last: None,
        };
        for step in &schedule {
            let (accepted, expected) = run(&mut stream, &mut naive, step);
            prop_assert_eq!(accepted, expected, "{:?}", step);
            let ledger = &stream.ledger;
            prop_assert_eq!(ledger.revision.number, naive.revision);
            prop_assert_eq!(ledger.preset.as_str(), naive.preset);
            prop_assert_eq!(stream.version(), naive.version);
            if let Some(last) = &naive.last {
                let known = &ledger.moves[&last.id];
                prop_assert_eq!(known.step, last.step);
                prop_assert_eq!(known.share, last.share);
            }
        }
        // A router that starts from a checkpoint anywhere agrees.
        for cut in 0..=stream.records.len() {
            let mut prefix = ControlLedger::new();
            for record in &stream.records[..cut] {
                prefix.apply(record);
            }
            let text = prefix.to_checkpoint();
            let mut resumed = ControlLedger::from_checkpoint(&text).unwrap();
            for record in &stream.records[cut..] {
                resumed.apply(record);
            }
            prop_assert_eq!(&resumed, &stream.ledger);
        }
    }
}

/// Runs a step on both sides; says whether each accepted it.
fn run(
    stream: &mut Stream,
    naive: &mut NaiveControl,
    step: &Step,
) -> (bool, bool) {
    let next = stream.records.len() as u64;
    let other = if naive.version == "v1" { "v2" } else { "v1" };
    match *step {
        Step::Change { behind, preset } => {
            let parent = naive.revision.saturating_sub(behind);
            let preset = PRESETS[preset];
            let expected = parent == naive.revision && preset != "missing";
            let done = stream.change(parent, BTreeMap::new(), Some(preset));
            if expected {
                naive.revision = next + 1;
                naive.preset = preset;
            }
            (done.is_ok(), expected)
        }
        Step::Start { from } => {
            let from = if from { naive.version } else { other };
            let to = if from == "v1" { "v2" } else { "v1" };
            let expected = naive.active.is_none() && from == naive.version;
            let done = stream.start(from, to);
            if expected {
                let step = MoveStep::Planned;
                let started =
                    NaiveMove { id: next, to, fence: 0, step, share: 0 };
                naive.active = Some(started.clone());
                naive.last = Some(started);
            }
            (done.is_ok(), expected)
        }
        Step::Lease { vm, behind } => {
            let Some(last) = &mut naive.last else {
                return (false, false);
            };
            let after = last.fence.saturating_sub(behind);
            let expected = after == last.fence;
            let done = stream.lease(last.id, &format!("vm-{vm}"), after);
            if expected {
                last.fence = next;
            }
            (done.is_ok(), expected)
        }
        Step::Advance { behind, step, share } => {
            advance(stream, naive, behind, STEPS[step], share)
        }
        Step::Undo => {
            let Some(last) = &mut naive.last else {
                return (false, false);
            };
            let expected = last.step != MoveStep::Undone;
            let done = stream.undo(last.id);
            if expected {
                end_naive(naive, MoveStep::Undone);
            }
            (done.is_ok(), expected)
        }
    }
}

fn advance(
    stream: &mut Stream,
    naive: &mut NaiveControl,
    behind: u64,
    step: MoveStep,
    share: u32,
) -> (bool, bool) {
    let Some(last) = &mut naive.last else {
        return (false, false);
    };
    let fence = last.fence.saturating_sub(behind);
    let done = stream.step(last.id, fence, step, share).is_ok();
    let undoes = step == MoveStep::Undone;
    let active = last.step < MoveStep::Done;
    let in_time = stream.records.len() <= 50;
    let forward = step >= last.step && share >= last.share && in_time;
    let expected = last.fence != 0
        && fence == last.fence
        && last.step != MoveStep::Undone
        && (undoes || (active && forward));
    if !expected {
        return (done, false);
    }
    match step {
        MoveStep::Done | MoveStep::Undone => end_naive(naive, step),
        _ => {
            last.step = step;
            last.share = share;
        }
    }
    (done, true)
}

fn end_naive(naive: &mut NaiveControl, step: MoveStep) {
    let Some(last) = &mut naive.last else {
        return;
    };
    last.step = step;
    last.share = if step == MoveStep::Done { 100 } else { 0 };
    naive.version = match step {
        MoveStep::Done => last.to,
        _ if last.to == "v1" => "v2",
        _ => "v1",
    };
    naive.active = None;
}
