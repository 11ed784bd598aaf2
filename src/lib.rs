//! A router fleet for prepaid token budgets.
//!
//! Routers stand between callers and upstreams: model engines and plain
//! services. They hold no state of their own that must last; whatever must
//! last is a record in the platform's append-only log.
//!
//! Start with [`budget`], which decides who may spend which tokens, and
//! [`router`], which wires everything into a process. `docs/ARCHITECTURE.md`
//! shows the processes and the modules in one picture.

#![warn(missing_docs)]

#[macro_use]
mod macros;

pub mod adapters;
pub mod allowance;
pub mod budget;
pub mod catalog;
pub mod config;
pub mod ctl;
pub mod domain;
pub mod entry;
pub mod error;
pub mod gateway;
pub mod membership;
pub mod memory;
pub mod moves;
pub mod ports;
pub mod process;
pub mod router;
pub mod routing;
pub mod runtime;
pub mod streams;
pub mod telemetry;
pub mod timer;

pub use crate::{
    budget::{AccountLedger, AccountRecord, BudgetKeeper, GrantHolder},
    config::{ControlLedger, Declaration, RouterSettings},
    domain::{BillId, BudgetName, HolderId, PortionId},
    error::{CallError, ErrorKind, ExecutionStatus},
    streams::{StreamFold, StreamFollower},
    timer::TimerService,
};
