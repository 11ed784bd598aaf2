//! The records of version moves on the control stream.

use super::MoveStep;
use crate::domain::HolderId;

value_types! {
    /// Starts a move.
    pub struct MoveStartRecord {
        /// The service.
        pub service: String,
        /// The version that has the traffic now.
        pub from: String,
        /// The version that the traffic moves to.
        pub to: String,
        /// When the move must be done, in milliseconds since the epoch.
        pub deadline_ms: u64,
        /// The operator who asked for it.
        pub who: String,
    }

    /// Acquires or renews the lease of a move.
    pub struct MoveLeaseRecord {
        /// The move.
        pub id: u64,
        /// The router that wants to write the steps.
        pub holder: HolderId,
        /// The offset of the lease record that this one replaces; 0 for none.
        pub after: u64,
    }

    /// Advances a move by one step.
    pub struct MoveStepRecord {
        /// The move.
        pub id: u64,
        /// The fencing token of the lease under which the step was decided.
        pub fence: u64,
        /// The new step.
        pub step: MoveStep,
        /// The new version's share of the traffic, in percent.
        pub share: u32,
        /// Why the step is taken.
        pub reason: String,
    }

    /// Rolls a move back at the request of an operator.
    pub struct MoveUndoRecord {
        /// The move.
        pub id: u64,
        /// The operator who asked for it.
        pub who: String,
        /// Why the move is rolled back.
        pub why: String,
    }

    /// A record about a move.
    #[serde(rename_all = "snake_case")]
    pub enum MoveRecord {
        /// See [`MoveStartRecord`].
        Start(MoveStartRecord),
        /// See [`MoveLeaseRecord`].
        Lease(MoveLeaseRecord),
        /// See [`MoveStepRecord`].
        Step(MoveStepRecord),
        /// See [`MoveUndoRecord`].
        Undo(MoveUndoRecord),
    }
}
