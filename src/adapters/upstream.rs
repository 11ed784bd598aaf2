//! The upstream port over HTTP.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::{HeaderMap, Request},
    serde::Deserialize,
};

use crate::{
    adapters::http::{
        HttpClient, HttpConnection, HttpFault, HttpReply, ReplyBody,
        ReplyTimeouts,
    },
    ports::{
        PortFuture, UpstreamBody, UpstreamCall, UpstreamConnection,
        UpstreamFault, UpstreamPort, UpstreamReply,
    },
};

/// Header with the ID of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the ID of the bill of a request.
pub const BILL_HEADER: &str = "x-bill";

/// Header with the fencing token of the sender.
pub const FENCE_HEADER: &str = "x-fence";

/// Header with the priority of a request.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the number of events that the sender has already received.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Header with the number of requests in progress at an upstream.
pub const LOAD_HEADER: &str = "x-load";

/// Header with the number of tokens that an earlier bill, which has been
/// settled, has paid for.
pub const PRIOR_TOKENS_HEADER: &str = "x-prior-tokens";

/// Prefix of the paths that cancel requests.
pub const CANCEL_PATH: &str = "/v1/streams/";

/// Longest wait for the answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of the answer to a cancellation.
#[derive(Deserialize)]
struct CancelReply {
    total_tokens: u64,
}

/// Access to upstreams over HTTP.
#[derive(Clone, Default)]
pub struct HttpUpstream {
    client: HttpClient,
}

impl HttpUpstream {
    /// Creates a port that uses the connection pool of `client`.
    pub fn new(client: HttpClient) -> HttpUpstream {
        HttpUpstream { client }
    }
}

struct OpenConnection {
    client: HttpClient,
    address: SocketAddr,
    connection: HttpConnection,
}

/// The body of an HTTP response, read chunk by chunk.
pub struct UpstreamReplyBody {
    body: ReplyBody,
}

impl UpstreamReplyBody {
    /// Wraps a body that has not been read.
    pub fn new(body: ReplyBody) -> UpstreamReplyBody {
        UpstreamReplyBody { body }
    }
}

impl From<HttpFault> for UpstreamFault {
    fn from(fault: HttpFault) -> UpstreamFault {
        match fault {
            HttpFault::TimedOut => UpstreamFault::TimedOut,
            other => UpstreamFault::broken(other),
        }
    }
}

impl UpstreamPort for HttpUpstream {
    fn connect(
        &self,
        address: SocketAddr,
    ) -> PortFuture<'_, Result<Box<dyn UpstreamConnection>, UpstreamFault>>
    {
        Box::pin(async move {
            let connection = self.client.connect(address).await;
            let connection = connection.map_err(UpstreamFault::connect)?;
            let client = self.client.clone();
            let link = OpenConnection { client, address, connection };
            Ok(Box::new(link) as Box<dyn UpstreamConnection>)
        })
    }

    fn cancel<'a>(
        &'a self,
        address: SocketAddr,
        request_id: &'a str,
    ) -> PortFuture<'a, Result<u64, UpstreamFault>> {
        Box::pin(async move {
            let request =
                Request::delete(format!("{CANCEL_PATH}{request_id}"))
                    .body(Bytes::new())
                    .map_err(UpstreamFault::broken)?;
            let timeouts = ReplyTimeouts::within(CANCEL_TIMEOUT);
            let reply = self.client.fetch(address, request, timeouts);
            let (status, body) = reply.await?;
            if !status.is_success() {
                return Err(UpstreamFault::broken(status));
            }
            let reply: CancelReply = serde_json::from_slice(&body)
                .map_err(UpstreamFault::broken)?;
            Ok(reply.total_tokens)
        })
    }
}

impl UpstreamConnection for OpenConnection {
    fn send(
        self: Box<Self>,
        call: UpstreamCall,
    ) -> PortFuture<'static, Result<UpstreamReply, UpstreamFault>> {
        Box::pin(async move {
            let OpenConnection { client, address, connection } = *self;
            let request = Request::post(&call.path)
                .header("content-type", "application/json")
                .header(REQUEST_ID_HEADER, &call.request_id)
                .header(BILL_HEADER, &call.bill)
                .header(FENCE_HEADER, call.fence)
                .header(PRIORITY_HEADER, u32::from(call.priority))
                .header(RESUME_HEADER, call.resume_from)
                .body(call.body)
                .map_err(UpstreamFault::broken)?;
            let head_timeout = call.head_timeout;
            let reply =
                client.send(address, connection, request, head_timeout);
            Ok(upstream_reply(reply.await?))
        })
    }
}

fn upstream_reply(reply: HttpReply) -> UpstreamReply {
    let content_type = header_text(&reply.headers, "content-type");
    let load = header_text(&reply.headers, LOAD_HEADER);
    let prior = header_text(&reply.headers, PRIOR_TOKENS_HEADER);
    UpstreamReply {
        status: reply.status.as_u16(),
        content_type: content_type.unwrap_or_default(),
        bill: header_text(&reply.headers, BILL_HEADER),
        prior_tokens: prior.and_then(|p| p.parse().ok()).unwrap_or(0),
        load: load.and_then(|load| load.parse().ok()),
        body: Box::new(UpstreamReplyBody::new(reply.body)),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(value.to_str().ok()?.to_owned())
}

impl UpstreamBody for UpstreamReplyBody {
    fn next_chunk(
        &mut self,
        deadline: Instant,
    ) -> PortFuture<'_, Result<Option<Bytes>, UpstreamFault>> {
        Box::pin(async move { Ok(self.body.next_chunk(deadline).await?) })
    }

    fn hold(
        &mut self,
        bytes: usize,
        deadline: Instant,
    ) -> PortFuture<'_, Result<(), UpstreamFault>> {
        Box::pin(async move { Ok(self.body.hold(bytes, deadline).await?) })
    }

    fn is_delimited(&self) -> bool {
        self.body.is_delimited()
    }
}
