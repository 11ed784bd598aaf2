//! Encoding of whole messages and stream heads into bytes.

use std::{cell::RefCell, io, rc::Rc};

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Response, header::CONTENT_TYPE},
    monoio::{
        BufResult,
        buf::{IoBuf, IoVecBuf},
        io::{AsyncWriteRent, sink::SinkExt},
    },
    monoio_http::{
        common::IntoParts,
        h1::{
            codec::encoder::GenericEncoder,
            payload::{FixedPayload, Payload, stream_payload_pair},
        },
    },
};

/// The last chunk of a chunked body.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A write half that keeps what is written in memory.
///
/// The library's encoder owns its write half and gives it no way out, so
/// that a connection could not write the frames of a stream beside it.
/// Encoding into memory first keeps the connection in our hands.
#[derive(Clone, Default)]
pub(super) struct MemorySink {
    written: Rc<RefCell<BytesMut>>,
}

impl AsyncWriteRent for MemorySink {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        // SAFETY: `read_ptr` points to `bytes_init` initialized bytes that
        // `buf` keeps alive for the whole call.
        let bytes = unsafe {
            std::slice::from_raw_parts(buf.read_ptr(), buf.bytes_init())
        };
        self.written.borrow_mut().extend_from_slice(bytes);
        (Ok(buf.bytes_init()), buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        (Err(io::ErrorKind::Unsupported.into()), buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Encodes a request or a response with a body of known length.
pub(super) async fn encode_message<M>(message: M) -> io::Result<Bytes>
where
    M: IntoParts,
    GenericEncoder<MemorySink>: monoio::io::sink::Sink<M>,
    <GenericEncoder<MemorySink> as monoio::io::sink::Sink<M>>::Error:
        std::fmt::Display,
{
    let sink = MemorySink::default();
    let mut encoder = GenericEncoder::new(sink.clone());
    let sent = encoder.send_and_flush(message).await;
    sent.map_err(|err| io::Error::other(err.to_string()))?;
    Ok(sink.written.take().freeze())
}

/// Encodes the head of a chunked response, without any chunk.
pub(super) async fn encode_stream_head(
    head: Response<()>,
) -> io::Result<Bytes> {
    let (payload, mut sender) = stream_payload_pair();
    sender.feed_data(None);
    let message = head.map(|()| Payload::<Bytes>::Stream(payload));
    let mut encoded = encode_message(message).await?;
    // The encoder closes the empty body at once. The chunks are written by
    // the connection, so the closing chunk is taken off again.
    encoded.truncate(encoded.len() - LAST_CHUNK.len());
    Ok(encoded)
}

/// Wraps bytes as the payload of a message.
pub(super) fn payload_of(body: Bytes) -> Payload {
    if body.is_empty() {
        return Payload::None;
    }
    Payload::Fixed(FixedPayload::new(body))
}

/// Builds a JSON response.
pub fn json_response(
    status: u16,
    body: &serde_json::Value,
) -> Response<Bytes> {
    response(status, "application/json", body.to_string())
}

/// Builds a plain text response.
pub fn text_response(status: u16, body: String) -> Response<Bytes> {
    response(status, "text/plain; charset=utf-8", body)
}

fn response(
    status: u16,
    content_type: &'static str,
    body: String,
) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(body));
    // Only constants of this crate and statuses that the decoder has already
    // accepted get here, all of which are within 100..=999.
    *response.status_mut() =
        http::StatusCode::from_u16(status).expect("valid status");
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
