//! Adapters that implement the ports over network protocols.
//!
//! * [`http`] is the HTTP/1.1 server and client.
//! * [`log`] calls the log service over HTTP.
//! * [`peer`] connects the routers with each other by gRPC.
//! * [`upstream`] calls model engines and plain services over HTTP.

pub mod http;
pub mod log;
pub mod peer;
pub mod upstream;
