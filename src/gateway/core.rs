//! What the tasks of a gateway share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use super::{
    CallRequest, DeclarationTracker, GatewayFront, LatencyEstimator,
    LeavePlan, StaleReason, VersionChoice, moves::ServiceMoves,
};
use crate::{
    allowance::AllowanceKeeper,
    catalog::RouteCatalog,
    config::RouterSettings,
    domain::HolderId,
    error::{CallError, ErrorKind},
    membership::{MemberTable, OutageTracker, UpstreamRoster, VmDirectory},
    ports::{
        CatalogPort, DeclaredCatalog, ForwardPort, KeyedPort, KnownState,
        MovePort, PeerPort, UpstreamListPort, VmListPort,
    },
    process::ProcessCore,
    routing::{
        AdmitRequest, AssignedUpstream, PlacementHint, RetryBudget,
        UpstreamTable,
    },
    telemetry::{LogEvent, RouterMetrics},
    timer::TimerService,
};

/// Part of the fleet's retries that the routers use, in percent. The rest
/// is for routers that start anew and know nothing of the time before.
const RETRY_SHARE_PERCENT: u32 = 75;

/// The routers together may have this multiple of an engine's slots in
/// progress, because their loads are uneven.
const ENGINE_OVERCOMMIT: f64 = 1.5;

/// The routers together may have this multiple of a plain upstream's slots
/// in progress; the rest waits at the upstream.
const PLAIN_OVERCOMMIT: f64 = 3.0;

/// Least requests that a router may have in progress at one upstream.
const MIN_SHARE: u32 = 2;

/// `Retry-After` of a router whose declarations are stale; the others can
/// take the request.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` of a router that leaves; the others can take the request.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Time for which a router that lacks tokens is not named to callers.
const TOKEN_SHORTAGE_WINDOW: Duration = Duration::from_secs(2);

/// Routers that are presumed before the list of entry VMs is known.
const DEFAULT_ROUTER_COUNT: u32 = 16;

/// The outside world of a gateway.
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
    /// The wire form that callers use.
    pub front: Rc<dyn GatewayFront>,
}

/// What admission needs to know of a request.
pub(super) struct CallAdmission<'a> {
    request: &'a CallRequest,
    excluded: &'a [String],
    choice: VersionChoice,
    hint: PlacementHint,
}

