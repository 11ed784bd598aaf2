//! The closed list of log lines.

use std::{collections::BTreeSet, fmt};

use {
    serde_json::{Map, Value},
    snafu::{OptionExt, ResultExt, Snafu, ensure},
};

/// Fields that every line has beside those of its event.
pub const COMMON_FIELDS: [&str; 6] =
    ["time_ms", "level", "vm", "target", "message", "event"];

/// Defines the events with their names and the fields that each line has.
macro_rules! log_events {
    ($($(#[doc = $doc:literal])* $event:ident = $name:literal
       [$($field:literal),* $(,)?];)*) => {
        /// What a log line tells.
        ///
        /// The name of the event is the field `event` of the line.
        ///
        /// # Example
        ///
        /// ```
        /// use magnoliahaven::telemetry::LogEvent;
        ///
        /// let event = LogEvent::TokensLent;
        /// assert_eq!(event.name(), "tokens_lent");
        /// assert_eq!(event.fields(), ["account", "tokens", "peer"]);
        /// ```
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum LogEvent {
            $($(#[doc = $doc])* $event,)*
        }

        impl LogEvent {
            /// All events.
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$event),*];

            /// The name in the field `event`.
            pub fn name(self) -> &'static str {
                match self { $(LogEvent::$event => $name,)* }
            }

            /// The fields that each line of the event has.
            pub fn fields(self) -> &'static [&'static str] {
                match self { $(LogEvent::$event => &[$($field),*],)* }
            }
        }
    };
}

log_events! {
    /// The process serves callers.
    ProcessStarted = "process_started" ["address"];
    /// The process could not start.
    StartFailed = "start_failed" ["fault"];
    /// A signal to read the settings again has arrived.
    ProcessReload = "process_reload" [];
    /// The process was told to leave.
    ProcessLeaving = "process_leaving" [];
    /// An operator asked a second time to leave.
    LeaveRepeated = "leave_repeated" ["in_progress", "portions"];
    /// The process ends.
    ProcessEnded = "process_ended" ["cut", "settled"];
    /// A task panicked. It ended alone, or starts again.
    TaskPanicked = "task_panicked" ["task", "fault"];
    /// A thread of the process does not work any more.
    ThreadLost = "thread_lost" ["fault"];
    /// A connection could not be accepted.
    AcceptFailed = "accept_failed" ["fault"];
    /// The bytes of a request or of an answer are not a valid message.
    MessageMalformed = "message_malformed" ["kind", "fault"];
    /// A message was refused before it was a request of an account.
    RequestRefused = "request_refused" [
        "request_id", "kind", "catalog", "catalog_age_ms",
    ];
    /// A request was refused or given up.
    RequestFailed = "request_failed" ["request_id", "kind", "retry_ms"];
    /// A request is over.
    RequestEnded = "request_ended" [
        "request_id", "account", "route", "catalog", "catalog_age_ms",
        "upstream", "sends", "events", "tokens_ms", "list_age_ms", "sent_ms",
        "answered_ms", "took_ms", "limit_ms", "reserved_tokens",
        "charged_tokens", "outcome",
    ];
    /// An upstream did not serve a request.
    AttemptFailed = "attempt_failed" ["request_id", "upstream"];
    /// An upstream was lost before the first event of an answer, on a request
    /// with these parts in its prompt.
    PartsSuspected = "parts_suspected" ["request_id", "upstream", "parts"];
    /// Parts that were suspected have been answered.
    PartsCleared = "parts_cleared" ["request_id", "parts"];
    /// Requests with the part are rejected for a time, because they crash
    /// upstreams.
    PartQuarantined = "part_quarantined" ["part", "for_ms", "from"];
    /// An answer to another request came first and was skipped.
    AnswerSkipped = "answer_skipped" ["request_id", "upstream"];
    /// An upstream is not used for a time.
    UpstreamEjected = "upstream_ejected" [
        "upstream", "service", "cause", "for_ms",
    ];
    /// An upstream has asked to be left alone for a time.
    UpstreamBackoff = "upstream_backoff" ["upstream", "service", "for_ms"];
    /// An upstream has named another limit of requests per second, or none
    /// any more. The limit is in requests per 1,000 s.
    UpstreamLimited = "upstream_limited" [
        "upstream", "limited", "per_kilosecond", "from",
    ];
    /// An upstream is used again.
    UpstreamReadmitted = "upstream_readmitted" ["upstream", "service"];
    /// Several upstreams gave no answer on kept connections at the same time;
    /// `closed` connections to upstreams that were idle for `idle_ms` or more
    /// were closed.
    ConnectionsClosed = "connections_closed" [
        "request_id", "upstream", "closed", "idle_ms",
    ];
    /// A registration came, changed or went.
    UpstreamChanged = "upstream_changed" ["upstream", "change"];
    /// A registration was removed; the upstream stays in use for a time, in
    /// case it comes back.
    UpstreamDoubted = "upstream_doubted" ["upstream", "for_ms"];
    /// An upstream whose registration was removed did not come back.
    UpstreamGone = "upstream_gone" ["upstream"];
    /// Another router says that an upstream has left, while this one cannot
    /// read the list.
    UpstreamDeparted = "upstream_departed" ["upstream", "peer"];
    /// A registration is older than the newest one known and is passed over.
    RegistrationOutdated = "registration_outdated" [
        "upstream", "known_started_ms", "known_sequence",
    ];
    /// A registration offers an upstream that has said that it leaves, and
    /// is passed over.
    RegistrationOverruled = "registration_overruled" [
        "upstream", "started_ms",
    ];
    /// An address belongs to another upstream now.
    UpstreamMisplaced = "upstream_misplaced" ["upstream"];
    /// A version of the declarations is in force.
    CatalogApplied = "catalog_applied" [
        "catalog", "routes", "source", "read_ms",
    ];
    /// Another router has confirmed the declarations that could not be read.
    CatalogConfirmed = "catalog_confirmed" ["catalog", "peer", "age_ms"];
    /// A read of the declarations has ended that returned records or failed.
    CatalogRead = "catalog_read" [
        "kind", "outcome", "records", "bytes", "took_ms",
    ];
    /// The text of the declarations was sent to another router.
    CatalogSent = "catalog_sent" ["catalog", "bytes"];
    /// The declarations may not be used any more: all requests are rejected.
    CatalogStale = "catalog_stale" ["catalog", "reason", "age_ms"];
    /// Stale declarations may be used again.
    CatalogUsable = "catalog_usable" ["catalog", "age_ms", "stale_ms"];
    /// Another router goes by newer declarations.
    CatalogOutdated = "catalog_outdated" [
        "catalog", "newer", "newer_for_ms", "peer",
    ];
    /// A revision of the configuration is in force.
    RevisionApplied = "revision_applied" ["revision", "who"];
    /// The list of entry VMs has changed.
    VmListChanged = "vm_list_changed" ["vms", "version", "doubted"];
    /// Another router does not answer calls. `silent_ms` after the connection
    /// to it received something last.
    PeerLost = "peer_lost" ["address", "call", "reason", "silent_ms"];
    /// It answers calls again.
    PeerRegained = "peer_regained" ["address", "lost_ms", "failed_calls"];
    /// A connection to another router that received nothing for `silent_ms`
    /// was replaced by a new one.
    LinkReplaced = "link_replaced" ["address", "silent_ms"];
    /// Another router is believed dead.
    PeerDead = "peer_dead" ["peer"];
    /// Tokens came from a peer.
    TokensBorrowed = "tokens_borrowed" ["account", "tokens", "peer"];
    /// Tokens went to a peer.
    TokensLent = "tokens_lent" ["account", "tokens", "peer"];
    /// A peer took back a loan whose answer it had missed.
    LoanReturned = "loan_returned" ["account", "tokens", "peer"];
    /// An earlier process on this VM ended with tokens that it had not spent
    /// by its last record.
    TokensLost = "tokens_lost" ["account", "tokens", "reserved"];
    /// The bill of a dead router was settled.
    BillRecovered = "bill_recovered" ["request_id", "account", "tokens"];
    /// A claim on tokens was not granted in full: others came first.
    ClaimCut = "claim_cut" ["account", "claimed", "granted"];
    /// The topic of tokens does not take this router's appends any more; it
    /// begins a new epoch.
    AppendFenced = "append_fenced" ["epoch", "number"];
    /// A leaving router could not write its last settlements.
    SettlementsUnsaved = "settlements_unsaved" [];
    /// A move to another version was ordered.
    MoveOrdered = "move_ordered" ["service", "to_version", "number", "for_ms"];
    /// A move to another version has come to its end. The evidence is that of
    /// the gateways whose reports have arrived here.
    MoveDecided = "move_decided" [
        "service", "to_version", "status", "from", "gateways", "evidence",
    ];
    /// This router sends nothing to a new version any more.
    VersionStopped = "version_stopped" ["move_id", "reason"];
    /// The platform's store was restored from a copy.
    StoreRestored = "store_restored" ["era"];
    /// Something that the process needs does not answer.
    DependencyLost = "dependency_lost" ["dependency", "fault", "silent_ms"];
    /// It answers again.
    DependencyRegained = "dependency_regained" ["dependency", "lost_ms"];
    /// A record is not understood and is passed over.
    RecordUnreadable = "record_unreadable" ["record", "fault"];
    /// Lines were not written: the reader was too slow (`memory`), or there
    /// were too many of one kind (`rate`).
    LinesDropped = "lines_dropped" ["dropped", "cause"];
}

