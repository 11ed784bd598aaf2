//! Idempotency keys of model requests.
//!
//! A caller that has lost its connection repeats the request, perhaps at
//! another router. The first router that dispatches a key tells the key's
//! home routers where the request runs; a second one is sent there, where
//! the engine knows the request and neither runs nor bills it again.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    domain::HolderId,
    ports::{ClaimReply, ClaimRequest},
};

/// Most keys remembered at one router.
const REMEMBERED_KEYS: usize = 100_000;

/// Time for which a key is remembered.
const KEY_TIME: Duration = Duration::from_secs(900);

/// Who serves a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyClaim {
    /// The router that dispatched the request first.
    pub holder: HolderId,
    /// Hash of the request.
    pub fingerprint: u64,
    /// The VM of the upstream where it runs.
    pub upstream: String,
}

/// The keys that a router remembers for the fleet.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: BTreeMap<String, KeyClaim>,
    order: VecDeque<(Instant, String)>,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new() -> ClaimTable {
        ClaimTable::default()
    }

    /// Claims a key; the first claim stays and is returned.
    pub fn claim(&mut self, request: &ClaimRequest) -> ClaimReply {
        self.forget(Instant::now());
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

    /// Frees a key whose request was not run.
    pub fn release(&mut self, key: &str) {
        self.claims.remove(key);
    }

    /// The number of remembered keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        while let Some((since, _)) = self.order.front() {
            let full = self.order.len() >= REMEMBERED_KEYS;
            if !full && now - *since < KEY_TIME {
                return;
            }
            if let Some((_, key)) = self.order.pop_front() {
                self.claims.remove(&key);
            }
        }
    }
}
