//! The fold of the control stream: configuration, preset and moves.

use std::collections::BTreeMap;

use super::{Document, check_documents};
use crate::{
    moves::{MoveRecord, MoveStartRecord, MoveState, MoveStep},
    ports::LogRecord,
    streams::StreamFold,
};

/// The stream of control records.
pub const CONTROL_STREAM: &str = "control";

/// Refusals that are remembered, so that their authors can read them.
const REMEMBERED_REFUSALS: usize = 64;

/// Ended moves that are remembered, for the shared screens.
const REMEMBERED_MOVES: usize = 32;

/// How a checkpoint record begins, so that others need no decoding.
const CHECKPOINT_PREFIX: &str = "{\"checkpoint\"";

value_types! {
    /// Changes the configuration.
    pub struct ChangeRecord {
        /// The revision that the change was made from; 0 for the first.
        pub parent: u64,
        /// The operator.
        pub who: String,
        /// The reason given by the operator.
        pub why: String,
        /// Documents to add or replace, by path.
        #[serde(default)]
        pub set: BTreeMap<String, Document>,
        /// Paths of documents to remove.
        #[serde(default)]
        pub remove: Vec<String>,
        /// The preset to switch to.
        #[serde(default)]
        pub preset: Option<String>,
    }

    /// Which change is in force.
    #[derive(Default)]
    pub struct RevisionInfo {
        /// One more than the offset of the change; 0 before the first one.
        pub number: u64,
        /// The operator.
        pub who: String,
        /// The reason given by the operator.
        pub why: String,
        /// When the log took the change, in milliseconds since the epoch.
        pub time_ms: u64,
    }

    /// A record that the fold did not accept.
    pub struct RefusedChange {
        /// The offset of the record.
        pub offset: u64,
        /// Why it was refused.
        pub reason: String,
    }

    /// A record of the control stream.
    #[serde(rename_all = "snake_case")]
    pub enum ControlRecord {
        /// See [`ChangeRecord`].
        Change(ChangeRecord),
        /// See [`MoveRecord`].
        Move(MoveRecord),
        /// The whole state, written again before its records are gone.
        Checkpoint(ControlLedger),
    }

    /// The state of the control stream after a prefix of it.
    #[derive(Default)]
    pub struct ControlLedger {
        /// Offset of the first record that has not been applied.
        pub next: u64,
        /// Which change is in force.
        pub revision: RevisionInfo,
        /// The documents in force, by path.
        pub documents: BTreeMap<String, Document>,
        /// The preset in force.
        pub preset: String,
        /// The change that switched to the preset.
        pub preset_revision: RevisionInfo,
        /// Moves by the offset of their start.
        pub moves: BTreeMap<u64, MoveState>,
        /// The latest records that were refused.
        pub refused: Vec<RefusedChange>,
    }
}

impl ControlRecord {
    /// The record as it stands in the log.
    pub fn encode(&self) -> String {
        // Every key in the types above is a string or an integer.
        serde_json::to_string(self).expect("serializable record")
    }
}

impl ControlLedger {
    /// Creates the state of an empty stream.
    pub fn new() -> ControlLedger {
        ControlLedger::default()
    }

    /// Why the record at `offset` was refused, if it was.
    pub fn refusal(&self, offset: u64) -> Option<&str> {
        let mut refusals = self.refused.iter();
        let refusal = refusals.find(|refusal| refusal.offset == offset)?;
        Some(&refusal.reason)
    }

    /// The move that is neither done nor undone, for a service.
    pub fn active_move(&self, service: &str) -> Option<(u64, &MoveState)> {
        let mut moves = self.moves.iter();
        let active = moves
            .find(|(_, m)| m.start.service == service && m.is_active())?;
        Some((*active.0, active.1))
    }

    /// The newest move of a service that is not undone.
    pub fn latest_move(&self, service: &str) -> Option<(u64, &MoveState)> {
        let mut moves = self.moves.iter().rev();
        let latest = moves.find(|(_, m)| {
            m.start.service == service && m.step != MoveStep::Undone
        })?;
        Some((*latest.0, latest.1))
    }

    fn change(
        &mut self,
        record: ChangeRecord,
        entry: &LogRecord,
    ) -> Result<(), String> {
        if record.parent != self.revision.number {
            return Err(format!(
                "made from revision {}, but {} by {} ({}) is in force",
                record.parent,
                self.revision.number,
                self.revision.who,
                self.revision.why,
            ));
        }
        let mut documents = self.documents.clone();
        for path in &record.remove {
            documents.remove(path);
        }
        for (path, document) in record.set {
            self.check_version(&path, &document)?;
            documents.insert(path, document);
        }
        for (_, active) in self.moves.iter().filter(|(_, m)| m.is_active()) {
            let path = format!("service/{}", active.start.service);
            if !documents.contains_key(&path) {
                return Err(format!("{path}: a move is in progress"));
            }
        }
        let preset = record.preset.as_ref().unwrap_or(&self.preset);
        let faults = check_documents(&documents, preset);
        if !faults.is_empty() {
            return Err(faults.join("; "));
        }
        let info = RevisionInfo {
            number: entry.offset + 1,
            who: record.who,
            why: record.why,
            time_ms: entry.time_ms,
        };
        if let Some(preset) = record.preset {
            self.preset = preset;
            self.preset_revision = info.clone();
        }
        self.revision = info;
        self.documents = documents;
        Ok(())
    }

