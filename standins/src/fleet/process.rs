//! One process of a fleet.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{self, Signal as NixSignal},
    unistd::Pid,
};

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Tell it to leave.
    Terminate,
    /// End it at once.
    Kill,
    /// Freeze it.
    Freeze,
    /// Let it go on.
    Thaw,
}

/// A process that was started here and ends with this value.
pub struct FleetProcess {
    child: Child,
    log: PathBuf,
}

/// Finds a program of this workspace beside the running one.
fn program(name: &str) -> io::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.push(name);
    if path.exists() {
        return Ok(path);
    }
    // Tests and programs may be built with different profiles.
    path.pop();
    path.pop();
    Ok(path.join("debug").join(name))
}

impl FleetProcess {
    /// Starts a program of this workspace.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start(
        name: &str,
        arguments: &[String],
        log: &Path,
    ) -> io::Result<FleetProcess> {
        let file = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program(name)?)
            .args(arguments)
            .env("MAGNOLIA_LOG", "info")
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        Ok(FleetProcess { child, log: log.to_owned() })
    }

    /// The identity of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process, if it still runs.
    pub fn signal(&mut self, signal: Signal) {
        // A process that has ended keeps its identity until it is waited
        // for, so that no other one can be hit.
        if !matches!(self.child.try_wait(), Ok(None)) {
            return;
        }
        let signal = match signal {
            Signal::Terminate => NixSignal::SIGTERM,
            Signal::Kill => NixSignal::SIGKILL,
            Signal::Freeze => NixSignal::SIGSTOP,
            Signal::Thaw => NixSignal::SIGCONT,
        };
        let pid = Pid::from_raw(self.child.id() as i32);
        let _ = signal::kill(pid, signal);
    }

    /// Waits for the process to end; `None` if it still runs after `time`.
    pub fn wait_exit(&mut self, time: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + time;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Processor time used so far, and resident memory in bytes.
    pub fn usage(&self) -> Option<(Duration, u64)> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()));
        let stat = stat.ok()?;
        let fields: Vec<&str> =
            stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()?
            + fields.get(12)?.parse::<u64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some((Duration::from_millis(ticks * 10), pages * 4096))
    }

    /// What the process has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.signal(Signal::Kill);
        let _ = self.child.wait();
    }
}
