//! What a request asks for, and the text that answers it.

use serde::Deserialize;

/// Prompt words that ask for a number of output tokens, as in `len=40`.
const LENGTH_WORD: &str = "len=";

#[derive(Deserialize)]
struct MessageFields {
    content: String,
}

#[derive(Deserialize)]
struct BodyFields {
    messages: Vec<MessageFields>,
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
}

/// A request as the engine understands it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatPrompt {
    /// All messages, joined.
    pub text: String,
    /// Output tokens of the whole answer.
    pub length: u64,
    /// Whether the answer is streamed.
    pub streams: bool,
}

impl ChatPrompt {
    /// Reads a request; `None` if it is malformed.
    pub fn parse(body: &[u8]) -> Option<ChatPrompt> {
        let fields: BodyFields = serde_json::from_slice(body).ok()?;
        let texts: Vec<String> =
            fields.messages.into_iter().map(|m| m.content).collect();
        let text = texts.join("\n");
        let wanted = text
            .split_whitespace()
            .filter_map(|word| word.strip_prefix(LENGTH_WORD))
            .find_map(|length| length.parse().ok());
        let length = fields.max_tokens.min(wanted.unwrap_or(u64::MAX));
        Some(ChatPrompt { text, length, streams: fields.stream })
    }

    /// The tokens of the prompt; words count as tokens.
    pub fn tokens(&self) -> u64 {
        self.text.split_whitespace().count() as u64
    }

    /// The output token at a position.
    pub fn output(&self, index: u64) -> String {
        let hash = xxhash_rust::xxh3::xxh3_64(self.text.as_bytes());
        format!("{:04x}.{index} ", hash as u16)
    }
}

/// The whole answer to a prompt, as a caller checks it.
pub fn expected_text(prompt: &str, length: u64) -> String {
    let text = prompt.to_owned();
    let prompt = ChatPrompt { text, length, streams: true };
    let mut whole = String::new();
    for index in 0..length {
        whole.push_str(&prompt.output(index));
    }
    whole
}
