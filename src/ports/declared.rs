//! Declarations of operators and registrations of upstreams.

use std::{net::SocketAddr, time::Instant};

use super::{KeyedFault, MoveOrder, PortFuture, TopicPosition};
use crate::catalog::{PackedText, RouteCatalog};

/// A route catalog with the text that declares it.
#[derive(Clone, Debug)]
pub struct DeclaredCatalog {
    /// The parsed catalog.
    pub catalog: RouteCatalog,
    /// The text, in the format that the adapter of [`CatalogPort`] reads.
    pub text: PackedText,
}

/// What a read of the declarations returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// New declarations with their text, which may be large.
    Text,
    /// Whether there are new declarations. The answer is small.
    Position,
}

/// The declarations since the previous call.
#[derive(Clone, Debug)]
pub struct DeclaredChanges {
    /// When the read was sent. Later declarations may be missing.
    pub requested_at: Instant,
    /// The position up to which everything was read.
    pub position: Option<TopicPosition>,
    /// The end of the topic, if there may be newer declarations before it
    /// that this read did not return.
    pub unread_end: Option<TopicPosition>,
    /// Size of the records that were read, in bytes.
    pub read_bytes: usize,
    /// A catalog, if a new one was declared.
    pub catalog: Option<DeclaredCatalog>,
    /// New orders to move services to other versions.
    pub orders: Vec<MoveOrder>,
}

/// The operators' declarations.
pub trait CatalogPort {
    /// Waits for new declarations.
    ///
    /// Returns no changes if none were made within the wait time of one
    /// call. `scope` determines whether the text of a change is read.
    ///
    /// # Errors
    ///
    /// After any fault the last known catalog stays in use.
    fn next(
        &self,
        scope: ReadScope,
    ) -> PortFuture<'_, Result<DeclaredChanges, KeyedFault>>;

    /// Skips everything before `position`, because another router has read
    /// it.
    fn advance(&self, position: TopicPosition);

    /// Parses a text that another router has read; returns `None` if it is
    /// not valid.
    fn decode(&self, text: &str) -> Option<RouteCatalog>;
}

/// The registration of an upstream, as the upstream describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// The ID of the upstream, which usually changes at a restart.
    pub id: String,
    /// The address that serves requests.
    pub address: SocketAddr,
    /// The service that the upstream provides.
    pub service: String,
    /// The failure domain of the upstream.
    pub domain: String,
    /// The version of the software that the upstream runs.
    pub version: String,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream drains: it finishes its requests and accepts no
    /// new ones.
    pub is_leaving: bool,
    /// Start time in milliseconds since the epoch.
    pub started_ms: u64,
    /// Number of the entry, counted from the start of the upstream; a later
    /// entry has a higher number.
    pub sequence: u64,
}

/// A change of the registered upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// The registry was restored from a copy; its newest registrations
    /// follow.
    Restored,
    /// An upstream has registered or has renewed its registration.
    Listed(UpstreamEntry),
    /// The registration of this upstream was removed.
    Removed(String),
    /// The registration with this ID cannot be parsed, so that its
    /// upstream cannot be used.
    Unreadable(String),
    /// Only the upstreams with these identities are registered; all others
    /// are gone.
    RetainOnly(Vec<String>),
}

/// The registrations of upstreams.
pub trait UpstreamListPort {
    /// Reads the changes since the previous call.
    ///
    /// # Errors
    ///
    /// Any fault means that nothing was read; the next call continues at
    /// the same offset.
    fn poll(&self) -> PortFuture<'_, Result<Vec<UpstreamEvent>, KeyedFault>>;
}
