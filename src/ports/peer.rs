//! The other routers.

use std::{net::SocketAddr, time::Duration};

use snafu::Snafu;

use {
    super::PortFuture,
    crate::domain::{BillId, HolderId, PortionId},
};

/// Why a peer did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerFault {
    /// The peer cannot be reached or did not answer in time. It may have
    /// acted on the call all the same.
    #[snafu(display("peer unreachable: {reason}"))]
    Unreachable {
        /// The error of the connection.
        reason: String,
    },
}

/// A request for tokens of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LendRequest {
    /// The budget to draw on.
    pub budget: String,
    /// Who receives the tokens.
    pub to: HolderId,
    /// The least number of tokens that is of use.
    pub min_tokens: u64,
    /// The number of tokens asked for.
    pub wanted_tokens: u64,
    /// Numbers the loans of one borrower, so that a repeated call lends
    /// nothing more, and a loan whose answer was lost can be taken back.
    pub loan: u64,
}

/// Tokens moved from the holder of a grant to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LendReply {
    /// The portion that now belongs to the borrower.
    pub portion: PortionId,
    /// Its size in tokens.
    pub tokens: u64,
}

/// A bill that is not in the log yet, kept by a peer meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedBill {
    /// The full name of the budget.
    pub budget: String,
    /// Identity of the bill.
    pub bill: BillId,
    /// Identity of the request.
    pub request_id: String,
    /// Where the request runs.
    pub upstream: SocketAddr,
    /// The tokens used, once they are known.
    pub tokens: Option<u64>,
}

/// Bills of one holder for safe keeping.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayBatch {
    /// Who owes the settlement.
    pub holder: HolderId,
    /// The bills.
    pub bills: Vec<RelayedBill>,
}

/// Whether a member takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// The member answers.
    Alive,
    /// The member did not answer and has time to object.
    Suspect,
    /// The member finishes its work and takes nothing new.
    Leaving,
    /// The member is gone.
    Dead,
}

/// What is known of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The router.
    pub id: HolderId,
    /// Whether it takes part.
    pub status: MemberStatus,
    /// Raised by the member itself to object to a suspicion.
    pub version: u32,
    /// Whether it has no free slot left.
    pub full: bool,
}

/// A probe, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PingMessage {
    /// Changes that the receiver may not know.
    pub updates: Vec<MemberUpdate>,
    /// What the sender knows of the shared state.
    pub known: KnownState,
}

/// How new the shared state is that a router knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownState {
    /// Offset behind the newest control record.
    pub control_next: u64,
    /// Version of the platform's list of VMs.
    pub list_version: u64,
}

/// Shared state that is newer than what a peer knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewerState {
    /// A checkpoint record of the control stream.
    pub control: Option<String>,
    /// The platform's list of VMs in JSON.
    pub list: Option<String>,
}

/// What one router has seen of a version move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceReport {
    /// The router.
    pub holder: HolderId,
    /// The move.
    pub move_id: u64,
    /// The evidence in JSON, cumulative since the router's start.
    pub evidence: String,
    /// The router has stopped sending to the new version.
    pub tripped: bool,
}

/// Declarations that are in force at a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredState {
    /// Their version.
    pub version: u64,
    /// How long ago they were confirmed.
    pub age: Duration,
    /// How long they have been in force there.
    pub in_force: Duration,
    /// Their text, if it was wanted.
    pub text: Option<String>,
}

/// An upstream that gets nothing new any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamDeparture {
    /// The identity of the upstream.
    pub upstream: String,
    /// When it started, in milliseconds since the epoch. A later start is
    /// another upstream.
    pub started_ms: u64,
}

/// Claims an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The account and the caller's key.
    pub key: String,
    /// Who serves the request.
    pub holder: HolderId,
    /// Hash of the request.
    pub fingerprint: u64,
    /// Where the request is about to run.
    pub upstream: String,
}

/// Who serves an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimReply {
    /// Who has claimed the key first.
    pub holder: HolderId,
    /// Hash of the request that claimed it.
    pub fingerprint: u64,
    /// Where that request runs.
    pub upstream: String,
}

/// A call to another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerCall {
    /// Asks for tokens; a late answer leaves them reserved at the lender.
    Lend(LendRequest),
    /// Gives bills for safe keeping.
    Relay(RelayBatch),
    /// Probes the peer.
    Ping(PingMessage),
    /// Asks the peer to probe a third router.
    PingOther {
        /// The VM of the third router.
        vm: String,
    },
    /// Asks for shared state that is newer than this.
    CatchUp(KnownState),
    /// Reports what was seen of a version move.
    Evidence(EvidenceReport),
    /// Asks which upstreams have left lately.
    Departures,
    /// Asks which declarations are in force.
    Declared {
        /// The text is wanted if its version is newer than this one.
        text_after: Option<u64>,
    },
    /// Claims an idempotency key.
    Claim(ClaimRequest),
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The call has been taken.
    Done,
    /// The tokens lent, if any.
    Lent(Option<LendReply>),
    /// The answer to a probe.
    Pong(PingMessage),
    /// Whether a third router answered.
    Reached(bool),
    /// Shared state that is newer than what was asked with.
    Newer(NewerState),
    /// The upstreams that have left lately.
    Departed(Vec<UpstreamDeparture>),
    /// The declarations in force, if any are known.
    Declared(Option<DeclaredState>),
    /// Who serves the key.
    Claimed(ClaimReply),
}

/// Calls to other routers.
pub trait PeerPort {
    /// Calls a peer and waits briefly for its answer.
    ///
    /// # Errors
    ///
    /// `Unreachable` leaves open whether the peer acted on the call.
    fn call(
        &self,
        peer: SocketAddr,
        call: PeerCall,
    ) -> PortFuture<'_, Result<PeerAnswer, PeerFault>>;
}

/// Takes calls of other routers.
pub trait PeerHandler {
    /// Answers one call.
    fn handle(&self, call: PeerCall) -> PortFuture<'_, PeerAnswer>;
}
