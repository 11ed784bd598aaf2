//! What the tasks of a router share.

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
    moves::{EvidenceStore, MoveState},
    ports::{LogPort, PeerPort, UpstreamPort, VmListPort},
    routing::{RetryBudget, UpstreamTable},
    streams::StreamFollower,
    telemetry::RouterMetrics,
    timer::TimerService,
};

/// The outside world of a router.
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

/// Who sends a request and which budget pays for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// The budget.
    pub budget: BudgetName,
    /// How urgent its requests are.
    pub class: CallClass,
    /// Most requests of the account in progress at this router.
    pub concurrent: u32,
}

/// What the tasks of one router share.
pub struct RouterCore {
    /// The settings of the process.
    pub settings: RouterSettings,
    /// The identity of this incarnation.
    pub id: HolderId,
    /// The outside world.
    pub ports: RouterPorts,
    /// The timer service.
    pub timer: TimerService,
    /// The configuration as this router knows it.
    pub control: RefCell<StreamFollower<ControlLedger>>,
    /// When the revision in force was applied here, in milliseconds.
    pub applied_ms: Cell<u64>,
    /// The number of the revision that was applied last.
    pub(super) applied_revision: Cell<u64>,
    /// Who may use the system, by hash of the key.
    pub(super) identities: RefCell<BTreeMap<String, CallerIdentity>>,
    /// The budget service.
    pub keeper: Rc<BudgetKeeper>,
    /// The upstreams.
    pub table: UpstreamTable,
    /// The platform's list of VMs.
    pub directory: Rc<VmDirectory>,
    /// The other routers.
    pub members: Rc<MemberTable>,
    /// What was seen of version moves.
    pub evidence: RefCell<EvidenceStore>,
    /// Moves whose new version this router has stopped using.
    pub tripped: RefCell<BTreeMap<u64, String>>,
    /// Idempotency keys.
    pub claims: RefCell<ClaimTable>,
    /// Keeps retries a small share of the traffic.
    pub retries: RefCell<RetryBudget>,
    /// Metrics.
    pub metrics: RouterMetrics,
    /// Whether the router is leaving.
    pub leaving: Cell<bool>,
    /// Requests of callers in progress.
    pub in_progress: Cell<usize>,
    /// Counts requests without an identity of their own.
    pub(super) last_request: Cell<u64>,
    /// Takes the operators' orders to leave.
    pub(super) leave_orders: mpsc::Sender<ProcessSignal>,
    /// When the process started.
    pub started: Instant,
}

impl RouterCore {
    /// Finds who sent a request, by its `Authorization` header.
    ///
    /// # Errors
    ///
    /// `NotReady` before a configuration is known, `MissingCredentials` and
    /// `UnknownCredentials`.
    pub fn identify(
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

    /// Whether a revision is in force.
    pub fn is_configured(&self) -> bool {
        let control = self.control.borrow();
        control.fold().is_some_and(|ledger| ledger.revision.number > 0)
    }

    /// Whether the router may take requests.
    ///
    /// It needs a revision at least as new as that of any peer it has heard
    /// of, so that a restart never takes a revision back, and a list of VMs.
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

    /// The document of a service.
    ///
    /// # Errors
    ///
    /// `UnknownService`.
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

    /// The preset in force.
    pub fn preset(&self) -> Option<PresetDocument> {
        let control = self.control.borrow();
        let ledger = control.fold()?;
        let path = format!("preset/{}", ledger.preset);
        match ledger.documents.get(&path) {
            Some(Document::Preset(preset)) => Some(preset.clone()),
            _ => None,
        }
    }

    /// The move that decides about a service's requests, if there is one:
    /// its identity and the new version's share in percent.
    pub fn current_move(&self, service: &str) -> Option<CurrentMove> {
        let control = self.control.borrow();
        let (id, known) = control.fold()?.latest_move(service)?;
        let share = known.share_at(TimerService::now_ms());
        let tripped = self.tripped.borrow().contains_key(&id);
        Some(CurrentMove {
            id,
            from: known.start.from.clone(),
            to: known.start.to.clone(),
            share: if tripped { 0 } else { share },
        })
    }

    /// The version that serves a request.
    pub fn version_of(
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

    /// Notes how an upstream served a request, for the moves.
    pub fn note_evidence(
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
        side.record(route, failed, latency_us);
    }

    /// An identity for a request whose caller gave none.
    pub(super) fn new_request_id(&self) -> String {
        let number = self.last_request.get() + 1;
        self.last_request.set(number);
        format!("{}-{:x}-{number}", self.id.vm, self.id.incarnation)
    }
}

/// A move as it concerns one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CurrentMove {
    /// The move.
    pub id: u64,
    /// The version that had the traffic.
    pub from: String,
    /// The version that takes it.
    pub to: String,
    /// Its share of the traffic here and now, in percent.
    pub share: u32,
}
