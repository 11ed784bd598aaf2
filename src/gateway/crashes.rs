//! Probes of upstreams whose connections broke.
//!
//! A refused connection tells a crash from an answer that was lost. The
//! requests that one upstream was serving share one probe.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use crate::routing::AssignedUpstream;

/// Time for which the verdict of a probe holds. An upstream that crashed may
/// accept connections again after it.
const VERDICT_LIFETIME: Duration = Duration::from_millis(300);

/// Longest time of a probe that was given up.
const PROBE_LIFETIME: Duration = Duration::from_secs(2);

/// The verdict of a probe, which several requests wait for.
#[derive(Clone, Default)]
pub(super) struct CrashVerdict {
    has_crashed: Rc<Cell<Option<bool>>>,
    decided: Rc<Notify>,
}

impl CrashVerdict {
    /// Waits for the verdict.
    pub(super) async fn wait(&self) -> bool {
        loop {
            let decided = self.decided.notified();
            if let Some(has_crashed) = self.has_crashed.get() {
                return has_crashed;
            }
            decided.await;
        }
    }

    /// Sets the verdict and wakes all that wait for it.
    pub(super) fn set(&self, has_crashed: bool) {
        self.has_crashed.set(Some(has_crashed));
        self.decided.notify_waiters();
    }
}

/// How a request takes part in the probe of its upstream.
pub(super) enum JoinedProbe {
    /// The request has to start the probe.
    New(CrashVerdict),
    /// The probe is under way.
    Pending(CrashVerdict),
    /// The verdict is known.
    Decided(bool),
}

/// A probe that has come to its end.
pub(super) struct DecidedProbe {
    /// Parts of the requests that the upstream was serving.
    pub(super) lost: Vec<String>,
    /// The verdict to set.
    pub(super) verdict: CrashVerdict,
}

/// The probe of one upstream.
struct CrashProbe {
    started_at: Instant,
    /// When the probe ended, and whether the upstream has crashed.
    ended: Option<(Instant, bool)>,
    lost: BTreeSet<String>,
    verdict: CrashVerdict,
}

impl CrashProbe {
    fn new(now: Instant) -> CrashProbe {
        CrashProbe {
            started_at: now,
            ended: None,
            lost: BTreeSet::new(),
            verdict: CrashVerdict::default(),
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let (since, lifetime) = match self.ended {
            Some((ended_at, _)) => (ended_at, VERDICT_LIFETIME),
            None => (self.started_at, PROBE_LIFETIME),
        };
        now.saturating_duration_since(since) > lifetime
    }
}

/// The probes of all upstreams.
#[derive(Default)]
pub(super) struct CrashProbes {
    probes: BTreeMap<String, CrashProbe>,
}

impl CrashProbes {
    /// Creates the probes without any.
    pub(super) fn new() -> CrashProbes {
        CrashProbes::default()
    }

    /// Joins the probe of an upstream with the parts `lost` of a request.
    pub(super) fn join(
        &mut self,
        upstream: &AssignedUpstream,
        lost: &[String],
        now: Instant,
    ) -> JoinedProbe {
        self.probes.retain(|_, probe| !probe.is_expired(now));
        let is_new = !self.probes.contains_key(&upstream.vm);
        let probe = self.probes.entry(upstream.vm.clone());
        let probe = probe.or_insert_with(|| CrashProbe::new(now));
        if let Some((_, has_crashed)) = probe.ended {
            return JoinedProbe::Decided(has_crashed);
        }
        probe.lost.extend(lost.iter().cloned());
        let verdict = probe.verdict.clone();
        match is_new {
            true => JoinedProbe::New(verdict),
            false => JoinedProbe::Pending(verdict),
        }
    }

    /// Ends the probe of an upstream; returns `None` if it was given up.
    pub(super) fn decide(
        &mut self,
        upstream: &str,
        has_crashed: bool,
    ) -> Option<DecidedProbe> {
        let probe = self.probes.get_mut(upstream)?;
        probe.ended = Some((Instant::now(), has_crashed));
        let lost = std::mem::take(&mut probe.lost).into_iter().collect();
        Some(DecidedProbe { lost, verdict: probe.verdict.clone() })
    }
}
