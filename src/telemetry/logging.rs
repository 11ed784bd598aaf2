//! Log lines as JSON objects.

use std::io::Write;

use {
    env_logger::{Builder, Env, Target},
    log::kv::{Key, Value, VisitSource},
    serde_json::{Map, json},
};

use crate::timer::TimerService;

struct FieldVisitor<'a> {
    fields: &'a mut Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.fields.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

/// Writes one JSON object for each record to standard output.
///
/// Every line carries `vm`. The level comes from `MAGNOLIA_LOG`, `info` if
/// it is not set. A second call has no effect.
pub fn init_logging(vm: &str) {
    let vm = vm.to_owned();
    let env = Env::default().filter_or("MAGNOLIA_LOG", "info");
    let mut builder = Builder::from_env(env);
    builder.target(Target::Stdout);
    builder.format(move |out, record| {
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
        writeln!(out, "{}", serde_json::Value::Object(fields))
    });
    let _ = builder.try_init();
}

/// What every log line about a request carries.
#[derive(Clone, Debug, Default)]
pub struct LogContext {
    /// Identity of the request.
    pub request_id: String,
    /// The client account; empty before it is known.
    pub account: String,
}
