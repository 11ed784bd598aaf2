//! One line for each measure.

use serde_json::{Value, json};

/// What a measure must be.
#[derive(Clone, Copy, Debug)]
pub enum MeasureBound {
    /// At most this.
    AtMost(f64),
    /// At least this.
    AtLeast(f64),
}

/// One measure with its bound.
#[derive(Clone, Debug)]
pub struct MeasureLine {
    /// The name, with the unit at its end.
    pub measure: &'static str,
    /// The figure of the product.
    pub product: f64,
    /// The figure of the baseline.
    pub naive: f64,
    /// The bound.
    pub bound: MeasureBound,
}

impl MeasureLine {
    /// Whether the product keeps the bound.
    pub fn is_ok(&self) -> bool {
        match self.bound {
            MeasureBound::AtMost(bound) => self.product <= bound,
            MeasureBound::AtLeast(bound) => self.product >= bound,
        }
    }

    /// The line as JSON.
    pub fn to_json(&self) -> Value {
        let (kind, bound) = match self.bound {
            MeasureBound::AtMost(bound) => ("at_most", bound),
            MeasureBound::AtLeast(bound) => ("at_least", bound),
        };
        json!({
            "measure": self.measure,
            "product": self.product,
            "naive": self.naive,
            "bound": bound,
            "bound_kind": kind,
            "ok": self.is_ok(),
        })
    }
}
