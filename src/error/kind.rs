//! Error kinds, the answer table and the error value that carries a kind.

use std::{fmt, time::Duration};

use serde::Serialize;

/// Whether a request that ended in an error was executed by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionStatus {
    /// No byte of the request left for an upstream.
    No,
    /// The upstream executed the request.
    Yes,
    /// The request left for an upstream and its fate cannot be told.
    Unknown,
}

/// One row of the table from error kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed.
    pub execution: ExecutionStatus,
    /// Seconds after which a retry makes sense; `None` if it never does.
    pub retry_after_s: Option<u32>,
}

macro_rules! error_kinds {
    ($($kind:ident, $code:literal, $status:literal, $execution:ident, $retry:expr,
       $doc:literal;)*) => {
        /// The closed list of reasons for which a request is not answered
        /// normally.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ErrorKind {
            $(#[doc = $doc] $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in table order.
            pub const ALL: &'static [ErrorKind] =
                &[$(ErrorKind::$kind,)*];

            /// The name of this kind in answers, logs and metrics.
            ///
            /// # Example
            ///
            /// ```
            /// use magnoliahaven::ErrorKind;
            ///
            /// assert_eq!(ErrorKind::Overloaded.code(), "overloaded");
            /// ```
            pub fn code(self) -> &'static str {
                match self {
                    $(ErrorKind::$kind => $code,)*
                }
            }

            /// The answer that a caller receives for this kind.
            ///
            /// # Example
            ///
            /// ```
            /// use magnoliahaven::{ErrorKind, ExecutionStatus};
            ///
            /// let response = ErrorKind::OutcomeUnknown.response();
            /// assert_eq!(response.execution, ExecutionStatus::Unknown);
            /// ```
            pub fn response(self) -> ErrorResponse {
                match self {
                    $(ErrorKind::$kind => ErrorResponse {
                        status: $status,
                        execution: ExecutionStatus::$execution,
                        retry_after_s: $retry,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    BadRequest, "bad_request", 400, No, None,
        "The request is malformed.";
    MissingIdempotencyKey, "missing_idempotency_key", 400, No, None,
        "A non-idempotent call came without an idempotency key.";
    MissingCredentials, "missing_credentials", 401, No, None,
        "The request has no `Authorization: Bearer` header.";
    UnknownCredentials, "unknown_credentials", 401, No, None,
        "The key belongs to no client account in force.";
    BudgetExhausted, "budget_exhausted", 402, No, Some(30),
        "The prepaid budget cannot cover the ceiling of this request.";
    UnknownPath, "unknown_path", 404, No, None,
        "The path names no endpoint.";
    UnknownService, "unknown_service", 404, No, None,
        "The model or service is not declared.";
    MethodNotAllowed, "method_not_allowed", 405, No, None,
        "The endpoint does not take this method.";
    RequestTimeout, "request_timeout", 408, No, None,
        "The request did not arrive in full within its time limit.";
    CallInProgress, "call_in_progress", 409, Unknown, Some(1),
        "A call with the same idempotency key has not ended yet.";
    BodyTooLarge, "body_too_large", 413, No, None,
        "The body is larger than the limit.";
    KeyReused, "key_reused", 422, No, None,
        "The idempotency key was used for a different request.";
    AccountLimit, "account_limit", 429, No, Some(1),
        "The client account has its share of concurrent requests in use.";
    HeadTooLarge, "head_too_large", 431, No, None,
        "The request head is larger than the limit.";
    UpstreamFailed, "upstream_failed", 502, Unknown, Some(1),
        "The upstream failed after the request had left for it.";
    OutcomeUnknown, "outcome_unknown", 502, Unknown, None,
        "A non-idempotent call was sent and its answer was lost.";
    NoUpstream, "no_upstream", 503, No, Some(2),
        "No live upstream serves the model or service.";
    Overloaded, "overloaded", 503, No, Some(1),
        "All upstreams are at their limit and the queue wait ran out.";
    LogUnavailable, "log_unavailable", 503, No, Some(5),
        "The call needs the log service, which cannot be reached.";
    BudgetUnavailable, "budget_unavailable", 503, No, Some(1),
        "Spending rights cannot be obtained at the moment.";
    NotReady, "not_ready", 503, No, Some(1),
        "The router has no configuration in force yet.";
    Leaving, "leaving", 503, No, Some(1),
        "The router no longer accepts requests.";
    UpstreamTimeout, "upstream_timeout", 504, Unknown, Some(1),
        "The upstream did not answer in time.";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// An error kind with a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Why the request was not answered normally.
    pub kind: ErrorKind,
    /// One sentence that names the offending value or the next step.
    pub message: String,
    /// A better estimate than the table's `Retry-After`.
    pub retry_delay: Option<Duration>,
}

impl CallError {
    /// Creates an error of `kind` with a message.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> CallError {
        CallError { kind, message: message.into(), retry_delay: None }
    }

    /// Replaces the table's `Retry-After` by `delay`.
    pub fn with_retry_delay(mut self, delay: Duration) -> CallError {
        self.retry_delay = Some(delay);
        self
    }

    /// Time after which a retry makes sense.
    pub fn retry_delay(&self) -> Option<Duration> {
        let table = self.kind.response().retry_after_s;
        let table = table.map(|s| Duration::from_secs(u64::from(s)));
        self.retry_delay.or(table)
    }

    /// Whole seconds after which a retry makes sense.
    pub fn retry_after(&self) -> Option<u32> {
        let wait = self.retry_delay()?;
        Some(wait.as_secs_f64().ceil().max(1.0) as u32)
    }

    /// The JSON body of the answer.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::{CallError, ErrorKind};
    ///
    /// let error = CallError::new(ErrorKind::NotReady, "no revision");
    /// assert_eq!(error.to_json()["error"]["ran"], "no");
    /// ```
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({"error": {
            "kind": self.kind.code(),
            "message": self.message,
            "ran": self.kind.response().execution,
            "retry_after_s": self.retry_after(),
        }})
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for CallError {}
