//! Settings of a router process.

use std::{net::SocketAddr, path::Path, time::Duration};

use super::{ConfigFault, load_yaml};
use crate::catalog::CallerLimits;

/// Where a router listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and monitoring.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For entry answers, if they have an address of their own.
    pub entry: Option<SocketAddr>,
    /// For checks of readiness, if they have an address of their own.
    pub readiness: Option<SocketAddr>,
}

/// How often requests may be sent again, summed over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond the ratio.
    pub slack: f64,
}

/// How many requests a version that turns out bad may get until the end of
/// its move, summed over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveSettings {
    /// Share of the requests of the service.
    pub exposed_share: f64,
    /// Requests beyond that share.
    pub exposed_requests: f64,
}

impl Default for MoveSettings {
    fn default() -> MoveSettings {
        MoveSettings { exposed_share: 0.1, exposed_requests: 0.0 }
    }
}

/// Where the platform's log is and how long it keeps records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The address of the service.
    pub address: SocketAddr,
    /// Time for which records are kept.
    pub retention: Duration,
    /// Partitions of each topic that a group shares out.
    pub partitions: u32,
}

/// How budgets are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// The number of account partitions; the same at every router.
    pub partitions: u32,
    /// Time between two settlements.
    pub settle_interval: Duration,
    /// Demand that one grant covers.
    pub grant_horizon: Duration,
    /// Time after which an unused portion is given back.
    pub idle_time: Duration,
    /// Longest wait of a request for spending rights.
    pub reserve_time: Duration,
}

/// Bounds on what callers may send and hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Bytes that the requests of all callers may hold together; `None` if
    /// the memory of the VM decides.
    pub request_bytes: Option<usize>,
    /// Longest time for a request to arrive.
    pub request_time: Duration,
    /// Longest time for which an idle connection is kept.
    pub idle_time: Duration,
    /// Most open connections of callers.
    pub connections: usize,
    /// Longest time for an upstream to begin its answer.
    pub upstream_time: Duration,
    /// Largest answer of an upstream that is no stream, in bytes, and most
    /// bytes of a stream without a new event.
    pub answer_bytes: usize,
    /// Bytes held for one slow reader.
    pub stream_bytes: usize,
    /// Bytes held for all slow readers of a router.
    pub held_bytes: usize,
    /// Longest time for which a slow reader is waited for.
    pub reader_time: Duration,
}

impl LimitSettings {
    /// The bounds on what callers may send.
    pub fn for_callers(&self) -> CallerLimits {
        CallerLimits {
            max_head_bytes: self.head_bytes,
            max_body_bytes: self.body_bytes,
            request_timeout: self.request_time,
            idle_timeout: self.idle_time,
        }
    }
}

/// Settings of a router process.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// The name of the VM, as in the platform's list.
    pub vm: String,
    /// The region of the VM.
    pub region: String,
    /// The failure domain of the VM.
    pub domain: String,
    /// Where the router listens.
    pub listen: ListenSettings,
    /// The platform's log.
    pub log: LogSettings,
    /// How budgets are handled.
    pub budgets: BudgetSettings,
    /// Bounds on what callers may send and hold.
    pub limits: LimitSettings,
    /// How often requests may be sent again.
    pub retries: RetrySettings,
    /// How many requests a bad version may get.
    pub moves: MoveSettings,
    /// Lifetime of an entry answer.
    pub entry_lifetime: Duration,
    /// Entry VMs that one entry answer names at least.
    pub entry_width: usize,
    /// Memory of the VM in bytes; `None` if it is not known. It is no key of
    /// the file.
    pub memory_bytes: Option<u64>,
    /// Processor of the VM in hundredths of a core; 0 if it is not known.
    pub capacity: u32,
    /// Time within which a change of the declarations must be in force.
    pub apply_time: Duration,
    /// Longest time between the order to leave and the end of the process.
    pub leave_time: Duration,
    /// Peer addresses of routers to ask at the start, in case the platform
    /// cannot be reached then.
    pub seeds: Vec<SocketAddr>,
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn s(count: u64) -> Duration {
    Duration::from_secs(count)
}

