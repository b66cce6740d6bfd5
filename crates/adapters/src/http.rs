//! Adapters for the published protocols, which are HTTP with JSON or server-sent events.

mod body;
mod client;
mod engine;
mod exchange;
mod leftover;
mod log;
mod origin;
mod plain;
mod token;
mod url;
mod vms;

pub use body::Body;
pub use client::HttpClient;
pub use engine::{HttpEngine, TokenStream};
pub use exchange::{body_timeout, collect_body, retry_after};
pub use leftover::{Returning, discard};
pub use log::HttpLog;
pub use origin::HttpOrigin;
pub use plain::HttpPlainService;
pub use url::{BaseUrl, BaseUrlError, encode_segment};
pub use vms::HttpVmList;
