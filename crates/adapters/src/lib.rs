//! The outside systems behind one small trait and one adapter each.
//!
//! Each trait says what the system needs of one outside system; the adapter in `http` speaks
//! that system's published protocol. Another protocol is attached by another adapter, without
//! touching a decision. Every error tells apart what certainly wasn't done from what may have
//! taken effect ([`PlatformError::took_effect`]), since the three outcomes of a request hang on it.

mod answer_status;
mod engine;
mod error;
mod http;
mod listen;
mod log;
mod origin;
mod plain;
mod sse;
mod vms;

pub use crate::answer_status::{has_no_body, is_final};
pub use crate::engine::{
    CacheEvent, CacheEventKind, CacheEvents, CancelState, Engine, EngineEvent, EngineStatus,
    GenerateRequest,
};
pub use crate::error::{Effect, PlatformError, TransportError};
pub use crate::http::{
    BaseUrl, BaseUrlError, Body, HttpClient, HttpEngine, HttpLog, HttpOrigin, HttpPlainService,
    HttpVmList, Returning, TokenStream, body_timeout, collect_body, discard, encode_segment,
    retry_after,
};
pub use crate::listen::bind;
pub use crate::log::{LogPage, LogRecord, LogService};
pub use crate::origin::Origin;
pub use crate::plain::PlainService;
pub use crate::sse::{SseDecoder, SseError, SseEvent};
pub use crate::vms::{VmList, VmListPage};