const KIB: u64 = 1024;
const MIB: u64 = 1024 * 1024;
const GIB: u64 = 1024 * MIB;

/// Bytes that requests may hold if the memory of the VM is not known.
const DEFAULT_REQUEST_BYTES: u64 = 32 * MIB;

/// Part of the memory of the VM that requests may hold, as a divisor. A body
/// may take twice its size while it is copied.
const REQUEST_MEMORY_DIVISOR: u64 = 4;

impl RouterSettings {
    /// Reads settings from a YAML file.
    ///
    /// # Errors
    ///
    /// Every fault of the file.
    pub fn load(path: &Path) -> Result<RouterSettings, Vec<ConfigFault>> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => RouterSettings::parse(&file, &text),
            Err(err) => {
                let (key, reason) = ("(file)".to_owned(), err.to_string());
                Err(vec![ConfigFault { file, key, reason }])
            }
        }
    }

    /// Reads settings from a YAML text.
    ///
    /// `docs/CONFIG.md` lists the keys.
    ///
    /// # Errors
    ///
    /// Every fault of the file.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::RouterSettings;
    ///
    /// let faults = RouterSettings::parse("a.yaml", "vm: 7").unwrap_err();
    /// assert_eq!(
    ///     faults[0].to_string(),
    ///     "a.yaml: vm: expected a text, found 7",
    /// );
    /// ```
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<RouterSettings, Vec<ConfigFault>> {
        let mut reader = load_yaml(file, text)?;
        let vm = reader.text("vm");
        let region = reader.text("region");
        let domain = reader.text("domain");
        let listen = parse_listen(&mut reader);
        let log = parse_log(&mut reader);
        let budgets = parse_budgets(&mut reader);
        let limits = parse_limits(&mut reader);
        let entry_lifetime =
            reader.duration("entry_lifetime", s(30), ms(100)..=s(3600));
        if log.retention < budgets.settle_interval * 8 {
            let wanted = "at least 8 times budgets.settle_interval";
            reader.fault("log.retention", format!("must be {wanted}"));
        }
        let entry_width = reader.number("entry_width", 5, 1..=64) as usize;
        let capacity = reader.cores("capacity");
        let retries = parse_retries(&mut reader);
        let moves = parse_moves(&mut reader);
        let apply_time = reader.duration("apply_time", s(2), ms(500)..=s(600));
        let leave_time =
            reader.duration("leave_time", s(3600), s(1)..=s(24 * 3600));
        let seeds = reader.addresses("seeds");
        let faults = reader.finish_file();
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(RouterSettings {
            vm,
            region,
            domain,
            listen,
            log,
            budgets,
            limits,
            retries,
            moves,
            entry_lifetime,
            entry_width,
            memory_bytes: None,
            capacity,
            apply_time,
            leave_time,
            seeds,
        })
    }
}

impl RouterSettings {
    /// Sets the memory of the VM in bytes.
    pub fn with_memory(mut self, bytes: u64) -> RouterSettings {
        self.memory_bytes = Some(bytes);
        self
    }

    /// Returns the bytes that the requests of all callers may hold together:
    /// those of the file, or else a part of the memory of the VM.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::RouterSettings;
    ///
    /// let text = "{vm: a, region: r, domain: z, listen: {callers: \
    ///     '127.0.0.1:1', operators: '127.0.0.1:2', peers: '127.0.0.1:3'}, \
    ///     log: {address: '127.0.0.1:4'}}";
    /// let settings = RouterSettings::parse("a.yaml", text).unwrap();
    /// let settings = settings.with_memory(160_000_000);
    /// assert_eq!(settings.request_memory(), 40_000_000);
    /// ```
    pub fn request_memory(&self) -> usize {
        let by_memory =
            self.memory_bytes.map(|bytes| bytes / REQUEST_MEMORY_DIVISOR);
        let default = by_memory.unwrap_or(DEFAULT_REQUEST_BYTES) as usize;
        self.limits.request_bytes.unwrap_or(default)
    }
}

