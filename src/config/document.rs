//! The documents of which a configuration consists.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

value_types! {
    /// How urgent the requests of a budget are.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum CallClass {
        /// Somebody waits on the spot.
        Urgent,
        /// Short requests of everyday work.
        Check,
        /// Long texts that nobody waits for.
        Draft,
    }

    /// One prepaid budget of an account.
    pub struct BudgetDocument {
        /// SHA-256 of the keys that draw on the budget, in hexadecimal.
        pub keys: Vec<String>,
        /// How urgent its requests are.
        pub class: CallClass,
    }

    /// A client account.
    pub struct AccountDocument {
        /// The budgets by name.
        pub budgets: BTreeMap<String, BudgetDocument>,
        /// Most requests in progress at one router.
        pub concurrent: u32,
    }

    /// What kind of upstream serves a service.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum ServiceKind {
        /// Model engines with the chat-completions interface.
        Model,
        /// Plain services whose calls may be repeated.
        Plain,
        /// Plain services whose calls must run at most once.
        PlainOnce,
    }

    /// A service and how it is used.
    pub struct ServiceDocument {
        /// What kind of upstream serves it.
        pub kind: ServiceKind,
        /// The version that takes the traffic.
        pub version: String,
        /// Most requests in progress at one upstream, over all routers.
        pub upstream_limit: u32,
        /// Output tokens of a request that names no limit.
        pub max_tokens: u64,
        /// Tokens billed for a call of a plain service.
        pub price: u64,
        /// Whether the engines refuse orders with an old fencing number.
        pub fenced: bool,
    }

    /// A mode of operation, of which exactly one is in force.
    pub struct PresetDocument {
        /// Longest wait in the queue, by class, in milliseconds.
        pub queue_wait_ms: BTreeMap<CallClass, u64>,
        /// Part of an upstream's limit open to drafts, in percent.
        pub draft_percent: u32,
        /// First share of a new version, in percent.
        pub canary_percent: u32,
    }

    /// One document of a configuration.
    #[serde(rename_all = "snake_case")]
    pub enum Document {
        /// A client account.
        Account(AccountDocument),
        /// A service.
        Service(ServiceDocument),
        /// A preset.
        Preset(PresetDocument),
    }
}

impl CallClass {
    /// All classes, the most urgent first.
    pub const ALL: [CallClass; 3] =
        [CallClass::Urgent, CallClass::Check, CallClass::Draft];

    /// The name of the class in metrics and declarations.
    pub fn name(self) -> &'static str {
        match self {
            CallClass::Urgent => "urgent",
            CallClass::Check => "check",
            CallClass::Draft => "draft",
        }
    }

    /// The priority that upstreams are given; lower is served first.
    pub fn priority(self) -> u8 {
        match self {
            CallClass::Urgent => 0,
            CallClass::Check => 1,
            CallClass::Draft => 2,
        }
    }
}

/// The form in which a key stands in a declaration.
///
/// # Example
///
/// ```
/// use magnoliahaven::config::hash_key;
///
/// assert_eq!(hash_key("secret").len(), 64);
/// ```
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let mut hex = String::with_capacity(64);
    for byte in digest {
        hex.push_str(&format!("{byte:02x}"));
    }
    hex
}

/// Checks what a single document cannot show: links between documents.
///
/// Returns one line for each fault.
pub fn check_documents(
    documents: &BTreeMap<String, Document>,
    preset: &str,
) -> Vec<String> {
    let mut faults = Vec::new();
    let mut owners: BTreeMap<&str, String> = BTreeMap::new();
    for (path, document) in documents {
        let Document::Account(account) = document else {
            continue;
        };
        for (name, budget) in &account.budgets {
            for key in &budget.keys {
                let owner = format!("{path}/{name}");
                if let Some(other) = owners.insert(key, owner.clone()) {
                    faults.push(format!(
                        "{owner}: a key is already used by {other}"
                    ));
                }
            }
        }
    }
    let presets: Vec<&str> = documents
        .keys()
        .filter_map(|path| path.strip_prefix("preset/"))
        .collect();
    if !presets.contains(&preset) {
        faults.push(format!(
            "preset {preset:?} is in force but not declared; declared are: {}",
            presets.join(", "),
        ));
    }
    faults
}
