//! The operators' declaration file.

use std::{collections::BTreeMap, time::Duration};

use super::{
    AccountDocument, BudgetDocument, CallClass, ConfigFault, Document,
    PresetDocument, ServiceDocument, ServiceKind, YamlReader, check_documents,
    load_yaml,
};

/// A declaration: all documents that shall be in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Declaration {
    /// Documents by path, such as `account/dairy`.
    pub documents: BTreeMap<String, Document>,
}

impl Declaration {
    /// Reads a declaration from a YAML text.
    ///
    /// `docs/CONFIG.md` lists the keys.
    ///
    /// # Errors
    ///
    /// Every fault of the file.
    ///
    /// # Example
    ///
    /// ```
    /// use magnoliahaven::Declaration;
    ///
    /// let text = "services: {chat: {kind: model, vresion: v1}}";
    /// let faults = Declaration::parse("a.yaml", text).unwrap_err();
    /// assert!(faults.iter().any(|fault| {
    ///     fault.to_string()
    ///         == "a.yaml: services.chat.vresion: unknown key"
    /// }));
    /// ```
    pub fn parse(
        file: &str,
        text: &str,
    ) -> Result<Declaration, Vec<ConfigFault>> {
        let mut reader = load_yaml(file, text)?;
        let mut documents = BTreeMap::new();
        for (name, section) in reader.section("accounts").sections() {
            let document = Document::Account(parse_account(section));
            documents.insert(format!("account/{name}"), document);
        }
        for (name, section) in reader.section("services").sections() {
            let document = Document::Service(parse_service(section));
            documents.insert(format!("service/{name}"), document);
        }
        for (name, section) in reader.section("presets").sections() {
            let document = Document::Preset(parse_preset(section));
            documents.insert(format!("preset/{name}"), document);
        }
        let first_preset = first_preset(&documents);
        match &first_preset {
            None => reader.fault("presets", "at least one is needed"),
            Some(preset) => {
                for fault in check_documents(&documents, preset) {
                    reader.fault("accounts", fault);
                }
            }
        }
        let faults = reader.finish_file();
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Declaration { documents })
    }

    /// The preset that is in force until an operator switches: `ordinary`
    /// if it is declared, the first by name otherwise.
    pub fn initial_preset(&self) -> Option<String> {
        first_preset(&self.documents)
    }
}

fn first_preset(documents: &BTreeMap<String, Document>) -> Option<String> {
    let names = || documents.keys().filter_map(|p| p.strip_prefix("preset/"));
    let ordinary = names().find(|name| *name == "ordinary");
    ordinary.or_else(|| names().next()).map(str::to_owned)
}

fn parse_account(mut section: YamlReader) -> AccountDocument {
    let concurrent = section.number("concurrent", 256, 1..=100_000) as u32;
    let mut budgets = BTreeMap::new();
    let mut list = section.section("budgets");
    for (name, mut budget) in list.sections() {
        let keys = budget.texts("key_sha256");
        for key in &keys {
            let hex = key.len() == 64
                && key.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
            if !hex {
                let wanted = "64 lower-case hexadecimal digits";
                budget.fault("key_sha256", format!("expected {wanted}"));
            }
        }
        let class = budget.choice(
            "class",
            &[
                ("check", CallClass::Check),
                ("urgent", CallClass::Urgent),
                ("draft", CallClass::Draft),
            ],
        );
        budget.finish();
        budgets.insert(name, BudgetDocument { keys, class });
    }
    if budgets.is_empty() {
        section.fault("budgets", "at least one is needed");
    }
    section.finish();
    AccountDocument { budgets, concurrent }
}

fn parse_service(mut section: YamlReader) -> ServiceDocument {
    let kind = section.choice(
        "kind",
        &[
            ("model", ServiceKind::Model),
            ("plain", ServiceKind::Plain),
            ("plain-once", ServiceKind::PlainOnce),
        ],
    );
    let version = section.text("version");
    let limit = section.number("upstream_limit", 16, 1..=100_000);
    let max_tokens = section.number("max_tokens", 512, 1..=1_000_000);
    let price = section.number("price", 1, 0..=1_000_000);
    let fenced = section.flag("fenced", false);
    section.finish();
    ServiceDocument {
        kind,
        version,
        upstream_limit: limit as u32,
        max_tokens,
        price,
        fenced,
    }
}

fn parse_preset(mut section: YamlReader) -> PresetDocument {
    let mut waits = section.section("queue_wait");
    let mut queue_wait_ms = BTreeMap::new();
    let longest = Duration::from_secs(600);
    for class in CallClass::ALL {
        let default = Duration::from_millis(match class {
            CallClass::Urgent => 500,
            CallClass::Check => 1_000,
            CallClass::Draft => 5_000,
        });
        let range = Duration::ZERO..=longest;
        let wait = waits.duration(class.name(), default, range);
        queue_wait_ms.insert(class, wait.as_millis() as u64);
    }
    waits.finish();
    let draft = section.number("draft_percent", 75, 0..=100);
    let canary = section.number("canary_percent", 5, 1..=20);
    section.finish();
    PresetDocument {
        queue_wait_ms,
        draft_percent: draft as u32,
        canary_percent: canary as u32,
    }
}

/// The difference between two sets of documents.
///
/// Returns the documents to set and the paths to remove.
pub fn diff_documents(
    current: &BTreeMap<String, Document>,
    wanted: &BTreeMap<String, Document>,
) -> (BTreeMap<String, Document>, Vec<String>) {
    let mut set = BTreeMap::new();
    for (path, document) in wanted {
        if current.get(path) != Some(document) {
            set.insert(path.clone(), document.clone());
        }
    }
    let gone = current.keys().filter(|path| !wanted.contains_key(*path));
    (set, gone.cloned().collect())
}
