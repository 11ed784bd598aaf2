//! How far a request has come, and how it ends.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use http::StatusCode;

use crate::{allowance::TokenCharge, error::CallError};

/// How a request ended.
pub(super) enum CallEnd {
    /// The caller has received the whole answer with this status.
    Answered(StatusCode),
    /// The caller has disconnected.
    CallerGone,
    /// The request failed with an error.
    Failed(CallError),
}

/// The progress of a request. It outlives a dispatch that is cancelled by a
/// timeout or by a disconnect. Durations count from the request's arrival.
#[derive(Default)]
pub(super) struct CallProgress {
    /// Whether an upstream may have run the request.
    pub(super) may_have_run: Cell<bool>,
    /// Number of times that the request was sent, without refusals.
    pub(super) sends: Cell<u32>,
    /// Number of events that were forwarded.
    pub(super) events: Cell<u64>,
    /// The upstream of the last attempt.
    pub(super) upstream: RefCell<String>,
    /// What the request is charged.
    pub(super) charge: RefCell<TokenCharge>,
    /// Time until the tokens were reserved.
    pub(super) reserved_after: Cell<Duration>,
    /// Age of the declarations on arrival of the request.
    pub(super) catalog_age: Cell<Duration>,
    /// Age of the list of upstreams when the request was last sent.
    pub(super) upstream_list_age: Cell<Duration>,
    /// Time until the request was last sent.
    pub(super) sent_after: Cell<Duration>,
    /// Time until the answer, or its first event, arrived.
    pub(super) answered_after: Cell<Duration>,
}
