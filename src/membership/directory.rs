//! The newest known list of VMs.

use std::{
    cell::{Ref, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
};

use crate::ports::{VmEntry, VmList, VmRole, VmState};

/// The platform's list of VMs as this router last saw it.
pub struct VmDirectory {
    vm: String,
    list: RefCell<VmList>,
}

impl VmDirectory {
    /// Creates an empty directory for the router on `vm`.
    pub fn new(vm: impl Into<String>) -> VmDirectory {
        VmDirectory { vm: vm.into(), list: RefCell::default() }
    }

    /// The name of this router's VM.
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Replaces the list, unless it is older than the known one.
    pub fn update(&self, list: VmList) {
        let mut known = self.list.borrow_mut();
        if list.version > known.version {
            *known = list;
        }
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
