//! Serves entry addresses, readiness checks and metrics.

use std::{net::SocketAddr, rc::Rc};

use {bytes::Bytes, http::Response, monoio::net::TcpListener};

use super::GatewayCore;
use crate::{
    adapters::http::{HttpRequest, text_response},
    allowance::ServingState,
    entry::{EntryHealth, select_entries, selection_size},
    process::{ProcessCore, serve_sync},
};

/// Maximum number of addresses in an entry answer.
const MAX_ADDRESSES: usize = 64;

/// A caller's query for entry addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryQuery {
    /// The region of the caller.
    pub region: String,
    /// The failure domain of the caller.
    pub domain: String,
}

/// What a listener other than that of the callers serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerRole {
    /// Entry addresses for callers.
    Entry,
    /// Readiness checks.
    Readiness,
    /// Metrics.
    Metrics,
}

/// Answers the requests to a listener. Never returns.
pub(super) async fn run_listener(
    core: Rc<GatewayCore>,
    listener: TcpListener,
    role: ListenerRole,
) {
    serve_sync(listener, move |request| answer(&core, request, role)).await;
}

fn answer(
    core: &GatewayCore,
    request: &HttpRequest,
    role: ListenerRole,
) -> Response<Bytes> {
    let front = &core.ports.front;
    match role {
        ListenerRole::Entry => front.entry_answer(core, request),
        ListenerRole::Readiness => {
            front.readiness_answer(request, core.is_ready())
        }
        ListenerRole::Metrics => text_response(200, core.metrics.render()),
    }
}

impl GatewayCore {
    /// Returns the addresses that a caller may connect to, in no particular
    /// order.
    pub fn entry_addresses(&self, query: &EntryQuery) -> Vec<SocketAddr> {
        let vms = self.directory.vms();
        let width = self.entry_width().min(MAX_ADDRESSES);
        let health = |vm: &str| self.entry_health(vm);
        let selected =
            select_entries(vms.iter(), &query.region, width, health);
        let mut addresses: Vec<SocketAddr> =
            selected.into_iter().map(|entry| entry.address).collect();
        if addresses.is_empty() {
            addresses.push(self.settings.listen.callers);
        }
        addresses
    }

    /// Returns whether entry answers list this router, and how many they
    /// list.
    pub(super) fn serving_state(&self) -> ServingState {
        let query = EntryQuery {
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
        };
        let own = self.settings.listen.callers;
        let addresses = self.entry_addresses(&query);
        ServingState {
            is_listed: addresses.contains(&own),
            serving_routers: addresses.len() as u64,
        }
    }

    /// Returns the number of routers that entry answers list.
    pub(super) fn entry_width(&self) -> usize {
        let capacities = self.directory.entry_capacities();
        selection_size(capacities, self.settings.entry_width)
    }

    fn entry_health(&self, vm: &str) -> EntryHealth {
        if *vm != self.settings.vm {
            return self.members.health(vm);
        }
        let is_stale = self.reject_if_stale().is_err();
        let unusable =
            self.is_leaving() || self.has_token_shortage() || is_stale;
        EntryHealth { unusable, full: false }
    }
}
