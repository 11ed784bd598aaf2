//! Input that is wrong, incomplete or too large, with real processes.

mod common;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

use {
    common::{balance, engine_sum, eventually, run},
    magnolia_standins::fleet::{Fleet, FleetPlan, key_of},
    serde_json::Value,
};

const BUDGET: &str = "dairy/check";

/// Sends bytes and returns the status line and the error in the answer.
fn exchange(address: SocketAddr, bytes: &[u8]) -> (String, Value) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    // The router may answer and close before everything has been sent.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&chunk[..count]),
        }
        let text = String::from_utf8_lossy(&answer);
        if text.contains("\r\n\r\n") && text.ends_with('}') {
            break;
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.lines().next().unwrap_or_default().to_owned();
    let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
    (status, serde_json::from_str(body).unwrap_or_default())
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request whose end is not clear, and a sound one behind it.
fn unclear(rest: &str) -> Vec<u8> {
    let body = "{\"model\":\"assistant\",\"max_tokens\":2,\"messages\":\
                [{\"role\":\"user\",\"content\":\"hi\"}]}";
    let auth = format!("authorization: Bearer {}\r\n", key_of(BUDGET));
    let line = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    let mut bytes = format!("{line}{auth}{rest}").into_bytes();
    bytes.extend(post(&auth, body));
    bytes
}

#[test]
fn wrong_input_gets_a_clear_error_and_reserves_nothing() {
    run(async {
        let plan = FleetPlan::new(1, 1).with_settings(
            "limits: {head: 4KiB, body: 16KiB, request_time: 500ms}",
        );
        let fleet = Fleet::start(plan).unwrap();
        fleet.configure(100_000).await;
        let address = fleet.routers[0].callers;
        let auth = format!("authorization: Bearer {}\r\n", key_of(BUDGET));
        let long_head = format!("x-long: {}\r\n", "a".repeat(8_000));
        let long_body = "a".repeat(20_000);
        let good = "{\"model\":\"assistant\",\"messages\":[{\"role\":\
                    \"user\",\"content\":\"hi\"}]}";
        let twice = format!("{auth}content-length: 5\r\n");
        let both = format!("{auth}transfer-encoding: chunked\r\n");
        let wrong = [
            ("no key", post("", good), 401, "missing_credentials"),
            (
                "unknown key",
                post("authorization: Bearer x\r\n", good),
                401,
                "unknown_credentials",
            ),
            ("not JSON", post(&auth, "{"), 400, "bad_request"),
            ("no model", post(&auth, "{}"), 400, "bad_request"),
            (
                "no messages",
                post(&auth, "{\"model\":\"assistant\"}"),
                400,
                "bad_request",
            ),
            (
                "unknown model",
                post(&auth, &good.replace("assistant", "oracle")),
                404,
                "unknown_service",
            ),
            (
                "negative limit",
                post(&auth, &good.replace('{', "{\"max_tokens\":-1,")),
                400,
                "bad_request",
            ),
            ("long head", post(&long_head, good), 431, "head_too_large"),
            ("long body", post(&auth, &long_body), 413, "body_too_large"),
            ("two lengths", post(&twice, good), 400, "bad_request"),
            ("length and chunks", post(&both, good), 400, "bad_request"),
            (
                "no size of a chunk",
                unclear("transfer-encoding: chunked\r\n\r\n\r\n\r\n"),
                400,
                "bad_request",
            ),
            (
                "no size of the last chunk",
                unclear(
                    "transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n\r\n\
                     \r\n",
                ),
                400,
                "bad_request",
            ),
            (
                "bare line feeds",
                unclear("content-length: 2\n\n{}"),
                400,
                "bad_request",
            ),
            ("garbage", b"\x00\x01\x02\r\n\r\n".to_vec(), 400, "bad_request"),
            (
                "no such path",
                b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
                404,
                "unknown_path",
            ),
            (
                "wrong method",
                b"GET /v1/chat/completions HTTP/1.1\r\nhost: x\r\n\r\n"
                    .to_vec(),
                405,
                "method_not_allowed",
            ),
            (
                "half a head",
                b"POST /v1/chat/completions HT".to_vec(),
                408,
                "request_timeout",
            ),
            (
                "half a body",
                post(&auth, good)[..post(&auth, good).len() - 4].to_vec(),
                408,
                "request_timeout",
            ),
        ];
        for (name, bytes, status, kind) in wrong {
            let (line, body) = exchange(address, &bytes);
            assert!(line.contains(&status.to_string()), "{name}: {line}");
            assert_eq!(body["error"]["kind"], kind, "{name}: {body}");
            assert_eq!(body["error"]["ran"], "no", "{name}");
        }
        let row = balance(&fleet, BUDGET).await;
        assert_eq!(row.spent, 0);
        assert_eq!(engine_sum(&fleet, "requests").await, 0);
    });
}

#[test]
fn a_chunked_request_is_understood() {
    run(async {
        let fleet = Fleet::start(FleetPlan::new(1, 1)).unwrap();
        fleet.configure(100_000).await;
        let body = "{\"model\":\"assistant\",\"max_tokens\":2,\"messages\":\
                    [{\"role\":\"user\",\"content\":\"hi\"}]}";
        let message = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: \
             Bearer {}\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n\
             0\r\n\r\n",
            key_of(BUDGET),
            body.len(),
        );
        let address = fleet.routers[0].callers;
        let (line, body) = exchange(address, message.as_bytes());
        assert!(line.contains("200"), "{line}");
        assert_eq!(body["usage"]["total_tokens"], 3);
    });
}

