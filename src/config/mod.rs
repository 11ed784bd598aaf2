//! Settings of a process and declarations of the operators.
//!
//! *Settings* belong to one process: its addresses, its VM, its limits.
//! They are read once at the start. *Declarations* belong to the whole
//! system: client accounts, services and presets. Operators keep them in
//! version control and publish changes on the control stream, which every
//! router folds with [`ControlLedger`].
//!
//! Both are YAML and go through the same [`YamlReader`], which reports every
//! fault of a file at once, each with file, key and reason.

mod control;
mod declaration;
mod document;
mod reader;
mod settings;

pub(crate) use self::reader::parse_size;
pub use self::{
    control::{
        CONTROL_STREAM, ChangeRecord, ControlLedger, ControlRecord,
        RefusedChange, RevisionInfo,
    },
    declaration::{Declaration, diff_documents},
    document::{
        AccountDocument, BudgetDocument, CallClass, Document, PresetDocument,
        ServiceDocument, ServiceKind, check_documents, hash_key,
    },
    reader::{ConfigFault, YamlReader, load_yaml},
    settings::{
        BudgetSettings, LimitSettings, ListenSettings, LogSettings,
        MoveSettings, RetrySettings, RouterSettings,
    },
};
