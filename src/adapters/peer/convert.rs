//! Conversions between the messages of the port and of the gRPC protocol.

use {
    super::generated as wire,
    crate::{
        catalog::PackedText,
        domain::{BillId, HolderId, PortionId, time_from_ms},
        ports::{
            AccountAllowance, AllowanceReport, ClaimReply, ClaimRequest,
            DeclaredNotice, DeclaredState, EvidenceReport, KnownState,
            LendReply, LendRequest, MemberStatus, MemberUpdate, NewerState,
            PartReport, PeerCall, PingMessage, RelayBatch, RelayedBill,
            TopicPosition, UpstreamDeparture,
        },
        routing::{LimitObservation, QuarantinedPart, RequestRate},
    },
};

/// The statuses in the order of their numbers in the protocol.
const MEMBER_STATUSES: [MemberStatus; 4] = [
    MemberStatus::Alive,
    MemberStatus::Suspect,
    MemberStatus::Leaving,
    MemberStatus::Dead,
];

impl From<HolderId> for wire::Holder {
    fn from(id: HolderId) -> wire::Holder {
        wire::Holder { vm: id.vm, incarnation: id.incarnation }
    }
}

impl From<wire::Holder> for HolderId {
    fn from(holder: wire::Holder) -> HolderId {
        HolderId::new(holder.vm, holder.incarnation)
    }
}

impl From<LendRequest> for wire::LendCall {
    fn from(request: LendRequest) -> wire::LendCall {
        wire::LendCall {
            budget: request.budget,
            to: Some(request.to.into()),
            least: request.min_tokens,
            want: request.wanted_tokens,
            loan: request.loan,
        }
    }
}

impl From<wire::LendCall> for LendRequest {
    fn from(call: wire::LendCall) -> LendRequest {
        LendRequest {
            budget: call.budget,
            to: call.to.unwrap_or_default().into(),
            min_tokens: call.least,
            wanted_tokens: call.want,
            loan: call.loan,
        }
    }
}

impl From<Option<LendReply>> for wire::LendAnswer {
    fn from(reply: Option<LendReply>) -> wire::LendAnswer {
        let Some(reply) = reply else {
            return wire::LendAnswer::default();
        };
        wire::LendAnswer {
            partition: reply.portion.partition,
            grant: reply.portion.grant,
            number: reply.portion.number,
            tokens: reply.tokens,
        }
    }
}

impl From<wire::LendAnswer> for Option<LendReply> {
    fn from(answer: wire::LendAnswer) -> Option<LendReply> {
        if answer.tokens == 0 {
            return None;
        }
        let portion =
            PortionId::new(answer.partition, answer.grant, answer.number);
        Some(LendReply { portion, tokens: answer.tokens })
    }
}

impl From<RelayBatch> for wire::RelayCall {
    fn from(batch: RelayBatch) -> wire::RelayCall {
        let mut bills = Vec::with_capacity(batch.bills.len());
        for bill in batch.bills {
            bills.push(wire::Bill {
                partition: bill.bill.portion.partition,
                grant: bill.bill.portion.grant,
                portion: bill.bill.portion.number,
                number: bill.bill.number,
                budget: bill.budget,
                request_id: bill.request_id,
                upstream: bill.upstream.to_string(),
                tokens: bill.tokens,
            });
        }
        wire::RelayCall { holder: Some(batch.holder.into()), bills }
    }
}

impl From<wire::RelayCall> for RelayBatch {
    fn from(call: wire::RelayCall) -> RelayBatch {
        let mut bills = Vec::with_capacity(call.bills.len());
        for bill in call.bills {
            // A bill without a valid address cannot be recovered.
            let Ok(upstream) = bill.upstream.parse() else {
                continue;
            };
            let portion =
                PortionId::new(bill.partition, bill.grant, bill.portion);
            bills.push(RelayedBill {
                budget: bill.budget,
                bill: BillId::new(portion, bill.number),
                request_id: bill.request_id,
                upstream,
                tokens: bill.tokens,
            });
        }
        let holder = call.holder.unwrap_or_default().into();
        RelayBatch { holder, bills }
    }
}

impl From<MemberUpdate> for wire::Member {
    fn from(update: MemberUpdate) -> wire::Member {
        wire::Member {
            vm: update.id.vm,
            incarnation: update.id.incarnation,
            status: update.status as u32,
            counter: update.version,
            full: update.full,
        }
    }
}

impl From<wire::Member> for MemberUpdate {
    fn from(member: wire::Member) -> MemberUpdate {
        let status = MEMBER_STATUSES.get(member.status as usize);
        MemberUpdate {
            id: HolderId::new(member.vm, member.incarnation),
            status: status.copied().unwrap_or(MemberStatus::Alive),
            version: member.counter,
            full: member.full,
        }
    }
}

impl From<PingMessage> for wire::PingCall {
    fn from(message: PingMessage) -> wire::PingCall {
        wire::PingCall {
            news: message.updates.into_iter().map(Into::into).collect(),
            known: Some(message.known.into()),
        }
    }
}

