//! What the decisions need from the outside world.
//!
//! Each port is a small trait with one real adapter and, in tests, a fake.
//! No decision of the crate names a protocol.
//!
//! * [`LogPort`]: the platform's append-only log.
//! * [`KeyedPort`]: topics that keep the newest record of each key.
//! * [`CatalogPort`], [`UpstreamListPort`]: declarations and registrations.
//! * [`MovePort`]: the status of version moves.
//! * [`ForwardPort`]: upstreams that take requests as they came.
//! * [`VmListPort`]: the platform's lagging list of VMs.
//! * [`UpstreamPort`]: model engines and plain services.
//! * [`PeerPort`]: the other routers.
//!
//! The traits return boxed futures so that they can be used as trait
//! objects. A box for each call costs far less than the call behind it.

mod declared;
mod forward;
mod keyed;
mod log;
mod moves;
mod peer;
mod upstream;
mod vm_list;

use std::{future::Future, pin::Pin};

pub use self::{
    declared::{
        CatalogPort, DeclaredCatalog, DeclaredChanges, UpstreamEntry,
        UpstreamEvent, UpstreamListPort,
    },
    forward::{
        ForwardCall, ForwardConnection, ForwardPort, ForwardReply,
        ForwardVerdict,
    },
    keyed::{KeyedFault, KeyedPort, KeyedRecord, KeyedSlice, TopicWriter},
    log::{LogCursors, LogFault, LogPort, LogRecord, LogSlice},
    moves::{MoveOrder, MovePort, MoveStatus},
    peer::{
        ClaimReply, ClaimRequest, DeclaredState, EvidenceReport, KnownState,
        LendReply, LendRequest, MemberStatus, MemberUpdate, NewerState,
        PeerAnswer, PeerCall, PeerFault, PeerHandler, PeerPort, PingMessage,
        RelayBatch, RelayedBill, UpstreamDeparture,
    },
    upstream::{
        UpstreamBody, UpstreamCall, UpstreamConnection, UpstreamFault,
        UpstreamPort, UpstreamReply,
    },
    vm_list::{VmEntry, VmList, VmListPort, VmRole, VmState},
};

/// The future returned by the methods of ports.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