impl CallAdmission<'_> {
    /// The request for a slot, waiting for one up to `max_wait`.
    pub(super) fn with_wait(&self, max_wait: Duration) -> AdmitRequest<'_> {
        let request = self.request;
        AdmitRequest {
            service: &request.service,
            version: self.choice.required.as_deref(),
            avoided_version: self.choice.avoided.as_deref(),
            priority: request.rank,
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

/// What the tasks of one gateway share.
pub struct GatewayCore {
    /// The settings of the process.
    pub settings: RouterSettings,
    /// The identity of this incarnation.
    pub id: HolderId,
    /// The outside world.
    pub ports: GatewayPorts,
    /// The timer service.
    pub timer: TimerService,
    /// The prepaid tokens.
    pub keeper: Rc<AllowanceKeeper>,
    /// The upstreams in use.
    pub table: UpstreamTable,
    /// The list of entry VMs.
    pub directory: Rc<VmDirectory>,
    /// The other routers.
    pub members: Rc<MemberTable>,
    /// Metrics.
    pub metrics: RouterMetrics,
    /// When the gateway was told to leave.
    pub(super) leaving_since: Cell<Option<Instant>>,
    /// Requests of callers in progress.
    pub in_progress: Cell<usize>,
    /// Until when callers are better served by other routers.
    pub(super) token_shortage_until: Cell<Option<Instant>>,
    pub(super) catalog: RefCell<Option<Rc<RouteCatalog>>>,
    /// How far the operators' declarations here can be relied on.
    pub(super) declarations: RefCell<DeclarationTracker>,
    pub(super) moves: RefCell<ServiceMoves>,
    pub(super) roster: RefCell<UpstreamRoster>,
    /// When the registries were out of reach.
    pub(super) outage: RefCell<OutageTracker>,
    pub(super) latencies: RefCell<LatencyEstimator>,
    pub(super) retry_budgets: RefCell<BTreeMap<String, RetryBudget>>,
}

impl GatewayCore {
    /// The catalog in force.
    ///
    /// # Errors
    ///
    /// `NotReady` before one is known.
    pub fn catalog(&self) -> Result<Rc<RouteCatalog>, CallError> {
        let catalog = self.catalog.borrow().clone();
        catalog.ok_or_else(|| {
            let message = "no configuration is in force here yet";
            CallError::new(ErrorKind::NotReady, message)
        })
    }

    /// How long ago the declarations were confirmed; zero before they are
    /// known.
    pub(super) fn catalog_age(&self) -> Duration {
        let age = self.declarations.borrow().age(Instant::now());
        age.unwrap_or_default()
    }

    /// Notes that the store has answered a question of `asked_at`.
    pub(super) fn record_catalog_read(&self, asked_at: Instant) {
        let now = Instant::now();
        self.declarations.borrow_mut().record_store_answer(asked_at, now);
        self.update_catalog_metric();
    }

    /// Notes that another gateway had the same declarations confirmed.
    pub(super) fn record_peer_confirmation(&self, at: Instant) {
        self.declarations.borrow_mut().record_peer_confirmation(at);
        self.update_catalog_metric();
    }

    fn update_catalog_metric(&self) {
        let age = self.catalog_age().as_millis() as u64;
        let confirmed_ms = TimerService::now_ms().saturating_sub(age);
        self.metrics.catalog_confirmed_at.set((confirmed_ms / 1_000) as i64);
    }

    /// Makes a refusal for good one for now, unless it rests on declarations
    /// that are in force.
    ///
    /// A route, a key or tokens that are not known here may have been added,
    /// and routers that know of it can serve the request.
    pub(super) fn soften_if_unconfirmed(&self, error: CallError) -> CallError {
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

    /// Refuses all requests while the declarations here are stale.
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
            StaleReason::LateAnswers(age) => format!(
                "the declarations arrive late and are {} ms old",
                age.as_millis()
            ),
        };
        let error = CallError::new(ErrorKind::NotReady, message);
        Err(error.with_retry_delay(STALE_RETRY_AFTER))
    }

    /// The schedule of leaving.
    pub(super) fn leave_plan(&self) -> LeavePlan {
        let settings = &self.settings;
        LeavePlan::new(settings.leave_time, settings.entry_lifetime)
    }

    /// Refuses a request that a leaving gateway may not finish.
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

    /// Whether the gateway may take requests.
    pub fn is_ready(&self) -> bool {
        self.catalog.borrow().is_some()
            && self.roster.borrow().is_loaded()
            && !self.is_leaving()
            && self.reject_if_stale().is_ok()
    }

    /// Notes that a request was refused for want of tokens.
    ///
    /// A router that cannot reach the store gets none for now. Others may
    /// have some left, so this one is not named to callers for a while.
    pub(super) fn record_token_shortage(&self) {
        if !self.keeper.is_topic_reachable() {
            self.token_shortage_until
                .set(Some(Instant::now() + TOKEN_SHORTAGE_WINDOW));
        }
    }

    /// Whether callers are better served by other routers.
    pub(super) fn has_token_shortage(&self) -> bool {
        let until = self.token_shortage_until.get();
        until.is_some_and(|until| until > Instant::now())
    }

    /// Takes a catalog into use if it is newer than the one in force.
    ///
    /// `source` was asked for it at `asked_at`.
    pub(super) fn apply_catalog(
        &self,
        declared: DeclaredCatalog,
        asked_at: Instant,
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
            read_ms = asked_at.elapsed().as_millis() as u64;
            "catalog in force"
        );
        self.metrics.catalog_version.set(version as i64);
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        let now = Instant::now();
        self.declarations.borrow_mut().adopt(version, text, now);
        let known = KnownState { control_next: 0, list_version: 0 };
        self.members.set_known_state(known);
        self.refresh_upstreams();
    }

    /// How long ago the registered upstreams were read.
    pub(super) fn list_age(&self) -> Duration {
        let read_at = self.roster.borrow().read_at();
        read_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Recomputes this router's share of each upstream.
    pub(super) fn refresh_upstreams(&self) {
        let roster = self.roster.borrow();
        let catalog = self.catalog.borrow().clone();
        // Callers are sent to as many routers as an entry answer names.
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
                share: share.max(MIN_SHARE),
                limit: u32::MAX,
            });
        }
        drop(roster);
        self.metrics.upstreams.set(views.len() as i64);
        self.metrics.entry_vms.set(self.directory.entry_count() as i64);
        self.table.update(&views);
    }

    /// What admission needs to know of a request.
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

    /// Drops an upstream whose address turned out to be another one's.
    pub(super) fn drop_misplaced(&self, upstream: &str) {
        if self.roster.borrow_mut().remove_misaddressed(upstream) {
            log::info!(
                event:% = LogEvent::UpstreamMisplaced, upstream;
                "upstream is not at its address any more"
            );
            self.refresh_upstreams();
        }
    }

    /// Notes the first attempt of a request.
    pub(super) fn record_request(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::record_request);
    }

    /// Takes a retry out of this router's part of the fleet's budget.
    pub(super) fn try_spend_retry(&self, service: &str) -> bool {
        self.with_retry_budget(service, RetryBudget::try_spend)
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retries = self.retry_budgets.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_insert_with(|| {
            let settings = self.settings.retries;
            let routers = match self.directory.entry_count() {
                0 => DEFAULT_ROUTER_COUNT,
                count => count as u32,
            };
            let percent = settings.ratio * f64::from(RETRY_SHARE_PERCENT);
            let saved = settings.slack * RETRY_SHARE_PERCENT / 100 / routers;
            RetryBudget::with_limits(percent as u32, (saved / 2).max(1))
        });
        act(budget)
    }

    /// How long an upstream may take to begin its answer to a request.
    pub(super) fn answer_timeout(&self, request: &CallRequest) -> Duration {
        let latencies = self.latencies.borrow();
        let expected = super::expected_latency(request);
        let objective = request.route.latency_objective;
        latencies.answer_timeout(&request.service, expected, objective)
    }
}
