//! What the control stream says of one move.

use super::{
    MoveLeaseRecord, MoveStartRecord, MoveStepRecord, MoveUndoRecord,
};
use crate::domain::HolderId;

/// Percent of the traffic after a move that is done.
const FULL_SHARE: u32 = 100;

value_types! {
    /// How far a move has come.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MoveStep {
        /// Recorded; no traffic yet.
        Planned,
        /// A small share tells whether the version is sound.
        Canary,
        /// The share grows.
        Ramping,
        /// All traffic has moved.
        Done,
        /// All traffic is back.
        Undone,
    }

    /// The right to write the steps of a move.
    pub struct MoveLease {
        /// Who drives the move.
        pub holder: HolderId,
        /// Offset of the lease record; the fencing number.
        pub fence: u64,
        /// The log's time of the lease record, in milliseconds.
        pub time_ms: u64,
    }

    /// A move.
    pub struct MoveState {
        /// How it was started.
        pub start: MoveStartRecord,
        /// The log's time of the start, in milliseconds.
        pub start_ms: u64,
        /// How far it has come.
        pub step: MoveStep,
        /// The new version's share of the traffic, in percent.
        pub share: u32,
        /// Why the last step was taken.
        pub reason: String,
        /// The log's time of the last step, in milliseconds.
        pub step_ms: u64,
        /// Who drives the move.
        pub lease: Option<MoveLease>,
    }
}

/// Why the fold refused a record about a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedMove {
    /// One sentence for the operator.
    pub reason: String,
}

fn refused(reason: impl Into<String>) -> Result<(), RefusedMove> {
    Err(RefusedMove { reason: reason.into() })
}

impl MoveState {
    /// Creates a move that was started at `time_ms`.
    pub fn new(start: MoveStartRecord, time_ms: u64) -> MoveState {
        let reason = format!("started by {}", start.who);
        MoveState {
            start,
            start_ms: time_ms,
            step: MoveStep::Planned,
            share: 0,
            reason,
            step_ms: time_ms,
            lease: None,
        }
    }

    /// Whether the move is neither done nor undone.
    pub fn is_active(&self) -> bool {
        self.step < MoveStep::Done
    }

    /// The new version's share at a time of this VM's clock, in percent.
    ///
    /// A move that is not done by its deadline has no share any more, even
    /// before a record says so.
    pub fn share_at(&self, now_ms: u64) -> u32 {
        if self.is_active() && now_ms >= self.start.deadline_ms {
            return 0;
        }
        self.share
    }

    /// Whether the new version takes a request at a share in percent.
    ///
    /// A request that is taken at one share is taken at every larger one.
    pub fn routes_to_new(id: u64, share: u32, request_id: &str) -> bool {
        let bytes = request_id.as_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, id);
        hash % u64::from(FULL_SHARE) < u64::from(share)
    }

    /// Takes or renews the lease.
    pub(crate) fn apply_lease(
        &mut self,
        record: MoveLeaseRecord,
        offset: u64,
        time_ms: u64,
    ) -> Result<(), RefusedMove> {
        let current = self.lease.as_ref().map_or(0, |lease| lease.fence);
        if record.after != current {
            return refused(format!("lease {current} is in force"));
        }
        let holder = record.holder;
        self.lease = Some(MoveLease { holder, fence: offset, time_ms });
        Ok(())
    }

    /// Takes a step under a lease.
    pub(crate) fn apply_step(
        &mut self,
        record: MoveStepRecord,
        time_ms: u64,
    ) -> Result<(), RefusedMove> {
        let fence = self.lease.as_ref().map(|lease| lease.fence);
        if fence != Some(record.fence) {
            return refused("the lease of the step has been replaced");
        }
        let undoes = record.step == MoveStep::Undone;
        // A done move may still be taken back, an undone one may not.
        if self.step == MoveStep::Undone || (!self.is_active() && !undoes) {
            return refused("the move has ended");
        }
        if !undoes {
            if record.step < self.step || record.share < self.share {
                return refused("a move goes forward only");
            }
            if time_ms >= self.start.deadline_ms {
                return refused("the deadline has passed");
            }
        }
        self.step = record.step;
        self.share = match record.step {
            MoveStep::Undone => 0,
            MoveStep::Done => FULL_SHARE,
            _ => record.share.min(FULL_SHARE),
        };
        self.reason = record.reason;
        self.step_ms = time_ms;
        Ok(())
    }

    /// Takes the move back on an operator's word.
    pub(crate) fn apply_undo(
        &mut self,
        record: MoveUndoRecord,
        time_ms: u64,
    ) -> Result<(), RefusedMove> {
        if self.step == MoveStep::Undone {
            return refused("the move is already undone");
        }
        self.step = MoveStep::Undone;
        self.share = 0;
        self.reason = format!("undone by {}: {}", record.who, record.why);
        self.step_ms = time_ms;
        Ok(())
    }
}
