//! The routes, services and client accounts that are in force.
//!
//! A [`RouteCatalog`] is an immutable snapshot of what operators have
//! declared. A request takes a reference-counted pointer to it on arrival,
//! so that a newer version never affects a request in progress. A catalog is
//! only ever replaced as a whole, by a newer version.
//!
//! * [`RouteSpec`] describes how the requests of one route are handled.
//! * [`ServiceSpec`] describes the capacity of a service's upstreams.
//! * [`PackedText`] is the text that declares a catalog, as routers exchange
//!   it.
//! * [`AccountSpec`] describes what one client account may use.

mod account;
mod packed;
mod route;
mod table;

pub use self::{
    account::AccountSpec,
    packed::PackedText,
    route::{CallKind, EngineSpec, RouteSpec, RouteTarget, ServiceSpec},
    table::{CallerLimits, CatalogBuilder, RouteCatalog},
};
