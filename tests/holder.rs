//! The portions that one router holds.

use std::time::Instant;

use magnoliahaven::{GrantHolder, HolderId, PortionId};

/// Offsets name grants within a partition only. Two partitions that give
/// the same offset to two grants must not shadow each other.
#[test]
fn grants_of_two_partitions_do_not_collide() {
    let now = Instant::now();
    let mut holder = GrantHolder::new(HolderId::new("vm-1", 1));
    holder.add(PortionId::new(1, 7, 0), "dairy/nurses", 100, now);
    holder.add(PortionId::new(2, 7, 0), "yards/planners", 100, now);
    assert_eq!(holder.totals("dairy/nurses").available, 100);
    assert_eq!(holder.totals("yards/planners").available, 100);
}
