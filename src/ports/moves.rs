//! Orders to move a service to another version, and their status.

use std::time::Duration;

use super::{KeyedFault, PortFuture};

/// An order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// The service.
    pub service: String,
    /// The version that shall take its requests.
    pub target: String,
    /// Time from the order to the decision.
    pub duration: Duration,
    /// Grows with each order.
    pub number: u64,
}

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStatus {
    /// Not decided.
    Running,
    /// The target takes all requests; the old version ends.
    Completed,
    /// The target takes no requests any more.
    RolledBack,
}

/// The status of moves, as operators read it.
pub trait MovePort {
    /// The status of an order; `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Nothing was read.
    fn read<'a>(
        &'a self,
        order: &'a MoveOrder,
    ) -> PortFuture<'a, Result<Option<MoveStatus>, KeyedFault>>;

    /// Writes the status of an order unless a final one is there, and
    /// returns the one in force.
    ///
    /// # Errors
    ///
    /// After `Lost` the status may have been written.
    fn write<'a>(
        &'a self,
        order: &'a MoveOrder,
        status: MoveStatus,
    ) -> PortFuture<'a, Result<Option<MoveStatus>, KeyedFault>>;
}
