//! A TCP relay that can be cut, and whose connections can go silent.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Bytes copied at once.
const COPY_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct RelayState {
    /// Nothing passes to the target.
    cut: AtomicBool,
    /// Nothing passes back.
    answers_cut: AtomicBool,
    /// Milliseconds by which all that passes is late.
    delay_ms: AtomicU64,
    bytes: AtomicU64,
    open: Mutex<Vec<RelayedConnection>>,
}

/// A connection through the relay.
struct RelayedConnection {
    streams: [TcpStream; 2],
    /// What arrives is dropped, and neither side learns of the other's end.
    is_silent: Arc<AtomicBool>,
}

/// Forwards connections to one address until it is cut.
///
/// A cut relay keeps new connections waiting and lets open ones stand
/// still, as a partition does: nobody is told that the other side is gone.
pub struct CutRelay {
    address: SocketAddr,
    state: Arc<RelayState>,
}

impl CutRelay {
    /// Starts a relay to `target` on a port of its own.
    ///
    /// # Errors
    ///
    /// The error of the socket if no port can be had.
    pub fn start(target: SocketAddr) -> io::Result<CutRelay> {
        CutRelay::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target)
    }

    /// Starts a relay to `target` that listens at `listen`.
    ///
    /// # Errors
    ///
    /// The error of the socket if the address cannot be had.
    pub fn start_at(
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<CutRelay> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState::default());
        let accepting = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = accepting.clone();
                thread::spawn(move || forward(&stream, target, &state));
            }
        });
        Ok(CutRelay { address, state })
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the relay in both directions.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::SeqCst);
        self.cut_answers();
    }

    /// Cuts the way back only: what is asked is done, and nobody hears of it.
    pub fn cut_answers(&self) {
        self.state.answers_cut.store(true, Ordering::SeqCst);
    }

    /// Makes all that passes late.
    pub fn slow(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Heals the relay; connections that stood still are closed.
    pub fn heal(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
        self.state.answers_cut.store(false, Ordering::SeqCst);
        self.slow(Duration::ZERO);
        // No code panics while it holds the lock.
        for connection in self.state.open.lock().expect("open").drain(..) {
            for stream in &connection.streams {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Makes the connections that are open now silent for good, while new
    /// ones work; returns their number.
    pub fn silence(&self) -> usize {
        // No code panics while it holds the lock.
        let open = self.state.open.lock().expect("open");
        let mut count = 0;
        for connection in open.iter() {
            let was_silent = connection.is_silent.swap(true, Ordering::SeqCst);
            count += usize::from(!was_silent);
        }
        count
    }

    /// Connections opened since the relay was healed last.
    pub fn connections(&self) -> usize {
        // No code panics while it holds the lock.
        self.state.open.lock().expect("open").len()
    }

    /// Bytes forwarded so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

fn forward(stream: &TcpStream, target: SocketAddr, state: &Arc<RelayState>) {
    wait_while(&state.cut);
    let Ok(upstream) = TcpStream::connect(target) else {
        let _ = stream.shutdown(Shutdown::Both);
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let halves = (
        stream.try_clone(),
        upstream.try_clone(),
        stream.try_clone(),
        upstream.try_clone(),
    );
    let (Ok(from), Ok(to), Ok(keep), Ok(keep_upstream)) = halves else {
        return;
    };
    let is_silent = Arc::new(AtomicBool::new(false));
    let connection = RelayedConnection {
        streams: [keep, keep_upstream],
        is_silent: is_silent.clone(),
    };
    // No code panics while it holds the lock.
    state.open.lock().expect("open").push(connection);
    let (back, silent) = (state.clone(), is_silent.clone());
    thread::spawn(move || copy(to, from, &back, &back.answers_cut, &silent));
    let halves = (stream.try_clone(), upstream.try_clone());
    if let (Ok(from), Ok(to)) = halves {
        copy(from, to, state, &state.cut, &is_silent);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
}

/// Copies bytes until one side closes.
fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &RelayState,
    cut: &AtomicBool,
    is_silent: &AtomicBool,
) {
    let mut buffer = vec![0; COPY_BYTES];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        let delay_ms = state.delay_ms.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(delay_ms));
        wait_while(cut);
        if is_silent.load(Ordering::SeqCst) {
            continue;
        }
        state.bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    if !is_silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}
