//! Why a call to a peer failed.

use {
    snafu::Snafu,
    tonic::{Code, Status},
};

use crate::ports::PeerFault;

/// Why a call to a peer failed.
///
/// The kinds tell a connection that carries nothing any more from a peer that
/// is slow, down or busy.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub(super) enum CallFault {
    /// The call timed out on an open connection that received nothing at all
    /// meanwhile.
    #[snafu(display("timed out, nothing received"))]
    Silent,
    /// The call timed out while the connection received something else.
    #[snafu(display("timed out"))]
    Late,
    /// The call timed out before the connection was open.
    #[snafu(display("timed out, no connection"))]
    Unopened,
    /// The connection was refused or has broken.
    #[snafu(display("connection lost: {reason}"))]
    Broken {
        /// The error of the connection.
        reason: String,
    },
    /// The peer has answered with an error.
    #[snafu(display("rejected: {reason}"))]
    Rejected {
        /// The error.
        reason: String,
    },
}

impl CallFault {
    /// Returns the name of the kind, for metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            CallFault::Silent => "silent",
            CallFault::Late => "late",
            CallFault::Unopened => "unopened",
            CallFault::Broken { .. } => "broken",
            CallFault::Rejected { .. } => "rejected",
        }
    }
}

impl From<Status> for CallFault {
    fn from(status: Status) -> CallFault {
        let reason = status.message().to_owned();
        let has_source = std::error::Error::source(&status).is_some();
        let is_own = has_source || status.code() == Code::Unknown;
        match is_own {
            true => CallFault::Broken { reason },
            false => CallFault::Rejected { reason },
        }
    }
}

impl From<CallFault> for PeerFault {
    fn from(fault: CallFault) -> PeerFault {
        PeerFault::Unreachable { reason: fault.to_string() }
    }
}
