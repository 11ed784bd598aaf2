//! Tests of the HTTP client with servers that are slow, overloaded or silent.

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

/// Connect timeout of the client.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time by which the operating system has retransmitted its SYN, which it
/// does after a second.
const SYN_RETRY_TIME: Duration = Duration::from_millis(1_500);

/// A listener with a full accept queue, so that no connection opens.
///
/// Accepting a connection makes room for another one, which then opens late,
/// as on a congested link.
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

    /// Fills the accept queue.
    fn fill(&mut self) {
        let timeout = Duration::from_millis(50);
        while let Ok(stream) =
            TcpStream::connect_timeout(&self.address, timeout)
        {
            self.queued.push(stream);
        }
    }
}

#[test]
fn a_connection_that_opens_late_serves_a_later_request() {
    block_on(async {
        let client = HttpClient::new()
            .with_connect_timeout(CONNECT_TIMEOUT)
            .with_late_connect_timeout(Duration::from_secs(5));
        let mut full = FullListener::new();
        let first = client.connect(full.address).await;
        assert!(matches!(first, Err(HttpFault::TimedOut)));
        let _accepted = full.listener.accept().await.unwrap();
        monoio::time::sleep(SYN_RETRY_TIME).await;
        // The late connection has taken the place in the queue; filling the
        // rest shows that the next request uses the pooled connection.
        full.fill();
        assert!(client.connect(full.address).await.is_ok());
    })
    .unwrap();
}

#[test]
fn the_number_of_late_connections_is_limited() {
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
        // A connection that waits in vain for the accept queue counts too.
        assert!(waiting <= 3, "{waiting} connections wait");
    })
    .unwrap();
}

/// Returns the number of connections to an address that are in the state
/// SYN_SENT.
fn waiting_connections(address: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X} 02", address.port());
    table.lines().filter(|line| line.contains(&port)).count()
}

/// Starts a server that announces a body of `chunks` chunks, and sends `sent`
/// of them with a pause after each.
fn slow_server(chunks: usize, sent: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let length = chunks * 100;
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
    timeouts: ReplyTimeouts,
) -> (Duration, Option<usize>) {
    let elapsed = Cell::new(Duration::ZERO);
    let size = block_on(async {
        let client =
            HttpClient::new().with_stall_timeout(Duration::from_millis(200));
        let request = Request::get("/x").body(Bytes::new()).unwrap();
        let started = Instant::now();
        let answer = client.fetch(address, request, timeouts).await;
        elapsed.set(started.elapsed());
        answer.ok().map(|(_, body)| body.len())
    });
    (elapsed.get(), size.unwrap())
}

#[test]
fn a_slow_body_is_read_to_its_end() {
    let address = slow_server(12, 12, Duration::from_millis(50));
    let timeouts = ReplyTimeouts::within(Duration::from_secs(4))
        .with_head(Duration::from_millis(200));
    assert_eq!(fetch(address, timeouts).1, Some(1_200));
}

#[test]
fn a_body_that_stalls_times_out_early() {
    let address = slow_server(12, 6, Duration::from_millis(50));
    let timeouts = ReplyTimeouts::within(Duration::from_secs(4))
        .with_head(Duration::from_millis(200));
    let (elapsed, size) = fetch(address, timeouts);
    assert_eq!(size, None);
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

#[test]
fn a_missing_head_times_out_before_the_whole_response_would() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let timeouts = ReplyTimeouts::within(Duration::from_secs(4))
        .with_head(Duration::from_millis(200));
    let (elapsed, size) = fetch(address, timeouts);
    assert_eq!(size, None);
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
}

/// Bytes of a request body that no socket buffers.
const LONG_BODY: usize = 16 * 1024 * 1024;

/// Longest time for an answer to a long request.
const LONG_TIME: Duration = Duration::from_secs(5);

/// Reads a request head; returns the number of body bytes read with it.
fn read_head(stream: &mut TcpStream) -> usize {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let count = stream.read(&mut part).unwrap_or(0);
        bytes.extend_from_slice(&part[..count]);
        let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
        if let Some(end) = end {
            return bytes.len() - end - 4;
        }
        assert!(count > 0, "no whole head");
    }
}

fn long_request() -> Request<Bytes> {
    Request::post("/x").body(Bytes::from(vec![b'x'; LONG_BODY])).unwrap()
}

/// UNASKED: a remote end that answers early and reads on waited in vain for
/// the rest of the request, which was no longer written.
#[test]
fn the_rest_of_a_request_is_written_while_its_answer_is_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let read = read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n");
        let _ = stream.write_all(b"\r\n");
        let mut rest = vec![0; LONG_BODY - read];
        let whole = stream.read_exact(&mut rest).is_ok();
        let _ = stream.write_all(b"ok");
        whole && rest.iter().all(|byte| *byte == b'x')
    });
    let fetched = block_on(async {
        let timeouts = ReplyTimeouts::within(LONG_TIME);
        HttpClient::new().fetch(address, long_request(), timeouts).await
    });
    let (_, body) = fetched.unwrap().expect("an answer");
    assert_eq!(body, Bytes::from_static(b"ok"));
    assert!(server.join().unwrap(), "other bytes than the request's");
}

