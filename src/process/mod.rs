//! The common part of the processes that serve callers.
//!
//! * [`ProcessCore`] is implemented by each kind of process. It gives access
//!   to the components that all of them have, and serves one request.
//! * [`ServerProcess`] is the lifecycle of a process as a typestate:
//!   starting, serving, leaving. Each state has its own methods, so that a
//!   process that has not opened its listeners cannot be told to leave.
//! * [`run_process`] is the main function of the binaries.
//! * `callers` runs one task for each connection of a caller.
//! * `listen` opens listeners, and serves those with synchronous handlers.

mod callers;
mod life;
mod listen;

pub(crate) use self::{
    callers::{refuse, run_callers},
    life::{ProcessChannels, new_holder_id},
    listen::{bind_exclusive, listen, serve_sync},
};
pub use self::{
    life::{
        DeclaredVersion, Leaving, ProcessCore, ProcessView, ServerProcess,
        Serving, Starting, run_process,
    },
    listen::StartFault,
};
