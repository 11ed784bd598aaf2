//! The state that the tasks of a gateway share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    CallRequest, DeclarationTracker, GatewayFront, LatencyEstimator,
    LeavePlan, SilentUpstreams, StaleReason, VersionChoice,
    crashes::CrashProbes, moves::ServiceMoves, spread::DeclarationSpread,
};
use crate::{
    allowance::AllowanceKeeper,
    catalog::RouteCatalog,
    config::RouterSettings,
    domain::HolderId,
    error::{CallError, ErrorKind},
    membership::{MemberTable, OutageTracker, UpstreamRoster, VmDirectory},
    memory::MemoryPool,
    ports::{
        CatalogPort, DeclaredCatalog, ForwardPort, KeyedPort, KnownState,
        MovePort, PeerPort, UpstreamListPort, VmListPort,
    },
    process::ProcessCore,
    routing::{
        AdmitRequest, AssignedUpstream, PartQuarantine, PlacementHint,
        RetryBudget, UpstreamLimits, UpstreamTable,
    },
    telemetry::{LogEvent, RouterMetrics},
    timer::TimerService,
};

/// Share of the fleet's retry budget that the routers divide among
/// themselves, in percent. The rest covers routers that restart with a full
/// budget because they have no record of what they spent before.
const RETRY_SHARE_PERCENT: f64 = 75.0;

/// The sum of the routers' shares of an engine, as a multiple of its slots.
/// It is above 1 because the load of the routers is uneven.
const ENGINE_OVERCOMMIT: f64 = 1.5;

/// The same for an upstream that is no engine. Requests beyond its slots
/// queue at the upstream.
const PLAIN_OVERCOMMIT: f64 = 3.0;

/// Minimum share of a router: requests in progress at one upstream.
const MIN_SHARE: u32 = 2;

/// `Retry-After` of a router whose declarations are stale. It is short
/// because other routers can serve the request.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` of a router that shuts down. It is short because other
/// routers can serve the request.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);

/// How long a router that lacks tokens is left out of entry answers.
const TOKEN_SHORTAGE_WINDOW: Duration = Duration::from_secs(2);

/// Number of routers that is assumed until the list of entry VMs is known.
const DEFAULT_ROUTER_COUNT: u32 = 16;

/// The ports of a gateway to the outside.
#[derive(Clone)]
pub struct GatewayPorts {
    /// The keyed topics of the platform.
    pub topics: Rc<dyn KeyedPort>,
    /// The operators' declarations.
    pub catalog: Rc<dyn CatalogPort>,
    /// The registrations of upstreams.
    pub upstream_list: Rc<dyn UpstreamListPort>,
    /// The list of entry VMs.
    pub vm_list: Rc<dyn VmListPort>,
    /// The status of version moves.
    pub moves: Rc<dyn MovePort>,
    /// The upstreams.
    pub upstreams: Rc<dyn ForwardPort>,
    /// The other routers.
    pub peers: Rc<dyn PeerPort>,
    /// The front end, which implements the wire format of the callers.
    pub front: Rc<dyn GatewayFront>,
}

/// The properties of a request that determine its admission.
pub(super) struct CallAdmission<'a> {
    request: &'a CallRequest,
    excluded: &'a [String],
    choice: VersionChoice,
    hint: PlacementHint,
}

impl CallAdmission<'_> {
    /// Returns a request for a slot that waits for at most `max_wait`.
    pub(super) fn with_wait(&self, max_wait: Duration) -> AdmitRequest<'_> {
        let request = self.request;
        AdmitRequest {
            service: &request.service,
            version: self.choice.required.as_deref(),
            avoided_version: self.choice.avoided.as_deref(),
            priority: request.priority,
            is_draft: false,
            account: request.account_name(),
            excluded: self.excluded,
            affinity: request.shared_prefix_id().unwrap_or(&request.id),
            hint: self.hint.clone(),
            max_wait,
            draft_percent: 100,
        }
    }
}

