//! A minimal HTTP server for stand-ins.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    magnoliahaven::{
        adapters::http::{
            HttpConnection, HttpRequest, HttpResponder, MessageLimits,
            RequestReader,
        },
        memory::MemoryPool,
    },
    monoio::net::{ListenerOpts, TcpListener, TcpStream},
};

/// Longest time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// Largest body that a stand-in takes, in bytes.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Memory in bytes for the requests of one connection.
const MEMORY_BYTES: usize = 2 * BODY_BYTES;

/// Longest wait for an address that another process still uses.
const BIND_TIME: Duration = Duration::from_secs(3);

/// Pause between two attempts to use an address.
const BIND_POLL: Duration = Duration::from_millis(50);

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 4096;

pub use magnoliahaven::runtime::block_on;

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
    let listener = bind(listen).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        monoio::spawn(serve_connection(stream, handler.clone()));
    }
}

/// Serves on the legacy driver until the process is ended.
///
/// Returns the exit code of a stand-in whose address cannot be used.
pub fn run_standin<H: StandinHandler>(
    listen: SocketAddr,
    make: impl FnOnce() -> H,
) -> ExitCode {
    let ran = block_on(async { serve(listen, Rc::new(make())).await });
    match ran {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(err)) | Err(err) => {
            log::error!("cannot listen on {listen}: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Opens a listener, waiting for a process that is about to end.
///
/// The program that chose the port has probed it, and a process that it
/// starts at the same time holds the probe until it runs its own program.
async fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let opts = ListenerOpts::new().backlog(BACKLOG);
    let deadline = Instant::now() + BIND_TIME;
    loop {
        let bound = TcpListener::bind_with_config(listen, &opts);
        let in_use = matches!(
            &bound,
            Err(err) if err.kind() == io::ErrorKind::AddrInUse
        );
        if !in_use || Instant::now() >= deadline {
            return bound;
        }
        monoio::time::sleep(BIND_POLL).await;
    }
}

async fn serve_connection<H: StandinHandler>(
    stream: TcpStream,
    handler: Rc<H>,
) {
    let limits = MessageLimits::new()
        .with_body_bytes(BODY_BYTES)
        .with_message_timeout(Duration::from_secs(60));
    let connection = HttpConnection::new(stream);
    let memory = MemoryPool::new(MEMORY_BYTES);
    let (mut reader, mut responder) = connection.into_server(limits, memory);
    while let Ok(request) = reader.next_request(IDLE_TIME).await {
        responder.reset(false);
        let handler = handler.clone();
        if !handler.handle(request, &mut reader, &mut responder).await {
            return;
        }
        reader.end_request();
    }
}
