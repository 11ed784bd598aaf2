//! Progressive delivery: moves a service to another version of its software.
//!
//! An order names a service, a target version and a duration. While the move
//! is running, a canary share of the requests goes to the target, selected by
//! a hash of the request identifier. The canary share alone gives one gateway
//! too little evidence, so all gateways report their evidence to a few
//! deciders, which judge the sum. [`MoveExposure`] bounds the canary share.
//!
//! A gateway whose own requests show that the target is bad rolls the move
//! back at once and tells its peers. Only a decider completes a move, and
//! only if the target is probably not worse than the old version. The first
//! gateway that decides writes the status. A final status never changes.
//!
//! `service_move` holds the state of a move and decides; `drive` evaluates the
//! moves in rounds, exchanges reports and keeps the status in the store.

use std::collections::BTreeMap;

mod drive;
mod service_move;

pub(super) use self::drive::run_moves;
pub use self::service_move::{MoveRole, ServiceMove, VersionChoice};

/// Number of gateways that judge the evidence of all gateways. The first is
/// the primary, the others are its standbys.
const DECIDER_COUNT: usize = 3;

/// The version and route that a measurement is evidence for.
#[derive(Clone, Debug)]
pub(super) struct EvidenceKey {
    pub(super) service: String,
    pub(super) version: String,
    pub(super) route: String,
}

/// The latest move of each service.
pub(super) type ServiceMoves = BTreeMap<String, ServiceMove>;