/// The state that the tasks of one gateway share.
pub struct GatewayCore {
    /// The settings of the process.
    pub settings: RouterSettings,
    /// The identifier of this incarnation of the process.
    pub id: HolderId,
    /// The ports to the outside.
    pub ports: GatewayPorts,
    /// The timer service.
    pub timer: TimerService,
    /// The prepaid tokens of the client accounts.
    pub keeper: Rc<AllowanceKeeper>,
    /// The upstreams in use, with their slots and health.
    pub table: UpstreamTable,
    /// The list of entry VMs.
    pub directory: Rc<VmDirectory>,
    /// The other routers and their state.
    pub members: Rc<MemberTable>,
    /// The metrics of the process.
    pub metrics: RouterMetrics,
    /// When the gateway received the order to leave.
    pub(super) leaving_since: Cell<Option<Instant>>,
    /// Number of requests in progress.
    pub in_progress: Cell<usize>,
    /// The memory of the requests of callers.
    pub request_memory: MemoryPool,
    /// Until when this router is left out of entry answers for lack of
    /// tokens.
    pub(super) token_shortage_until: Cell<Option<Instant>>,
    pub(super) catalog: RefCell<Option<Rc<RouteCatalog>>>,
    /// Tracks whether the operators' declarations are current.
    pub(super) declarations: RefCell<DeclarationTracker>,
    /// How new declarations spread among the gateways.
    pub(super) spread: DeclarationSpread,
    pub(super) moves: RefCell<ServiceMoves>,
    pub(super) roster: RefCell<UpstreamRoster>,
    /// Tracks when the registries were unreachable.
    pub(super) outage: RefCell<OutageTracker>,
    /// The prompt parts that upstreams were lost on.
    pub(super) quarantine: RefCell<PartQuarantine>,
    /// Probes of upstreams whose connections broke.
    pub(super) crash_probes: RefCell<CrashProbes>,
    pub(super) silent_upstreams: RefCell<SilentUpstreams>,
    /// The rate limits that upstreams have named.
    pub(super) limits: RefCell<UpstreamLimits>,
    pub(super) latencies: RefCell<LatencyEstimator>,
    pub(super) retry_budgets: RefCell<BTreeMap<String, RetryBudget>>,
}

impl GatewayCore {
    /// Returns the catalog in force.
    ///
    /// # Errors
    ///
    /// Returns `NotReady` until the first catalog is applied.
    pub fn catalog(&self) -> Result<Rc<RouteCatalog>, CallError> {
        let catalog = self.catalog.borrow().clone();
        catalog.ok_or_else(|| {
            let message = "no configuration is in force here yet";
            CallError::new(ErrorKind::NotReady, message)
        })
    }

    /// Returns the time since the declarations were confirmed, or zero if
    /// none are known.
    pub(super) fn catalog_age(&self) -> Duration {
        let age = self.declarations.borrow().age(Instant::now());
        age.unwrap_or_default()
    }

    /// Records an answer of the store to a read that began at `requested_at`.
    pub(super) fn record_catalog_read(&self, requested_at: Instant) {
        let now = Instant::now();
        self.declarations.borrow_mut().record_store_answer(requested_at, now);
        self.update_catalog_metric();
    }

    /// Records that another gateway had the same declarations confirmed at
    /// `at`; returns `false` if a later confirmation was known.
    pub(super) fn record_peer_confirmation(&self, at: Instant) -> bool {
        let mut tracker = self.declarations.borrow_mut();
        let is_later = tracker.record_peer_confirmation(at);
        drop(tracker);
        self.update_catalog_metric();
        is_later
    }

    fn update_catalog_metric(&self) {
        let age = self.catalog_age().as_millis() as u64;
        let confirmed_ms = TimerService::now_ms().saturating_sub(age);
        self.metrics.catalog_confirmed_at.set((confirmed_ms / 1_000) as i64);
    }