/// UNASKED: the next request was written where the rest of this one was due.
#[test]
fn a_connection_with_a_half_written_request_carries_no_other() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        read_head(&mut first);
        let answer = b"HTTP/1.1 413 X\r\nContent-Length: 0\r\n\r\n";
        let _ = first.write_all(answer);
        // The next request comes on a connection of its own.
        let (mut second, _) = listener.accept().unwrap();
        read_head(&mut second);
        let _ = second.write_all(answer);
        let mut rest = Vec::new();
        let _ = first.read_to_end(&mut rest);
        rest.iter().all(|byte| *byte == b'x')
    });
    block_on(async {
        let client = HttpClient::new();
        let timeouts = ReplyTimeouts::within(LONG_TIME);
        let early = client.fetch(address, long_request(), timeouts).await;
        assert_eq!(early.unwrap().0, 413);
        let next = client.get(address, "/next", LONG_TIME).await;
        assert_eq!(next.unwrap().0, 413);
    })
    .unwrap();
    assert!(server.join().unwrap(), "other bytes than the request's");
}

/// LOST: a read that was given up, while a slow caller was written to, left a
/// lower limit for the rest of the body.
#[test]
fn a_large_chunk_is_read_after_a_read_was_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream);
        let head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(head);
        let _ = stream.write_all(b"30d40\r\n");
        for _ in 0..200 {
            let _ = stream.write_all(&[b'x'; 1_000]);
            thread::sleep(Duration::from_millis(1));
        }
        let _ = stream.write_all(b"\r\n0\r\n\r\n");
        thread::sleep(Duration::from_secs(1));
    });
    let read = block_on(async {
        let client = HttpClient::new().with_reply_memory(1024 * 1024);
        let connection = client.connect(address).await?;
        let request = Request::get("/x").body(Bytes::new()).unwrap();
        let sent = client.send(address, connection, request, LONG_TIME);
        let mut body = sent.await?.body;
        let deadline = Instant::now() + LONG_TIME;
        let given_up = Duration::from_millis(20);
        let early =
            monoio::time::timeout(given_up, body.next_chunk(deadline)).await;
        assert!(early.is_err(), "the chunk came too early");
        body.next_chunk(deadline).await
    });
    let chunk = read.unwrap().expect("a chunk").expect("a chunk");
    assert_eq!(chunk.len(), 200_000);
}

/// ORDER: the fault of a connection was seen by a read ahead; the next read
/// found the end of the connection, and took it for that of the body.
#[test]
fn a_body_that_broke_has_no_end() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 X\r\n\r\npart");
        thread::sleep(Duration::from_millis(100));
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    });
    block_on(async {
        let client = HttpClient::new().with_close_delimited();
        let connection = client.connect(address).await.unwrap();
        let request = Request::get("/x").body(Bytes::new()).unwrap();
        let sent = client.send(address, connection, request, LONG_TIME);
        let mut body = sent.await.unwrap().body;
        let deadline = Instant::now() + LONG_TIME;
        let part = body.next_chunk(deadline).await.unwrap();
        assert_eq!(part, Some(Bytes::from_static(b"part")));
        for read in 0..3 {
            let end = body.next_chunk(deadline).await;
            assert!(end.is_err(), "read {read}: {end:?}");
        }
    })
    .unwrap();
}

/// Starts a server that reads one request, sends `answer` and closes.
fn answering_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(answer.as_bytes());
    });
    address
}

/// What the clients of the store, of other routers and of engines share: none
/// takes these as an answer.
#[yare::parameterized(
    zeros = { "HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\nx" },
    above_599 = { "HTTP/1.1 600 X\r\nContent-Length: 1\r\n\r\nx" },
    switch = { "HTTP/1.1 101 X\r\nContent-Length: 1\r\n\r\nx" },
    blank_in_name = { "HTTP/1.1 200 X\r\nA b: 1\r\nContent-Length: 1\r\n\r\nx" },
    blank_before_colon = { "HTTP/1.1 200 X\r\nContent-Length : 1\r\n\r\nx" },
    control_in_name = {
        "HTTP/1.1 200 X\r\nA\u{2}: 1\r\nContent-Length: 1\r\n\r\nx"
    },
    no_length = { "HTTP/1.1 200 X\r\n\r\nx" },
    interim_only = { "HTTP/1.1 100 X\r\n\r\n" },
    bare_line_feed = { "HTTP/1.1 200 X\r\nContent-Length: 1\n\r\nx\r\n\r\n" },
    bare_line_feeds = { "HTTP/1.1 200 X\nContent-Length: 1\n\nx\r\n\r\nx" },
    no_chunk_size = {
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n\
         1\r\nx\r\n\r\n\r\n"
    },
    chunks_in_http_1_0 = {
        "HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n\
         1\r\nx\r\n0\r\n\r\n"
    },
    no_first_chunk_size = {
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n"
    },
    endless_trailers = {
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n\
         1\r\nx\r\n0\r\nA: 1\r\n"
    },
    invalid_trailer = {
        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n\
         1\r\nx\r\n0\r\nA b: 1\r\n\r\n"
    },
)]
fn an_invalid_answer_is_a_fault(answer: &'static str) {
    let address = answering_server(answer);
    let fetched = block_on(async {
        let request = Request::get("/x").body(Bytes::new()).unwrap();
        let timeouts = ReplyTimeouts::within(Duration::from_secs(5));
        HttpClient::new().fetch(address, request, timeouts).await
    });
    let fetched = fetched.unwrap();
    assert!(fetched.is_err(), "{fetched:?}");
}
