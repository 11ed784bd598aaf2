//! The VMs of the fleet, their upstreams, and failure detection.
//!
//! [`VmDirectory`] holds the newest list of VMs from the platform. The list
//! may be out of date, may stay unchanged for a long time and may be
//! unreachable, so its readers treat it as a hint.
//!
//! [`UpstreamRoster`] holds the upstreams that have registered themselves.
//!
//! [`OutageTracker`] detects outages of a registry of VMs or upstreams. During
//! an outage, entries may expire although their owners live.
//!
//! [`MemberTable`] adds what the routers learn from each other by SWIM: each
//! one probes one other router per interval and piggybacks updates on the
//! probes, so that the cost for a router does not grow with the size of the
//! fleet. `docs/design/membership.md` compares the alternatives and gives the
//! measured cost.

mod directory;
mod history;
mod outage;
mod roster;
mod table;

pub use self::{
    directory::{VmDirectory, rendezvous_weight},
    outage::OutageTracker,
    roster::{RosterChange, UpstreamRoster},
    table::{MemberOptions, MemberTable},
};
