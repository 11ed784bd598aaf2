//! Records about version moves on the control stream.

use super::MoveStep;
use crate::domain::HolderId;

value_types! {
    /// Starts a move.
    pub struct MoveStartRecord {
        /// The service.
        pub service: String,
        /// The version that takes the traffic now.
        pub from: String,
        /// The version that shall take it.
        pub to: String,
        /// When the move must be done, in milliseconds since the epoch.
        pub deadline_ms: u64,
        /// The operator.
        pub who: String,
    }

    /// Takes or renews the lease of a move.
    pub struct MoveLeaseRecord {
        /// The move.
        pub id: u64,
        /// Who wants to drive the move.
        pub holder: HolderId,
        /// The lease that this one follows; 0 for none.
        pub after: u64,
    }

    /// Takes a move one step further.
    pub struct MoveStepRecord {
        /// The move.
        pub id: u64,
        /// The lease under which the step was decided.
        pub fence: u64,
        /// The new step.
        pub step: MoveStep,
        /// The new version's share of the traffic, in percent.
        pub share: u32,
        /// Why the step is taken.
        pub reason: String,
    }

    /// Takes a move back on an operator's word.
    pub struct MoveUndoRecord {
        /// The move.
        pub id: u64,
        /// The operator.
        pub who: String,
        /// Why the move is taken back.
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
