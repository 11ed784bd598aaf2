//! The gateway: a router that forwards requests unchanged.
//!
//! Callers of a gateway address the services themselves. The gateway finds
//! the route, reserves tokens of the client account, chooses an upstream and
//! relays the answer. It never parses bodies.
//!
//! [`GatewayFront`] translates between a wire format and the gateway's types
//! and makes no decisions; it decodes each request to a [`CallRequest`]. The
//! other modules, in reading order:
//!
//! * `serve` runs the dispatch of one request, beside its timeout and the
//!   disconnect of its caller.
//! * `dispatch` finds an upstream that answers the request: token
//!   reservation, admission and attempts.
//! * `progress` is what both know of the request and of its end.
//! * `attempt` sends a request to one upstream.
//! * `answer` forwards the answer, and `relay` copies an event stream to a
//!   caller.
//! * `patience` computes the timeout for the start of an answer.
//! * `silence` tells connections that went silent from slow upstreams
//!   ([`SilentUpstreams`]).
//! * `callers` and `entry` answer what the listeners receive.
//! * `follow` keeps the catalog, the upstreams and the entry VMs up to date.
//! * `declared` tracks whether the operators' declarations are current
//!   ([`DeclarationTracker`]); `confirm` asks other routers when the store
//!   cannot be read.
//! * `spread` bounds how many gateways read changed declarations from the
//!   store; the others get them from each other.
//! * `limits` obeys the rate limits that upstreams name.
//! * `leave` decides which requests are accepted during a shutdown
//!   ([`LeavePlan`]).
//! * `moves` moves a service to another version ([`ServiceMove`]);
//!   `exposure` bounds what a bad one may get ([`MoveExposure`]).
//! * `parts` rejects requests with prompt parts that crash upstreams;
//!   `crashes` finds out which upstreams have crashed.
//! * `peers` answers other routers.
//! * `witness` tells other routers what this one has taken out of accounts
//!   while the store cannot be reached.
//! * `process` starts and stops the process ([`GatewayProcess`]).

mod answer;
mod attempt;
mod callers;
mod confirm;
mod core;
mod crashes;
mod declared;
mod dispatch;
mod entry;
mod exposure;
mod follow;
mod leave;
mod limits;
mod moves;
mod parts;
mod patience;
mod peers;
mod process;
mod progress;
mod relay;
mod request;
mod serve;
mod silence;
mod spread;
mod witness;

pub use self::{
    core::{GatewayCore, GatewayPorts},
    declared::{DeclarationTracker, NewerDeclaration, StaleReason},
    entry::EntryQuery,
    exposure::MoveExposure,
    leave::LeavePlan,
    moves::{MoveRole, ServiceMove, VersionChoice},
    patience::{LatencyEstimator, expected_latency},
    process::GatewayProcess,
    request::{CallRequest, GatewayFront, PromptPart, TokenCeiling},
    silence::SilentUpstreams,
    spread::{announcement_fanout, reader_count},
};
