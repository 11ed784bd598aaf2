//! The log port and the VM list port, implemented over HTTP.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use {
    bytes::Bytes,
    http::StatusCode,
    serde::{Serialize, de::DeserializeOwned},
};

use super::wire::{
    APPEND_PATH, AppendBody, AppendReply, ErrorReply, READ_PATH, ReadBody,
    ReadReply, VMS_PATH, WireSlice,
};
use crate::{
    adapters::http::{HttpClient, HttpFault},
    ports::{
        LogCursors, LogFault, LogPort, LogRecord, LogSlice, PortFuture,
        VmList, VmListPort,
    },
};

/// Longest time for an answer, in addition to the wait of a long poll.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of the log service and the list of VMs.
#[derive(Clone)]
pub struct LogClient {
    client: HttpClient,
    address: SocketAddr,
}

impl LogClient {
    /// Creates a client for the service at `address`.
    pub fn new(client: HttpClient, address: SocketAddr) -> LogClient {
        LogClient { client, address }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        wait: Duration,
    ) -> Result<T, LogFault> {
        let timeout = wait + ANSWER_TIMEOUT;
        let reply = self.client.post_json(self.address, path, body, timeout);
        decode_reply(reply.await)
    }
}

fn decode_reply<T: DeserializeOwned>(
    reply: Result<(StatusCode, Bytes), HttpFault>,
) -> Result<T, LogFault> {
    let (status, body) = reply.map_err(|fault| match fault {
        // The request was not sent, so that it certainly had no effect.
        HttpFault::Socket { source }
            if source.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            LogFault::Refused { reason: source.to_string() }
        }
        fault => LogFault::Lost { reason: fault.to_string() },
    })?;
    if status.is_success() {
        return serde_json::from_slice(&body)
            .map_err(|err| LogFault::Lost { reason: err.to_string() });
    }
    let reason = match serde_json::from_slice::<ErrorReply>(&body) {
        Ok(reply) => reply.error,
        Err(_) => status.to_string(),
    };
    Err(LogFault::Refused { reason })
}

impl LogPort for LogClient {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: &'a [String],
    ) -> PortFuture<'a, Result<u64, LogFault>> {
        Box::pin(async move {
            let body = AppendBody {
                stream: stream.to_owned(),
                records: records.to_vec(),
            };
            let reply = self.call(APPEND_PATH, &body, Duration::ZERO);
            let reply: AppendReply = reply.await?;
            Ok(reply.offset)
        })
    }

    fn read<'a>(
        &'a self,
        cursors: &'a LogCursors,
        wait: Duration,
    ) -> PortFuture<'a, Result<BTreeMap<String, LogSlice>, LogFault>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis() as u64;
            let body = ReadBody { cursors: cursors.clone(), wait_ms };
            let reply: ReadReply = self.call(READ_PATH, &body, wait).await?;
            let streams = reply.streams.into_iter();
            Ok(streams.map(|(name, slice)| (name, slice.into())).collect())
        })
    }
}

impl From<WireSlice> for LogSlice {
    fn from(slice: WireSlice) -> LogSlice {
        let mut records = Vec::with_capacity(slice.records.len());
        for record in slice.records {
            records.push(LogRecord {
                offset: record.0,
                time_ms: record.1,
                payload: record.2,
            });
        }
        LogSlice { oldest: slice.oldest, next: slice.next, records }
    }
}

impl VmListPort for LogClient {
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> PortFuture<'_, Result<VmList, LogFault>> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path = format!("{VMS_PATH}?since={since}&wait_ms={wait_ms}");
            let timeout = wait + ANSWER_TIMEOUT;
            let reply = self.client.get(self.address, &path, timeout);
            decode_reply(reply.await)
        })
    }
}
