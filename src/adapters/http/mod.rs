//! HTTP/1.1 over `monoio`, with bounds on what a remote end may send.
//!
//! `monoio-http` decodes heads and chunks and encodes fixed messages. This
//! module adds what the library leaves open: a limit on the bytes of a head
//! and of a body, one deadline for a whole message, refusal of ambiguous
//! body lengths, and a flush after every event of a stream. See
//! `docs/design/http.md` for the measurements behind the split.

mod accept;
mod client;
mod connection;
mod encode;
mod server;

pub use self::{
    accept::{accept_until, message_error},
    client::{HttpClient, HttpReply, ReplyBody, ReplyTimeouts},
    connection::{HttpConnection, HttpFault, MessageLimits},
    encode::{json_response, text_response},
    server::{HttpRequest, HttpResponder, RequestReader, StreamWriter},
};
