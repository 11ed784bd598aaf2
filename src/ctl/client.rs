//! The operators' view of the log.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use {
    serde_json::Value,
    snafu::{OptionExt, Snafu},
};

use super::{BudgetRow, RouterRow};
use crate::{
    adapters::{http::HttpClient, log::LogClient},
    budget::{
        AccountLedger, AccountRecord, BillLine, TopUpRecord, bill_streams,
        partition_of, partition_stream,
    },
    config::{
        CONTROL_STREAM, ChangeRecord, ControlLedger, ControlRecord,
        Declaration, Document, diff_documents,
    },
    domain::{BudgetName, account_of},
    moves::{MoveRecord, MoveStartRecord, MoveUndoRecord},
    ports::{
        LogCursors, LogFault, LogPort, PortFuture, VmEntry, VmList,
        VmListPort, VmRole,
    },
    streams::{StreamFold, StreamFollower},
};

/// Longest time for an answer of a router.
const ROUTER_TIME: Duration = Duration::from_secs(2);

/// Longest time for reading a stream to its end.
const READ_TIME: Duration = Duration::from_secs(30);

/// Why an operator's command did not succeed.
#[derive(Debug, Snafu)]
pub enum CtlFault {
    /// The log service did not do its part.
    #[snafu(display("{source}"), context(false))]
    Log {
        /// The fault of the log.
        source: LogFault,
    },
    /// The change was refused; nothing was changed.
    #[snafu(display("refused: {reason}"))]
    Refused {
        /// Why, and who did what instead.
        reason: String,
    },
    /// The command names something that does not exist.
    #[snafu(display("{reason}"))]
    Unknown {
        /// What does not exist.
        reason: String,
    },
}

/// A change that has been accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedChange {
    /// The number of the revision or, for a move, its identity.
    pub number: u64,
    /// How many documents were set or removed.
    pub documents: usize,
}

/// A move to be started.
#[derive(Clone, Debug)]
pub struct MoveRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The version that has the traffic.
    pub from: &'a str,
    /// The version that shall take it.
    pub to: &'a str,
    /// When the move must be done, in milliseconds since the epoch.
    pub deadline_ms: u64,
    /// The operator.
    pub who: &'a str,
}

/// The operators' client.
pub struct CtlClient {
    log: Rc<dyn LogPort>,
    vm_list: Rc<dyn VmListPort>,
    http: HttpClient,
    partitions: u32,
}

impl CtlClient {
    /// Creates a client of the log at `address`.
    pub fn new(address: SocketAddr, partitions: u32) -> CtlClient {
        let http = HttpClient::new();
        let log = Rc::new(LogClient::new(http.clone(), address));
        CtlClient { log: log.clone(), vm_list: log, http, partitions }
    }

    async fn fold<F: StreamFold>(&self, stream: &str) -> Result<F, CtlFault> {
        let mut follower = StreamFollower::<F>::new();
        let deadline = Instant::now() + READ_TIME;
        while !follower.is_ready() && Instant::now() < deadline {
            let cursor = follower.cursor();
            let cursors = LogCursors::from([(stream.to_owned(), cursor)]);
            let mut slices = self.log.read(&cursors, Duration::ZERO).await?;
            match slices.remove(stream) {
                Some(slice) => {
                    follower.apply_slice(&slice);
                }
                None => follower.mark_end(),
            }
        }
        let reason = format!("stream {stream} has no starting point");
        follower.into_fold().context(UnknownSnafu { reason })
    }

    /// The state of the control stream.
    ///
    /// # Errors
    ///
    /// `Log` if the log cannot be read.
    pub async fn control(&self) -> Result<ControlLedger, CtlFault> {
        self.fold(CONTROL_STREAM).await
    }

    /// Appends a control record and reads back what became of it.
    async fn publish(
        &self,
        record: ControlRecord,
    ) -> Result<(u64, ControlLedger), CtlFault> {
        let records = [record.encode()];
        let offset = self.log.append(CONTROL_STREAM, &records).await?;
        let ledger = self.control().await?;
        match ledger.refusal(offset) {
            Some(reason) => RefusedSnafu { reason: reason.to_owned() }.fail(),
            None => Ok((offset, ledger)),
        }
    }

    /// Makes a declaration the configuration in force.
    ///
    /// # Errors
    ///
    /// `Refused` if another change came first or the declaration contradicts
    /// what is in force.
    pub async fn apply(
        &self,
        declaration: &Declaration,
        who: &str,
        why: &str,
    ) -> Result<PublishedChange, CtlFault> {
        let current = self.control().await?;
        self.apply_from(&current, declaration, who, why).await
    }

