//! The calls in their wire form.

use tonic::{
    Request, Status, metadata::BinaryMetadataValue, transport::Channel,
};

use super::{
    MAX_MESSAGE_BYTES, VM_KEY, convert,
    generated::{self as wire, peer_client::PeerClient as WireClient},
};
use crate::ports::{PeerAnswer, PeerCall};

/// Sends a call of the VM `vm` on a channel and waits for its answer.
pub(super) async fn send_call(
    channel: Channel,
    vm: BinaryMetadataValue,
    call: PeerCall,
) -> Result<PeerAnswer, Status> {
    let add_vm = move |mut request: Request<()>| {
        request.metadata_mut().insert_bin(VM_KEY, vm.clone());
        Ok(request)
    };
    let mut client = WireClient::with_interceptor(channel, add_vm)
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    Ok(match call {
        PeerCall::Lend(request) => {
            let call = wire::LendCall::from(request);
            let answer = client.lend(call).await?.into_inner();
            PeerAnswer::Lent(answer.into())
        }
        PeerCall::Relay(batch) => {
            client.relay(wire::RelayCall::from(batch)).await?;
            PeerAnswer::Done
        }
        PeerCall::Ping(message) => {
            let call = wire::PingCall::from(message);
            PeerAnswer::Pong(client.ping(call).await?.into_inner().into())
        }
        PeerCall::PingOther { vm } => {
            let call = wire::PingOtherCall { vm };
            let answer = client.ping_other(call).await?.into_inner();
            PeerAnswer::Reached(answer.reached)
        }
        PeerCall::CatchUp(known) => {
            let call = wire::KnownState::from(known);
            let newer = client.catch_up(call).await?.into_inner();
            PeerAnswer::Newer(newer.into())
        }
        PeerCall::Evidence(report) => {
            client.evidence(wire::EvidenceCall::from(report)).await?;
            PeerAnswer::Done
        }
        PeerCall::Departures => {
            let answer = client.departures(wire::Empty {}).await?;
            PeerAnswer::Departed(answer.into_inner().into())
        }
        PeerCall::Declared { text_after, notice } => {
            let call = convert::declared_call(text_after, notice);
            let answer = client.declared(call).await?;
            PeerAnswer::Declared(answer.into_inner().into())
        }
        PeerCall::Parts(report) => {
            let answer = client.parts(wire::PartsCall::from(report)).await?;
            PeerAnswer::Quarantined(answer.into_inner().into())
        }
        PeerCall::Limits(observations) => {
            let call = wire::LimitsMessage::from(observations);
            PeerAnswer::Limits(client.limits(call).await?.into_inner().into())
        }
        PeerCall::Allowances(report) => {
            let call = wire::AllowancesCall::from(report);
            let answer = client.allowances(call).await?.into_inner();
            PeerAnswer::Allowances(answer.into())
        }
        PeerCall::Claim(request) => {
            let call = wire::ClaimCall::from(request);
            PeerAnswer::Claimed(client.claim(call).await?.into_inner().into())
        }
    })
}
