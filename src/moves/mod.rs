//! Version moves: new versions that take over the traffic of old ones.
//!
//! A move goes through [`MoveStep`]s, one record of the control stream each:
//! planned, canary, ramping and then done or undone. Whichever live router
//! holds the move's lease writes the steps; the offset of its lease record
//! is the fencing number, and the fold refuses a step under an older one.
//!
//! Three things need no lease, so that they work without the log as well:
//!
//! * which version a request goes to is a function of the move, its share
//!   and the request's identity ([`MoveState::routes_to_new`]),
//! * a move that is not done by its deadline counts as undone by every
//!   router's own clock ([`MoveState::share_at`]),
//! * a router that sees the new version fail stops sending to it at once
//!   and tells its peers.
//!
//! `docs/design/moves.md` weighs the ways and gives the error rates of the
//! verdict.

mod evidence;
mod plan;
mod record;
mod state;

pub use self::{
    evidence::{
        EvidenceStore, MoveEvidence, RouteEvidence, Verdict, VersionEvidence,
    },
    plan::MovePlan,
    record::{
        MoveLeaseRecord, MoveRecord, MoveStartRecord, MoveStepRecord,
        MoveUndoRecord,
    },
    state::{MoveLease, MoveState, MoveStep, RefusedMove},
};
