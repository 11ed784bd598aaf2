//! Requests that are passed on as they came.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderMap, StatusCode};

use super::{PortFuture, UpstreamBody, UpstreamFault};
use crate::gateway::CallRequest;

/// One attempt of a request at an upstream.
#[derive(Clone)]
pub struct ForwardCall {
    /// The request.
    pub request: Rc<CallRequest>,
    /// The identity of the upstream; another one must refuse the request.
    pub upstream: String,
    /// How long the caller still waits.
    pub time_left: Duration,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What an answer says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardVerdict {
    /// The upstream ran the request.
    Ran,
    /// The upstream had no room and did not run the request.
    Full,
    /// Another upstream has the address; the request did not run.
    WrongUpstream,
}

/// The head of an answer.
pub struct ForwardReply {
    /// What the answer says about the request.
    pub verdict: ForwardVerdict,
    /// The status code.
    pub status: StatusCode,
    /// The headers that the caller receives.
    pub headers: HeaderMap,
    /// The body.
    pub body: Box<dyn UpstreamBody>,
}

/// An open connection to an upstream on which nothing has been sent.
pub trait ForwardConnection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Any fault leaves open whether the upstream runs the request.
    fn send(
        self: Box<Self>,
        call: ForwardCall,
    ) -> PortFuture<'static, Result<ForwardReply, UpstreamFault>>;
}

/// Access to upstreams that take requests as they came.
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

    /// Closes idle connections to an upstream that has fallen silent.
    fn close_idle(&self, address: SocketAddr);
}
