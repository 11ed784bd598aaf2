//! The declarations of routes and services.

use std::time::Duration;

/// How a request may be retried after its response is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The request is idempotent and may be sent again.
    Idempotent,
    /// The request must not be executed more than once.
    AtMostOnce,
    /// The response is a stream of server-sent events.
    Stream {
        /// Whether another upstream may continue the stream.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a request may be sent again after an upstream may
    /// have executed it.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::catalog::CallKind;
    ///
    /// assert!(CallKind::Stream { resumable: true }.is_retryable());
    /// assert!(!CallKind::Stream { resumable: false }.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        match self {
            CallKind::Idempotent => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream { resumable } => resumable,
        }
    }

    /// Returns the name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Idempotent => "repeatable",
            CallKind::AtMostOnce => "once",
            CallKind::Stream { resumable: true } => "resumable_stream",
            CallKind::Stream { resumable: false } => "stream",
        }
    }

    /// Returns whether the response is a stream of server-sent events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: String,
    /// Its share of the requests, relative to the other targets' weights.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// The name of the route.
    pub name: String,
    /// The host name that requests are addressed to.
    pub host: String,
    /// The path prefix of the route, which starts and ends with a slash.
    pub prefix: String,
    /// How requests may be retried.
    pub kind: CallKind,
    /// The maximum time until the complete response.
    pub timeout: Duration,
    /// The target time to the response or, for a stream, to its first event.
    pub latency_objective: Duration,
    /// The target for the longest pause between two events of a stream.
    pub gap_objective: Duration,
    /// The priority of the requests, where 0 is the most urgent.
    pub priority: u8,
    /// The services that receive the requests.
    pub targets: Vec<RouteTarget>,
    /// The maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Whether requests have parts of their prompts in common.
    pub shares_prompts: bool,
}

impl RouteSpec {
    /// Returns the service that receives a request, or `None` if no target
    /// has a weight above zero.
    ///
    /// The choice depends only on a hash of the request ID, so that all
    /// routers split the traffic in the same way.
    pub fn service_for(&self, request_id: &str) -> Option<&str> {
        let total: u64 =
            self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return None;
        }
        let hash = xxhash_rust::xxh3::xxh3_64(request_id.as_bytes());
        let mut point = hash % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

/// The capacity of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// The maximum number of tokens in one event of a stream.
    pub max_event_tokens: u64,
}

/// A service and the capacity of its upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: String,
    /// The maximum number of connections to one upstream, summed over all
    /// routers.
    pub max_connections: u32,
    /// The capacity of its model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
