//! Starting a fleet.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs, io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use {
    magnoliahaven::{
        Declaration,
        adapters::http::HttpClient,
        config::hash_key,
        ctl::CtlClient,
        ports::{VmEntry, VmRole, VmState},
    },
    serde_json::{Value, json},
};

use super::{CutRelay, FleetProcess, Signal};

/// Longest time for the fleet to become ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Longest time for an administrative call.
const ADMIN_TIME: Duration = Duration::from_secs(5);

/// Account partitions of a fleet.
const PARTITIONS: u32 = 4;

/// Tells apart the folders of fleets of one process.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// One engine of a fleet.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// Most requests that it carries.
    pub limit: u32,
    /// Microseconds of a step.
    pub step_us: u64,
}

impl EnginePlan {
    /// Creates an engine of the service `assistant`, version `v1`.
    pub fn new() -> EnginePlan {
        EnginePlan {
            service: "assistant".to_owned(),
            version: "v1".to_owned(),
            limit: 32,
            step_us: 2_000,
        }
    }

    /// Sets the service.
    pub fn with_service(mut self, service: &str) -> EnginePlan {
        service.clone_into(&mut self.service);
        self
    }

    /// Sets the version.
    pub fn with_version(mut self, version: &str) -> EnginePlan {
        version.clone_into(&mut self.version);
        self
    }

    /// Sets the duration of a step in microseconds.
    pub fn with_step_us(mut self, step_us: u64) -> EnginePlan {
        self.step_us = step_us;
        self
    }

    /// Sets the most requests that the engine carries.
    pub fn with_limit(mut self, limit: u32) -> EnginePlan {
        self.limit = limit;
        self
    }
}

impl Default for EnginePlan {
    fn default() -> EnginePlan {
        EnginePlan::new()
    }
}

/// One router of a fleet.
#[derive(Clone, Debug)]
pub struct RouterPlan {
    /// The region.
    pub region: String,
    /// The failure domain.
    pub domain: String,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The routers.
    pub routers: Vec<RouterPlan>,
    /// The engines.
    pub engines: Vec<EnginePlan>,
    /// Lines that are added to the settings of each router.
    pub settings: String,
    /// Time for which the log keeps records.
    pub retention: Duration,
    /// Most requests in progress at an engine, as declared.
    pub upstream_limit: u32,
    /// Lines that are added to the declaration of the model.
    pub presets: String,
    /// Time between two settlements.
    pub settle_interval: Duration,
    /// Lifetime of an entry answer.
    pub entry_lifetime: Duration,
    /// Tokens of each budget, if the routers are the naive baseline.
    pub naive: Option<u64>,
}

impl FleetPlan {
    /// Creates a plan with routers and engines in one region.
    pub fn new(routers: usize, engines: usize) -> FleetPlan {
        let mut plan = FleetPlan {
            routers: Vec::new(),
            engines: vec![EnginePlan::new(); engines],
            settings: String::new(),
            retention: Duration::from_secs(86_400),
            upstream_limit: 32,
            presets: "ordinary: {}".to_owned(),
            settle_interval: Duration::from_millis(300),
            entry_lifetime: Duration::from_secs(1),
            naive: None,
        };
        for number in 0..routers {
            plan.routers.push(RouterPlan {
                region: "altiplano".to_owned(),
                domain: format!("domain-{}", number % 3),
            });
        }
        plan
    }

    /// Adds an engine.
    pub fn with_engine(mut self, engine: EnginePlan) -> FleetPlan {
        self.engines.push(engine);
        self
    }

    /// Adds lines to the settings of each router.
    pub fn with_settings(mut self, lines: &str) -> FleetPlan {
        lines.clone_into(&mut self.settings);
        self
    }

    /// Sets the time for which the log keeps records.
    pub fn with_retention(mut self, retention: Duration) -> FleetPlan {
        self.retention = retention;
        self
    }

    /// Sets the declared limit of each engine.
    pub fn with_upstream_limit(mut self, limit: u32) -> FleetPlan {
        self.upstream_limit = limit;
        self
    }

    /// Replaces the routers by the naive baseline, with budgets of `tokens`.
    pub fn with_naive(mut self, tokens: u64) -> FleetPlan {
        self.naive = Some(tokens);
        self
    }

    /// Sets the presets of the declaration.
    pub fn with_presets(mut self, presets: &str) -> FleetPlan {
        presets.clone_into(&mut self.presets);
        self
    }
}

