//! The newest known list of VMs.
//!
//! A VM stays on the platform's list only while its router renews its
//! registration. During an outage of the platform no router can, so the
//! first list after it names few VMs. The missing ones are retained until
//! their routers have had time to register again.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::OutageTracker;
use crate::ports::{VmEntry, VmList, VmRole, VmState};

/// Live routers are on the list again within this time after an outage. It
/// covers two renewals: one to register, and a second one by which earlier
/// members make room.
const REREGISTRATION_WINDOW: Duration = Duration::from_secs(4);

/// The platform's list of VMs as this router last read it.
pub struct VmDirectory {
    vm: String,
    list: RefCell<VmList>,
    /// VMs that are missing from the list but retained, and until when.
    retained: RefCell<BTreeMap<String, Instant>>,
    read_at: Cell<Option<Instant>>,
    /// Until when VMs that are missing from the current read are retained;
    /// `None` unless this read is the first after an outage.
    retain_until: Cell<Option<Instant>>,
}

impl VmDirectory {
    /// Creates an empty directory for the router on `vm`.
    pub fn new(vm: impl Into<String>) -> VmDirectory {
        VmDirectory {
            vm: vm.into(),
            list: RefCell::default(),
            retained: RefCell::default(),
            read_at: Cell::new(None),
            retain_until: Cell::new(None),
        }
    }

    /// Returns the name of this router's VM.
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Records that the list was read, and removes VMs whose retention has
    /// ended; returns their names.
    ///
    /// [`VmDirectory::update`] follows if the list has changed.
    pub fn begin_read(
        &self,
        now: Instant,
        outage: &OutageTracker,
    ) -> Vec<String> {
        let recovered =
            outage.recovered_since(self.read_at.replace(Some(now)));
        let retain_until =
            recovered.map(|recovered| recovered + REREGISTRATION_WINDOW);
        self.retain_until.set(retain_until.filter(|until| *until > now));
        let mut retained = self.retained.borrow_mut();
        let expired = retained.extract_if(.., |_, until| *until <= now);
        let expired: Vec<String> = expired.map(|(vm, _)| vm).collect();
        let mut known = self.list.borrow_mut();
        for vm in &expired {
            known.vms.remove(vm);
        }
        expired
    }

    /// Replaces the list, unless it is older than the known one.
    ///
    /// VMs whose registrations may have expired in an outage stay on it.
    pub fn update(&self, mut list: VmList) {
        let mut known = self.list.borrow_mut();
        if list.version <= known.version {
            return;
        }
        let mut retained = self.retained.borrow_mut();
        let mut missing = BTreeMap::new();
        for (vm, entry) in std::mem::take(&mut known.vms) {
            if list.vms.contains_key(&vm) {
                continue;
            }
            let until = retained.get(&vm).copied().or(self.retain_until.get());
            if let Some(until) = until {
                missing.insert(vm.clone(), until);
                list.vms.insert(vm, entry);
            }
        }
        *retained = missing;
        *known = list;
    }

    /// Returns the number of VMs that are missing from the list but retained.
    pub fn retained_count(&self) -> usize {
        self.retained.borrow().len()
    }

    /// Returns the version of the known list.
    pub fn version(&self) -> u64 {
        self.list.borrow().version
    }

    /// Returns the VMs by name.
    pub fn vms(&self) -> Ref<'_, BTreeMap<String, VmEntry>> {
        Ref::map(self.list.borrow(), |list| &list.vms)
    }

    /// Returns the address where the router on a VM takes calls of its peers.
    pub fn peer_address(&self, vm: &str) -> Option<SocketAddr> {
        self.vms().get(vm).and_then(|entry| entry.peer_address)
    }

    /// Returns the number of entry VMs, including leaving ones.
    pub fn entry_count(&self) -> usize {
        let vms = self.vms();
        vms.values().filter(|e| e.role == VmRole::Entry).count()
    }

    /// Returns the capacity of each entry VM, including leaving ones.
    pub fn entry_capacities(&self) -> Vec<u32> {
        let vms = self.vms();
        let entries = vms.values().filter(|e| e.role == VmRole::Entry);
        entries.map(|entry| entry.capacity).collect()
    }

    /// Returns the live entry VMs in the order in which they serve `key`.
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

    /// Returns whether this router's VM is the first one that serves `key`.
    ///
    /// Equivalent to a comparison with the first of
    /// [`VmDirectory::ranked_entry_vms`], but without a sort, because it is
    /// called for every partition at every settlement.
    pub fn is_first_for(&self, key: &str) -> bool {
        let vms = self.vms();
        let first = weighted_entry_vms(&vms, key).max();
        first.is_some_and(|(_, name)| *name == self.vm)
    }
}

/// Returns the live entry VMs with their weights for a key.
fn weighted_entry_vms<'a>(
    vms: &'a BTreeMap<String, VmEntry>,
    key: &'a str,
) -> impl Iterator<Item = (u64, &'a String)> {
    let live = vms.iter().filter(|(_, entry)| {
        entry.role == VmRole::Entry && entry.state == VmState::Live
    });
    live.map(move |(name, _)| (rendezvous_weight(key, name), name))
}

/// Returns the weight of a node for a key in rendezvous hashing.
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