impl fmt::Display for LogEvent {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.name())
    }
}

/// Why a line is not one of the list.
#[derive(Debug, Snafu)]
pub enum LineFault {
    /// The line is not a JSON object.
    #[snafu(display("not a JSON object: {source}"))]
    NotJson {
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// The line names no event of the list.
    #[snafu(display("unknown event {event:?}"))]
    UnknownEvent {
        /// What the line names; empty if it names none.
        event: String,
    },
    /// The line lacks fields of its event.
    #[snafu(display("{event} without {fields:?}"))]
    MissingFields {
        /// The event of the line.
        event: LogEvent,
        /// The fields.
        fields: Vec<String>,
    },
}

/// The event of a line, which has all fields of it.
///
/// # Errors
///
/// A [`LineFault`] for a line that is not one of the list.
pub fn check_line(line: &str) -> Result<LogEvent, LineFault> {
    let line: Map<String, Value> =
        serde_json::from_str(line).context(NotJsonSnafu)?;
    let name = line.get("event").and_then(Value::as_str).unwrap_or_default();
    let event = LogEvent::ALL.iter().find(|event| event.name() == name);
    let event = *event.context(UnknownEventSnafu { event: name })?;
    let wanted = event.fields().iter().chain(&COMMON_FIELDS);
    let missing: BTreeSet<&str> =
        wanted.copied().filter(|field| !line.contains_key(*field)).collect();
    let fields: Vec<String> = missing.into_iter().map(str::to_owned).collect();
    ensure!(fields.is_empty(), MissingFieldsSnafu { event, fields });
    Ok(event)
}
