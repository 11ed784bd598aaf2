//! Calls between routers.

use std::{net::SocketAddr, time::Duration};

use snafu::Snafu;

use {
    super::{PortFuture, TopicPosition},
    crate::{
        catalog::PackedText,
        domain::{BillId, HolderId, PortionId},
        routing::{LimitObservation, QuarantinedPart},
    },
};

/// An error of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PeerFault {
    /// The peer could not be reached or did not answer in time. It may
    /// still have acted on the call.
    #[snafu(display("peer unreachable: {reason}"))]
    Unreachable {
        /// The error of the connection or of the call.
        reason: String,
    },
}

/// Asks a peer to lend tokens of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LendRequest {
    /// The budget that the tokens belong to.
    pub budget: String,
    /// The borrower.
    pub to: HolderId,
    /// The smallest loan that is of use to the borrower.
    pub min_tokens: u64,
    /// The number of tokens that the borrower would like to have.
    pub wanted_tokens: u64,
    /// Number of the loan, unique for the borrower. It makes a retried call
    /// idempotent, and identifies a loan to be undone if its answer was
    /// lost.
    pub loan: u64,
}

/// Tokens that the holder of a grant has transferred to a borrower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LendReply {
    /// The portion that now belongs to the borrower.
    pub portion: PortionId,
    /// The size of the portion in tokens.
    pub tokens: u64,
}

/// A copy of a bill that is not in the log yet, kept by a peer so that it
/// can be settled if its router fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedBill {
    /// The full name of the budget.
    pub budget: String,
    /// ID of the bill.
    pub bill: BillId,
    /// ID of the request.
    pub request_id: String,
    /// The address of the upstream that runs the request.
    pub upstream: SocketAddr,
    /// The number of tokens used, once it is known.
    pub tokens: Option<u64>,
}

/// Copies of the bills of one holder, to be kept by a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayBatch {
    /// The holder that has to settle the bills.
    pub holder: HolderId,
    /// The bills.
    pub bills: Vec<RelayedBill>,
}

/// The status of a member of the fleet, as in SWIM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and has some time left to refute
    /// the suspicion.
    Suspect,
    /// The member finishes its requests and accepts no new ones.
    Leaving,
    /// The member has failed or has ended.
    Dead,
}

/// What is known about one router; routers disseminate these updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The router.
    pub id: HolderId,
    /// The status of the router.
    pub status: MemberStatus,
    /// Version of the update, as the incarnation number in SWIM. A member
    /// raises its own to refute a suspicion; a router that hears from a
    /// member that it suspects raises its copy too.
    pub version: u32,
    /// Whether no upstream of the router has a free slot.
    pub full: bool,
}

/// A probe or the answer to a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PingMessage {
    /// Membership updates that the receiver may not have; the first one is
    /// the sender's own.
    pub updates: Vec<MemberUpdate>,
    /// The versions of the shared state that the sender has.
    pub known: KnownState,
}

/// The versions of the shared state that a router has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownState {
    /// The offset after the newest record of the control stream, which
    /// holds the configuration and the version moves.
    pub control_next: u64,
    /// The version of the platform's list of VMs.
    pub list_version: u64,
}

/// The shared state that is newer than what a peer has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewerState {
    /// A checkpoint record of the control stream.
    pub control: Option<String>,
    /// The platform's list of VMs in JSON.
    pub list: Option<String>,
}

/// What one router has measured during a version move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceReport {
    /// The router.
    pub holder: HolderId,
    /// The move.
    pub move_id: u64,
    /// The measurements in JSON, cumulative since the start of the router.
    pub evidence: String,
    /// Whether the router has stopped sending requests to the new version.
    pub tripped: bool,
}

/// The declarations that a router applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredState {
    /// The version of the declarations.
    pub version: u64,
    /// Time since the router last confirmed that they are the newest.
    pub age: Duration,
    /// Time since the router began to apply them.
    pub in_force: Duration,
    /// The position in the operators' topic up to which the router knows
    /// that there are no newer ones.
    pub position: TopicPosition,
    /// The text of the declarations, if it was asked for and the router can
    /// send it now.
    pub text: Option<PackedText>,
}

/// Tells a router which declarations the caller applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredNotice {
    /// The VM of the caller.
    pub vm: String,
    /// The version of the declarations there.
    pub version: u64,
}

/// An upstream that must not receive new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamDeparture {
    /// The ID of the upstream.
    pub upstream: String,
    /// Start time of the upstream in milliseconds since the epoch. A later
    /// start with the same ID counts as another upstream.
    pub started_ms: u64,
    /// Whether the upstream itself has said that it leaves. Otherwise its
    /// registration was removed, and may come back.
    pub is_announced: bool,
}

/// What a router has seen of requests with certain prompt parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartReport {
    /// The upstream that crashed; empty if none did.
    pub upstream: String,
    /// Parts of requests that it had not answered in full.
    pub lost: Vec<String>,
    /// Parts that were suspected and have been answered.
    pub answered: Vec<String>,
}

