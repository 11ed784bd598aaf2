//! What operators have declared, and which upstreams have registered.

use std::{net::SocketAddr, rc::Rc, time::Instant};

use super::{KeyedFault, MoveOrder, PortFuture};
use crate::catalog::RouteCatalog;

/// A catalog with the text that declares it.
#[derive(Clone, Debug)]
pub struct DeclaredCatalog {
    /// What the text says.
    pub catalog: RouteCatalog,
    /// The text, in the form of the port.
    pub text: Rc<str>,
}

/// What operators have declared since the last call.
#[derive(Clone, Debug)]
pub struct DeclaredChanges {
    /// When the question was asked. What was declared later is not in it.
    pub asked_at: Instant,
    /// A catalog, if a new one was declared.
    pub catalog: Option<DeclaredCatalog>,
    /// Orders to move services to other versions.
    pub orders: Vec<MoveOrder>,
}

/// The operators' declarations.
pub trait CatalogPort {
    /// Waits for news.
    ///
    /// Returns nothing new if none came within the wait of one call.
    ///
    /// # Errors
    ///
    /// The last known catalog stays in force.
    fn next(&self) -> PortFuture<'_, Result<DeclaredChanges, KeyedFault>>;

    /// Understands a text that another router has read; `None` if it is not
    /// valid.
    fn decode(&self, text: &str) -> Option<RouteCatalog>;
}

/// An upstream as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its identity, which differs between most starts.
    pub id: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The service that it serves.
    pub service: String,
    /// The failure domain that it is in.
    pub domain: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it finishes its work and takes nothing new.
    pub is_leaving: bool,
    /// When it started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Counts its entries since its start.
    pub sequence: u64,
}

/// A change of the registered upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// An upstream has registered or renewed its entry.
    Listed(UpstreamEntry),
    /// The entry of an upstream is gone.
    Removed(String),
    /// The entry cannot be read, and names no upstream to use.
    Unreadable(String),
    /// Exactly the upstreams listed until now exist; all others are gone.
    RetainOnly(Vec<String>),
}

/// The registrations of upstreams.
pub trait UpstreamListPort {
    /// Reads the changes since the last call.
    ///
    /// # Errors
    ///
    /// Nothing was read; the next call begins at the same place.
    fn poll(&self) -> PortFuture<'_, Result<Vec<UpstreamEvent>, KeyedFault>>;
}
