//! Model engines.

use std::io;
use std::time::SystemTime;

use bytes::Bytes;
use futures::Stream;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};
use wagtailreel_core::{Bundle, Digest, EngineLoad, Epoch, Priority, RequestId};

use crate::PlatformError;

/// What an engine says of itself.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Digests of the bundles that it holds.
    pub bundles: Vec<Digest>,
    /// Its load, which lags.
    #[serde(flatten)]
    pub load: EngineLoad,
    /// When it started; a change means that it restarted and forgot its bundles.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    #[serde(rename = "started_at_ms")]
    pub started_at: SystemTime,
}

/// One request for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Identifies the request, for cancelling.
    pub request: RequestId,
    /// Digest of the bundle that is to answer.
    pub bundle: Digest,
    /// The caller's prompt.
    pub prompt: String,
    /// Tokens in the whole answer.
    pub max_tokens: u32,
    /// Place in the engine's queue.
    pub priority: Priority,
    /// Index of the first token that is wanted.
    pub resume_from: u32,
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token.
    Token {
        /// Position in the answer, from 0.
        index: u32,
        /// The token as JSON on one line, `{"index": 0, "token": "..."}`, checked and ready to be
        /// passed on.
        data: Bytes,
    },
    /// The answer is whole.
    End {
        /// Tokens of the whole answer.
        tokens: u32,
        /// Digest of the bundle that answered.
        bundle: Digest,
    },
}

/// What became of a request that was to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelState {
    /// It was waiting or running and is no more.
    Cancelled,
    /// The engine doesn't know it.
    Unknown,
    /// It was over before.
    Done,
}

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The prefix is in the cache now.
    Stored,
    /// The prefix no longer is.
    Evicted,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up; a gap means that events are missing.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: String,
    /// What happened to it.
    pub kind: CacheEventKind,
}

/// Some changes of an engine's prefix cache, late and with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number to ask from next time.
    pub next: u64,
    /// The changes in order.
    pub events: Vec<CacheEvent>,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The answer to a request, event by event. It ends after [`EngineEvent::End`] or an error.
    type Tokens: Stream<Item = Result<EngineEvent, PlatformError>> + Send + Unpin + 'static;

    /// Loads `bundle` from `body`, which gives all parts' bytes in order, and returns the digest
    /// that the engine computed from what it read. The caller compares it with that of `bundle`.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the engine refuses (status 409 for an old fencing number,
    /// 422 for other bytes than named, 507 for no place) or its answer is lost.
    fn load<S>(
        &self,
        bundle: &Bundle,
        fence: Epoch,
        body: S,
    ) -> impl Future<Output = Result<Digest, PlatformError>> + Send
    where
        S: Stream<Item = Result<Bytes, io::Error>> + Send + 'static;

    /// Drops a bundle.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the engine refuses or its answer is lost.
    fn unload(
        &self,
        bundle: Digest,
        fence: Epoch,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Returns what the engine says of itself.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if it says nothing.
    fn status(&self) -> impl Future<Output = Result<EngineStatus, PlatformError>> + Send;

    /// Starts a request and returns its answer as it comes.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the engine refuses (status 404 for a bundle that it doesn't
    /// hold, 429 when it is full; both mean that nothing was started) or its answer is lost.
    fn generate(
        &self,
        req: &GenerateRequest,
    ) -> impl Future<Output = Result<Self::Tokens, PlatformError>> + Send;

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if the engine's answer is missing.
    fn cancel(
        &self,
        request: &str,
    ) -> impl Future<Output = Result<CancelState, PlatformError>> + Send;

    /// Returns the changes of the prefix cache from number `since` on.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] if they can't be had.
    fn cache_events(
        &self,
        since: u64,
    ) -> impl Future<Output = Result<CacheEvents, PlatformError>> + Send;
}
