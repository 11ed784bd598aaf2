//! Requests that are passed on as they came.
//!
//! Callers of a gateway speak to the services themselves; the gateway finds
//! the route, lets the client account pay, chooses an upstream and brings
//! the answer back. It never reads bodies.
//!
//! A [`CallRequest`] is what a front end has understood of one request.
//! [`GatewayFront`] is the front end: it translates between a wire form and
//! the gateway's types and decides nothing. Read on in this order:
//!
//! * `dispatch` serves one request: tokens, a slot, attempts, an answer.
//! * `attempt` sends a request to one upstream.
//! * `relay` copies a stream of events to a caller.
//! * `patience` tells when an upstream takes longer than it should.
//! * `callers` and `entry` answer what the listeners receive.
//! * `follow` keeps catalog and upstreams up to date.
//! * [`DeclarationTracker`] tells how far the declarations can be relied on;
//!   `confirm` asks other routers for those that cannot be read.
//! * [`LeavePlan`] tells what a gateway that leaves still takes.
//! * [`ServiceMove`] moves a service to another version.
//! * `peers` answers other routers.
//! * [`GatewayProcess`] takes the process through its life.

mod attempt;
mod callers;
mod confirm;
mod core;
mod declared;
mod dispatch;
mod entry;
mod follow;
mod leave;
mod moves;
mod patience;
mod peers;
mod process;
mod relay;
mod request;

pub use self::{
    core::{GatewayCore, GatewayPorts},
    declared::{DeclarationTracker, NewerDeclaration, StaleReason},
    entry::EntryQuery,
    leave::LeavePlan,
    moves::{MoveRole, ServiceMove, VersionChoice},
    patience::{LatencyEstimator, expected_latency},
    process::GatewayProcess,
    request::{CallRequest, GatewayFront, PromptPart, TokenCeiling},
};
