//! The routes, services and client accounts that are in force.
//!
//! A [`RouteCatalog`] is one whole version of what operators have declared.
//! Requests take a counted reference to it when they arrive, so that a newer
//! version never changes a request half-way. Catalogs are replaced whole and
//! only by newer versions.
//!
//! * [`RouteSpec`] tells what may be done with the requests of one route.
//! * [`ServiceSpec`] tells what the upstreams of one service can carry.
//! * [`AccountSpec`] tells what one client account may use.

mod account;
mod route;
mod table;

pub use self::{
    account::AccountSpec,
    route::{CallKind, EngineSpec, RouteSpec, RouteTarget, ServiceSpec},
    table::{CallerLimits, CatalogBuilder, RouteCatalog},
};