    /// Traffic changes its version only by a move.
    fn check_version(
        &self,
        path: &str,
        document: &Document,
    ) -> Result<(), String> {
        let Document::Service(wanted) = document else {
            return Ok(());
        };
        let Some(Document::Service(known)) = self.documents.get(path) else {
            return Ok(());
        };
        if known.version == wanted.version {
            return Ok(());
        }
        Err(format!(
            "{path}: version {} is in force; `move start` leads to {}",
            known.version, wanted.version,
        ))
    }

    fn start_move(
        &mut self,
        record: MoveStartRecord,
        entry: &LogRecord,
    ) -> Result<(), String> {
        let path = format!("service/{}", record.service);
        let Some(Document::Service(service)) = self.documents.get(&path)
        else {
            return Err(format!("{path} is not declared"));
        };
        if let Some((id, active)) = self.active_move(&record.service) {
            return Err(format!(
                "move {id} to {} by {} is in progress",
                active.start.to, active.start.who,
            ));
        }
        if service.version != record.from {
            return Err(format!("version {} is in force", service.version));
        }
        if record.to == record.from {
            return Err("a move needs two versions".to_owned());
        }
        if record.deadline_ms <= entry.time_ms {
            return Err("the deadline has passed".to_owned());
        }
        let started = MoveState::new(record, entry.time_ms);
        self.moves.insert(entry.offset, started);
        self.forget_moves();
        Ok(())
    }

    fn forget_moves(&mut self) {
        while self.moves.len() > REMEMBERED_MOVES {
            let ended = self.moves.iter().find(|(_, m)| !m.is_active());
            let Some((id, _)) = ended else {
                return;
            };
            let id = *id;
            self.moves.remove(&id);
        }
    }

    fn change_move(
        &mut self,
        record: MoveRecord,
        entry: &LogRecord,
    ) -> Result<(), String> {
        let id = match &record {
            MoveRecord::Start(start) => {
                return self.start_move(start.clone(), entry);
            }
            MoveRecord::Lease(lease) => lease.id,
            MoveRecord::Step(step) => step.id,
            MoveRecord::Undo(undo) => undo.id,
        };
        if !self.is_current(id) {
            return Err(format!("move {id} is not the latest of its service"));
        }
        let Some(known) = self.moves.get_mut(&id) else {
            return Err(format!("there is no move {id}"));
        };
        let (offset, time_ms) = (entry.offset, entry.time_ms);
        let changed = match record {
            MoveRecord::Start(_) => Ok(()),
            MoveRecord::Lease(lease) => {
                known.apply_lease(lease, offset, time_ms)
            }
            MoveRecord::Step(step) => known.apply_step(step, time_ms),
            MoveRecord::Undo(undo) => known.apply_undo(undo, time_ms),
        };
        changed.map_err(|refused| refused.reason)?;
        let version = match known.step {
            MoveStep::Done => known.start.to.clone(),
            _ => known.start.from.clone(),
        };
        let path = format!("service/{}", known.start.service);
        if let Some(Document::Service(service)) = self.documents.get_mut(&path)
        {
            service.version = version;
        }
        Ok(())
    }

    /// Whether no later move of the same service exists.
    fn is_current(&self, id: u64) -> bool {
        let Some(known) = self.moves.get(&id) else {
            return true;
        };
        let service = &known.start.service;
        let mut later = self.moves.range(id + 1..);
        !later.any(|(_, other)| other.start.service == *service)
    }

    fn refuse(&mut self, offset: u64, reason: String) {
        self.refused.push(RefusedChange { offset, reason });
        if self.refused.len() > REMEMBERED_REFUSALS {
            self.refused.remove(0);
        }
    }
}

impl StreamFold for ControlLedger {
    type Effect = ();

    fn apply(&mut self, record: &LogRecord) -> Option<()> {
        if record.offset < self.next {
            return None;
        }
        self.next = record.offset + 1;
        let decoded = serde_json::from_str(&record.payload);
        let applied = match decoded {
            Err(err) => Err(format!("not a control record: {err}")),
            Ok(ControlRecord::Change(change)) => self.change(change, record),
            Ok(ControlRecord::Move(change)) => {
                self.change_move(change, record)
            }
            Ok(ControlRecord::Checkpoint(_)) => return None,
        };
        if let Err(reason) = applied {
            self.refuse(record.offset, reason);
        }
        Some(())
    }

    fn next_offset(&self) -> u64 {
        self.next
    }

    fn from_checkpoint(payload: &str) -> Option<ControlLedger> {
        if !payload.starts_with(CHECKPOINT_PREFIX) {
            return None;
        }
        match serde_json::from_str(payload).ok()? {
            ControlRecord::Checkpoint(state) => Some(state),
            _ => None,
        }
    }

    fn to_checkpoint(&self) -> String {
        ControlRecord::Checkpoint(self.clone()).encode()
    }
}
