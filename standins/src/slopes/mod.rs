//! The measured slopes behind `docs/CAPACITY.md`.
//!
//! Each slope is the straight line through three sizes, by least squares.

mod fleet;
mod ledger;

use serde::Serialize;

pub use self::{fleet::fleet_slopes, ledger::ledger_slopes};

/// One slope with the points that it was taken from.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeLine {
    /// What was measured, with its unit.
    pub slope: &'static str,
    /// What it was measured over.
    pub over: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// Growth of the value for each unit of size.
    pub per_unit: f64,
    /// The value at size zero.
    pub base: f64,
}

impl SlopeLine {
    /// Fits a line through points.
    pub fn new(
        slope: &'static str,
        over: &'static str,
        points: Vec<(f64, f64)>,
    ) -> SlopeLine {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let (mut above, mut below) = (0.0, 0.0);
        for (x, y) in &points {
            above += (x - mean_x) * (y - mean_y);
            below += (x - mean_x).powi(2);
        }
        let per_unit = if below > 0.0 { above / below } else { 0.0 };
        let base = mean_y - per_unit * mean_x;
        SlopeLine { slope, over, points, per_unit, base }
    }
}
