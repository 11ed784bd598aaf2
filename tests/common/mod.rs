//! Values that tests and benchmarks of decisions share.

use std::collections::BTreeMap;

use magnoliahaven::ports::{VmEntry, VmRole, VmState};

/// Entry VMs by name, spread in turn over regions and failure domains.
pub fn entry_vms(
    count: usize,
    regions: &[&str],
    domains: usize,
) -> BTreeMap<String, VmEntry> {
    let mut vms = BTreeMap::new();
    for number in 0..count {
        let entry = VmEntry {
            role: VmRole::Entry,
            state: VmState::Live,
            region: regions[number % regions.len()].to_owned(),
            domain: format!("d-{}", number % domains),
            address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
            peer_address: None,
            operator_address: None,
            capacity: 0,
            service: String::new(),
            version: String::new(),
        };
        vms.insert(format!("vm-{number}"), entry);
    }
    vms
}
