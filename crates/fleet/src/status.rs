//! Datagrams by which processes query an agent for its engine's load and its chunks.
//!
//! A query and its answer are one datagram each, in JSON. If one is lost, the sender only works with
//! older figures until the next answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use wagtailreel_core::Digest;

use crate::{ModelName, NamedWeights, UpstreamId, UpstreamStart, WeightsVersion};

/// Digest of what stays the same when a caller sends a request again, or of a part of its prompt that other
/// requests share.
pub type Fingerprint = Digest;

/// Error for a datagram that can't be parsed.
#[derive(Debug, Snafu)]
#[snafu(display("a status datagram can't be parsed ({source}): run the same version everywhere"))]
pub struct StatusError {
    source: serde_json::Error,
}

/// Nonce of a query on behalf of one request.
pub const REQUEST_QUERY_NONCE: u32 = u32::MAX;

/// A query to an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Number of the sender's round of queries, from 1 at the start of its process, or
    /// [`REQUEST_QUERY_NONCE`]. Returned in the answer.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The newest named weights that the sender knows. An agent learns of a naming from them while the
    /// registry refuses its calls, so it can read the registry less often.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<NamedWeights>,
    /// How long ago the weights were named by the sender's estimate, in milliseconds; `None` if the sender
    /// learned of them when it started. Agents derive from it how much time is left to load the weights.
    #[serde(rename = "wa", default, skip_serializing_if = "Option::is_none")]
    pub weights_age_ms: Option<u32>,
    /// A time at which the weights were not named yet, in milliseconds on the agent's clock; `None` if
    /// the sender can't prove one, or doesn't know the agent's clock.
    #[serde(rename = "wm", default, skip_serializing_if = "Option::is_none")]
    pub weights_after_ms: Option<u64>,
    /// Weights whose chunks the sender asks for.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<(ModelName, WeightsVersion)>,
    /// Whether the sender is an entry of the agent's data centre.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_local: bool,
    /// Announces a request that the sender is about to send to the engine: the prefill time of its prompt,
    /// in microseconds. Such a query gets no answer.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub prefill_us: Option<u32>,
    /// The sender's admission level for the engine's service, in thousandths, while admission control by rank is
    /// active there. Without it the query is as before.
    #[serde(rename = "al", default, skip_serializing_if = "Option::is_none")]
    pub admission_permille: Option<u16>,
}

/// A report of recently named weights, with a bound on how long ago they were named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamingReport {
    /// The weights.
    #[serde(flatten)]
    pub weights: NamedWeights,
    /// Upper bound of the naming's age when the report was sent, in milliseconds: a read of the registry at
    /// that time did not return the naming yet.
    #[serde(rename = "age")]
    pub age_ms: u32,
}

/// An engine's load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatus {
    /// The start of the engine that the figures belong to.
    #[serde(rename = "b", default)]
    pub started: UpstreamStart,
    /// The version of the weights that the engine holds completely; `None` while it holds none.
    #[serde(rename = "v")]
    pub version: Option<WeightsVersion>,
    /// Whether the engine accepts no new requests because it loads other weights or is about to.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_switching: bool,
    /// Requests that wait at the engine, or were announced and are not there yet.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Requests that the engine processes.
    #[serde(rename = "r")]
    pub running: u32,
    /// Prefill time that is left for the prompts at the engine, in milliseconds.
    #[serde(rename = "u", default)]
    pub prefill_ms: u32,
    /// Share of its memory that is in use, 0 to 1.
    #[serde(rename = "m")]
    pub memory: f32,
    /// How many times slower than its model the engine runs.
    #[serde(rename = "p")]
    pub slowdown: f32,
    /// Age of the figures when the answer was sent, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// Chunks that an agent can send to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldChunks {
    /// The model.
    #[serde(rename = "o")]
    pub model: ModelName,
    /// The version of its weights.
    #[serde(rename = "v")]
    pub version: WeightsVersion,
    /// The chunks as a bit set in hexadecimal digits.
    #[serde(rename = "h")]
    pub chunks: String,
}

