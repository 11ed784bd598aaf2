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

/// A reader that starts again from a checkpoint sees old grant records a
/// second time. What was given back must not become spendable by that.
#[test]
fn a_closed_portion_does_not_come_back() {
    let now = Instant::now();
    let mut holder = GrantHolder::new(HolderId::new("vm-1", 1));
    let portion = PortionId::new(1, 7, 0);
    holder.add(portion, "dairy/nurses", 100, now);
    assert_eq!(holder.close_where(|_, _, _| true).len(), 1);
    holder.add(portion, "dairy/nurses", 100, now);
    assert_eq!(holder.totals("dairy/nurses").available, 0);
}
