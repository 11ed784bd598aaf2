//! How long a call may take, and what its silence means.

use std::time::Duration;

use crate::ports::PeerCall;

/// Timeout of a call to a peer that is sent once.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a call that is sent again if its connection is silent.
const REPEATED_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call that a router makes when it gets no answers from the
/// platform. The cause may be congestion of its own link, on which answers
/// are late.
const CONGESTED_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a call whose answer is large.
const LARGE_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallLimits {
    /// Longest time until the answer.
    pub(super) timeout: Duration,
    /// Longest time until the connection is open.
    pub(super) open_timeout: Duration,
    /// Time without a byte from the peer after which its connection is taken
    /// to be silent; `None` if the answer depends on more than the peer.
    pub(super) silence: Option<Duration>,
    /// Whether the call is sent again on the connection that replaces a
    /// silent one.
    pub(super) is_repeated: bool,
}

impl CallLimits {
    /// Returns the limits of a call.
    pub(super) fn of(call: &PeerCall) -> CallLimits {
        let limits = CallLimits {
            timeout: REPEATED_CALL_TIMEOUT,
            open_timeout: CALL_TIMEOUT,
            silence: Some(CALL_TIMEOUT),
            is_repeated: true,
        };
        match call {
            PeerCall::Declared { text_after: Some(_), .. } => CallLimits {
                timeout: LARGE_ANSWER_TIMEOUT,
                open_timeout: LARGE_ANSWER_TIMEOUT,
                silence: Some(CONGESTED_CALL_TIMEOUT),
                ..limits
            },
            PeerCall::Declared { text_after: None, .. }
            | PeerCall::Departures => CallLimits {
                timeout: CONGESTED_CALL_TIMEOUT,
                open_timeout: CONGESTED_CALL_TIMEOUT,
                ..limits
            },
            // A borrower cancels a loan whose call has failed, and the number
            // of a loan of a grant does not make the call idempotent. A probe
            // that fails is followed by indirect ones.
            PeerCall::Lend(_) | PeerCall::Ping(_) => CallLimits {
                timeout: CALL_TIMEOUT,
                is_repeated: false,
                ..limits
            },
            // The answer waits for a third router.
            PeerCall::PingOther { .. } => CallLimits {
                timeout: CALL_TIMEOUT,
                silence: None,
                is_repeated: false,
                ..limits
            },
            PeerCall::Relay(_)
            | PeerCall::CatchUp(_)
            | PeerCall::Evidence(_)
            | PeerCall::Parts(_)
            | PeerCall::Limits(_)
            | PeerCall::Allowances(_)
            | PeerCall::Claim(_) => limits,
        }
    }
}
