//! HTTP/1.1 over `monoio`, with limits on the messages of a remote end.
//!
//! `monoio-http` decodes heads and chunks and encodes messages of known
//! length. This module adds what the library lacks: size limits for heads
//! and bodies, a deadline for each message, the rejection of ambiguous body
//! lengths, a share of the memory for requests, and a flush after each event
//! of a stream. `docs/design/http.md` has the measurements behind this
//! division of work.

mod accept;
mod chunked;
mod client;
mod connection;
mod encode;
mod frame;
mod intake;
mod reply;
mod server;
mod socket;

pub use self::{
    accept::{accept_until, request_error},
    client::{HttpClient, ReplyTimeouts},
    connection::{HttpConnection, HttpFault, MessageLimits},
    encode::{error_response, json_response, text_response},
    reply::{HttpReply, ReplyBody, SentRequest},
    server::{HttpRequest, HttpResponder, RequestReader, StreamWriter},
    socket::RECEIVE_BUFFER_BYTES,
};