#[test]
fn callers_that_vanish_leave_nothing_reserved() {
    run(async {
        let mut fleet = Fleet::start(FleetPlan::new(1, 1)).unwrap();
        fleet.configure(100_000).await;
        let auth = format!("authorization: Bearer {}\r\n", key_of(BUDGET));
        let body = "{\"model\":\"assistant\",\"max_tokens\":400,\"stream\":\
                    true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
        for _ in 0..20 {
            let address = fleet.routers[0].callers;
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(&post(&auth, body)).unwrap();
            stream.shutdown(Shutdown::Both).unwrap();
        }
        eventually("nothing is in progress", || async {
            fleet.status(0).await["in_progress"] == 0
                && engine_sum(&fleet, "running").await == 0
        })
        .await;
        let process = &mut fleet.routers[0].process;
        process.signal(magnolia_standins::fleet::Signal::Terminate);
        let status = process.wait_exit(Duration::from_secs(20));
        assert_eq!(status.expect("has left").code(), Some(0));
        let row = balance(&fleet, BUDGET).await;
        assert_eq!(row.held, 0, "nothing reserved left behind");
        assert_eq!(row.spent, engine_sum(&fleet, "tokens").await);
    });
}

#[test]
fn logs_are_json_lines_without_secrets() {
    run(async {
        let fleet = Fleet::start(FleetPlan::new(1, 1)).unwrap();
        fleet.configure(100_000).await;
        let auth = "authorization: Bearer my-secret-key\r\n";
        exchange(fleet.routers[0].callers, &post(auth, "{}"));
        let auth = format!("authorization: Bearer {}\r\n", key_of(BUDGET));
        exchange(fleet.routers[0].callers, &post(&auth, "{}"));
        // Lines are written by a thread of their own, shortly afterwards.
        let refused = || {
            let text = fleet.routers[0].process.log_text();
            text.matches("\"kind\":").count()
        };
        eventually("both refusals are logged", async || refused() >= 2).await;
        let text = fleet.routers[0].process.log_text();
        assert!(!text.contains("my-secret-key"), "{text}");
        assert!(!text.contains(&key_of(BUDGET)), "{text}");
        let mut refusals = 0;
        for line in text.lines() {
            let value: Value = serde_json::from_str(line).expect("JSON line");
            assert_eq!(value["vm"], "router-0");
            refusals += u64::from(value["kind"].is_string());
        }
        assert_eq!(refusals, 2, "{text}");
    });
}
