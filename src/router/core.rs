//! The state that the tasks of a router share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Instant,
};

use tokio::sync::mpsc;

use super::ClaimTable;
use crate::{
    adapters::peer::ProcessSignal,
    budget::BudgetKeeper,
    config::{
        CallClass, ControlLedger, Document, PresetDocument, RouterSettings,
        ServiceDocument, hash_key,
    },
    domain::{BudgetName, HolderId},
    error::{CallError, ErrorKind},
    membership::{MemberTable, VmDirectory},
    memory::MemoryPool,
    moves::{EvidenceStore, MoveState, RequestResult},
    ports::{LogPort, PeerPort, UpstreamPort, VmListPort},
    routing::{RetryBudget, UpstreamTable},
    streams::StreamFollower,
    telemetry::RouterMetrics,
    timer::TimerService,
};

/// The interfaces of a router to the systems outside the process.
#[derive(Clone)]
pub struct RouterPorts {
    /// The platform's log.
    pub log: Rc<dyn LogPort>,
    /// The platform's list of VMs.
    pub vm_list: Rc<dyn VmListPort>,
    /// Model engines and plain services.
    pub upstreams: Rc<dyn UpstreamPort>,
    /// The other routers.
    pub peers: Rc<dyn PeerPort>,
}

/// The sender of a request and the budget that pays for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// The budget that pays.
    pub budget: BudgetName,
    /// The priority class of the budget's requests.
    pub class: CallClass,
    /// The maximum number of concurrent requests of the account at this
    /// router.
    pub concurrent: u32,
}

/// The state that the tasks of one router share.
pub struct RouterCore {
    /// The settings of the process.
    pub settings: RouterSettings,
    /// The identifier of this incarnation.
    pub id: HolderId,
    /// The interfaces to the systems outside the process.
    pub ports: RouterPorts,
    /// The timer service.
    pub timer: TimerService,
    /// The configuration, as far as this router has read it.
    pub control: RefCell<StreamFollower<ControlLedger>>,
    /// When this router applied the current revision, in milliseconds since
    /// the Unix epoch.
    pub applied_ms: Cell<u64>,
    /// The number of the last applied revision.
    pub(super) applied_revision: Cell<u64>,
    /// The callers with access, by hash of their API key.
    pub(super) identities: RefCell<BTreeMap<String, CallerIdentity>>,
    /// The budget service.
    pub keeper: Rc<BudgetKeeper>,
    /// The upstreams and the slots that this router may use there.
    pub upstream_table: UpstreamTable,
    /// The platform's list of VMs.
    pub directory: Rc<VmDirectory>,
    /// The status of the other routers.
    pub members: Rc<MemberTable>,
    /// Observed results of requests, by version move.
    pub evidence: RefCell<EvidenceStore>,
    /// The version moves whose new version this router has stopped using,
    /// with the reason.
    pub tripped_moves: RefCell<BTreeMap<u64, String>>,
    /// The idempotency keys stored at this router.
    pub claims: RefCell<ClaimTable>,
    /// Limits retries to a small share of the traffic.
    pub retry_budget: RefCell<RetryBudget>,
    /// The metrics of the process.
    pub metrics: RouterMetrics,
    /// Whether the router is leaving the fleet.
    pub leaving: Cell<bool>,
    /// The number of callers' requests in progress.
    pub in_progress: Cell<usize>,
    /// The memory of the requests of callers.
    pub request_memory: MemoryPool,
    /// The last number used for a generated request ID.
    pub(super) last_request_number: Cell<u64>,
    /// Sends operators' requests to leave to the process.
    pub(super) leave_requests: mpsc::Sender<ProcessSignal>,
    /// When the process started.
    pub started: Instant,
}

impl RouterCore {
    /// Authenticates a caller by its `Authorization` header.
    ///
    /// # Errors
    ///
    /// `NotReady` before a configuration is known, `MissingCredentials` and
    /// `UnknownCredentials`.
    pub fn authenticate(
        &self,
        authorization: Option<&str>,
    ) -> Result<CallerIdentity, CallError> {
        if !self.is_configured() {
            let message = "no configuration is in force here yet";
            return Err(CallError::new(ErrorKind::NotReady, message));
        }
        let key = authorization.and_then(|v| v.strip_prefix("Bearer "));
        let Some(key) = key.map(str::trim).filter(|key| !key.is_empty())
        else {
            let message = "an `Authorization: Bearer KEY` header is needed";
            return Err(CallError::new(
                ErrorKind::MissingCredentials,
                message,
            ));
        };
        let identities = self.identities.borrow();
        let identity = identities.get(&hash_key(key)).cloned();
        identity.ok_or_else(|| {
            let message = "the key belongs to no client account in force";
            CallError::new(ErrorKind::UnknownCredentials, message)
        })
    }