/// A router of a running fleet.
pub struct FleetRouter {
    /// The process.
    pub process: FleetProcess,
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// Between the router and the log.
    pub log_relay: CutRelay,
    /// Between other routers and this one.
    pub peer_relay: CutRelay,
    settings: PathBuf,
}

/// An engine of a running fleet.
pub struct FleetEngine {
    /// The process.
    pub process: FleetProcess,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its entry in the list of VMs.
    pub entry: VmEntry,
}

/// Running processes with what is needed to talk to them.
pub struct Fleet {
    /// The log.
    pub log: FleetProcess,
    /// Where the log listens.
    pub log_address: SocketAddr,
    /// The routers.
    pub routers: Vec<FleetRouter>,
    /// The engines.
    pub engines: Vec<FleetEngine>,
    /// For administrative calls.
    pub http: HttpClient,
    plan: FleetPlan,
    folder: PathBuf,
}

/// First port of fleets. The range up to [`LAST_PORT`] lies below the one
/// from which the operating system takes ports of outgoing connections.
const FIRST_PORT: u32 = 10_000;

/// Last port of fleets.
const LAST_PORT: u32 = 30_000;

/// The next port to try.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// A free address on loopback.
///
/// # Errors
///
/// `AddrInUse` if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    let span = LAST_PORT - FIRST_PORT;
    // Processes that run fleets at once begin at different ports.
    let first = std::process::id().wrapping_mul(997) % span;
    for _ in 0..span {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (first + step) % span;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr();
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The key of a budget in the declaration of a fleet.
pub fn key_of(budget: &str) -> String {
    format!("key-{budget}")
}

impl Fleet {
    /// Starts all processes; nothing is configured yet.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start(plan: FleetPlan) -> io::Result<Fleet> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("magnolia-fleet-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let log_address = free_address()?;
        let arguments = [
            format!("--listen={log_address}"),
            format!("--retention-s={}", plan.retention.as_secs()),
        ];
        let log = FleetProcess::start(
            "magnolia-standin-log",
            &arguments,
            &folder.join("log.jsonl"),
        )?;
        let mut fleet = Fleet {
            log,
            log_address,
            routers: Vec::new(),
            engines: Vec::new(),
            http: HttpClient::new(),
            plan: plan.clone(),
            folder,
        };
        for engine in &plan.engines {
            fleet.start_engine(engine)?;
        }
        match plan.naive {
            Some(tokens) => fleet.start_naive(tokens)?,
            None => {
                for router in &plan.routers {
                    fleet.start_router(router)?;
                }
            }
        }
        Ok(fleet)
    }

    /// Starts one more engine, which is not on the list of VMs yet.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start_engine(&mut self, plan: &EnginePlan) -> io::Result<usize> {
        let number = self.engines.len();
        let address = free_address()?;
        let arguments = [
            format!("--listen={address}"),
            format!("--vm=engine-{number}"),
            format!("--limit={}", plan.limit),
            format!("--step-us={}", plan.step_us),
            format!("--seed={number}"),
        ];
        let process = FleetProcess::start(
            "magnolia-standin-engine",
            &arguments,
            &self.folder.join(format!("engine-{number}.jsonl")),
        )?;
        let entry = VmEntry {
            role: VmRole::Worker,
            state: VmState::Live,
            region: "altiplano".to_owned(),
            domain: "domain-0".to_owned(),
            address,
            peer_address: None,
            operator_address: None,
            capacity: 0,
            service: plan.service.clone(),
            version: plan.version.clone(),
        };
        self.engines.push(FleetEngine { process, address, entry });
        Ok(number)
    }

    /// Starts naive routers; the first one counts for all.
    fn start_naive(&mut self, tokens: u64) -> io::Result<()> {
        let mut addresses = Vec::new();
        for _ in &self.plan.routers {
            addresses.push(free_address()?);
        }
        let list = |addresses: &[SocketAddr]| {
            let texts: Vec<String> =
                addresses.iter().map(ToString::to_string).collect();
            texts.join(",")
        };
        let version = |version: &str| {
            let engines = self.engines.iter();
            let engines = engines.filter(|e| e.entry.version == version);
            engines.map(|engine| engine.address).collect::<Vec<_>>()
        };
        let (old, new) = (version("v1"), version("v2"));
        for (number, address) in addresses.iter().enumerate() {
            let mut arguments = vec![
                format!("--listen={address}"),
                format!("--routers={}", list(&addresses)),
                format!("--old-engines={}", list(&old)),
                format!("--paid={tokens}"),
            ];
            if !new.is_empty() {
                arguments.push(format!("--new-engines={}", list(&new)));
            }
            let relay = CutRelay::start(addresses[0])?;
            if number > 0 {
                arguments.push(format!("--counter={}", relay.address()));
            }
            let log = self.folder.join(format!("router-{number}.jsonl"));
            let program = "magnolia-naive-router";
            let process = FleetProcess::start(program, &arguments, &log)?;
            self.routers.push(FleetRouter {
                process,
                callers: *address,
                operators: *address,
                log_relay: relay,
                peer_relay: CutRelay::start(*address)?,
                settings: PathBuf::new(),
            });
        }
        Ok(())
    }

    fn start_router(&mut self, plan: &RouterPlan) -> io::Result<()> {
        let number = self.routers.len();
        let (callers, operators) = (free_address()?, free_address()?);
        let peers = free_address()?;
        let log_relay = CutRelay::start(self.log_address)?;
        let peer_relay = CutRelay::start(peers)?;
        let mut text = String::new();
        // Writing to a text cannot fail.
        let _ = write!(
            text,
            "vm: router-{number}\nregion: {}\ndomain: {}\nlisten:\n  callers: \
             {callers}\n  operators: {operators}\n  peers: {peers}\nlog:\n  \
             address: {}\n  retention: {}s\nbudgets:\n  partitions: \
             {PARTITIONS}\n  settle_interval: {}ms\nentry_lifetime: {}ms\n{}\n",
            plan.region,
            plan.domain,
            log_relay.address(),
            self.plan.retention.as_secs(),
            self.plan.settle_interval.as_millis(),
            self.plan.entry_lifetime.as_millis(),
            self.plan.settings,
        );
        let mut seeds = Vec::new();
        for router in &self.routers {
            seeds.push(router.peer_relay.address().to_string());
        }
        let _ = writeln!(text, "seeds: {seeds:?}");
        let settings = self.folder.join(format!("router-{number}.yaml"));
        fs::write(&settings, text)?;
        let process = self.run_router(number, &settings)?;
        self.routers.push(FleetRouter {
            process,
            callers,
            operators,
            log_relay,
            peer_relay,
            settings,
        });
        Ok(())
    }

    fn run_router(
        &self,
        number: usize,
        settings: &std::path::Path,
    ) -> io::Result<FleetProcess> {
        FleetProcess::start(
            "magnolia-router",
            &["--settings".to_owned(), settings.display().to_string()],
            &self.folder.join(format!("router-{number}.jsonl")),
        )
    }

    /// Starts a router again on the same VM, with nothing remembered.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn restart_router(&mut self, number: usize) -> io::Result<()> {
        self.routers[number].process.signal(Signal::Kill);
        self.routers[number].process.wait_exit(ADMIN_TIME);
        let settings = self.routers[number].settings.clone();
        self.routers[number].process = self.run_router(number, &settings)?;
        Ok(())
    }

    /// The operators' client.
    pub fn ctl(&self) -> CtlClient {
        CtlClient::new(self.log_address, PARTITIONS)
    }

    /// The declaration of the fleet.
    ///
    /// Accounts `dairy` and `yards` have the budgets `urgent`, `check` and
    /// `draft`, each of that class and with the key of [`key_of`].
    ///
    /// # Panics
    ///
    /// If the plan's presets are faulty.
    pub fn declaration(&self) -> Declaration {
        let mut text = "accounts:\n".to_owned();
        for account in ["dairy", "yards"] {
            let _ = writeln!(text, "  {account}:\n    budgets:");
            for class in ["urgent", "check", "draft"] {
                let hash = hash_key(&key_of(&format!("{account}/{class}")));
                let _ = writeln!(
                    text,
                    "      {class}: {{class: {class}, key_sha256: [{hash}]}}"
                );
            }
        }
        let _ = write!(
            text,
            "services:\n  assistant: {{kind: model, version: v1, \
             upstream_limit: {limit}}}\n  booking: {{kind: plain-once, \
             version: v1, price: 10, upstream_limit: {limit}}}\n  stock: \
             {{kind: plain, version: v1, price: 1, upstream_limit: \
             {limit}}}\npresets: {{{}}}\n",
            self.plan.presets,
            limit = self.plan.upstream_limit,
        );
        match Declaration::parse("fleet.yaml", &text) {
            Ok(declaration) => declaration,
            Err(faults) => panic!("{faults:?}"),
        }
    }

    /// Publishes the list of VMs and the declaration, pays `tokens` for
    /// every budget, and waits until all routers are ready.
    ///
    /// # Panics
    ///
    /// If a step does not succeed in time.
    pub async fn configure(&self, tokens: u64) {
        self.wait_for_log().await;
        for engine in &self.engines {
            self.wait_for_engine(engine).await;
        }
        if self.plan.naive.is_some() {
            for number in 0..self.routers.len() {
                self.wait_ready(number).await;
            }
            return;
        }
        let mut set = BTreeMap::new();
        for (number, router) in self.routers.iter().enumerate() {
            set.insert(format!("router-{number}"), self.entry_of(router));
        }
        for (number, engine) in self.engines.iter().enumerate() {
            set.insert(format!("engine-{number}"), engine.entry.clone());
        }
        self.post(self.log_address, "/admin/vms", &json!({"set": set})).await;
        let ctl = self.ctl();
        let declaration = self.declaration();
        ctl.apply(&declaration, "test", "set up").await.expect("applied");
        for account in ["dairy", "yards"] {
            for class in ["urgent", "check", "draft"] {
                let budget = format!("{account}/{class}");
                let paid = ctl.top_up(&budget, tokens, "first", "test").await;
                paid.expect("paid");
            }
        }
        for number in 0..self.routers.len() {
            self.wait_ready(number).await;
        }
    }

    fn entry_of(&self, router: &FleetRouter) -> VmEntry {
        let number = self
            .routers
            .iter()
            .position(|other| other.callers == router.callers);
        let plan = &self.plan.routers[number.unwrap_or(0)];
        VmEntry {
            role: VmRole::Entry,
            state: VmState::Live,
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            address: router.callers,
            peer_address: Some(router.peer_relay.address()),
            operator_address: Some(router.operators),
            capacity: 0,
            service: String::new(),
            version: String::new(),
        }
    }

    async fn wait_for_log(&self) {
        let deadline = Instant::now() + READY_TIME;
        while self.ctl().vms().await.is_err() {
            assert!(Instant::now() < deadline, "the log does not answer");
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_for_engine(&self, engine: &FleetEngine) {
        let deadline = Instant::now() + READY_TIME;
        let (address, path) = (engine.address, "/admin/stats");
        while self.http.get(address, path, ADMIN_TIME).await.is_err() {
            assert!(
                Instant::now() < deadline,
                "{address} does not answer: {}",
                engine.process.log_text(),
            );
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a router is ready.
    ///
    /// # Panics
    ///
    /// If it does not become ready in time.
    pub async fn wait_ready(&self, number: usize) {
        let deadline = Instant::now() + READY_TIME;
        let operators = self.routers[number].operators;
        loop {
            let reply = self.http.get(operators, "/readyz", ADMIN_TIME).await;
            if reply.is_ok_and(|(status, _)| status == 200) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "router {number} is not ready: {}",
                self.routers[number].process.log_text(),
            );
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Posts JSON and returns the answer.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Value {
        let reply = self.http.post_json(address, path, body, ADMIN_TIME).await;
        let (status, body) = reply.expect("an answer");
        assert!(status.is_success(), "{path}: {status}");
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Gets JSON.
    ///
    /// # Panics
    ///
    /// If there is no answer.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Value {
        let reply = self.http.get(address, path, ADMIN_TIME).await;
        let (_, body) = reply.expect("an answer");
        serde_json::from_slice(&body).unwrap_or_default()
    }

    /// Switches faults of the log.
    pub async fn log_faults(&self, faults: Value) {
        self.post(self.log_address, "/admin/faults", &faults).await;
    }

    /// Switches faults of an engine.
    pub async fn engine_faults(&self, number: usize, faults: Value) {
        let address = self.engines[number].address;
        self.post(address, "/admin/faults", &faults).await;
    }

    /// The counters of an engine.
    pub async fn engine_stats(&self, number: usize) -> Value {
        self.get(self.engines[number].address, "/admin/stats").await
    }

    /// Changes the state of an engine on the list of VMs.
    pub async fn list_engine(&self, number: usize, state: VmState) {
        let mut entry = self.engines[number].entry.clone();
        entry.state = state;
        let vm = format!("engine-{number}");
        let change = json!({"set": {vm: entry}});
        self.post(self.log_address, "/admin/vms", &change).await;
    }

    /// The addresses of all routers for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.callers).collect()
    }

    /// The status of a router.
    pub async fn status(&self, number: usize) -> Value {
        self.get(self.routers[number].operators, "/v1/status").await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