/// An agent's answer to a query.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The query's nonce.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The engine's load; `None` while the engine does not answer.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadStatus>,
    /// Recently named weights. An entry that has just started derives from it how much of the naming's
    /// bound is left.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub naming: Option<NamingReport>,
    /// The agent's clock in milliseconds, while the agent asks for a time at which weights were not named
    /// yet.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub clock_ms: Option<u64>,
    /// The chunks that the query asked for.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<HeldChunks>,
    /// The first entries of the agent's data centre by address.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<SocketAddr>,
    /// The mean admission level of the entries that the agent heard of recently, in thousandths; only in answers
    /// to queries with a level.
    #[serde(rename = "al", default, skip_serializing_if = "Option::is_none")]
    pub admission_permille: Option<u16>,
}

/// Maximum number of crash reports in one datagram. With twelve upstream ids of 60
/// bytes each the datagram takes 4 KB.
pub const CRASH_REPORTS_PER_DATAGRAM: usize = 4;

/// Upstreams that ended while they ran one request, or requests that share one part of their prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request, or the part.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// How long ago each upstream ended, in milliseconds.
    #[serde(rename = "u")]
    pub upstreams: BTreeMap<UpstreamId, u32>,
    /// How long ago an upstream last completed the request, in milliseconds. Upstreams that ended before
    /// that did not end because of the request.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub finished_ms: Option<u32>,
    /// How long ago a process last sent it to an upstream to see whether it completes, in milliseconds.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub retried_ms: Option<u32>,
}

/// A request for a permit to send one request to an upstream with a rate limit that all entries share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Returned in the answer.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// The upstream's limit, or the addressed agent's share of it, in requests per second.
    #[serde(rename = "l")]
    pub per_second: f64,
    /// How long ago the sender learned of the limit, in milliseconds. For a withdrawal: how long ago the
    /// request was sent whose answer had no limit.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Whether the upstream has no limit any more. Such a datagram gets no answer.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_withdrawn: bool,
    /// Whether the addressed agent issues permits in place of another that doesn't answer the sender, but
    /// may answer others.
    #[serde(rename = "i", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_fallback: bool,
}

/// A request for a permit to send one request to an upstream that may be cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmupPermitRequest {
    /// Returned in the answer. A repeated request has the same nonce.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// Address of the upstream.
    #[serde(rename = "d")]
    pub addr: SocketAddr,
    /// Number of permits that the addressed agent may issue for the address in one window.
    #[serde(rename = "m")]
    pub max_in_window: u32,
    /// The request for a limit that the upstream names itself, if it does. Both limits must allow the request.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub named: Option<PermitRequest>,
}

/// An agent's answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The request's nonce.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// Time until the upstream has capacity, in milliseconds; at 0 the request may be sent.
    #[serde(rename = "w")]
    pub wait_ms: u32,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A query to an agent.
    #[serde(rename = "Q")]
    Query(Query),
    /// An agent's answer.
    #[serde(rename = "S")]
    Status(Status),
    /// Crash reports, from entries to agents and from agents to entries.
    #[serde(rename = "E")]
    CrashReports(Vec<CrashReport>),
    /// A request for a permit.
    #[serde(rename = "A")]
    PermitRequest(PermitRequest),
    /// A request for a permit for an upstream that may be cold.
    #[serde(rename = "W")]
    WarmupPermitRequest(WarmupPermitRequest),
    /// The answer to a permit request.
    #[serde(rename = "P")]
    Permit(Permit),
}

impl Datagram {
    /// Serialises the datagram.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serialising plain numbers and strings can't fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`StatusError`] if `buf` is no datagram.
    pub fn from_bytes(buf: &[u8]) -> Result<Self, StatusError> {
        serde_json::from_slice(buf).context(StatusSnafu)
    }
}