fn parse_listen(reader: &mut super::YamlReader) -> ListenSettings {
    let mut section = reader.section("listen");
    let callers = section.address("callers");
    let operators = section.address("operators");
    let peers = section.address("peers");
    if callers.port() != 0 && (callers == operators || callers == peers) {
        section.fault("callers", "must differ from the other addresses");
    }
    let entry = section.optional_address("entry");
    let readiness = section.optional_address("readiness");
    section.finish();
    ListenSettings { callers, operators, peers, entry, readiness }
}

fn parse_retries(reader: &mut super::YamlReader) -> RetrySettings {
    let mut section = reader.section("retries");
    let ratio = section.fraction("ratio", 0.1);
    let slack = section.quantity("slack", 20.0, 0.0..=1e6);
    section.finish();
    RetrySettings { ratio, slack }
}

fn parse_moves(reader: &mut super::YamlReader) -> MoveSettings {
    let default = MoveSettings::default();
    let mut section = reader.section("moves");
    let share = section.fraction("exposed_share", default.exposed_share);
    let requests = section.quantity(
        "exposed_requests",
        default.exposed_requests,
        0.0..=1e6,
    );
    section.finish();
    MoveSettings { exposed_share: share, exposed_requests: requests }
}

fn parse_log(reader: &mut super::YamlReader) -> LogSettings {
    let mut section = reader.section("log");
    let address = section.address("address");
    let day = s(24 * 3600);
    let retention = section.duration("retention", day, s(1)..=day * 366);
    let partitions = section.number("partitions", 12, 1..=65_536) as u32;
    section.finish();
    LogSettings { address, retention, partitions }
}

fn parse_budgets(reader: &mut super::YamlReader) -> BudgetSettings {
    let mut section = reader.section("budgets");
    let partitions = section.number("partitions", 16, 1..=65_536);
    let settle_interval =
        section.duration("settle_interval", s(20), ms(50)..=s(600));
    let grant_horizon =
        section.duration("grant_horizon", s(60), ms(100)..=s(3600));
    let idle_time = section.duration("idle_time", s(120), ms(100)..=s(3600));
    let reserve_time =
        section.duration("reserve_time", ms(1000), ms(10)..=s(30));
    section.finish();
    BudgetSettings {
        partitions: partitions as u32,
        settle_interval,
        grant_horizon,
        idle_time,
        reserve_time,
    }
}

fn parse_limits(reader: &mut super::YamlReader) -> LimitSettings {
    let mut section = reader.section("limits");
    let head = section.size("head", 16 * KIB, KIB..=64 * KIB);
    let body = section.size("body", MIB, KIB..=64 * MIB);
    let requests = section.optional_size("requests", MIB..=1024 * GIB);
    let request_time =
        section.duration("request_time", s(10), ms(50)..=s(600));
    let idle_time = section.duration("idle_time", s(60), ms(100)..=s(3600));
    let connections = section.number("connections", 4096, 1..=1_000_000);
    let upstream_time =
        section.duration("upstream_time", s(30), ms(50)..=s(3600));
    let answer = section.size("answer", MIB, KIB..=64 * MIB);
    let stream = section.size("stream", 64 * KIB, KIB..=64 * MIB);
    let held = section.size("held", 32 * MIB, KIB..=1024 * MIB);
    let reader_time = section.duration("reader_time", s(30), ms(50)..=s(3600));
    if held < stream {
        section.fault("held", "must not be smaller than limits.stream");
    }
    section.finish();
    LimitSettings {
        head_bytes: head as usize,
        body_bytes: body as usize,
        request_bytes: requests.map(|bytes| bytes as usize),
        request_time,
        idle_time,
        connections: connections as usize,
        upstream_time,
        answer_bytes: answer as usize,
        stream_bytes: stream as usize,
        held_bytes: held as usize,
        reader_time,
    }
}
