//! Requests that are passed on to upstreams unchanged.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http::{HeaderMap, StatusCode};

use super::{PortFuture, UpstreamBody, UpstreamFault};
use crate::{gateway::CallRequest, routing::LimitNotice};

/// One attempt to have an upstream serve a request.
#[derive(Clone)]
pub struct ForwardCall {
    /// The request.
    pub request: Rc<CallRequest>,
    /// The ID of the intended upstream; any other one must refuse the
    /// request.
    pub upstream: String,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// Number of the last event that the caller has received.
    pub resume_after: Option<u64>,
}

/// What an answer says about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardVerdict {
    /// The upstream ran the request.
    Ran,
    /// The upstream was at capacity and did not run the request.
    Full,
    /// The address belongs to another upstream by now; the request did not
    /// run.
    WrongUpstream,
}

/// The head of an answer.
pub struct ForwardReply {
    /// What the answer says about the execution of the request.
    pub verdict: ForwardVerdict,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
    /// Time for which the upstream wants no requests of this router.
    pub retry_after: Option<Duration>,
    /// What the answer says about the rate limit of the upstream.
    pub limit: LimitNotice,
    /// The status code.
    pub status: StatusCode,
    /// The headers to pass on to the caller.
    pub headers: HeaderMap,
    /// The body.
    pub body: Box<dyn UpstreamBody>,
}

/// An open connection to an upstream on which nothing has been sent.
pub trait ForwardConnection {
    /// Returns whether the connection has carried a request before.
    fn is_kept(&self) -> bool;

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// After any fault, the upstream may or may not have run the request.
    fn send(
        self: Box<Self>,
        call: ForwardCall,
    ) -> PortFuture<'static, Result<ForwardReply, UpstreamFault>>;
}

/// Access to upstreams that receive requests unchanged.
pub trait ForwardPort {
    /// Opens a connection without sending anything.
    ///
    /// # Errors
    ///
    /// `Connect`, after which another upstream may be tried.
    fn connect(
        &self,
        address: SocketAddr,
    ) -> PortFuture<'_, Result<Box<dyn ForwardConnection>, UpstreamFault>>;

    /// Opens a connection that has never been used.
    ///
    /// An idle connection may carry nothing any more without a sign of it.
    ///
    /// # Errors
    ///
    /// As [`ForwardPort::connect`].
    fn connect_new(
        &self,
        address: SocketAddr,
    ) -> PortFuture<'_, Result<Box<dyn ForwardConnection>, UpstreamFault>>;

    /// Closes the idle connections to an upstream that no longer answers.
    fn close_idle(&self, address: SocketAddr);

    /// Closes the connections to any upstream that have been idle since
    /// before `time`; returns their number.
    fn close_idle_since(&self, time: Instant) -> usize;

    /// Closes the idle connections whose idle timeout has passed.
    fn close_expired(&self);
}
