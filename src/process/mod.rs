//! What the processes that serve callers have in common.
//!
//! * [`ProcessCore`] is what a process says of itself: a view of what all
//!   have, and how it serves one request.
//! * [`ServerProcess`] takes a process through its life: starting, serving,
//!   leaving. Each state has its own methods, so that a process that has not
//!   opened its listeners cannot be told to leave.
//! * [`run_process`] is the body of the binaries.
//! * `callers` runs one task for each connection of a caller.
//! * `listen` opens listeners.

mod callers;
mod life;
mod listen;

pub(crate) use self::{
    callers::{refuse, run_callers},
    life::{ProcessChannels, new_holder_id},
    listen::{bind_exclusive, listen, serve_from_memory},
};
pub use self::{
    life::{
        DeclaredVersion, Leaving, ProcessCore, ProcessView, ServerProcess,
        Serving, Starting, run_process,
    },
    listen::StartFault,
};
