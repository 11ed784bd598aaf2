//! The portions of grants that one router holds.

use std::time::Instant;

use magnoliahaven::{GrantHolder, HolderId, PortionId};

/// A grant is identified by its offset within a partition. Grants at the same
/// offset of two partitions must not replace each other.
#[test]
fn grants_of_two_partitions_do_not_collide() {
    let now = Instant::now();
    let mut holder = GrantHolder::new(HolderId::new("vm-1", 1));
    holder.add(PortionId::new(1, 7, 0), "dairy/nurses", 100, now);
    holder.add(PortionId::new(2, 7, 0), "yards/planners", 100, now);
    assert_eq!(holder.totals("dairy/nurses").available, 100);
    assert_eq!(holder.totals("yards/planners").available, 100);
}

/// A reader that restarts from a checkpoint reads old grant records again. A
/// portion that was given back must not become spendable by that.
#[test]
fn a_closed_portion_cannot_be_added_again() {
    let now = Instant::now();
    let mut holder = GrantHolder::new(HolderId::new("vm-1", 1));
    let portion = PortionId::new(1, 7, 0);
    holder.add(portion, "dairy/nurses", 100, now);
    assert_eq!(holder.close_where(|_, _, _| true).len(), 1);
    holder.add(portion, "dairy/nurses", 100, now);
    assert_eq!(holder.totals("dairy/nurses").available, 0);
}
