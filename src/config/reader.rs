//! Reading of YAML with complete and precise reports of faults.

use std::{
    cell::RefCell, fmt, net::SocketAddr, ops::RangeInclusive, rc::Rc,
    time::Duration,
};

use serde_yaml_ng::{Mapping, Value};

/// One fault of a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// The file.
    pub file: String,
    /// The key, with the keys above it joined by dots.
    pub key: String,
    /// What is wrong and what would be right.
    pub reason: String,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.key, self.reason)
    }
}

#[derive(Debug, Default)]
struct FaultList {
    faults: RefCell<Vec<ConfigFault>>,
}

/// Reads the keys of one YAML mapping and collects faults.
///
/// A getter that meets a fault notes it and returns a default, so that the
/// rest of the file is checked too. [`YamlReader::finish`] reports keys that
/// no getter asked for.
pub struct YamlReader {
    file: String,
    path: String,
    map: Mapping,
    list: Rc<FaultList>,
}

/// Parses a YAML text whose top level is a mapping.
///
/// # Errors
///
/// One fault with the line and column if the text is not YAML.
pub fn load_yaml(
    file: &str,
    text: &str,
) -> Result<YamlReader, Vec<ConfigFault>> {
    let fault = |reason: String| {
        let file = file.to_owned();
        vec![ConfigFault { file, key: "(file)".to_owned(), reason }]
    };
    let value: Value =
        serde_yaml_ng::from_str(text).map_err(|err| fault(err.to_string()))?;
    let Value::Mapping(map) = value else {
        return Err(fault("expected a mapping at the top level".to_owned()));
    };
    Ok(YamlReader {
        file: file.to_owned(),
        path: String::new(),
        map,
        list: Rc::default(),
    })
}

impl YamlReader {
    fn full_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Notes a fault of `key`.
    pub fn fault(&self, key: &str, reason: impl Into<String>) {
        let file = self.file.clone();
        let key = self.full_key(key);
        let fault = ConfigFault { file, key, reason: reason.into() };
        self.list.faults.borrow_mut().push(fault);
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.map.remove(key)
    }

    fn take_required(&mut self, key: &str) -> Option<Value> {
        let value = self.take(key);
        if value.is_none() {
            self.fault(key, "missing");
        }
        value
    }

    /// A required text.
    pub fn text(&mut self, key: &str) -> String {
        match self.take_required(key) {
            None => String::new(),
            Some(Value::String(text)) if !text.is_empty() => text,
            Some(other) => {
                self.fault(key, format!("expected a text, {}", shown(&other)));
                String::new()
            }
        }
    }

