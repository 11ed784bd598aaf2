//! Joining log lines of several routers into the story of one request.

use std::collections::BTreeSet;

use serde_json::Value;

/// Lines about an upstream or a dependency count for a request if they lie
/// this close to its own lines, in milliseconds.
const NEAR_MS: u64 = 5_000;

/// One line of a story.
#[derive(Clone, Debug, PartialEq)]
pub struct StoryLine {
    /// When the line was written, by the clock of its VM.
    pub time_ms: u64,
    /// The VM.
    pub vm: String,
    /// The message.
    pub message: String,
    /// All fields of the line.
    pub fields: Value,
}

/// What the logs tell of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestStory {
    /// Lines that name the request, in order of time.
    pub own: Vec<StoryLine>,
    /// Lines about what the request depended on, close to it.
    pub context: Vec<StoryLine>,
    /// Lines that are no JSON objects.
    pub unreadable: usize,
}

impl RequestStory {
    /// Collects the story of a request from the lines of all routers.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::ctl::RequestStory;
    ///
    /// let line = r#"{"time_ms":1,"vm":"a","message":"request ended",
    ///     "request_id":"r","outcome":"no_upstream"}"#;
    /// let line = line.replace('\n', "");
    /// let story = RequestStory::new("r", [line.as_str()].into_iter());
    /// assert_eq!(story.outcome(), Some("no_upstream"));
    /// ```
    pub fn new<'a>(
        id: &str,
        lines: impl Iterator<Item = &'a str>,
    ) -> RequestStory {
        let mut story = RequestStory::default();
        let mut others = Vec::new();
        for text in lines {
            if text.trim().is_empty() {
                continue;
            }
            let Some(line) = parse(text) else {
                story.unreadable += 1;
                continue;
            };
            match line.fields.get("request_id").and_then(Value::as_str) {
                Some(named) if named == id => story.own.push(line),
                Some(_) => {}
                None => others.push(line),
            }
        }
        story.own.sort_by_key(|line| line.time_ms);
        story.context = story.near(others);
        story
    }

    /// Lines about the request's routers, upstreams and account close to
    /// its own lines.
    fn near(&self, others: Vec<StoryLine>) -> Vec<StoryLine> {
        let (Some(first), Some(last)) = (self.own.first(), self.own.last())
        else {
            return Vec::new();
        };
        let from = first.time_ms.saturating_sub(NEAR_MS);
        let to = last.time_ms + NEAR_MS;
        let mut names: BTreeSet<&str> = BTreeSet::new();
        let mut vms: BTreeSet<&str> = BTreeSet::new();
        for line in &self.own {
            vms.insert(&line.vm);
            for key in ["upstream", "account"] {
                names.extend(line.fields.get(key).and_then(Value::as_str));
            }
        }
        let mut near = Vec::new();
        for line in others {
            let field = |key| line.fields.get(key).and_then(Value::as_str);
            let concerns = field("dependency").is_some()
                || field("upstream").is_some_and(|n| names.contains(n))
                || field("account").is_some_and(|n| names.contains(n))
                || line.fields.get("catalog").is_some();
            let is_close = (from..=to).contains(&line.time_ms);
            if is_close && concerns && vms.contains(line.vm.as_str()) {
                near.push(line);
            }
        }
        near.sort_by_key(|line| line.time_ms);
        near
    }

    /// How the request ended, if the logs tell.
    pub fn outcome(&self) -> Option<&str> {
        let ends = self.own.iter().rev();
        let mut outcomes =
            ends.filter_map(|line| line.fields.get("outcome")?.as_str());
        outcomes.next()
    }

    /// The message that tells why the request failed, if it did.
    pub fn cause(&self) -> Option<&str> {
        let failed = |line: &&StoryLine| {
            line.message.starts_with("request failed")
                || line.message.starts_with("attempt failed")
        };
        let line = self.own.iter().rev().find(failed)?;
        Some(&line.message)
    }
}

fn parse(text: &str) -> Option<StoryLine> {
    let fields: Value = serde_json::from_str(text).ok()?;
    let text_of = |key: &str| {
        let value = fields.get(key).and_then(Value::as_str);
        value.unwrap_or_default().to_owned()
    };
    let (vm, message) = (text_of("vm"), text_of("message"));
    let time_ms = fields.get("time_ms")?.as_u64()?;
    Some(StoryLine { time_ms, vm, message, fields })
}
