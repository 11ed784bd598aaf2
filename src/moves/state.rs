//! The state of one move, folded from the control stream.

use super::{
    MoveLeaseRecord, MoveStartRecord, MoveStepRecord, MoveUndoRecord,
};
use crate::domain::HolderId;

/// Share of the new version after a move that is done, in percent.
const MAX_SHARE_PERCENT: u32 = 100;

value_types! {
    /// The progress of a move.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MoveStep {
        /// The move is recorded; the new version has no traffic yet.
        Planned,
        /// A small share of the traffic tests the new version.
        Canary,
        /// The share of the new version grows.
        Ramping,
        /// The new version has all traffic.
        Done,
        /// The move was rolled back; the old version has all traffic.
        Undone,
    }

    /// The right to write the steps of a move.
    pub struct MoveLease {
        /// The router that may write the steps.
        pub holder: HolderId,
        /// Offset of the lease record, used as the fencing token.
        pub fence: u64,
        /// The log's time of the lease record, in milliseconds.
        pub time_ms: u64,
    }

    /// The state of a move.
    pub struct MoveState {
        /// The record that started it.
        pub start: MoveStartRecord,
        /// The log's time of the start, in milliseconds.
        pub start_ms: u64,
        /// Its progress.
        pub step: MoveStep,
        /// The new version's share of the traffic, in percent.
        pub share: u32,
        /// Why the last step was taken.
        pub reason: String,
        /// The log's time of the last step, in milliseconds.
        pub step_ms: u64,
        /// The current lease.
        pub lease: Option<MoveLease>,
    }
}

/// Why the fold refused a record about a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedMove {
    /// An explanation for the operator, in one sentence.
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

    /// Returns whether the move is neither done nor undone.
    pub fn is_active(&self) -> bool {
        self.step < MoveStep::Done
    }

    /// Returns the new version's share at `now_ms` of this VM's clock, in
    /// percent.
    ///
    /// After its deadline, a move that is not done has a share of zero, even
    /// before it is recorded as undone.
    pub fn share_at(&self, now_ms: u64) -> u32 {
        if self.is_active() && now_ms >= self.start.deadline_ms {
            return 0;
        }
        self.share
    }

    /// Returns whether a request goes to the new version at a share in
    /// percent.
    ///
    /// A request that goes there at one share does so at every larger one.
    pub fn routes_to_new(id: u64, share: u32, request_id: &str) -> bool {
        let bytes = request_id.as_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, id);
        hash % u64::from(MAX_SHARE_PERCENT) < u64::from(share)
    }

    /// Applies a record that acquires or renews the lease.
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

    /// Applies a step that was decided under a lease.
    pub(crate) fn apply_step(
        &mut self,
        record: MoveStepRecord,
        time_ms: u64,
    ) -> Result<(), RefusedMove> {
        let fence = self.lease.as_ref().map(|lease| lease.fence);
        if fence != Some(record.fence) {
            return refused("the lease of the step has been replaced");
        }
        let is_undo = record.step == MoveStep::Undone;
        // A done move may still be rolled back; an undone one is final.
        if self.step == MoveStep::Undone || (!self.is_active() && !is_undo) {
            return refused("the move has ended");
        }
        if !is_undo {
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
            MoveStep::Done => MAX_SHARE_PERCENT,
            _ => record.share.min(MAX_SHARE_PERCENT),
        };
        self.reason = record.reason;
        self.step_ms = time_ms;
        Ok(())
    }

    /// Rolls the move back at the request of an operator.
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
