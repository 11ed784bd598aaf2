//! The measures of the promises, beside the naive baseline.
//!
//! Each scenario runs twice on the same schedule and seed: once with the
//! product and once with the baseline. Bounds come from the promises and
//! from the stated target.

mod report;
mod scenarios;

pub use self::{
    report::{MeasureBound, MeasureLine},
    scenarios::run_measures,
};
