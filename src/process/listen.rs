//! Opening listeners, and serving those with synchronous handlers.

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

use crate::{
    adapters::http::{
        HttpConnection, HttpRequest, MessageLimits, accept_until,
    },
    runtime::spawn,
};

/// Longest wait for an address that another process still uses.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two attempts to listen on an address.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// An error that keeps a process from starting.
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

/// Opens a listener with `bind`.
///
/// Retries while another process that is about to end still uses the
/// address.
pub(crate) fn listen<T>(
    address: SocketAddr,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
) -> Result<T, StartFault> {
    let deadline = Instant::now() + LISTEN_TIMEOUT;
    loop {
        let bound = bind(address);
        let in_use = matches!(
            &bound,
            Err(err) if err.kind() == io::ErrorKind::AddrInUse
        );
        if !in_use || Instant::now() >= deadline {
            return bound.context(ListenSnafu { address });
        }
        std::thread::sleep(LISTEN_RETRY_INTERVAL);
    }
}

/// Opens a listener whose address no other process can share.
///
/// By default `monoio` sets `SO_REUSEPORT`, so that several processes can
/// share an address. Each would get a part of the connections, and a wrong
/// address in the settings of one process would cause errors in requests to
/// the other.
pub(crate) fn bind_exclusive(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Serves requests with a synchronous handler, which answers from memory
/// without I/O, until the process ends.
pub(crate) async fn serve_sync(
    listener: TcpListener,
    answer: impl Fn(&HttpRequest) -> Response<Bytes> + 'static,
) {
    // Nothing notifies `stop`: these listeners end with the process.
    let stop = Rc::new(Notify::new());
    let answer = Rc::new(answer);
    let serve = |stream| {
        spawn("connection", serve_connection(stream, answer.clone()));
    };
    accept_until(listener, stop, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    answer: Rc<impl Fn(&HttpRequest) -> Response<Bytes>>,
) {
    let connection = HttpConnection::new(stream);
    let (mut reader, mut responder) =
        connection.into_server(MessageLimits::new());
    while let Ok(request) = reader.next_request(IDLE_TIMEOUT).await {
        let keep_alive = request.keeps_alive();
        responder.reset(!keep_alive);
        let response = answer(&request);
        if responder.send(response).await.is_err() || !keep_alive {
            return;
        }
    }
}