    /// Like [`CtlClient::apply`], from a state that was read earlier.
    ///
    /// # Errors
    ///
    /// As [`CtlClient::apply`].
    pub async fn apply_from(
        &self,
        current: &ControlLedger,
        declaration: &Declaration,
        who: &str,
        why: &str,
    ) -> Result<PublishedChange, CtlFault> {
        let (set, remove) =
            diff_documents(&current.documents, &declaration.documents);
        let documents = set.len() + remove.len();
        let number = current.revision.number;
        if documents == 0 && number > 0 {
            return Ok(PublishedChange { number, documents });
        }
        let first = current.preset.is_empty();
        let preset = declaration.initial_preset().filter(|_| first);
        let record = ControlRecord::Change(ChangeRecord {
            parent: number,
            who: who.to_owned(),
            why: why.to_owned(),
            set,
            remove,
            preset,
        });
        let (offset, _) = self.publish(record).await?;
        Ok(PublishedChange { number: offset + 1, documents })
    }

    /// Switches the preset.
    ///
    /// # Errors
    ///
    /// `Refused` if the preset is not declared or another change came first.
    pub async fn switch_preset(
        &self,
        preset: &str,
        who: &str,
        why: &str,
    ) -> Result<PublishedChange, CtlFault> {
        let current = self.control().await?;
        let record = ControlRecord::Change(ChangeRecord {
            parent: current.revision.number,
            who: who.to_owned(),
            why: why.to_owned(),
            set: BTreeMap::new(),
            remove: Vec::new(),
            preset: Some(preset.to_owned()),
        });
        let (offset, _) = self.publish(record).await?;
        Ok(PublishedChange { number: offset + 1, documents: 0 })
    }

    /// Starts a version move.
    ///
    /// # Errors
    ///
    /// `Refused` if a move of the service is in progress or the versions do
    /// not fit.
    pub async fn start_move(
        &self,
        request: &MoveRequest<'_>,
    ) -> Result<PublishedChange, CtlFault> {
        let record = MoveRecord::Start(MoveStartRecord {
            service: request.service.to_owned(),
            from: request.from.to_owned(),
            to: request.to.to_owned(),
            deadline_ms: request.deadline_ms,
            who: request.who.to_owned(),
        });
        let (offset, _) = self.publish(ControlRecord::Move(record)).await?;
        Ok(PublishedChange { number: offset, documents: 0 })
    }

    /// Takes the newest move of a service back.
    ///
    /// # Errors
    ///
    /// `Unknown` if there is none, `Refused` if it is undone already.
    pub async fn undo_move(
        &self,
        service: &str,
        who: &str,
        why: &str,
    ) -> Result<PublishedChange, CtlFault> {
        let current = self.control().await?;
        let latest = current.latest_move(service);
        let reason = format!("no move of {service} can be undone");
        let (id, _) = latest.context(UnknownSnafu { reason })?;
        let record = MoveRecord::Undo(MoveUndoRecord {
            id,
            who: who.to_owned(),
            why: why.to_owned(),
        });
        self.publish(ControlRecord::Move(record)).await?;
        Ok(PublishedChange { number: id, documents: 0 })
    }

    /// Adds tokens to a budget; a repetition with the same `id` adds none.
    ///
    /// # Errors
    ///
    /// `Unknown` if the budget is not declared. After a `Lost` answer of the
    /// log the same command with the same `id` may be repeated.
    pub async fn top_up(
        &self,
        budget: &str,
        tokens: u64,
        id: &str,
        who: &str,
    ) -> Result<BudgetRow, CtlFault> {
        let control = self.control().await?;
        let declared = declared_budgets(&control);
        if !declared.iter().any(|name| name.as_str() == budget) {
            let reason = format!("budget {budget:?} is not declared");
            return UnknownSnafu { reason }.fail();
        }
        let record = AccountRecord::TopUp(TopUpRecord {
            budget: budget.to_owned(),
            id: id.to_owned(),
            tokens,
            who: who.to_owned(),
        });
        let partition = partition_of(account_of(budget), self.partitions);
        let stream = partition_stream(partition);
        self.log.append(&stream, &[record.encode()]).await?;
        let ledger: AccountLedger = self.fold(&stream).await?;
        Ok(BudgetRow::new(budget, &ledger))
    }

