//! Claims on the idempotency keys of model requests.
//!
//! A caller that has lost its connection repeats the request, possibly at
//! another router. The first router that dispatches a request with a key
//! claims the key at a few routers chosen by the key's hash, and names the
//! upstream. A repetition is then sent to the same upstream, where the engine
//! recognizes the request and neither executes nor bills it again.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    domain::HolderId,
    ports::{ClaimReply, ClaimRequest},
};

/// Maximum number of claims stored at one router.
const MAX_CLAIMS: usize = 100_000;

/// Time after which a claim is evicted.
const CLAIM_LIFETIME: Duration = Duration::from_secs(900);

/// The first request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyClaim {
    /// The router that dispatched the request.
    pub holder: HolderId,
    /// The hash of the request.
    pub fingerprint: u64,
    /// The VM of the upstream that executes the request.
    pub upstream: String,
}

/// The claims that a router stores for the fleet.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: BTreeMap<String, KeyClaim>,
    /// The claimed keys, oldest first, with the time of the claim.
    order: VecDeque<(Instant, String)>,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new() -> ClaimTable {
        ClaimTable::default()
    }

    /// Claims a key unless it is already claimed, and returns the claim in
    /// force.
    pub fn claim(&mut self, request: &ClaimRequest) -> ClaimReply {
        self.evict(Instant::now());
        let claim = self.claims.entry(request.key.clone());
        let claim = claim.or_insert_with(|| {
            self.order.push_back((Instant::now(), request.key.clone()));
            KeyClaim {
                holder: request.holder.clone(),
                fingerprint: request.fingerprint,
                upstream: request.upstream.clone(),
            }
        });
        ClaimReply {
            holder: claim.holder.clone(),
            fingerprint: claim.fingerprint,
            upstream: claim.upstream.clone(),
        }
    }

    /// Removes the claim on a key whose request was not executed.
    pub fn release(&mut self, key: &str) {
        self.claims.remove(key);
    }

    /// Returns the number of stored claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Removes expired claims, and the oldest ones while the table is full.
    fn evict(&mut self, now: Instant) {
        while let Some((claimed_at, _)) = self.order.front() {
            let full = self.order.len() >= MAX_CLAIMS;
            if !full && now - *claimed_at < CLAIM_LIFETIME {
                return;
            }
            if let Some((_, key)) = self.order.pop_front() {
                self.claims.remove(&key);
            }
        }
    }
}
