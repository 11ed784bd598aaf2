//! The calls of the log stand-in.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    http::Method,
    magnoliahaven::{
        adapters::{
            http::{HttpRequest, HttpResponder, RequestReader, json_response},
            log::{
                APPEND_PATH, AppendBody, AppendReply, ErrorReply, READ_PATH,
                ReadBody, ReadReply, VMS_PATH,
            },
        },
        ports::{VmEntry, VmList},
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    tokio::sync::Notify,
};

use super::StreamStore;
use crate::server::StandinHandler;

/// Longest wait of a read.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Faults of the log, as `/admin/faults` takes them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Every call is delayed by this many milliseconds.
    pub delay_ms: u64,
    /// The answers of this many appends are lost after they took effect.
    pub lose_answers: u64,
    /// Calls hang without an answer.
    pub hang: bool,
    /// The list of VMs is served as it was when this was switched on.
    pub freeze_vms: bool,
}

/// The log with its faults and the list of VMs.
pub struct LogStandin {
    store: RefCell<StreamStore>,
    faults: RefCell<LogFaults>,
    vms: RefCell<VmList>,
    served_vms: RefCell<VmList>,
    vm_lag: Duration,
    changed: Notify,
    appends: Cell<u64>,
    records: Cell<u64>,
    reads: Cell<u64>,
    read_bytes: Cell<u64>,
}

impl LogStandin {
    /// Creates an empty log whose list of VMs lags by `vm_lag`.
    pub fn new(retention: Duration, vm_lag: Duration) -> LogStandin {
        LogStandin {
            store: RefCell::new(StreamStore::new(retention)),
            faults: RefCell::default(),
            vms: RefCell::default(),
            served_vms: RefCell::default(),
            vm_lag,
            changed: Notify::new(),
            appends: Cell::new(0),
            records: Cell::new(0),
            reads: Cell::new(0),
            read_bytes: Cell::new(0),
        }
    }

    fn append(&self, body: &AppendBody) -> AppendReply {
        let mut store = self.store.borrow_mut();
        let offset = store.append(&body.stream, &body.records);
        self.appends.set(self.appends.get() + 1);
        let count = body.records.len() as u64;
        self.records.set(self.records.get() + count);
        self.changed.notify_waiters();
        AppendReply { offset }
    }

    async fn read(&self, body: &ReadBody) -> ReadReply {
        self.reads.set(self.reads.get() + 1);
        let wait = Duration::from_millis(body.wait_ms).min(LONGEST_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let streams = self.store.borrow_mut().read(&body.cursors);
            let left = deadline.saturating_duration_since(Instant::now());
            if !streams.is_empty() || left.is_zero() {
                return ReadReply { streams };
            }
            let _ = monoio::time::timeout(left, changed).await;
        }
    }

    async fn watch_vms(&self, query: &str) -> VmList {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            let value = pairs.find(|(key, _)| *key == name)?.1;
            value.parse::<u64>().ok()
        };
        let since = field("since").unwrap_or(0);
        let wait = Duration::from_millis(field("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait.min(LONGEST_WAIT);
        loop {
            let changed = self.changed.notified();
            let version = self.served_vms.borrow().version;
            if version > since {
                return self.served_vms.borrow().clone();
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return VmList { version, ..VmList::default() };
            }
            let _ = monoio::time::timeout(left, changed).await;
        }
    }

    fn change_vms(self: &Rc<Self>, change: VmChange) {
        {
            let mut list = self.vms.borrow_mut();
            list.version += 1;
            list.vms.extend(change.set);
            for vm in &change.remove {
                list.vms.remove(vm);
            }
        }
        let standin = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(standin.vm_lag).await;
            standin.publish_vms();
        });
    }

    fn publish_vms(&self) {
        if self.faults.borrow().freeze_vms {
            return;
        }
        *self.served_vms.borrow_mut() = self.vms.borrow().clone();
        self.changed.notify_waiters();
    }

    fn answer<T: Serialize>(&self, reply: &T) -> Option<Answer> {
        let value = json!(reply);
        let length = value.to_string().len() as u64;
        self.read_bytes.set(self.read_bytes.get() + length);
        Some(json_response(200, &value))
    }

    /// The answer to a request; `None` if it is lost.
    async fn respond(
        self: &Rc<Self>,
        request: &HttpRequest,
    ) -> Option<Answer> {
        let path = request.path();
        if path.starts_with("/admin/") {
            return Some(self.admin(request));
        }
        let faults = self.faults.borrow().clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        monoio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return Some(refusal(503, "the log is out"));
        }
        match (&request.head.method, path) {
            (&Method::POST, APPEND_PATH) => {
                match serde_json::from_slice::<AppendBody>(&request.body) {
                    Ok(body) => {
                        let reply = self.append(&body);
                        if self.loses_answer() {
                            return None;
                        }
                        Some(json_response(200, &json!(reply)))
                    }
                    Err(err) => Some(refusal(400, &err.to_string())),
                }
            }
            (&Method::POST, READ_PATH) => {
                match serde_json::from_slice::<ReadBody>(&request.body) {
                    Ok(body) => {
                        let reply = self.read(&body).await;
                        // An outage that began meanwhile holds the news back.
                        if self.faults.borrow().outage {
                            return Some(refusal(503, "the log is out"));
                        }
                        self.answer(&reply)
                    }
                    Err(err) => Some(refusal(400, &err.to_string())),
                }
            }
            (&Method::GET, VMS_PATH) => {
                let query = request.head.uri.query().unwrap_or_default();
                let list = self.watch_vms(query).await;
                if self.faults.borrow().outage {
                    return Some(refusal(503, "the platform is out"));
                }
                self.answer(&list)
            }
            _ => Some(refusal(404, "no such call")),
        }
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        if faults.lose_answers == 0 {
            return false;
        }
        faults.lose_answers -= 1;
        true
    }

    fn admin(self: &Rc<Self>, request: &HttpRequest) -> Answer {
        match request.path() {
            "/admin/faults" => match serde_json::from_slice(&request.body) {
                Ok(faults) => {
                    *self.faults.borrow_mut() = faults;
                    self.changed.notify_waiters();
                    self.publish_vms();
                    json_response(200, &json!({}))
                }
                Err(err) => refusal(400, &err.to_string()),
            },
            "/admin/vms" => match serde_json::from_slice(&request.body) {
                Ok(change) => {
                    self.change_vms(change);
                    json_response(200, &json!({}))
                }
                Err(err) => refusal(400, &err.to_string()),
            },
            "/admin/stats" => json_response(
                200,
                &json!({
                    "appends": self.appends.get(),
                    "records": self.records.get(),
                    "reads": self.reads.get(),
                    "read_bytes": self.read_bytes.get(),
                }),
            ),
            _ => refusal(404, "no such call"),
        }
    }
}

type Answer = http::Response<bytes::Bytes>;

/// A change of the list of VMs, as `/admin/vms` takes it.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct VmChange {
    set: BTreeMap<String, VmEntry>,
    remove: Vec<String>,
}

fn refusal(status: u16, reason: &str) -> Answer {
    json_response(status, &json!(ErrorReply { error: reason.to_owned() }))
}

impl StandinHandler for LogStandin {
    async fn handle(
        self: Rc<Self>,
        request: HttpRequest,
        _reader: &mut RequestReader,
        responder: &mut HttpResponder,
    ) -> bool {
        match self.respond(&request).await {
            Some(answer) => responder.send(answer).await.is_ok(),
            None => false,
        }
    }
}
