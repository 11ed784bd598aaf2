//! A model engine with continuous batching, and a plain service.
//!
//! The engine generates a token for every running request in each step. A
//! step takes longer with more requests, and far longer past the limit: the
//! engine then collapses. A request is known by its identity, so that a
//! repetition joins it instead of running again; it can be stopped, and
//! resumed where it was stopped.
//!
//! The text of an answer is a function of the prompt, so that a caller can
//! tell a whole answer of its own from any other.

mod handler;
mod load;
mod plain;
mod prompt;
mod streams;

pub use self::{
    handler::{EngineFaults, EngineOptions, EngineStandin},
    load::LoadMeter,
    plain::PlainBook,
    prompt::{ChatPrompt, expected_text},
    streams::{StreamBook, StreamClaim},
};
