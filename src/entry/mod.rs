//! Entry answers: which routers a caller should connect to.
//!
//! There is no load balancer in front of the system. A caller asks any router,
//! gets an ordered list with a lifetime, and connects to the first address
//! that works. The order keeps a client account on few routers, because every
//! router that serves it holds a part of the budget, and the remainders of
//! many parts are small. It also spreads the account over failure domains and
//! prefers the caller's region.

use std::collections::BTreeMap;

use crate::{
    membership::rendezvous_weight,
    ports::{VmEntry, VmRole, VmState},
};

/// The VMs that serve callers have at least one part in this many of the
/// capacity of all entry VMs; the others are standbys.
const SERVING_CAPACITY_DIVISOR: u64 = 4;

/// The rendezvous key of the selection that all callers share.
const SELECTION_KEY: &str = "entry";

/// Maximum number of addresses in one answer.
const MAX_ANSWER_LENGTH: usize = 5;

value_types! {
    /// One address of an entry answer.
    pub struct EntryAddress {
        /// The name of the VM.
        pub vm: String,
        /// The address where callers connect.
        pub address: std::net::SocketAddr,
        /// The region of the VM.
        pub region: String,
        /// The failure domain of the VM.
        pub domain: String,
    }

    /// An entry answer.
    pub struct EntryAnswer {
        /// Addresses, the best one first.
        pub addresses: Vec<EntryAddress>,
        /// Seconds for which the answer may be cached.
        pub lifetime_s: u64,
    }
}

/// What this router knows of an entry VM beyond the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryHealth {
    /// The router is suspect, dead or leaving.
    pub unusable: bool,
    /// The router has no free slot left.
    pub full: bool,
}

/// Ranks entry VMs for a client account.
///
/// `health` returns the health of a VM. The order is by region, then by
/// spare capacity, then by rendezvous weight; the second place goes to
/// another failure domain than the first, if there is one.
pub fn rank_entries<'a>(
    vms: impl Iterator<Item = (&'a String, &'a VmEntry)>,
    account: &str,
    region: &str,
    health: impl Fn(&str) -> EntryHealth,
) -> Vec<EntryAddress> {
    let mut ranked = Vec::new();
    for (name, entry) in vms {
        let vm_health = health(name);
        if entry.role != VmRole::Entry
            || entry.state != VmState::Live
            || vm_health.unusable
        {
            continue;
        }
        let weight = std::cmp::Reverse(rendezvous_weight(account, name));
        let rank = (entry.region != region, vm_health.full, weight);
        ranked.push((rank, name, entry));
    }
    ranked.sort_by_key(|(rank, _, _)| *rank);
    spread_domains(&mut ranked);
    ranked.truncate(MAX_ANSWER_LENGTH);
    let mut addresses = Vec::with_capacity(ranked.len());
    for (_, name, entry) in ranked {
        addresses.push(EntryAddress {
            vm: name.clone(),
            address: entry.address,
            region: entry.region.clone(),
            domain: entry.domain.clone(),
        });
    }
    addresses
}

/// Moves the best VM of another failure domain to the second place.
fn spread_domains<R>(ranked: &mut [(R, &String, &VmEntry)]) {
    let Some((_, _, first)) = ranked.first() else {
        return;
    };
    let domain = &first.domain;
    let other = ranked.iter().position(|(_, _, e)| e.domain != *domain);
    if let Some(other) = other.filter(|other| *other > 1) {
        ranked[1..=other].rotate_right(1);
    }
}

/// Returns how many entry VMs serve callers, given the capacity of each VM;
/// at least `min`.
///
/// Large VMs are selected first, so few of them suffice. The prepaid tokens
/// of an account are then held in few places. VMs of unknown capacity, which
/// is 0, count as the smallest ones.
///
/// # Example
///
/// ```
/// use magnoliahaven::entry::selection_size;
///
/// assert_eq!(selection_size([25; 9], 5), 5);
/// assert_eq!(selection_size([0; 100], 5), 25);
/// // 10 of 43 cores are on 21 large VMs.
/// let large = std::iter::repeat_n(50, 21);
/// let small = std::iter::repeat_n(12, 274);
/// assert_eq!(selection_size(large.chain(small), 5), 24);
/// ```
pub fn selection_size(
    capacities: impl IntoIterator<Item = u32>,
    min: usize,
) -> usize {
    let capacities = capacities.into_iter().map(|capacity| capacity.max(1));
    let mut capacities: Vec<u64> = capacities.map(u64::from).collect();
    capacities.sort_unstable_by(|a, b| b.cmp(a));
    let total: u64 = capacities.iter().sum();
    let needed = total.div_ceil(SERVING_CAPACITY_DIVISOR);
    let mut size = 0;
    let mut selected = 0;
    for capacity in capacities {
        if selected >= needed {
            break;
        }
        selected += capacity;
        size += 1;
    }
    size.max(min)
}

/// Selects the `size` entry VMs that all callers share.
///
/// With few routers in use, the prepaid tokens of an account are held in few
/// places. The selection alternates between failure domains, with VMs of
/// `region` and large VMs first, and is the same at every router with the
/// same list and health. A router that finds most others unusable is most
/// likely partitioned itself, and ignores that they are unusable.
pub fn select_entries<'a>(
    vms: impl Iterator<Item = (&'a String, &'a VmEntry)>,
    region: &str,
    size: usize,
    health: impl Fn(&str) -> EntryHealth,
) -> Vec<EntryAddress> {
    let mut live = Vec::new();
    let mut unusable = 0;
    for (name, entry) in vms {
        if entry.role != VmRole::Entry || entry.state != VmState::Live {
            continue;
        }
        let vm_health = health(name);
        unusable += usize::from(vm_health.unusable);
        live.push((name, entry, vm_health));
    }
    let is_partitioned = unusable * 2 > live.len();
    if !is_partitioned {
        live.retain(|(_, _, vm_health)| !vm_health.unusable);
    }
    live.sort_by_key(|(name, entry, vm_health)| {
        let weight = std::cmp::Reverse(rendezvous_weight(SELECTION_KEY, name));
        let capacity = std::cmp::Reverse(entry.capacity);
        (entry.region != region, vm_health.full, capacity, weight)
    });
    // The VMs of each failure domain are numbered, and VMs with equal spare
    // capacity are sorted by that number, so that the domains alternate.
    let mut next_domain_indexes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked = Vec::with_capacity(live.len());
    for (order, (name, entry, vm_health)) in live.into_iter().enumerate() {
        let domain_index =
            next_domain_indexes.entry(&entry.domain).or_default();
        ranked.push(((vm_health.full, *domain_index, order), name, entry));
        *domain_index += 1;
    }
    ranked.sort_by_key(|(rank, _, _)| *rank);
    ranked.truncate(size);
    let addresses = ranked.into_iter().map(|(_, name, entry)| EntryAddress {
        vm: name.clone(),
        address: entry.address,
        region: entry.region.clone(),
        domain: entry.domain.clone(),
    });
    addresses.collect()
}
