//! Records that are not understood.

use std::fmt::Display;

use super::LogEvent;

/// Tells that a record is passed over.
///
/// `record` names the record, by its key or by what it should have been.
pub fn note_unreadable(record: &str, fault: impl Display) {
    log::warn!(
        event:% = LogEvent::RecordUnreadable, record, fault:%;
        "record passed over: {fault}"
    );
}
