//! Prompt parts that upstreams are lost on.

use super::{CallRequest, GatewayCore};
use crate::telemetry::LogEvent;

impl GatewayCore {
    /// Records that an upstream was lost before it answered a request.
    pub(super) fn record_part_loss(
        &self,
        request: &CallRequest,
        upstream: &str,
    ) {
        let lost: Vec<&str> = request.shared_part_ids().collect();
        if lost.is_empty() {
            return;
        }
        log::info!(
            event:% = LogEvent::PartsSuspected,
            request_id = request.id.as_str(), upstream,
            parts = lost.join(",").as_str();
            "upstream lost before the first event of an answer"
        );
        self.metrics.note_event("parts_suspected");
    }
}
