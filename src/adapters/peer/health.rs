//! Whether a peer answers calls.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::fault::CallFault;
use crate::telemetry::LogEvent;

/// Calls to a peer that have failed since it answered last.
#[derive(Clone, Copy, Debug)]
struct CallLoss {
    since: Instant,
    failed_calls: u64,
}

/// Writes one line when a peer stops answering calls, and one when it answers
/// again.
#[derive(Debug)]
pub(super) struct PeerHealth {
    peer: SocketAddr,
    lost: Option<CallLoss>,
}

impl PeerHealth {
    /// Creates the health of a peer that answers.
    pub(super) fn new(peer: SocketAddr) -> PeerHealth {
        PeerHealth { peer, lost: None }
    }

    /// Records that a call was answered.
    pub(super) fn record_answer(&mut self) {
        let Some(loss) = self.lost.take() else {
            return;
        };
        log::info!(
            event:% = LogEvent::PeerRegained, address:% = self.peer,
            lost_ms = loss.since.elapsed().as_millis() as u64,
            failed_calls = loss.failed_calls;
            "router answers calls again"
        );
    }

    /// Records that a call with the name `call` has failed, `silence` after
    /// the connection received something last.
    pub(super) fn record_fault(
        &mut self,
        call: &'static str,
        fault: &CallFault,
        silence: Option<Duration>,
    ) {
        if let Some(loss) = &mut self.lost {
            loss.failed_calls += 1;
            return;
        }
        let since = Instant::now();
        self.lost = Some(CallLoss { since, failed_calls: 1 });
        log::info!(
            event:% = LogEvent::PeerLost, address:% = self.peer,
            call, reason = fault.name(),
            silent_ms = silence.unwrap_or_default().as_millis() as u64;
            "call to a router failed: {fault}"
        );
    }
}
