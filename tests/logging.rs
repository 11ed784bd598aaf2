//! Log lines: never in the way of a request, and enough to explain one.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use magnoliahaven::{
    ctl::RequestStory,
    telemetry::{
        COMMON_FIELDS, LineFault, LineKind, LineQuota, LogEvent, LogPipe,
        check_line,
    },
};

/// An output whose reader has stopped reading.
#[derive(Clone, Default)]
struct StuckOutput {
    is_stuck: Arc<AtomicBool>,
}

impl Write for StuckOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        self.is_stuck.store(true, Ordering::Release);
        thread::sleep(Duration::from_secs(3_600));
        Ok(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_blocks_nobody() {
    let output = StuckOutput::default();
    let mut pipe = LogPipe::new("vm-1", output.clone());
    let line = [b'x'; 200];
    pipe.write_all(&line).unwrap();
    // A thread that starts after the flood would tell of what was dropped.
    while !output.is_stuck.load(Ordering::Acquire) {
        thread::sleep(Duration::from_millis(1));
    }
    let started = Instant::now();
    for _ in 0..20_000 {
        pipe.write_all(&line).unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    // 4 MB were offered and half a megabyte may wait, twice.
    assert!(pipe.dropped() > 14_000, "{} dropped", pipe.dropped());
    assert!(!pipe.drain(Duration::from_millis(20)));
}

#[derive(Clone, Default)]
struct CountedOutput {
    bytes: Arc<AtomicUsize>,
}

impl Write for CountedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn what_waits_is_written_at_the_end() {
    let output = CountedOutput::default();
    let mut pipe = LogPipe::new("vm-1", output.clone());
    for _ in 0..100 {
        pipe.write_all(b"0123456789").unwrap();
    }
    assert!(pipe.drain(Duration::from_secs(5)));
    assert_eq!(output.bytes.load(Ordering::Relaxed), 1_000);
}

/// An output that keeps each write.
#[derive(Clone, Default)]
struct RecordedOutput {
    writes: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Write for RecordedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writes.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A reader that takes 8 KiB of a write lost the rest: half of the lines
/// that a gateway writes at its start.
#[test]
fn many_lines_at_once_are_written_in_pieces_that_a_pipe_takes_whole() {
    let output = RecordedOutput::default();
    let mut pipe = LogPipe::new("vm-1", output.clone());
    let mut expected = Vec::new();
    for number in 0..200 {
        let line = format!("{number:0100}\n");
        expected.extend_from_slice(line.as_bytes());
        pipe.write_all(line.as_bytes()).unwrap();
    }
    assert!(pipe.drain(Duration::from_secs(5)));
    let writes = output.writes.lock().unwrap();
    for write in writes.iter() {
        assert!(write.len() <= 4_096, "{} bytes", write.len());
        assert_eq!(write.last(), Some(&b'\n'));
    }
    assert_eq!(writes.concat(), expected);
}

#[test]
fn lines_beyond_the_quota_are_counted_and_told_once_a_second() {
    let start = Instant::now();
    let mut quota = LineQuota::new(start);
    let taken = (0..1_000).filter(|_| quota.take(LineKind::Success, start));
    assert_eq!(taken.count(), 200);
    assert_eq!(quota.take_dropped(start), None);
    let later = start + Duration::from_secs(1);
    assert!(quota.take(LineKind::Other, later));
    assert_eq!(quota.take_dropped(later), Some(800));
    assert_eq!(quota.take_dropped(later + Duration::from_secs(2)), None);
}

#[test]
fn names_of_events_are_unique_and_hide_no_common_field() {
    let mut names = std::collections::BTreeSet::new();
    for event in LogEvent::ALL {
        assert!(names.insert(event.name()), "{event} is there twice");
        for field in event.fields() {
            assert!(!COMMON_FIELDS.contains(field), "{event} hides {field}");
        }
    }
}

#[test]
fn the_operators_page_lists_each_event_with_its_fields() {
    let page = include_str!("../docs/OPERATIONS.md");
    for event in LogEvent::ALL {
        let start = format!("| `{event}` |");
        let row = page.lines().find(|line| line.starts_with(&start));
        let row = row.unwrap_or_else(|| panic!("{event} is not listed"));
        for field in event.fields() {
            let shown = format!("`{field}`");
            assert!(row.contains(&shown), "{event} without {field}");
        }
    }
}

#[test]
fn a_line_beyond_the_list_is_found() {
    let common = r#""time_ms":1,"level":"INFO","vm":"v","target":"t""#;
    let line = |rest: &str| format!("{{{common},\"message\":\"m\",{rest}}}");
    let known = line(r#""event":"peer_dead","peer":"vm-2""#);
    assert_eq!(check_line(&known).unwrap(), LogEvent::PeerDead);
    let unknown = check_line(&line(r#""event":"peer_bored""#));
    assert!(matches!(unknown, Err(LineFault::UnknownEvent { .. })));
    let short = check_line(&line(r#""event":"peer_dead""#));
    let Err(LineFault::MissingFields { fields, .. }) = short else {
        panic!("a line without its field");
    };
    assert_eq!(fields, ["peer"]);
    assert!(matches!(check_line("x"), Err(LineFault::NotJson { .. })));
}

/// Lines of two routers about three requests, as routers write them.
const RECORDED: &str = r#"
{"time_ms":1000,"vm":"vm-1","message":"dependency lost","dependency":"allowance topic"}
{"time_ms":1500,"vm":"vm-1","message":"attempt failed: connection lost","request_id":"a","upstream":"w-1","sends":1}
{"time_ms":1400,"vm":"vm-1","message":"upstream ejected","upstream":"w-1","cause":"Lost"}
{"time_ms":1400,"vm":"vm-1","message":"upstream ejected","upstream":"w-7","cause":"Lost"}
{"time_ms":1600,"vm":"vm-1","message":"request failed: the upstream failed: connection lost","request_id":"a","kind":"outcome_unknown"}
{"time_ms":1601,"vm":"vm-1","message":"request ended","request_id":"a","upstream":"w-1","account":"dairy","outcome":"outcome_unknown"}
{"time_ms":1700,"vm":"vm-2","message":"request failed: 20 tokens of dairy did not arrive in time","request_id":"b"}
{"time_ms":1701,"vm":"vm-2","message":"request ended","request_id":"b","account":"dairy","outcome":"budget_unavailable"}
not a line
{"time_ms":9000,"vm":"vm-1","message":"request ended","request_id":"c","outcome":"200"}
"#;

#[test]
fn the_logs_of_several_routers_tell_the_story_of_a_request() {
    let story = RequestStory::new("a", RECORDED.lines());
    assert_eq!(story.outcome(), Some("outcome_unknown"));
    let cause = "request failed: the upstream failed: connection lost";
    assert_eq!(story.cause(), Some(cause));
    let near: Vec<&str> =
        story.context.iter().map(|line| line.message.as_str()).collect();
    // The other upstream has nothing to do with the request.
    assert_eq!(near, ["dependency lost", "upstream ejected"]);
    assert_eq!(story.unreadable, 1);
    let story = RequestStory::new("b", RECORDED.lines());
    assert_eq!(story.outcome(), Some("budget_unavailable"));
    assert!(story.context.is_empty());
    let story = RequestStory::new("c", RECORDED.lines());
    assert_eq!(story.cause(), None);
    assert!(RequestStory::new("d", RECORDED.lines()).own.is_empty());
}