    /// Turns a permanent error into a retryable one unless the declarations
    /// here were confirmed recently.
    ///
    /// A route, a key or tokens that are unknown here may have been added
    /// since, and routers that know them can serve the request.
    pub(super) fn make_retryable_unless_fresh(
        &self,
        error: CallError,
    ) -> CallError {
        let kind = match error.kind {
            ErrorKind::UnknownPath
            | ErrorKind::UnknownCredentials
            | ErrorKind::UnknownService => ErrorKind::NotReady,
            ErrorKind::BudgetExhausted => ErrorKind::BudgetUnavailable,
            _ => return error,
        };
        if self.declarations.borrow().is_fresh(Instant::now()) {
            return error;
        }
        let message = format!(
            "{}; the declarations here are {} ms old",
            error.message,
            self.catalog_age().as_millis()
        );
        CallError::new(kind, message)
    }

    /// Rejects all requests while the declarations here are stale.
    pub(super) fn reject_if_stale(&self) -> Result<(), CallError> {
        let now = Instant::now();
        let Some(reason) = self.declarations.borrow().staleness(now) else {
            return Ok(());
        };
        let message = match reason {
            StaleReason::Superseded(newer) => format!(
                "version {} of the declarations is in force elsewhere for {} \
                 ms and not known here",
                newer.version,
                (now - newer.since).as_millis()
            ),
            StaleReason::Unread(age) => format!(
                "newer declarations are not known here yet; these are {} ms \
                 old",
                age.as_millis()
            ),
            StaleReason::LateAnswers(age) => format!(
                "the declarations arrive late and are {} ms old",
                age.as_millis()
            ),
        };
        let error = CallError::new(ErrorKind::NotReady, message);
        Err(error.with_retry_delay(STALE_RETRY_AFTER))
    }

    /// Returns the schedule of a shutdown.
    pub(super) fn leave_plan(&self) -> LeavePlan {
        let settings = &self.settings;
        LeavePlan::new(settings.leave_time, settings.entry_lifetime)
    }

    /// Rejects a request that might not finish before the process exits.
    pub(super) fn reject_if_leaving(
        &self,
        request: &CallRequest,
    ) -> Result<(), CallError> {
        let Some(since) = self.leaving_since.get() else {
            return Ok(());
        };
        let route = &request.route;
        let plan = self.leave_plan();
        if plan.admits(since.elapsed(), route.kind, route.timeout) {
            return Ok(());
        }
        let message = "the router leaves and may not finish the request";
        let error = CallError::new(ErrorKind::Leaving, message);
        Err(error.with_retry_delay(LEAVING_RETRY_AFTER))
    }

    /// Returns whether the gateway can serve requests.
    pub fn is_ready(&self) -> bool {
        self.catalog.borrow().is_some()
            && self.roster.borrow().is_loaded()
            && !self.is_leaving()
            && self.reject_if_stale().is_ok()
    }

    /// Records that a request was rejected for lack of tokens.
    ///
    /// A router that cannot reach the store gets no tokens, while others may
    /// have some left. It is left out of entry answers for a while.
    pub(super) fn record_token_shortage(&self) {
        if !self.keeper.is_topic_reachable() {
            self.token_shortage_until
                .set(Some(Instant::now() + TOKEN_SHORTAGE_WINDOW));
        }
    }

    /// Returns whether this router is left out of entry answers for lack of
    /// tokens.
    pub(super) fn has_token_shortage(&self) -> bool {
        let until = self.token_shortage_until.get();
        until.is_some_and(|until| until > Instant::now())
    }

    /// Applies a catalog if it is newer than the one in force.
    ///
    /// It was read from `source` by a call that began at `requested_at`.
    pub(super) fn apply_catalog(
        &self,
        declared: DeclaredCatalog,
        requested_at: Instant,
        source: &str,
    ) {
        let DeclaredCatalog { catalog, text } = declared;
        let version = catalog.version();
        let known = self.catalog.borrow().as_ref().map(|c| c.version());
        if known.is_some_and(|known| known >= version) {
            return;
        }
        self.keeper.set_prepaid(catalog.accounts());
        log::info!(
            event:% = LogEvent::CatalogApplied,
            catalog = version, routes = catalog.route_count(),
            source,
            read_ms = requested_at.elapsed().as_millis() as u64;
            "catalog in force"
        );
        self.metrics.catalog_version.set(version as i64);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        let now = Instant::now();
        self.declarations.borrow_mut().adopt(version, text, now);
        self.spread.note_adopted();
        let known = KnownState { control_next: 0, list_version: 0 };
        self.members.set_known_state(known);
        self.refresh_upstreams();
    }

