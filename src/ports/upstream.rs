//! The port to upstreams, which are model engines or other services.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use {bytes::Bytes, snafu::Snafu};

use super::PortFuture;

/// An error of a request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum UpstreamFault {
    /// The connection could not be opened; no byte of the request was sent.
    #[snafu(display("cannot connect: {reason}"))]
    Connect {
        /// The error of the connection.
        reason: String,
    },
    /// The connection failed after bytes of the request may have been sent.
    #[snafu(display("connection lost: {reason}"))]
    Broken {
        /// The error of the connection.
        reason: String,
    },
    /// The answer did not arrive in time.
    #[snafu(display("timed out"))]
    TimedOut,
}

impl UpstreamFault {
    /// Creates a fault that occurred before any byte of the request was
    /// sent.
    pub fn connect(reason: impl ToString) -> UpstreamFault {
        UpstreamFault::Connect { reason: reason.to_string() }
    }

    /// Creates a fault that occurred after bytes may have been sent.
    pub fn broken(reason: impl ToString) -> UpstreamFault {
        UpstreamFault::Broken { reason: reason.to_string() }
    }
}

/// One request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// The path with its query.
    pub path: String,
    /// ID of the request; an engine runs each ID only once.
    pub request_id: String,
    /// ID of the bill that pays for the request.
    pub bill: String,
    /// Fencing token of the holder that sends the request.
    pub fence: u64,
    /// Priority of the request; lower values are served first.
    pub priority: u8,
    /// Number of events of the answer that were already received.
    pub resume_from: u64,
    /// The JSON body.
    pub body: Bytes,
    /// Longest time to wait for the head of the answer.
    pub head_timeout: Duration,
}

/// The head of an upstream's answer, with the body still to be read.
pub struct UpstreamReply {
    /// The HTTP status code.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The bill under which the upstream first accepted the request, if the
    /// answer names it.
    pub bill: Option<String>,
    /// Tokens of the request that an earlier bill, which has been settled,
    /// has paid for.
    pub prior_tokens: u64,
    /// Requests in progress at the upstream, if the answer says so.
    pub load: Option<u32>,
    /// The body.
    pub body: Box<dyn UpstreamBody>,
}

/// The body of an answer, read chunk by chunk.
pub trait UpstreamBody {
    /// Reads the next chunk; returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// `TimedOut` after `deadline`, `Broken` if the body is truncated.
    fn next_chunk(
        &mut self,
        deadline: Instant,
    ) -> PortFuture<'_, Result<Option<Bytes>, UpstreamFault>>;

    /// Reserves memory for a reader that holds `bytes` bytes of the body; it
    /// is reserved until this value is dropped.
    ///
    /// # Errors
    ///
    /// `TimedOut` if no memory is free before `deadline`.
    fn hold(
        &mut self,
        bytes: usize,
        deadline: Instant,
    ) -> PortFuture<'_, Result<(), UpstreamFault>>;

    /// Returns whether the end of the body can be told from the end of the
    /// connection.
    fn is_delimited(&self) -> bool;
}

/// An open connection to an upstream on which nothing has been sent.
pub trait UpstreamConnection {
    /// Sends a call and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// After any fault, the upstream may or may not have acted on the call.
    fn send(
        self: Box<Self>,
        call: UpstreamCall,
    ) -> PortFuture<'static, Result<UpstreamReply, UpstreamFault>>;
}

/// Access to upstreams.
pub trait UpstreamPort {
    /// Opens a connection without sending anything.
    ///
    /// # Errors
    ///
    /// `Connect`, after which another upstream may be tried.
    fn connect(
        &self,
        address: SocketAddr,
    ) -> PortFuture<'_, Result<Box<dyn UpstreamConnection>, UpstreamFault>>;

    /// Cancels a request and returns the tokens that it has used so far.
    ///
    /// A later call with the same ID resumes the request where it
    /// was cancelled.
    ///
    /// # Errors
    ///
    /// After any fault, the request may or may not have been cancelled.
    fn cancel<'a>(
        &'a self,
        address: SocketAddr,
        request_id: &'a str,
    ) -> PortFuture<'a, Result<u64, UpstreamFault>>;
}