impl From<wire::PingCall> for PingMessage {
    fn from(call: wire::PingCall) -> PingMessage {
        PingMessage {
            updates: call.news.into_iter().map(Into::into).collect(),
            known: call.known.unwrap_or_default().into(),
        }
    }
}

impl From<EvidenceReport> for wire::EvidenceCall {
    fn from(report: EvidenceReport) -> wire::EvidenceCall {
        wire::EvidenceCall {
            holder: Some(report.holder.into()),
            move_id: report.move_id,
            evidence: report.evidence,
            tripped: report.tripped,
        }
    }
}

impl From<wire::EvidenceCall> for EvidenceReport {
    fn from(call: wire::EvidenceCall) -> EvidenceReport {
        EvidenceReport {
            holder: call.holder.unwrap_or_default().into(),
            move_id: call.move_id,
            evidence: call.evidence,
            tripped: call.tripped,
        }
    }
}

impl From<Vec<UpstreamDeparture>> for wire::DeparturesAnswer {
    fn from(departures: Vec<UpstreamDeparture>) -> wire::DeparturesAnswer {
        let departures = departures.into_iter().map(|departure| {
            let UpstreamDeparture { upstream, started_ms, is_announced } =
                departure;
            wire::Departure { upstream, started_ms, is_announced }
        });
        wire::DeparturesAnswer { departures: departures.collect() }
    }
}

impl From<wire::DeparturesAnswer> for Vec<UpstreamDeparture> {
    fn from(answer: wire::DeparturesAnswer) -> Vec<UpstreamDeparture> {
        let departures = answer.departures.into_iter().map(|departure| {
            let wire::Departure { upstream, started_ms, is_announced } =
                departure;
            UpstreamDeparture { upstream, started_ms, is_announced }
        });
        departures.collect()
    }
}

impl From<PartReport> for wire::PartsCall {
    fn from(report: PartReport) -> wire::PartsCall {
        let PartReport { upstream, lost, answered } = report;
        wire::PartsCall { lost, answered, upstream }
    }
}

impl From<wire::PartsCall> for PartReport {
    fn from(call: wire::PartsCall) -> PartReport {
        let wire::PartsCall { lost, answered, upstream } = call;
        PartReport { upstream, lost, answered }
    }
}

impl From<Vec<QuarantinedPart>> for wire::PartsAnswer {
    fn from(parts: Vec<QuarantinedPart>) -> wire::PartsAnswer {
        let parts = parts.into_iter().map(|quarantined| {
            let QuarantinedPart { part, time_left } = quarantined;
            let left_ms = time_left.as_millis() as u64;
            wire::QuarantinedPart { part, left_ms }
        });
        wire::PartsAnswer { quarantined: parts.collect() }
    }
}

impl From<wire::PartsAnswer> for Vec<QuarantinedPart> {
    fn from(answer: wire::PartsAnswer) -> Vec<QuarantinedPart> {
        let parts = answer.quarantined.into_iter().map(|quarantined| {
            let wire::QuarantinedPart { part, left_ms } = quarantined;
            let time_left = time_from_ms(left_ms);
            QuarantinedPart { part, time_left }
        });
        parts.collect()
    }
}

impl From<Vec<LimitObservation>> for wire::LimitsMessage {
    fn from(observations: Vec<LimitObservation>) -> wire::LimitsMessage {
        let limits = observations.into_iter().map(|observation| {
            let LimitObservation { upstream, rate, age } = observation;
            wire::UpstreamLimit {
                upstream,
                per_kilosecond: rate.map(RequestRate::per_kilosecond),
                age_ms: age.as_millis() as u64,
            }
        });
        wire::LimitsMessage { limits: limits.collect() }
    }
}

impl From<wire::LimitsMessage> for Vec<LimitObservation> {
    fn from(message: wire::LimitsMessage) -> Vec<LimitObservation> {
        let observations = message.limits.into_iter().map(|limit| {
            let rate = limit.per_kilosecond;
            LimitObservation {
                upstream: limit.upstream,
                rate: rate.map(RequestRate::from_per_kilosecond),
                age: time_from_ms(limit.age_ms),
            }
        });
        observations.collect()
    }
}

impl From<AccountAllowance> for wire::Allowance {
    fn from(allowance: AccountAllowance) -> wire::Allowance {
        let AccountAllowance { account, vm, record } = allowance;
        wire::Allowance { account, record, vm }
    }
}

impl From<wire::Allowance> for AccountAllowance {
    fn from(allowance: wire::Allowance) -> AccountAllowance {
        let wire::Allowance { account, record, vm } = allowance;
        AccountAllowance { account, vm, record }
    }
}

impl From<AllowanceReport> for wire::AllowancesCall {
    fn from(report: AllowanceReport) -> wire::AllowancesCall {
        let AllowanceReport { vm, records } = report;
        let records = records.into_iter().map(Into::into).collect();
        wire::AllowancesCall { vm, records }
    }
}

