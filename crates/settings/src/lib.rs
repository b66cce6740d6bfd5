//! Settings of both programs and the check of service documents, in YAML.
//!
//! Both are read into a tree in which each value knows its place, and from there into typed
//! values. A value that does not fit is noted and reading goes on, so that whoever wrote the file
//! gets every mistake at once, each with its place and the remedy.

mod agent;
mod bounds;
mod direct;
mod document;
mod entry;
mod fields;
mod keyring;
mod listen;
mod names;
mod problem;
mod tree;
mod values;

pub use agent::{AgentListen, AgentPlatform, AgentSettings, UpstreamSettings, WeightsSettings};
pub use direct::{
    AdmissionMode, DirectBounds, DirectEntrySettings, DirectListen, PromptCacheSettings,
    StagingAgentSettings,
};
pub use document::{MAX_DOCUMENT_BYTES, check_document, check_document_for};
pub use entry::{
    ConfigSettings, CustomerSettings, EntryListen, EntryPlatform, EntrySettings, OrderSettings,
    TeamSettings,
};
pub use keyring::{Keyring, hash_token};
pub use names::{MAX_NAME, is_name};
pub use problem::{Problem, SettingsErrors};
