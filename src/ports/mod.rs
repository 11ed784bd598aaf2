//! Interfaces between the decision logic and the outside world.
//!
//! Each port is a small trait with one production adapter and, in tests, a
//! fake. The decision logic depends on these traits only, never on a
//! protocol.
//!
//! * [`LogPort`]: the platform's append-only log.
//! * [`KeyedPort`]: compacted topics, which keep the newest record of each
//!   key.
//! * [`CatalogPort`], [`UpstreamListPort`]: operators' declarations and
//!   upstreams' registrations.
//! * [`MovePort`]: orders to move a service to another version, and their
//!   status.
//! * [`ForwardPort`]: upstreams that receive requests unchanged.
//! * [`VmListPort`]: the platform's list of VMs, which is eventually
//!   consistent.
//! * [`UpstreamPort`]: model engines and other services.
//! * [`PeerPort`]: the other routers.
//!
//! The methods return boxed futures so that the traits are
//! dyn-compatible. One allocation for each call costs far less than the
//! network call that it makes.

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
        CatalogPort, DeclaredCatalog, DeclaredChanges, ReadScope,
        UpstreamEntry, UpstreamEvent, UpstreamListPort,
    },
    forward::{
        ForwardCall, ForwardConnection, ForwardPort, ForwardReply,
        ForwardVerdict,
    },
    keyed::{
        KeyedFault, KeyedPort, KeyedRecord, KeyedSlice, TopicPosition,
        TopicWriter,
    },
    log::{LogCursors, LogFault, LogPort, LogRecord, LogSlice},
    moves::{MoveOrder, MovePort, MoveStatus},
    peer::{
        AccountAllowance, AllowanceReport, ClaimReply, ClaimRequest,
        DeclaredNotice, DeclaredState, EvidenceReport, KnownState, LendReply,
        LendRequest, MemberStatus, MemberUpdate, NewerState, PartReport,
        PeerAnswer, PeerCall, PeerFault, PeerHandler, PeerPort, PingMessage,
        RelayBatch, RelayedBill, UpstreamDeparture,
    },
    upstream::{
        UpstreamBody, UpstreamCall, UpstreamConnection, UpstreamFault,
        UpstreamPort, UpstreamReply,
    },
    vm_list::{VmEntry, VmList, VmListPort, VmRole, VmState},
};

/// The boxed future that the methods of ports return.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;
