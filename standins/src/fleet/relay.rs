//! A TCP relay that can be cut.

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
    cut: AtomicBool,
    bytes: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
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
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
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

    /// Cuts the relay.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::SeqCst);
    }

    /// Heals the relay; connections that stood still are closed.
    pub fn heal(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
        // No code panics while it holds the lock.
        for stream in self.state.open.lock().expect("open").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Bytes forwarded so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }
}

fn forward(stream: &TcpStream, target: SocketAddr, state: &Arc<RelayState>) {
    wait_while_cut(state);
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
    {
        // No code panics while it holds the lock.
        let mut open = state.open.lock().expect("open");
        open.push(keep);
        open.push(keep_upstream);
    }
    let back = state.clone();
    thread::spawn(move || copy(to, from, &back));
    let halves = (stream.try_clone(), upstream.try_clone());
    if let (Ok(from), Ok(to)) = halves {
        copy(from, to, state);
    }
}

fn wait_while_cut(state: &RelayState) {
    while state.cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
}

/// Copies bytes until one side closes.
fn copy(mut from: TcpStream, mut to: TcpStream, state: &RelayState) {
    let mut buffer = vec![0; COPY_BYTES];
    loop {
        let count = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        wait_while_cut(state);
        state.bytes.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
