//! Orders to move a service to another version, and their status.

use std::time::Duration;

use super::{KeyedFault, PortFuture, TopicPosition};

/// An order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveOrder {
    /// The service.
    pub service: String,
    /// The version that is to serve all of its requests.
    pub target: String,
    /// Time from the order until the move is decided.
    pub duration: Duration,
    /// Position of the order; a later order has a higher one. An order that
    /// is written again after a restore has another position.
    pub position: TopicPosition,
}

impl MoveOrder {
    /// Returns whether another order asks for the same, wherever it stands.
    pub fn asks_same(&self, other: &MoveOrder) -> bool {
        let position = self.position;
        MoveOrder { position, ..other.clone() } == *self
    }
}

/// The state of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStatus {
    /// The move is not decided yet.
    Running,
    /// The target version serves all requests; the old version ends.
    Completed,
    /// The target version no longer receives requests.
    RolledBack,
}

/// Reads and writes the status of moves, which operators can read.
pub trait MovePort {
    /// Returns the status of an order, or `None` if it has none yet.
    ///
    /// # Errors
    ///
    /// Any fault means that nothing was read.
    fn read<'a>(
        &'a self,
        order: &'a MoveOrder,
    ) -> PortFuture<'a, Result<Option<MoveStatus>, KeyedFault>>;

    /// Writes the status of an order unless a final status is already
    /// stored, and returns the stored status.
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
