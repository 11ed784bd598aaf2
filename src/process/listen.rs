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
        HttpConnection, HttpFault, HttpRequest, HttpResponder, MessageLimits,
        RECEIVE_BUFFER_BYTES, RequestReader, accept_until, error_response,
        request_error,
    },
    memory::MemoryPool,
    runtime::spawn,
};

/// Longest wait for an address that another process still uses.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two attempts to listen on an address.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Memory in bytes for the requests to one listener.
const LISTENER_REQUEST_BYTES: usize = 4 * 1024 * 1024;

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
    let options = ListenerOpts::new()
        .reuse_port(false)
        .recv_buf_size(RECEIVE_BUFFER_BYTES);
    TcpListener::bind_with_config(address, &options)
}

/// Serves requests with a synchronous handler, which answers from memory
/// without I/O, until the process ends.
///
/// Their requests take no memory from those of callers, so that neither can
/// keep the other from an answer.
pub(crate) async fn serve_sync(
    listener: TcpListener,
    answer: impl Fn(&HttpRequest) -> Response<Bytes> + 'static,
) {
    // Nothing notifies `stop`: these listeners end with the process.
    let stop = Rc::new(Notify::new());
    let answer = Rc::new(answer);
    let memory = MemoryPool::new(LISTENER_REQUEST_BYTES);
    let serve = |stream| {
        let served = serve_connection(stream, memory.clone(), answer.clone());
        spawn("connection", served);
    };
    accept_until(listener, stop, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    memory: MemoryPool,
    answer: Rc<impl Fn(&HttpRequest) -> Response<Bytes>>,
) {
    let connection = HttpConnection::new(stream);
    let (mut reader, mut responder) =
        connection.into_server(MessageLimits::new(), memory);
    loop {
        let request = match reader.next_request(IDLE_TIMEOUT).await {
            Ok(request) => request,
            Err(fault) => {
                refuse(&fault, &mut reader, &mut responder).await;
                return;
            }
        };
        let keep_alive = request.keeps_alive();
        responder.begin(&request, !keep_alive);
        let response = answer(&request);
        if responder.send(response).await.is_err() || !keep_alive {
            return;
        }
        reader.end_request();
    }
}

/// Answers a request that could not be read.
async fn refuse(
    fault: &HttpFault,
    reader: &mut RequestReader,
    responder: &mut HttpResponder,
) {
    let Some(error) = request_error(fault) else {
        return;
    };
    responder.reset(true);
    if responder.send(error_response(&error)).await.is_ok() {
        reader.end_connection(responder).await;
    }
}