    /// An optional text.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        if !self.map.contains_key(key) {
            return None;
        }
        Some(self.text(key))
    }

    /// A list of texts; empty if it is absent.
    pub fn texts(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let mut texts = Vec::new();
        let Value::Sequence(items) = value else {
            self.fault(key, "expected a list of texts");
            return texts;
        };
        for item in items {
            let Value::String(text) = item else {
                self.fault(key, format!("expected texts, {}", shown(&item)));
                continue;
            };
            texts.push(text);
        }
        texts
    }

    /// A required address `IP:PORT`.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(value) = self.take_required(key) else {
            return unset;
        };
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        parsed.unwrap_or_else(|| {
            let found = shown(&value);
            self.fault(key, format!("expected an address IP:PORT, {found}"));
            unset
        })
    }

    /// An optional address `IP:PORT`.
    pub fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        if !self.map.contains_key(key) {
            return None;
        }
        Some(self.address(key))
    }

    /// A number from 0 to 1, or `default` if it is absent.
    pub fn fraction(&mut self, key: &str, default: f64) -> f64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let number = value.as_f64().filter(|n| (0.0..=1.0).contains(n));
        number.unwrap_or_else(|| {
            let found = shown(&value);
            self.fault(key, format!("expected a number from 0 to 1, {found}"));
            default
        })
    }

    /// A number of cores in hundredths, or 0 if it is absent.
    pub fn cores(&mut self, key: &str) -> u32 {
        let Some(value) = self.take(key) else {
            return 0;
        };
        let cores = value.as_f64().filter(|n| (0.01..=1_024.0).contains(n));
        let Some(cores) = cores else {
            let found = shown(&value);
            let wanted = "a number of cores from 0.01 to 1024";
            self.fault(key, format!("expected {wanted}, {found}"));
            return 0;
        };
        (cores * 100.0).round() as u32
    }

    /// A list of addresses `IP:PORT`; empty if it is absent.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for text in self.texts(key) {
            match text.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    let wanted = "expected addresses IP:PORT";
                    self.fault(key, format!("{wanted}, found {text:?}"));
                }
            }
        }
        addresses
    }

    /// A number within `range`, with a fraction or without, or `default` if
    /// it is absent.
    pub fn quantity(
        &mut self,
        key: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> f64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let number = value.as_f64().filter(|number| range.contains(number));
        number.unwrap_or_else(|| {
            let (low, high) = range.into_inner();
            let found = shown(&value);
            let wanted = format!("a number from {low} to {high}");
            self.fault(key, format!("expected {wanted}, {found}"));
            default
        })
    }

    /// A whole number within `range`, or `default` if it is absent.
    pub fn number(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let number = value.as_u64().filter(|number| range.contains(number));
        number.unwrap_or_else(|| {
            let (low, high) = range.into_inner();
            let found = shown(&value);
            let wanted = format!("a whole number from {low} to {high}");
            self.fault(key, format!("expected {wanted}, {found}"));
            default
        })
    }

    /// A flag, or `default` if it is absent.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.take(key) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            let found = shown(&value);
            self.fault(key, format!("expected true or false, {found}"));
            default
        })
    }

    /// A duration such as `250ms`, `1.5s`, `5m` or `2h` within `range`, or
    /// `default` if it is absent.
    pub fn duration(
        &mut self,
        key: &str,
        default: Duration,
        range: RangeInclusive<Duration>,
    ) -> Duration {
        let Some(value) = self.take(key) else {
            return default;
        };
        let Some(duration) = value.as_str().and_then(parse_duration) else {
            let found = shown(&value);
            let wanted = "a duration with a unit (ms, s, m, h)";
            self.fault(key, format!("expected {wanted}, {found}"));
            return default;
        };
        if !range.contains(&duration) {
            let (low, high) = range.into_inner();
            self.fault(key, format!("must be from {low:?} to {high:?}"));
            return default;
        }
        duration
    }

    /// A size such as `16KiB` or `1MiB`, or `default` if it is absent.
    pub fn size(
        &mut self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(value) = self.take(key) else {
            return default;
        };
        let Some(size) = value.as_str().and_then(parse_size) else {
            let found = shown(&value);
            let wanted = "a size with a unit (B, KiB, MiB, MB)";
            self.fault(key, format!("expected {wanted}, {found}"));
            return default;
        };
        if !range.contains(&size) {
            let (low, high) = range.into_inner();
            self.fault(key, format!("must be from {low} to {high} bytes"));
            return default;
        }
        size
    }

    /// A size such as `160MB`, if it is there.
    pub fn optional_size(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.map.contains_key(key).then(|| self.size(key, 0, range))
    }

    /// One of a closed list of words; the first one if it is absent.
    pub fn choice<T: Copy>(&mut self, key: &str, choices: &[(&str, T)]) -> T {
        let default = choices[0].1;
        let Some(value) = self.take(key) else {
            return default;
        };
        for (word, choice) in choices {
            if value.as_str() == Some(word) {
                return *choice;
            }
        }
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let found = shown(&value);
        let wanted = words.join(", ");
        self.fault(key, format!("expected one of {wanted}; {found}"));
        default
    }

    /// A mapping below this one; empty if it is absent.
    pub fn section(&mut self, key: &str) -> YamlReader {
        let map = match self.take(key) {
            None | Some(Value::Null) => Mapping::new(),
            Some(Value::Mapping(map)) => map,
            Some(other) => {
                let found = shown(&other);
                self.fault(key, format!("expected a mapping, {found}"));
                Mapping::new()
            }
        };
        let path = self.full_key(key);
        let (file, list) = (self.file.clone(), self.list.clone());
        YamlReader { file, path, map, list }
    }

    /// The mappings below this one, by name; the reader is then empty.
    pub fn sections(&mut self) -> Vec<(String, YamlReader)> {
        let mut sections = Vec::new();
        let keys: Vec<Value> = self.map.keys().cloned().collect();
        for key in keys {
            let Value::String(name) = key else {
                self.fault(&shown(&key), "expected a text as a name");
                self.map.remove(&key);
                continue;
            };
            if !is_name(&name) {
                let wanted = "lower-case letters, digits, - and .";
                self.fault(&name, format!("a name consists of {wanted}"));
            }
            let section = self.section(&name);
            sections.push((name, section));
        }
        sections
    }

    /// Notes keys that nothing asked for.
    pub fn finish(self) {
        for key in self.map.keys() {
            let key = key.as_str().map_or_else(|| shown(key), str::to_owned);
            self.fault(&key, "unknown key");
        }
    }

    /// Notes keys that nothing asked for and returns all faults so far.
    pub fn finish_file(self) -> Vec<ConfigFault> {
        let list = self.list.clone();
        self.finish();
        list.faults.take()
    }
}

/// Whether a text may name an account, a service or a preset.
fn is_name(text: &str) -> bool {
    let allowed = |c: char| {
        c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(c)
    };
    !text.is_empty() && text.chars().all(allowed)
}

/// Splits a quantity into its number and its unit.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let is_digit = |c: char| c.is_ascii_digit() || c == '.';
    let end = text.find(|c: char| !is_digit(c))?;
    let (digits, unit) = text.split_at(end);
    Some((digits.parse().ok()?, unit))
}

fn parse_duration(text: &str) -> Option<Duration> {
    let (count, unit) = split_unit(text)?;
    let duration = match unit {
        "ms" => count / 1_000.0,
        "s" => count,
        "m" => count * 60.0,
        "h" => count * 3_600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(duration).ok()
}

/// Parses a size such as `16KiB` or `160MB`.
pub(crate) fn parse_size(text: &str) -> Option<u64> {
    let (count, unit) = split_unit(text)?;
    let factor = match unit {
        "B" => 1.0,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "MB" => 1_000_000.0,
        _ => return None,
    };
    Some((count * factor).round() as u64)
}

fn shown(value: &Value) -> String {
    let kind = match value {
        Value::Null => return "found nothing".to_owned(),
        Value::Bool(flag) => return format!("found {flag}"),
        Value::Number(number) => return format!("found {number}"),
        Value::String(text) => return format!("found {text:?}"),
        Value::Sequence(_) => "a list",
        Value::Mapping(_) => "a mapping",
        Value::Tagged(_) => "a tagged value",
    };
    format!("found {kind}")
}
