//! Accepting connections.

use std::{rc::Rc, time::Duration};

use {
    monoio::net::{TcpListener, TcpStream},
    tokio::sync::Notify,
};

use super::HttpFault;
use crate::{
    error::{CallError, ErrorKind},
    telemetry::LogEvent,
};

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and passes them to `serve` until `stop` is notified.
pub async fn accept_until(
    listener: TcpListener,
    stop: Rc<Notify>,
    mut serve: impl FnMut(TcpStream),
) {
    loop {
        let accepted = monoio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(err) => {
                log::warn!(
                    event:% = LogEvent::AcceptFailed, fault:% = err;
                    "accept failed: {err}"
                );
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Converts a fault of reading a request to the error that its caller
/// receives; returns `None` if the connection is closed.
pub fn request_error(fault: &HttpFault) -> Option<CallError> {
    let kind = match fault {
        HttpFault::Closed
        | HttpFault::Truncated
        | HttpFault::Socket { .. } => return None,
        HttpFault::TimedOut => ErrorKind::RequestTimeout,
        HttpFault::HeadTooLarge { .. } => ErrorKind::HeadTooLarge,
        HttpFault::BodyTooLarge { .. } => ErrorKind::BodyTooLarge,
        HttpFault::OutOfMemory { .. } => ErrorKind::OutOfMemory,
        HttpFault::Malformed { .. } => ErrorKind::BadRequest,
    };
    Some(CallError::new(kind, fault.to_string()))
}
