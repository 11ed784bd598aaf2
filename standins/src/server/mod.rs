//! A minimal HTTP server for stand-ins.

use std::{future::Future, io, net::SocketAddr, rc::Rc, time::Duration};

use {
    magnoliahaven::adapters::http::{
        HttpConnection, HttpRequest, HttpResponder, MessageLimits,
        RequestReader,
    },
    monoio::net::{ListenerOpts, TcpListener, TcpStream},
};

/// Longest time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// Largest body that a stand-in takes, in bytes.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;

/// Serves the requests of a stand-in.
pub trait StandinHandler: 'static {
    /// Answers one request; `false` closes the connection.
    fn handle(
        self: Rc<Self>,
        request: HttpRequest,
        reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> impl Future<Output = bool>;
}

/// Accepts connections for as long as the process lives.
///
/// # Errors
///
/// The error of the socket if `listen` cannot be used.
pub async fn serve<H: StandinHandler>(
    listen: SocketAddr,
    handler: Rc<H>,
) -> io::Result<()> {
    let opts = ListenerOpts::new().backlog(BACKLOG);
    let listener = TcpListener::bind_with_config(listen, &opts)?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        monoio::spawn(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection<H: StandinHandler>(
    stream: TcpStream,
    handler: Rc<H>,
) {
    let limits = MessageLimits::new()
        .with_body_bytes(BODY_BYTES)
        .with_message_time(Duration::from_secs(60));
    let connection = HttpConnection::new(stream);
    let (mut reader, mut responder) = connection.into_server(limits);
    while let Ok(request) = reader.next_request(IDLE_TIME).await {
        responder.reset();
        let handler = handler.clone();
        if !handler.handle(request, &mut reader, &mut responder).await {
            return;
        }
    }
}

/// Runs a future on the legacy driver, without `io_uring`.
///
/// # Errors
///
/// The error of the runtime.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(future))
}
