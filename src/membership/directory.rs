//! The newest known list of VMs.
//!
//! A VM stays on the list only while its router renews that. In an outage
//! nobody can, and the first list after it names few. VMs that are missing
//! there stay known until their routers could be back.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::OutageTracker;
use crate::ports::{VmEntry, VmList, VmRole, VmState};

/// Routers that live are on the list again within this time after an
/// outage: a renewal, and a second one by which earlier members make room.
const RETURN_TIME: Duration = Duration::from_secs(4);

/// The platform's list of VMs as this router last saw it.
pub struct VmDirectory {
    vm: String,
    list: RefCell<VmList>,
    /// Missing VMs that may come back, and until when.
    doubted: RefCell<BTreeMap<String, Instant>>,
    read_at: Cell<Option<Instant>>,
    /// Until when VMs stay known that the current read misses.
    lapse_end: Cell<Option<Instant>>,
}

impl VmDirectory {
    /// Creates an empty directory for the router on `vm`.
    pub fn new(vm: impl Into<String>) -> VmDirectory {
        VmDirectory {
            vm: vm.into(),
            list: RefCell::default(),
            doubted: RefCell::default(),
            read_at: Cell::new(None),
            lapse_end: Cell::new(None),
        }
    }

    /// The name of this router's VM.
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Notes that the list was read, and forgets missing VMs that could be
    /// back by now; returns their names.
    ///
    /// [`VmDirectory::update`] follows if the list has changed.
    pub fn begin_read(
        &self,
        now: Instant,
        outage: &OutageTracker,
    ) -> Vec<String> {
        let returned = outage.recovered_since(self.read_at.replace(Some(now)));
        let lapse_end = returned.map(|returned| returned + RETURN_TIME);
        self.lapse_end.set(lapse_end.filter(|until| *until > now));
        let mut doubted = self.doubted.borrow_mut();
        let gone = doubted.extract_if(.., |_, until| *until <= now);
        let gone: Vec<String> = gone.map(|(vm, _)| vm).collect();
        let mut known = self.list.borrow_mut();
        for vm in &gone {
            known.vms.remove(vm);
        }
        gone
    }

    /// Replaces the list, unless it is older than the known one.
    ///
    /// VMs that may have lapsed in an outage stay on it.
    pub fn update(&self, mut list: VmList) {
        let mut known = self.list.borrow_mut();
        if list.version <= known.version {
            return;
        }
        let mut doubted = self.doubted.borrow_mut();
        let mut missing = BTreeMap::new();
        for (vm, entry) in std::mem::take(&mut known.vms) {
            if list.vms.contains_key(&vm) {
                continue;
            }
            let until = doubted.get(&vm).copied().or(self.lapse_end.get());
            if let Some(until) = until {
                missing.insert(vm.clone(), until);
                list.vms.insert(vm, entry);
            }
        }
        *doubted = missing;
        *known = list;
    }

    /// How many VMs are known only because they may come back.
    pub fn retained_count(&self) -> usize {
        self.doubted.borrow().len()
    }

    /// The version of the known list.
    pub fn version(&self) -> u64 {
        self.list.borrow().version
    }

    /// The VMs by name.
    pub fn vms(&self) -> Ref<'_, BTreeMap<String, VmEntry>> {
        Ref::map(self.list.borrow(), |list| &list.vms)
    }

    /// Where the router on a VM takes calls of other routers.
    pub fn peer_address(&self, vm: &str) -> Option<SocketAddr> {
        self.vms().get(vm).and_then(|entry| entry.peer_address)
    }

    /// The number of entry VMs, leaving ones included.
    pub fn entry_count(&self) -> usize {
        let vms = self.vms();
        vms.values().filter(|e| e.role == VmRole::Entry).count()
    }

    /// Live entry VMs in the order in which they serve `key`.
    ///
    /// The order is a rendezvous ranking: it is the same at every router
    /// with the same list, and the loss of a VM moves only its own keys.
    pub fn ranked_entry_vms(&self, key: &str) -> Vec<String> {
        let vms = self.vms();
        let mut ranked: Vec<(u64, &String)> =
            weighted_entry_vms(&vms, key).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Whether this router's VM is the first one that serves `key`.
    ///
    /// The same as a look at the head of the ranking, without a sort. It is
    /// asked for every partition at every settlement.
    pub fn is_first_for(&self, key: &str) -> bool {
        let vms = self.vms();
        let first = weighted_entry_vms(&vms, key).max();
        first.is_some_and(|(_, name)| *name == self.vm)
    }
}

/// Live entry VMs with their weights for a key.
fn weighted_entry_vms<'a>(
    vms: &'a BTreeMap<String, VmEntry>,
    key: &'a str,
) -> impl Iterator<Item = (u64, &'a String)> {
    let live = vms.iter().filter(|(_, entry)| {
        entry.role == VmRole::Entry && entry.state == VmState::Live
    });
    live.map(move |(name, _)| (rendezvous_weight(key, name), name))
}

/// The weight of a node for a key in rendezvous hashing.
///
/// # Example
///
/// ```
/// use magnoliahaven::membership::rendezvous_weight;
///
/// let weight = rendezvous_weight("dairy", "vm-1");
/// assert_eq!(weight, rendezvous_weight("dairy", "vm-1"));
/// ```
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(node.as_bytes(), seed)
}