impl From<wire::AllowancesCall> for AllowanceReport {
    fn from(call: wire::AllowancesCall) -> AllowanceReport {
        let wire::AllowancesCall { vm, records } = call;
        let records = records.into_iter().map(Into::into).collect();
        AllowanceReport { vm, records }
    }
}

impl From<Vec<AccountAllowance>> for wire::AllowancesAnswer {
    fn from(records: Vec<AccountAllowance>) -> wire::AllowancesAnswer {
        let records = records.into_iter().map(Into::into).collect();
        wire::AllowancesAnswer { records }
    }
}

impl From<wire::AllowancesAnswer> for Vec<AccountAllowance> {
    fn from(answer: wire::AllowancesAnswer) -> Vec<AccountAllowance> {
        answer.records.into_iter().map(Into::into).collect()
    }
}

impl From<ClaimRequest> for wire::ClaimCall {
    fn from(request: ClaimRequest) -> wire::ClaimCall {
        wire::ClaimCall {
            key: request.key,
            holder: Some(request.holder.into()),
            fingerprint: request.fingerprint,
            upstream: request.upstream,
        }
    }
}

impl From<wire::ClaimCall> for ClaimRequest {
    fn from(call: wire::ClaimCall) -> ClaimRequest {
        ClaimRequest {
            key: call.key,
            holder: call.holder.unwrap_or_default().into(),
            fingerprint: call.fingerprint,
            upstream: call.upstream,
        }
    }
}

impl From<ClaimReply> for wire::ClaimAnswer {
    fn from(reply: ClaimReply) -> wire::ClaimAnswer {
        wire::ClaimAnswer {
            holder: Some(reply.holder.into()),
            fingerprint: reply.fingerprint,
            upstream: reply.upstream,
        }
    }
}

impl From<wire::ClaimAnswer> for ClaimReply {
    fn from(answer: wire::ClaimAnswer) -> ClaimReply {
        ClaimReply {
            holder: answer.holder.unwrap_or_default().into(),
            fingerprint: answer.fingerprint,
            upstream: answer.upstream,
        }
    }
}

impl From<KnownState> for wire::KnownState {
    fn from(known: KnownState) -> wire::KnownState {
        wire::KnownState {
            control_next: known.control_next,
            list_version: known.list_version,
        }
    }
}

impl From<wire::KnownState> for KnownState {
    fn from(known: wire::KnownState) -> KnownState {
        KnownState {
            control_next: known.control_next,
            list_version: known.list_version,
        }
    }
}

impl From<NewerState> for wire::NewerState {
    fn from(newer: NewerState) -> wire::NewerState {
        wire::NewerState {
            control: newer.control.unwrap_or_default(),
            list: newer.list.unwrap_or_default(),
        }
    }
}

impl From<wire::NewerState> for NewerState {
    fn from(newer: wire::NewerState) -> NewerState {
        let present = |text: String| (!text.is_empty()).then_some(text);
        NewerState {
            control: present(newer.control),
            list: present(newer.list),
        }
    }
}

impl From<Option<DeclaredState>> for wire::DeclaredAnswer {
    fn from(state: Option<DeclaredState>) -> wire::DeclaredAnswer {
        let Some(state) = state else {
            return wire::DeclaredAnswer::default();
        };
        wire::DeclaredAnswer {
            version: Some(state.version),
            age_ms: state.age.as_millis() as u64,
            in_force_ms: state.in_force.as_millis() as u64,
            packed_text: state
                .text
                .map(|text| text.as_bytes().to_vec())
                .unwrap_or_default(),
            era: state.position.era,
            offset: state.position.offset,
        }
    }
}

impl From<wire::DeclaredAnswer> for Option<DeclaredState> {
    fn from(answer: wire::DeclaredAnswer) -> Option<DeclaredState> {
        Some(DeclaredState {
            version: answer.version?,
            age: time_from_ms(answer.age_ms),
            in_force: time_from_ms(answer.in_force_ms),
            position: TopicPosition { era: answer.era, offset: answer.offset },
            text: (!answer.packed_text.is_empty())
                .then(|| PackedText::from_bytes(answer.packed_text)),
        })
    }
}

/// Encodes a call about declarations.
pub(super) fn declared_call(
    text_after: Option<u64>,
    notice: Option<DeclaredNotice>,
) -> wire::DeclaredCall {
    let (vm, version) =
        notice.map_or_else(Default::default, |n| (n.vm, n.version));
    wire::DeclaredCall { text_after, vm, version }
}

impl From<wire::DeclaredCall> for PeerCall {
    fn from(call: wire::DeclaredCall) -> PeerCall {
        let wire::DeclaredCall { text_after, vm, version } = call;
        let notice =
            (!vm.is_empty()).then_some(DeclaredNotice { vm, version });
        PeerCall::Declared { text_after, notice }
    }
}
