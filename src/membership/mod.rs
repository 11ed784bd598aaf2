//! Which VMs there are, and what this router knows of each.
//!
//! [`VmDirectory`] holds the newest list of VMs that the platform gave out.
//! The list lags, may lie still for long and may be out of reach, so every
//! reader treats it as advice.
//!
//! [`UpstreamRoster`] holds the upstreams that have registered themselves.
//!
//! [`OutageTracker`] tells when entries of a registry may have lapsed although
//! their owners live.
//!
//! [`MemberTable`] adds what the routers find out from each other. Each one
//! probes one other router in each period and passes news on with the
//! probes, so that the cost of a router does not grow with their number.
//! `docs/design/membership.md` weighs the ways and gives the measured cost.

mod directory;
mod outage;
mod roster;
mod table;

pub use self::{
    directory::{VmDirectory, rendezvous_weight},
    outage::OutageTracker,
    roster::{RosterChange, UpstreamRoster},
    table::{MemberOptions, MemberTable},
};
