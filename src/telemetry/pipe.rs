//! A writer for log lines that never blocks.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use super::logging::dropped_line;

/// Bytes of lines that may wait to be written.
const BUFFER_BYTES: usize = 512 * 1024;

/// Most bytes of a write that holds more than one line. A pipe takes a write
/// of this size as a whole.
const WRITE_BYTES: usize = 4_096;

/// Lines that arrive within this time are written together.
const GROUP_TIME: Duration = Duration::from_millis(50);

#[derive(Default)]
struct PipeState {
    buffer: Vec<u8>,
    dropped: u64,
    is_writing: bool,
}

struct PipeShared {
    vm: String,
    state: Mutex<PipeState>,
    changed: Condvar,
}

impl PipeShared {
    fn state(&self) -> MutexGuard<'_, PipeState> {
        // Nothing panics while it holds the lock; a line that was half
        // added would be the worst of it.
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Takes whole lines and hands them to a thread that writes them.
///
/// Lines beyond the buffer are dropped, and a line that says how many is
/// written as soon as there is room.
///
/// # Example
///
/// ```
/// use std::{io::Write, time::Duration};
///
/// use magnoliahaven::telemetry::LogPipe;
///
/// let mut pipe = LogPipe::new("vm-1", std::io::sink());
/// pipe.write_all(b"{}\n").unwrap();
/// assert!(pipe.drain(Duration::from_secs(1)));
/// ```
#[derive(Clone)]
pub struct LogPipe {
    shared: Arc<PipeShared>,
}

impl LogPipe {
    /// Starts the thread that writes to `output`.
    ///
    /// Lines of the pipe's own carry `vm`.
    pub fn new(vm: &str, output: impl Write + Send + 'static) -> LogPipe {
        let shared = Arc::new(PipeShared {
            vm: vm.to_owned(),
            state: Mutex::default(),
            changed: Condvar::default(),
        });
        let pipe = LogPipe { shared: shared.clone() };
        let name = "logs".to_owned();
        let started = thread::Builder::new()
            .name(name)
            .spawn(move || write_lines(&shared, output));
        if let Err(err) = started {
            // Without the thread every line is dropped once the buffer is
            // full; the process itself goes on.
            eprintln!("log lines cannot be written: {err}");
        }
        pipe
    }

    /// Lines that were dropped and not reported yet.
    pub fn dropped(&self) -> u64 {
        self.shared.state().dropped
    }

    /// Waits until everything is written; `false` after `time`.
    pub fn drain(&self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        loop {
            {
                let state = self.shared.state();
                if state.buffer.is_empty() && !state.is_writing {
                    return true;
                }
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for LogPipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = self.shared.state();
        if state.buffer.len() + line.len() > BUFFER_BYTES {
            state.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = state.buffer.is_empty();
        state.buffer.extend_from_slice(line);
        drop(state);
        if was_empty {
            self.shared.changed.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(shared: &PipeShared, mut output: impl Write) {
    loop {
        let lines = {
            let mut state = shared.state();
            while state.buffer.is_empty() {
                let waited = shared.changed.wait(state);
                state = waited.unwrap_or_else(|p| p.into_inner());
            }
            state.is_writing = true;
            let mut lines = std::mem::take(&mut state.buffer);
            let dropped = std::mem::take(&mut state.dropped);
            if dropped > 0 {
                let line = dropped_line(&shared.vm, dropped, "memory");
                lines.extend_from_slice(format!("{line}\n").as_bytes());
            }
            lines
        };
        // Nobody is left to tell about an output that is gone.
        let _ = write_pieces(&mut output, &lines);
        shared.state().is_writing = false;
        thread::sleep(GROUP_TIME);
    }
}

/// Writes `lines` in pieces of whole lines.
fn write_pieces(output: &mut impl Write, lines: &[u8]) -> io::Result<()> {
    let mut start = 0;
    let mut end = 0;
    for line in lines.split_inclusive(|byte| *byte == b'\n') {
        if end > start && end + line.len() - start > WRITE_BYTES {
            output.write_all(&lines[start..end])?;
            start = end;
        }
        end += line.len();
    }
    output.write_all(&lines[start..])?;
    output.flush()
}
