//! Opening listeners, and those that answer from memory.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::Response,
    monoio::net::{ListenerOpts, TcpListener, TcpStream},
    snafu::{ResultExt, Snafu},
    tokio::sync::Notify,
};

use crate::adapters::http::{
    HttpConnection, HttpRequest, MessageLimits, accept_until,
};

/// Longest wait for an address that another process still uses.
const LISTEN_TIME: Duration = Duration::from_secs(3);

/// Pause between two attempts to use an address.
const LISTEN_POLL: Duration = Duration::from_millis(50);

/// Longest time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Why a process could not start.
#[derive(Debug, Snafu)]
pub enum StartFault {
    /// An address cannot be used.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the socket.
        source: io::Error,
    },
}

/// Opens a listener, waiting for a process that is about to end.
pub(crate) fn listen<T>(
    address: SocketAddr,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
) -> Result<T, StartFault> {
    let deadline = Instant::now() + LISTEN_TIME;
    loop {
        let bound = bind(address);
        let in_use = matches!(
            &bound,
            Err(err) if err.kind() == io::ErrorKind::AddrInUse
        );
        if !in_use || Instant::now() >= deadline {
            return bound.context(ListenSnafu { address });
        }
        std::thread::sleep(LISTEN_POLL);
    }
}

/// Opens a listener for callers that no other process shares.
///
/// By default the runtime lets processes share an address. Each would then
/// get a part of the connections, and a mistake in the settings of one would
/// show as faults of the other.
pub(crate) fn bind_exclusive(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Answers requests from memory for as long as the task lives.
pub(crate) async fn serve_from_memory(
    listener: TcpListener,
    answer: impl Fn(&HttpRequest) -> Response<Bytes> + 'static,
) {
    // These listeners end with the process.
    let stop = Rc::new(Notify::new());
    let answer = Rc::new(answer);
    let take = |stream| {
        monoio::spawn(serve_answers(stream, answer.clone()));
    };
    accept_until(listener, stop, take).await;
}

async fn serve_answers(
    stream: TcpStream,
    answer: Rc<impl Fn(&HttpRequest) -> Response<Bytes>>,
) {
    let connection = HttpConnection::new(stream);
    let (mut reader, mut responder) =
        connection.into_server(MessageLimits::new());
    while let Ok(request) = reader.next_request(IDLE_TIME).await {
        let keeps = request.keeps_alive();
        responder.reset(!keeps);
        let response = answer(&request);
        if responder.send(response).await.is_err() || !keeps {
            return;
        }
    }
}
