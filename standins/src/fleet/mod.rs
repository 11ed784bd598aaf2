//! A fleet of real processes on loopback, for tests and measures.
//!
//! [`Fleet`] starts the log stand-in, engines and routers, and ends exactly
//! those processes again. Routers reach the log and each other through
//! [`CutRelay`]s, which can be cut and healed.

mod process;
mod relay;
mod setup;

pub use self::{
    process::{FleetProcess, Signal},
    relay::CutRelay,
    setup::{
        EnginePlan, Fleet, FleetEngine, FleetPlan, FleetRouter, RouterPlan,
        free_address, key_of,
    },
};
