//! The client on links that are slow, full or silent.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use {
    bytes::Bytes,
    http::Request,
    magnoliahaven::{
        adapters::http::{HttpClient, HttpFault, ReplyTimeouts},
        runtime::block_on,
    },
    monoio::net::ListenerOpts,
};

/// Longest time for which a call waits for a connection.
const CONNECT_TIME: Duration = Duration::from_millis(100);

/// The operating system asks again for a connection after a second.
const SECOND_ASK: Duration = Duration::from_millis(1_500);

/// A listener on a full queue: nobody gets a connection.
///
/// Accepting makes room, as on a link whose queue gets shorter.
struct FullListener {
    listener: monoio::net::TcpListener,
    address: SocketAddr,
    queued: Vec<TcpStream>,
}

impl FullListener {
    fn new() -> FullListener {
        let options = ListenerOpts::new().backlog(1);
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let listener =
            monoio::net::TcpListener::bind_with_config(any, &options);
        let listener = listener.unwrap();
        let address = listener.local_addr().unwrap();
        let mut full = FullListener { listener, address, queued: Vec::new() };
        full.fill();
        full
    }

    /// Takes all room that there is.
    fn fill(&mut self) {
        let soon = Duration::from_millis(50);
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, soon)
        {
            self.queued.push(stream);
        }
    }
}

#[test]
fn a_connection_that_opens_late_serves_a_later_request() {
    block_on(async {
        let client = HttpClient::new()
            .with_connect_timeout(CONNECT_TIME)
            .with_late_connect_timeout(Duration::from_secs(5));
        let mut full = FullListener::new();
        let first = client.connect(full.address).await;
        assert!(matches!(first, Err(HttpFault::TimedOut)));
        let _accepted = full.listener.accept().await.unwrap();
        monoio::time::sleep(SECOND_ASK).await;
        // The late connection has taken the room that was made.
        full.fill();
        assert!(client.connect(full.address).await.is_ok());
    })
    .unwrap();
}

#[test]
fn few_connections_are_awaited_in_vain() {
    block_on(async {
        let client = HttpClient::new()
            .with_connect_timeout(Duration::from_millis(10))
            .with_late_connect_timeout(Duration::from_secs(60))
            .with_pool(2, Duration::from_secs(60));
        let full = FullListener::new();
        for _ in 0..8 {
            assert!(client.connect(full.address).await.is_err());
        }
        let waiting = waiting_connections(full.address);
        // The one that queues in vain for the listener counts too.
        assert!(waiting <= 3, "{waiting} connections wait");
    })
    .unwrap();
}

/// Connections of this machine that ask for an address without an answer.
fn waiting_connections(address: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X} 02", address.port());
    table.lines().filter(|line| line.contains(&port)).count()
}

/// A server that sends a body of `parts` parts with a pause after each.
fn slow_server(parts: usize, sent: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let length = parts * 100;
        let head =
            format!("HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        for _ in 0..sent {
            let _ = stream.write_all(&[b'x'; 100]);
            thread::sleep(pause);
        }
        thread::sleep(Duration::from_secs(5));
    });
    address
}

fn fetch(
    address: SocketAddr,
    time: ReplyTimeouts,
) -> (Duration, Option<usize>) {
    let taken = Cell::new(Duration::ZERO);
    let size = block_on(async {
        let client =
            HttpClient::new().with_stall_timeout(Duration::from_millis(200));
        let request = Request::get("/x").body(Bytes::new()).unwrap();
        let started = Instant::now();
        let answer = client.fetch(address, request, time).await;
        taken.set(started.elapsed());
        answer.ok().map(|(_, body)| body.len())
    });
    (taken.get(), size.unwrap())
}

#[test]
fn a_body_that_goes_on_is_read_to_its_end() {
    let address = slow_server(12, 12, Duration::from_millis(50));
    let time = ReplyTimeouts::within(Duration::from_secs(4))
        .with_head(Duration::from_millis(200));
    assert_eq!(fetch(address, time).1, Some(1_200));
}

#[test]
fn a_body_that_stops_is_given_up_soon() {
    let address = slow_server(12, 6, Duration::from_millis(50));
    let time = ReplyTimeouts::within(Duration::from_secs(4))
        .with_head(Duration::from_millis(200));
    let (taken, size) = fetch(address, time);
    assert_eq!(size, None);
    assert!(taken < Duration::from_secs(1), "{taken:?}");
}

#[test]
fn a_head_that_does_not_come_is_given_up_before_the_body_would_be() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let time = ReplyTimeouts::within(Duration::from_secs(4))
        .with_head(Duration::from_millis(200));
    let (taken, size) = fetch(address, time);
    assert_eq!(size, None);
    assert!(taken < Duration::from_secs(1), "{taken:?}");
}
