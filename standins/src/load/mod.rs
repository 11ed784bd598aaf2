//! Callers for load tests and experiments.
//!
//! A [`LoadCaller`] behaves as a caller should: it asks a router which
//! addresses to use, keeps the answer for its lifetime, moves on to the next
//! address when one fails, and waits as long as a refusal asks for.
//! [`run_load`] runs many of them, in a closed loop or at a fixed rate, and
//! reports what they saw.

mod caller;
mod report;
mod run;

pub use self::{
    caller::{CallEnd, CallOutcome, CallRequest, CallTarget, LoadCaller},
    report::{LatencySummary, LoadReport},
    run::{LoadOptions, LoadPace, run_load},
};
