//! Adapters from the ports to real protocols.
//!
//! * [`http`] carries requests of callers, upstreams and the log service.
//! * [`log`] speaks the log service's HTTP interface.
//! * [`peer`] links routers with each other by `tonic`.
//! * [`upstream`] reaches model engines and plain services.

pub mod http;
pub mod log;
pub mod peer;
pub mod upstream;