    /// Returns the time since the registered upstreams were read.
    pub(super) fn list_age(&self) -> Duration {
        let read_at = self.roster.borrow().read_at();
        read_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Updates the upstreams in use and this router's share of each.
    pub(super) fn refresh_upstreams(&self) {
        let roster = self.roster.borrow();
        let catalog = self.catalog.borrow().clone();
        // Only the routers that an entry answer lists receive callers.
        let routers = self.directory.entry_count();
        let routers = routers.clamp(1, self.entry_width()) as f64;
        let mut views = Vec::new();
        for entry in roster.usable() {
            let service = catalog
                .as_ref()
                .and_then(|c| c.service(&entry.service).cloned());
            let is_engine = service.is_some_and(|s| s.engine.is_some());
            let overcommit =
                if is_engine { ENGINE_OVERCOMMIT } else { PLAIN_OVERCOMMIT };
            let slots = f64::from(entry.slots) * overcommit;
            let share = (slots / routers).ceil() as u32;
            views.push(AssignedUpstream {
                vm: entry.id.clone(),
                address: entry.address,
                domain: entry.domain.clone(),
                service: entry.service.clone(),
                version: entry.version.clone(),
                started_ms: entry.started_ms,
                share: share.max(MIN_SHARE),
                limit: u32::MAX,
            });
        }
        drop(roster);
        self.metrics.upstreams.set(views.len() as i64);
        self.metrics.entry_vms.set(self.directory.entry_count() as i64);
        self.table.update(&views);
        self.update_rate_shares();
    }

    /// Returns the properties of a request that determine its admission.
    pub(super) fn admission<'a>(
        &self,
        request: &'a CallRequest,
        excluded: &'a [String],
    ) -> CallAdmission<'a> {
        let hint = PlacementHint {
            prompt_tokens: request.ceiling.prompt,
            shared_tokens: request.shared_tokens(),
            first_prefix: request.first_shared_part().unwrap_or("").to_owned(),
            objective: request.route.latency_objective,
            domain: self.settings.domain.clone(),
        };
        let choice = self.version_choice(&request.service, &request.id);
        CallAdmission { request, excluded, choice, hint }
    }

    /// Drops an upstream whose address now belongs to another one.
    pub(super) fn remove_misaddressed(&self, upstream: &str) {
        if self.roster.borrow_mut().remove_misaddressed(upstream) {
            log::info!(
                event:% = LogEvent::UpstreamMisplaced, upstream;
                "upstream dropped: its address belongs to another upstream"
            );
            self.refresh_upstreams();
        }
    }

    /// Records the first attempt of a request in the retry budget.
    pub(super) fn record_request(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::record_request);
    }

    /// Spends a retry of this router's share of the fleet's retry budget;
    /// returns `false` if none is left.
    pub(super) fn try_spend_retry(&self, service: &str) -> bool {
        self.with_retry_budget(service, RetryBudget::try_spend)
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retries = self.retry_budgets.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_insert_with(|| {
            let settings = self.settings.retries;
            let routers = match self.directory.entry_count() {
                0 => DEFAULT_ROUTER_COUNT,
                count => count as u32,
            };
            let percent = settings.ratio * RETRY_SHARE_PERCENT;
            let slack = settings.slack * RETRY_SHARE_PERCENT / 100.0;
            let saved = slack / f64::from(routers) / 2.0;
            RetryBudget::with_limits(percent as u32, (saved as u32).max(1))
        });
        operation(budget)
    }

    /// Returns how long an upstream may take to start its answer to a
    /// request.
    pub(super) fn answer_timeout(&self, request: &CallRequest) -> Duration {
        let latencies = self.latencies.borrow();
        let expected = super::expected_latency(request);
        let objective = request.route.latency_objective;
        latencies.answer_timeout(&request.service, expected, objective)
    }
}
