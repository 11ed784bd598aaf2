//! Log lines as JSON objects.

use std::{
    io::{self, Write},
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

use {
    env_logger::{Builder, Env, Target},
    log::{
        Level, Record,
        kv::{Key, Value, VisitSource},
    },
    serde_json::{Map, json},
};

use super::{LineKind, LineQuota, LogEvent, LogPipe};
use crate::timer::TimerService;

/// Longest time for the last lines of a process.
const FLUSH_TIME: Duration = Duration::from_millis(500);

/// The pipe of the process, once logging is set up.
static PIPE: OnceLock<LogPipe> = OnceLock::new();

struct FieldVisitor<'a> {
    fields: &'a mut Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let number = value.to_u64();
        let value =
            number.map_or_else(|| json!(value.to_string()), |n| json!(n));
        self.fields.insert(key.to_string(), value);
        Ok(())
    }
}

/// Writes one JSON object for each record to standard output.
///
/// Every line carries `vm`. The level comes from `MAGNOLIA_LOG`, `info` if
/// it is not set. Lines wait in memory for a thread that writes them, and
/// are bounded by kind; what does not fit is dropped and counted. A second
/// call has no effect.
pub fn init_logging(vm: &str) {
    let vm = vm.to_owned();
    let env = Env::default().filter_or("MAGNOLIA_LOG", "info");
    let mut builder = Builder::from_env(env);
    let pipe = PIPE.get_or_init(|| LogPipe::new(&vm, io::stdout()));
    builder.target(Target::Pipe(Box::new(pipe.clone())));
    let quota = Mutex::new(LineQuota::new(Instant::now()));
    builder.format(move |out, record| {
        let kind = line_kind(record);
        let now = Instant::now();
        let (taken, dropped) = match quota.lock() {
            Ok(mut quota) => (quota.take(kind, now), quota.take_dropped(now)),
            // Logging goes on without a quota.
            Err(_) => (true, None),
        };
        if let Some(dropped) = dropped {
            writeln!(out, "{}", dropped_line(&vm, dropped, "rate"))?;
        }
        if !taken {
            return Ok(());
        }
        writeln!(out, "{}", line_of(&vm, record))
    });
    // Only a second call fails, and has no effect.
    let _ = builder.try_init();
}

/// Writes what waits, at the end of a process.
pub fn flush_logging() {
    if let Some(pipe) = PIPE.get() {
        // Lines that cannot be written in time are lost with the process.
        let _ = pipe.drain(FLUSH_TIME);
    }
}

fn line_kind(record: &Record<'_>) -> LineKind {
    if record.level() <= Level::Warn {
        return LineKind::Warning;
    }
    let outcome = record.key_values().get(Key::from("outcome"));
    let outcome = outcome.map(|value| value.to_string());
    if outcome.is_some_and(|outcome| outcome.starts_with('2')) {
        return LineKind::Success;
    }
    LineKind::Other
}

fn line_of(vm: &str, record: &Record<'_>) -> serde_json::Value {
    let mut fields = Map::new();
    fields.insert("time_ms".to_owned(), json!(TimerService::now_ms()));
    fields.insert("level".to_owned(), json!(record.level().as_str()));
    fields.insert("vm".to_owned(), json!(vm));
    fields.insert("target".to_owned(), json!(record.target()));
    let message = record.args().to_string();
    fields.insert("message".to_owned(), json!(message));
    let mut visitor = FieldVisitor { fields: &mut fields };
    // The visitor never fails.
    let _ = record.key_values().visit(&mut visitor);
    serde_json::Value::Object(fields)
}

/// The line that tells of lines that were not written.
pub(super) fn dropped_line(vm: &str, dropped: u64, cause: &str) -> String {
    let line = json!({
        "time_ms": TimerService::now_ms(),
        "level": Level::Warn.as_str(),
        "vm": vm,
        "target": module_path!(),
        "event": LogEvent::LinesDropped.name(),
        "message": "log lines dropped",
        "dropped": dropped,
        "cause": cause,
    });
    line.to_string()
}

/// What every log line about a request carries.
#[derive(Clone, Debug, Default)]
pub struct LogContext {
    /// Identity of the request.
    pub request_id: String,
    /// The client account; empty before it is known.
    pub account: String,
}