    /// The balances of all declared budgets, or of one account.
    ///
    /// # Errors
    ///
    /// `Log` if the log cannot be read.
    pub async fn budgets(
        &self,
        account: Option<&str>,
    ) -> Result<Vec<BudgetRow>, CtlFault> {
        let control = self.control().await?;
        let mut ledgers: BTreeMap<String, AccountLedger> = BTreeMap::new();
        let mut rows = Vec::new();
        for budget in declared_budgets(&control) {
            if account.is_some_and(|account| account != budget.account()) {
                continue;
            }
            let partition = partition_of(budget.account(), self.partitions);
            let stream = partition_stream(partition);
            if !ledgers.contains_key(&stream) {
                let ledger = self.fold(&stream).await?;
                ledgers.insert(stream.clone(), ledger);
            }
            rows.push(BudgetRow::new(budget.as_str(), &ledgers[&stream]));
        }
        Ok(rows)
    }

    /// The audit lines that the log still keeps, of all accounts or of one.
    ///
    /// # Errors
    ///
    /// `Log` if the log cannot be read.
    pub async fn bills(
        &self,
        account: Option<&str>,
    ) -> Result<Vec<BillLine>, CtlFault> {
        let streams = bill_streams().into_iter();
        let mut cursors: LogCursors = streams.map(|name| (name, 0)).collect();
        let mut lines = Vec::new();
        loop {
            let slices = self.log.read(&cursors, Duration::ZERO).await?;
            if slices.is_empty() {
                return Ok(lines);
            }
            for (stream, slice) in slices {
                for record in &slice.records {
                    cursors.insert(stream.clone(), record.offset + 1);
                    let line = serde_json::from_str(&record.payload);
                    let Ok(line): Result<BillLine, _> = line else {
                        continue;
                    };
                    let owner = account_of(&line.budget);
                    if account.is_none_or(|account| account == owner) {
                        lines.push(line);
                    }
                }
            }
        }
    }

    /// The platform's list of VMs.
    ///
    /// # Errors
    ///
    /// `Log` if the list cannot be read.
    pub async fn vms(&self) -> Result<VmList, CtlFault> {
        Ok(self.vm_list.watch(0, Duration::ZERO).await?)
    }

    /// The state of every router on the list.
    ///
    /// # Errors
    ///
    /// `Log` if the list cannot be read. A router that does not answer has
    /// a row that says so.
    pub async fn routers(&self) -> Result<Vec<RouterRow>, CtlFault> {
        let list = self.vms().await?;
        Ok(self.routers_of(&list).await)
    }

    /// The state of every router on a list of VMs.
    pub async fn routers_of(&self, list: &VmList) -> Vec<RouterRow> {
        let mut rows = Vec::new();
        for (vm, entry) in &list.vms {
            if entry.role != VmRole::Entry {
                continue;
            }
            let status = self.router_status(entry).await;
            rows.push(RouterRow { vm: vm.clone(), status });
        }
        rows
    }

    fn router_status<'a>(
        &'a self,
        entry: &'a VmEntry,
    ) -> PortFuture<'a, Option<Value>> {
        Box::pin(async move {
            let address = entry.operator_address?;
            let reply = self.http.get(address, "/v1/status", ROUTER_TIME);
            let (_, body) = reply.await.ok()?;
            serde_json::from_slice(&body).ok()
        })
    }

    /// Tells the router on a VM to leave.
    ///
    /// # Errors
    ///
    /// `Unknown` if the VM is not on the list or does not answer.
    pub async fn leave(&self, vm: &str) -> Result<(), CtlFault> {
        let list = self.vms().await?;
        let address = list.vms.get(vm).and_then(|e| e.operator_address);
        let reason = format!("{vm} is not an entry VM on the list");
        let address = address.context(UnknownSnafu { reason })?;
        let body = serde_json::json!({});
        let post =
            self.http.post_json(address, "/v1/leave", &body, ROUTER_TIME);
        let posted = post.await.ok();
        let reason = format!("the router on {vm} does not answer");
        posted.context(UnknownSnafu { reason })?;
        Ok(())
    }

    /// Waits until every router that answers has a revision in force.
    ///
    /// Returns the rows of the routers that do not have it after `time`.
    ///
    /// # Errors
    ///
    /// `Log` if the list of VMs cannot be read.
    pub async fn wait_in_force(
        &self,
        number: u64,
        time: Duration,
    ) -> Result<Vec<RouterRow>, CtlFault> {
        let deadline = Instant::now() + time;
        loop {
            let mut rows = self.routers().await?;
            rows.retain(|row| row.revision() < Some(number));
            if rows.is_empty() || Instant::now() >= deadline {
                return Ok(rows);
            }
            monoio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

fn declared_budgets(control: &ControlLedger) -> Vec<BudgetName> {
    let mut names = Vec::new();
    for (path, document) in &control.documents {
        let Document::Account(account) = document else {
            continue;
        };
        let name = path.strip_prefix("account/").unwrap_or(path);
        for budget in account.budgets.keys() {
            names.push(BudgetName::new(name, budget));
        }
    }
    names
}
