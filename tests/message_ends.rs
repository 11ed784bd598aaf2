//! Where a request ends: whatever bytes a caller sends, what is served is what
//! a strict reader finds in them.

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    time::Duration,
};

use {
    magnoliahaven::{
        adapters::http::{HttpConnection, MessageLimits},
        memory::MemoryPool,
        runtime::block_on,
    },
    monoio::net::TcpListener,
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Connections whose bytes are changed at random.
const CONNECTIONS: u64 = 3_000;

/// Memory for the requests of one connection, in bytes.
const MEMORY_BYTES: usize = 1024 * 1024;

/// Bytes that decide where a message ends.
const ALPHABET: &[u8] = b"\r\n\r\n\n:;0123aF x+-\t";

/// A request as it is served: its target and its body.
type ServedRequest = (String, Vec<u8>);

/// Reads requests as strictly as the protocol allows, until the bytes end or
/// are not clear.
struct StrictReader<'a> {
    rest: &'a [u8],
}

impl<'a> StrictReader<'a> {
    /// Removes a line, without its end, in which there is no other one.
    fn line(&mut self) -> Option<&'a [u8]> {
        let end = self.rest.iter().position(|byte| *byte == b'\n')?;
        let line = self.rest[..end].strip_suffix(b"\r")?;
        self.rest = &self.rest[end + 1..];
        Some(line)
    }

    fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.rest.split_at_checked(count)?;
        self.rest = rest;
        Some(bytes)
    }

    fn request(&mut self) -> Option<ServedRequest> {
        let mut line = self.line()?;
        if line.is_empty() {
            line = self.line()?;
        }
        let target = line.split(|byte| *byte == b' ').nth(1)?;
        let target = String::from_utf8_lossy(target).into_owned();
        let (mut length, mut is_chunked) = (0, false);
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let text = String::from_utf8_lossy(line).to_ascii_lowercase();
            if let Some(value) = text.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
            is_chunked |= text.starts_with("transfer-encoding:");
        }
        let body = match is_chunked {
            true => self.chunks()?,
            false => self.bytes(length)?.to_vec(),
        };
        Some((target, body))
    }

    fn chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = String::from_utf8_lossy(self.line()?).into_owned();
            let size = line.split(';').next()?.trim_end_matches([' ', '\t']);
            let size = usize::from_str_radix(size, 16).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(self.bytes(size)?);
            if !self.line()?.is_empty() {
                return None;
            }
        }
        while !self.line()?.is_empty() {}
        Some(body)
    }
}

/// Returns the requests that a strict reader finds.
fn strict_requests(bytes: &[u8]) -> Vec<ServedRequest> {
    let mut reader = StrictReader { rest: bytes };
    let mut requests = Vec::new();
    while let Some(request) = reader.request() {
        requests.push(request);
    }
    requests
}

/// Some requests on one connection, sound ones.
fn sound_connection(random: &mut SmallRng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for number in 0..3 {
        let head = format!("POST /{number} HTTP/1.1\r\nHost: x\r\n");
        bytes.extend(head.into_bytes());
        let body = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";
        let body = &body[..random.random_range(0..body.len())];
        if random.random_bool(0.4) {
            let head = format!("Content-Length: {}\r\n\r\n", body.len());
            bytes.extend(format!("{head}{body}").into_bytes());
            continue;
        }
        bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
        for part in body.as_bytes().chunks(random.random_range(1..40)) {
            let extension = if random.random_bool(0.2) { ";a=b" } else { "" };
            let size = format!("{:x}{extension}\r\n", part.len());
            bytes.extend(size.into_bytes());
            bytes.extend(part);
            bytes.extend(b"\r\n");
        }
        let trailer = if random.random_bool(0.2) { "X: 1\r\n" } else { "" };
        bytes.extend(format!("0\r\n{trailer}\r\n").into_bytes());
    }
    bytes
}

/// Changes one to three bytes, most of them where a line ends.
fn spoil(bytes: &mut Vec<u8>, random: &mut SmallRng) {
    for _ in 0..random.random_range(1..=3) {
        let mut place = random.random_range(0..bytes.len());
        if random.random_bool(0.7) {
            let ends = bytes[place..].iter().position(|byte| *byte == b'\r');
            place += ends.unwrap_or(0);
        }
        let byte = ALPHABET[random.random_range(0..ALPHABET.len())];
        match random.random_range(0..3) {
            0 => bytes[place] = byte,
            1 => bytes.insert(place, byte),
            _ => {
                bytes.remove(place);
            }
        }
    }
}

/// Serves a connection; returns its requests up to the first fault.
async fn serve(listener: &TcpListener, bytes: &[u8]) -> Vec<ServedRequest> {
    let address = listener.local_addr().expect("address");
    let mut caller = TcpStream::connect(address).expect("connection");
    let (stream, _) = listener.accept().await.expect("connection");
    caller.write_all(bytes).expect("all is buffered");
    caller.shutdown(Shutdown::Write).expect("end");
    let memory = MemoryPool::new(MEMORY_BYTES);
    let connection = HttpConnection::new(stream);
    let (mut reader, _responder) =
        connection.into_server(MessageLimits::new(), memory);
    let mut served = Vec::new();
    while let Ok(request) = reader.next_request(Duration::from_secs(5)).await {
        let target = request.head.uri.to_string();
        served.push((target, request.body.to_vec()));
        reader.end_request();
    }
    served
}

/// UNASKED: bytes of a body were served as a request, or a request with
/// another body, when a line ended oddly or a size was missing.
#[test]
fn what_is_served_of_spoiled_bytes_is_what_a_strict_reader_finds() {
    block_on(async {
        let any = "127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap();
        let listener = TcpListener::bind(any).expect("listener");
        let (mut served_requests, mut refused) = (0, 0);
        for seed in 0..CONNECTIONS {
            let mut random = SmallRng::seed_from_u64(seed);
            let mut bytes = sound_connection(&mut random);
            if seed % 10 > 0 {
                spoil(&mut bytes, &mut random);
            }
            let strict = strict_requests(&bytes);
            let served = serve(&listener, &bytes).await;
            let text = String::from_utf8_lossy(&bytes);
            assert!(strict.starts_with(&served), "{seed}: {served:?}\n{text}");
            if seed % 10 == 0 {
                assert_eq!(served.len(), 3, "{seed}: {text}");
            }
            served_requests += served.len();
            refused += usize::from(served.len() < 3);
        }
        // Enough of both, or the test would show nothing.
        assert!(served_requests > 3_000, "{served_requests} served");
        assert!(refused > 1_000, "{refused} connections refused");
    })
    .expect("runtime");
}
