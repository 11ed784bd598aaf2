//! Error kinds, their HTTP responses and the error type that carries a kind.

use std::{fmt, time::Duration};

use serde::Serialize;

/// Whether an upstream executed a request that ended in an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionStatus {
    /// No byte of the request was sent to an upstream.
    No,
    /// The upstream executed the request.
    Yes,
    /// The request was sent to an upstream and its outcome is unknown.
    Unknown,
}

/// The properties of the response to a request that failed with a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The HTTP status code.
    pub status: u16,
    /// Whether an upstream executed the request.
    pub execution: ExecutionStatus,
    /// The delay before a retry in seconds; `None` if a retry is pointless.
    pub retry_after_s: Option<u32>,
}

macro_rules! error_kinds {
    ($($kind:ident, $code:literal, $status:literal, $execution:ident,
       $retry:expr, $doc:literal;)*) => {
        /// The reasons for which a request can fail.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ErrorKind {
            $(#[doc = $doc] $kind,)*
        }

        impl ErrorKind {
            /// All kinds in the order of their declaration.
            pub const ALL: &'static [ErrorKind] =
                &[$(ErrorKind::$kind,)*];

            /// Returns the name of the kind in responses, logs and metrics.
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

            /// Returns the properties of the response for this kind.
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
        "A non-idempotent request has no idempotency key.";
    MissingCredentials, "missing_credentials", 401, No, None,
        "The request has no `Authorization: Bearer` header.";
    UnknownCredentials, "unknown_credentials", 401, No, None,
        "The key belongs to no client account of the current configuration.";
    BudgetExhausted, "budget_exhausted", 402, No, Some(30),
        "The prepaid budget does not cover the maximum cost of the request.";
    UnknownPath, "unknown_path", 404, No, None,
        "There is no endpoint at the path.";
    UnknownService, "unknown_service", 404, No, None,
        "The model or service is not declared.";
    MethodNotAllowed, "method_not_allowed", 405, No, None,
        "The endpoint does not support the method.";
    RequestTimeout, "request_timeout", 408, No, None,
        "The request did not arrive completely within the timeout.";
    CallInProgress, "call_in_progress", 409, Unknown, Some(1),
        "A request with the same idempotency key is still in progress.";
    BodyTooLarge, "body_too_large", 413, No, None,
        "The body is larger than the limit.";
    KeyReused, "key_reused", 422, No, None,
        "The idempotency key was used for a different request.";
    AccountLimit, "account_limit", 429, No, Some(1),
        "The client account has reached its limit of concurrent requests.";
    HeadTooLarge, "head_too_large", 431, No, None,
        "The request head is larger than the limit.";
    UpstreamFailed, "upstream_failed", 502, Unknown, Some(1),
        "The upstream failed after the request had been sent to it.";
    OutcomeUnknown, "outcome_unknown", 502, Unknown, None,
        "A non-idempotent request was sent and its response was lost.";
    NoUpstream, "no_upstream", 503, No, Some(2),
        "No live upstream serves the model or service.";
    Overloaded, "overloaded", 503, No, Some(1),
        "All upstreams are at capacity and the wait in the queue timed out.";
    OutOfMemory, "out_of_memory", 503, No, Some(1),
        "The requests in progress hold all memory for requests.";
    LogUnavailable, "log_unavailable", 503, No, Some(5),
        "The request needs the log service, which is unreachable.";
    BudgetUnavailable, "budget_unavailable", 503, No, Some(1),
        "The router cannot obtain tokens of the budget at the moment.";
    Quarantined, "quarantined", 503, No, Some(60),
        "Requests with a part of the prompt crash upstreams.";
    NotReady, "not_ready", 503, No, Some(1),
        "The router has not loaded a configuration yet.";
    Leaving, "leaving", 503, No, Some(1),
        "The router is shutting down and no longer accepts requests.";
    UpstreamTimeout, "upstream_timeout", 504, Unknown, Some(1),
        "The upstream did not respond in time.";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// An error kind with a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    /// The reason for the failure.
    pub kind: ErrorKind,
    /// One sentence that names the invalid value or the next step.
    pub message: String,
    /// The delay before a retry, if it is better known than by the default
    /// of the kind.
    pub retry_delay: Option<Duration>,
}

impl CallError {
    /// Creates an error with the retry delay of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> CallError {
        CallError { kind, message: message.into(), retry_delay: None }
    }

    /// Sets a retry delay that overrides the default of the kind.
    pub fn with_retry_delay(mut self, delay: Duration) -> CallError {
        self.retry_delay = Some(delay);
        self
    }

    /// Returns the delay before a retry; `None` if a retry is pointless.
    pub fn retry_delay(&self) -> Option<Duration> {
        let default = self.kind.response().retry_after_s;
        let default = default.map(|s| Duration::from_secs(u64::from(s)));
        self.retry_delay.or(default)
    }

    /// Returns the value of the `Retry-After` header in whole seconds, at
    /// least 1.
    pub fn retry_after(&self) -> Option<u32> {
        let delay = self.retry_delay()?;
        Some(delay.as_secs_f64().ceil().max(1.0) as u32)
    }

    /// Returns the JSON body of the response.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::{CallError, ErrorKind};
    ///
    /// let error = CallError::new(ErrorKind::NotReady, "no configuration");
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
