//! The naive baseline that the measures compare with.
//!
//! What a team would write in a week: a counter for the budgets at one
//! router, engines in turn, no limits, a retry at the next engine for
//! whatever fails, version moves by a timer, and answers read into memory as
//! fast as they come. It speaks the same HTTP as the product.

mod router;

pub use self::router::{NaiveOptions, NaiveRouter};