/// What a VM has taken out of an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountAllowance {
    /// The account.
    pub account: String,
    /// The VM.
    pub vm: String,
    /// The encoded record of the VM.
    pub record: String,
}

/// What a router reports of the records of its VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowanceReport {
    /// The VM.
    pub vm: String,
    /// Its records.
    pub records: Vec<AccountAllowance>,
}

/// Claims an idempotency key for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key that the caller chose, after its account: `ACCOUNT/KEY`.
    pub key: String,
    /// The router that serves the request.
    pub holder: HolderId,
    /// The hash of the request.
    pub fingerprint: u64,
    /// The upstream that is about to run the request.
    pub upstream: String,
}

/// The first claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimReply {
    /// The router that claimed the key first.
    pub holder: HolderId,
    /// The hash of the request that it claimed the key for.
    pub fingerprint: u64,
    /// The upstream that runs that request.
    pub upstream: String,
}

/// A call to another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerCall {
    /// Borrows tokens. If the answer comes too late, the tokens stay
    /// reserved at the lender, unless the borrower cancels the loan.
    Lend(LendRequest),
    /// Hands over copies of bills that are not in the log yet.
    Relay(RelayBatch),
    /// Probes the peer.
    Ping(PingMessage),
    /// Asks the peer to probe a third router, as SWIM's indirect ping.
    PingOther {
        /// The VM of the third router.
        vm: String,
    },
    /// Asks for the shared state that is newer than these versions.
    CatchUp(KnownState),
    /// Reports the measurements of a version move.
    Evidence(EvidenceReport),
    /// Asks which upstreams have left recently.
    Departures,
    /// Asks which declarations the peer applies.
    Declared {
        /// Asks for the text too if its version is higher than this one;
        /// `None` asks for no text.
        text_after: Option<u64>,
        /// The declarations that the caller applies, if they are new.
        notice: Option<DeclaredNotice>,
    },
    /// Reports on prompt parts and asks which ones are in quarantine.
    Parts(PartReport),
    /// Reports the rate limits of upstreams and asks for the known ones.
    Limits(Vec<LimitObservation>),
    /// Tells what the caller has taken out of accounts, and asks what is
    /// known of its VM's records and of those that may be lost.
    Allowances(AllowanceReport),
    /// Claims an idempotency key for a request.
    Claim(ClaimRequest),
}

impl PeerCall {
    /// Returns the name of the call, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            PeerCall::Lend(_) => "lend",
            PeerCall::Relay(_) => "relay",
            PeerCall::Ping(_) => "ping",
            PeerCall::PingOther { .. } => "ping_other",
            PeerCall::CatchUp(_) => "catch_up",
            PeerCall::Evidence(_) => "evidence",
            PeerCall::Departures => "departures",
            PeerCall::Declared { .. } => "declared",
            PeerCall::Parts(_) => "parts",
            PeerCall::Limits(_) => "limits",
            PeerCall::Allowances(_) => "allowances",
            PeerCall::Claim(_) => "claim",
        }
    }

    /// Returns the call as it has to be sent a time later.
    pub fn with_delay(mut self, delay: Duration) -> PeerCall {
        if let PeerCall::Limits(observations) = &mut self {
            for observation in observations {
                observation.age += delay;
            }
        }
        self
    }
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The call was accepted.
    Done,
    /// The tokens lent, if any.
    Lent(Option<LendReply>),
    /// The answer to a probe.
    Pong(PingMessage),
    /// Whether the third router answered its probe.
    Reached(bool),
    /// The shared state that is newer than the versions in the call.
    Newer(NewerState),
    /// The upstreams that have left recently.
    Departed(Vec<UpstreamDeparture>),
    /// The declarations that the peer applies, if it has any.
    Declared(Option<DeclaredState>),
    /// The prompt parts that are in quarantine.
    Quarantined(Vec<QuarantinedPart>),
    /// The rate limits of upstreams that are known.
    Limits(Vec<LimitObservation>),
    /// The records of the caller's VM that are known, and those of VMs that
    /// have not written them again since the topic was restored.
    Allowances(Vec<AccountAllowance>),
    /// The first claim of the key.
    Claimed(ClaimReply),
}

/// Calls to other routers.
pub trait PeerPort {
    /// Calls a peer and waits for its answer within a short timeout.
    ///
    /// # Errors
    ///
    /// After `Unreachable`, the peer may or may not have acted on the call.
    fn call(
        &self,
        peer: SocketAddr,
        call: PeerCall,
    ) -> PortFuture<'_, Result<PeerAnswer, PeerFault>>;
}

/// Handles calls of other routers.
pub trait PeerHandler {
    /// Answers one call.
    fn handle(&self, call: PeerCall) -> PortFuture<'_, PeerAnswer>;
}
