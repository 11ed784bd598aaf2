//! What may be done with the requests of a route.

use std::time::Duration;

/// What a request allows if its answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The request is idempotent and may be sent again.
    Idempotent,
    /// The request runs once at most.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Whether the stream may go on at another upstream.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a request that may have run may be sent again.
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

    /// The name of the kind in metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Idempotent => "repeatable",
            CallKind::AtMostOnce => "once",
            CallKind::Stream { resumable: true } => "resumable_stream",
            CallKind::Stream { resumable: false } => "stream",
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: String,
    /// Its part of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// The name of the route.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// How paths of the route begin; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting for a whole answer.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers hope for.
    pub latency_objective: Duration,
    /// Longest pause between two events that callers hope for.
    pub gap_objective: Duration,
    /// How urgent the requests are, 0 first.
    pub priority: u8,
    /// The services that take the requests.
    pub targets: Vec<RouteTarget>,
    /// Most upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether requests share parts of their prompts.
    pub shares_prompts: bool,
}

impl RouteSpec {
    /// The service that takes a request.
    ///
    /// The choice depends on the request's identity alone, so that all
    /// routers split the traffic alike. `None` if no target has a weight.
    pub fn service_for(&self, request_id: &str) -> Option<&str> {
        let total: u64 =
            self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return None;
        }
        let hash = xxhash_rust::xxh3::xxh3_64(request_id.as_bytes());
        let mut place = hash % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(&target.service);
            }
            place -= weight;
        }
        None
    }
}

/// What a model engine can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Most tokens in one event of a stream.
    pub max_event_tokens: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: String,
    /// Connections that one upstream accepts from all routers together.
    pub max_connections: u32,
    /// What its engines can carry; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