    /// Returns whether a configuration revision is in force.
    pub fn is_configured(&self) -> bool {
        let control = self.control.borrow();
        control.fold().is_some_and(|ledger| ledger.revision.number > 0)
    }

    /// Returns whether the router may accept requests.
    ///
    /// It needs a list of VMs and a configuration that is at least as new as
    /// the newest one that a peer reported in its first message, so that a
    /// restarted router never goes back to an older revision.
    pub fn is_ready(&self) -> bool {
        let control = self.control.borrow();
        let Some(ledger) = control.fold() else {
            return false;
        };
        ledger.revision.number > 0
            && self.directory.version() > 0
            && ledger.next >= self.members.first_peer_control_offset()
            && !self.leaving.get()
    }

    /// Returns the declaration of a service.
    ///
    /// # Errors
    ///
    /// `UnknownService` if no such service is declared.
    pub fn service(&self, name: &str) -> Result<ServiceDocument, CallError> {
        let control = self.control.borrow();
        let path = format!("service/{name}");
        let ledger = control.fold();
        match ledger.and_then(|ledger| ledger.documents.get(&path)) {
            Some(Document::Service(service)) => Ok(service.clone()),
            _ => {
                let message = format!("no service {name:?} is declared");
                Err(CallError::new(ErrorKind::UnknownService, message))
            }
        }
    }

    /// Returns the preset in force.
    pub fn preset(&self) -> Option<PresetDocument> {
        let control = self.control.borrow();
        let ledger = control.fold()?;
        let path = format!("preset/{}", ledger.preset);
        match ledger.documents.get(&path) {
            Some(Document::Preset(preset)) => Some(preset.clone()),
            _ => None,
        }
    }

    /// Returns the version move that determines which version serves the
    /// requests of a service, if there is one.
    pub fn current_move(&self, service: &str) -> Option<CurrentMove> {
        let control = self.control.borrow();
        let (id, known) = control.fold()?.latest_move(service)?;
        let share = known.share_at(TimerService::now_ms());
        let tripped = self.tripped_moves.borrow().contains_key(&id);
        Some(CurrentMove {
            id,
            from: known.start.from.clone(),
            to: known.start.to.clone(),
            share: if tripped { 0 } else { share },
        })
    }

    /// Returns the version that serves a request.
    ///
    /// During a version move, a hash of the request ID decides between the
    /// old and the new version.
    pub fn select_version(
        &self,
        service: &str,
        document: &ServiceDocument,
        request_id: &str,
    ) -> String {
        let Some(current) = self.current_move(service) else {
            return document.version.clone();
        };
        if MoveState::routes_to_new(current.id, current.share, request_id) {
            return current.to;
        }
        current.from
    }

    /// Records the result of a request as evidence on the version that
    /// served it, if a version move of the service is known.
    pub fn record_evidence(
        &self,
        service: &str,
        version: &str,
        route: &str,
        failed: bool,
        latency_us: Option<u64>,
    ) {
        let Some(current) = self.current_move(service) else {
            return;
        };
        let mut book = self.evidence.borrow_mut();
        let tally = book.local_mut(current.id);
        let side = if version == current.to {
            &mut tally.new
        } else {
            &mut tally.old
        };
        let result = if failed {
            RequestResult::Error
        } else {
            RequestResult::Answered { latency_us }
        };
        side.record(route, result);
    }

    /// Returns a new ID for a request whose caller has given none.
    pub(super) fn new_request_id(&self) -> String {
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        format!("{}-{:x}-{number}", self.id.vm, self.id.incarnation)
    }
}

/// The parts of a version move that matter to a single request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentMove {
    /// The ID of the move.
    pub id: u64,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// The new version's current share of the traffic at this router, in
    /// percent.
    pub share: u32,
}
