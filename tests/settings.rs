//! Settings and declarations: every fault is reported, each in one line.

use std::time::Duration;

use {
    magnoliahaven::{Declaration, RouterSettings, config::ConfigFault},
    yare::parameterized,
};

const SETTINGS: &str = "
vm: xela-1
region: altiplano
domain: xela-centro
listen:
  callers: 127.0.0.1:7101
  operators: 127.0.0.1:7201
  peers: 127.0.0.1:7301
log: {address: '127.0.0.1:7400'}
";

const DECLARATION: &str = "
accounts: {dairy: {budgets: {nurses: {class: urgent}}}}
services: {chat: {kind: model, version: v1}}
presets: {ordinary: {}}
";

fn lines(faults: Vec<ConfigFault>) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn defaults_fill_what_is_not_given() {
    let settings = RouterSettings::parse("a.yaml", SETTINGS).unwrap();
    assert_eq!(settings.vm, "xela-1");
    assert_eq!(settings.budgets.partitions, 16);
}

#[test]
fn three_faults_are_three_lines() {
    let text = SETTINGS
        .replace("callers: 127.0.0.1:7101", "callers: xela-1")
        .replace("vm:", "vn:")
        + "limits: {body: 1000000}\n";
    let faults = RouterSettings::parse("a.yaml", &text).unwrap_err();
    assert_eq!(
        lines(faults),
        [
            "a.yaml: vm: missing",
            "a.yaml: listen.callers: expected an address IP:PORT, found \
             \"xela-1\"",
            "a.yaml: limits.body: expected a size with a unit (B, KiB, \
             MiB, MB), found 1000000",
            "a.yaml: vn: unknown key",
        ]
    );
}

#[parameterized(
    wrong_unit = { "budgets: {settle_interval: 20}", "budgets.settle_interval" },
    unknown_unit = { "entry_lifetime: 3d", "entry_lifetime" },
    impossible = { "limits: {held: 1KiB, stream: 1MiB}", "limits.held" },
    out_of_range = { "budgets: {partitions: 0}", "budgets.partitions" },
    not_a_mapping = { "budgets: 7", "budgets" },
    too_short = { "budgets: {settle_interval: 600s}\n", "log.retention" },
    small_requests = { "limits: {requests: 1KiB}", "limits.requests" },
    requests_without_unit = { "limits: {requests: 4}", "limits.requests" },
    bad_seed = { "seeds: [nowhere]", "seeds" },
)]
fn a_faulty_key_is_named(extra: &str, key: &str) {
    let mut text = format!("{SETTINGS}{extra}\n");
    if key == "log.retention" {
        text = text.replace(
            "address: '127.0.0.1:7400'",
            "address: '127.0.0.1:7400', retention: 600s",
        );
    }
    let faults = RouterSettings::parse("a.yaml", &text).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!(faults[0].key, key);
}

/// The platform gives its bounds as whole numbers or as fractions.
#[parameterized(
    ratio = { "retries: {ratio: 0.25}" },
    whole_slack = { "retries: {slack: 58}" },
    slack = { "retries: {slack: 33.16}" },
    apply_time = { "apply_time: 2500.5ms" },
    leave_time = { "leave_time: 8.25s" },
    retention = { "limits: {request_time: 1.5s}" },
    capacity = { "capacity: 0.12" },
    partitions = { "entry_width: 5" },
    moves = { "moves: {exposed_share: 0.08, exposed_requests: 33.5}" },
)]
fn a_bound_may_have_a_fraction(line: &str) {
    let text = format!("{SETTINGS}{line}\n");
    let settings = RouterSettings::parse("a.yaml", &text);
    assert_eq!(settings.map(|_| ()).map_err(lines), Ok(()));
}

#[test]
fn fractions_keep_their_value() {
    let text = format!(
        "{SETTINGS}retries: {{slack: 33.16}}\nleave_time: 8.25s\n\
         apply_time: 700ms\n"
    );
    let settings = RouterSettings::parse("a.yaml", &text).unwrap();
    assert_eq!(settings.retries.slack, 33.16);
    assert_eq!(settings.leave_time, Duration::from_millis(8_250));
    assert_eq!(settings.apply_time, Duration::from_millis(700));
}

/// The memory for requests is a part of that of the VM, unless it is set.
#[parameterized(
    unknown = { "", None, 33_554_432 },
    small_vm = { "", Some(160_000_000), 40_000_000 },
    large_vm = { "", Some(512_000_000), 128_000_000 },
    set = { "limits: {requests: 8MiB}", Some(160_000_000), 8_388_608 },
)]
fn the_memory_for_requests_follows_that_of_the_vm(
    line: &str,
    memory: Option<u64>,
    bytes: usize,
) {
    let text = format!("{SETTINGS}{line}\n");
    let mut settings = RouterSettings::parse("a.yaml", &text).unwrap();
    if let Some(memory) = memory {
        settings = settings.with_memory(memory);
    }
    assert_eq!(settings.request_memory(), bytes);
}

#[test]
fn text_that_is_not_yaml_is_one_fault() {
    let faults = RouterSettings::parse("a.yaml", "a: [").unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].key, "(file)");
}

#[test]
fn a_declaration_is_read() {
    let declaration = Declaration::parse("d.yaml", DECLARATION).unwrap();
    assert_eq!(declaration.documents.len(), 3);
    assert_eq!(declaration.initial_preset().as_deref(), Some("ordinary"));
}

#[parameterized(
    unknown_key = { "vresion: v1", "version: v1", "services.chat.vresion" },
    bad_class = { "class: soon", "class: urgent", "accounts.dairy.budgets.nurses.class" },
    bad_kind = { "kind: mdoel", "kind: model", "services.chat.kind" },
    bad_name = { "Chat:", "chat:", "services.Chat" },
    no_preset = { "presets: {}", "presets: {ordinary: {}}", "presets" },
    bad_key = { "key_sha256: [abc]", "class: urgent", "accounts.dairy.budgets.nurses.key_sha256" },
)]
fn a_faulty_declaration_is_named(wrong: &str, right: &str, key: &str) {
    let text = DECLARATION.replace(right, wrong);
    let faults = Declaration::parse("d.yaml", &text).unwrap_err();
    let keys: Vec<&str> = faults.iter().map(|f| f.key.as_str()).collect();
    assert!(keys.contains(&key), "{faults:?}");
}

#[test]
fn two_budgets_cannot_share_a_key() {
    let key = "a".repeat(64);
    let text = DECLARATION.replace(
        "{nurses: {class: urgent}}",
        &format!("{{a: {{key_sha256: [{key}]}}, b: {{key_sha256: [{key}]}}}}"),
    );
    let faults = Declaration::parse("d.yaml", &text).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert!(faults[0].reason.contains("already used"), "{faults:?}");
}
