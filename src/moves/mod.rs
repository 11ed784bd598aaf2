//! Version moves: progressive delivery of a new version of a service.
//!
//! A move goes through [`MoveStep`]s, one record of the control stream each:
//! planned, canary, ramping and then done or undone. The live router that
//! holds the move's lease writes the steps. The offset of its lease record is
//! the fencing token, and [`MoveState`] refuses a step with an older one.
//!
//! Three things need no lease, so that they also work while the log is
//! unreachable:
//!
//! * The version of a request is a function of the move, its share and the
//!   request's identity ([`MoveState::routes_to_new`]).
//! * Every router treats a move that is not done by its deadline as undone,
//!   by its own clock ([`MoveState::share_at`]).
//! * A router that sees the new version fail stops sending to it at once
//!   and tells its peers.
//!
//! `docs/design/moves.md` compares the alternatives and gives the error
//! rates of [`Verdict`].

mod evidence;
mod plan;
mod record;
mod state;

pub use self::{
    evidence::{
        EvidenceStore, MoveEvidence, RequestResult, RouteEvidence, Verdict,
        VersionEvidence,
    },
    plan::MovePlan,
    record::{
        MoveLeaseRecord, MoveRecord, MoveStartRecord, MoveStepRecord,
        MoveUndoRecord,
    },
    state::{MoveLease, MoveState, MoveStep, RefusedMove},
};
