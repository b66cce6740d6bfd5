//! Datagrams by which processes ask an agent for its engine's load and its chunks.
//!
//! A question and its answer are one datagram each, in JSON. Losing one costs nothing but the age
//! of what the asker knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};
use wagtailreel_core::Digest;

use crate::{ModelName, NamedWeights, UpstreamId, UpstreamStart, WeightsVersion};

/// Digest of what is the same whenever a caller sends a request again, as against its id.
pub type Fingerprint = Digest;

/// A datagram can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("a status datagram can't be read ({source}): run the same version everywhere"))]
pub struct StatusError {
    source: serde_json::Error,
}

/// A question to an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Told back in the answer.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The newest weights that the asker knows to be named. An agent that the registry turns away
    /// hears of them so, and need not ask the registry often.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub weights: Option<NamedWeights>,
    /// How long ago the asker takes these weights to be named, in milliseconds; none if it was told of them
    /// when it started. Agents count the time that they have to load them from it.
    #[serde(rename = "wa", default, skip_serializing_if = "Option::is_none")]
    pub weights_age_ms: Option<u32>,
    /// A moment at which these weights were not named yet, in milliseconds on the agent's clock; none
    /// if the asker can't prove one, or doesn't know the agent's clock.
    #[serde(rename = "wm", default, skip_serializing_if = "Option::is_none")]
    pub weights_after_ms: Option<u64>,
    /// Weights whose chunks the asker wants to hear of.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<(ModelName, WeightsVersion)>,
    /// The asker is an entry of the agent's data centre.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_local: bool,
    /// The asker is about to send the engine a request, whose prompt takes so many microseconds to
    /// read. It wants no answer.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub prefill_us: Option<u32>,
}

/// Weights that were named lately, and when they were not yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamingReport {
    /// The weights.
    #[serde(flatten)]
    pub weights: NamedWeights,
    /// They were named in the last so many milliseconds before this was told: before that, a read of the
    /// registry did not find them.
    #[serde(rename = "age")]
    pub age_ms: u32,
}

/// An engine's load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadStatus {
    /// Which start of the engine the figures are from.
    #[serde(rename = "b", default)]
    pub started: UpstreamStart,
    /// The version of the weights that the engine holds whole; none while it has none.
    #[serde(rename = "v")]
    pub version: Option<WeightsVersion>,
    /// The engine takes nothing new: it is about to load other weights, or loads them.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_switching: bool,
    /// Requests that wait at the engine, or are on their way there.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Requests that the engine works on.
    #[serde(rename = "r")]
    pub running: u32,
    /// How long the engine still reads prompts, in milliseconds.
    #[serde(rename = "u", default)]
    pub prefill_ms: u32,
    /// Share of its memory that is taken, 0 to 1.
    #[serde(rename = "m")]
    pub memory: f32,
    /// How many times slower than usual it is.
    #[serde(rename = "p")]
    pub slowdown: f32,
    /// Age of the figures when the answer was sent, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// Chunks that an agent gives to others.
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

/// An agent's answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The question's nonce.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The engine's load; none while the engine does not answer.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub load: Option<LoadStatus>,
    /// Weights that were named lately. An entry that has just started learns from it how long their
    /// bound still lasts.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub naming: Option<NamingReport>,
    /// The agent's clock in milliseconds, while it wants to be told when weights were not named yet.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub clock_ms: Option<u64>,
    /// The chunks that were asked for.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub chunks: Option<HeldChunks>,
    /// The first entries of the agent's data centre, in the order of their addresses.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<SocketAddr>,
}

/// Accounts of requests in one datagram: with ids of 60 bytes it takes 2 KB.
pub const CRASH_REPORTS_PER_DATAGRAM: usize = 4;

/// Upstreams that ended while they had one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// How long ago each upstream ended, in milliseconds.
    #[serde(rename = "u")]
    pub upstreams: BTreeMap<UpstreamId, u32>,
    /// How long ago an upstream last ran the request to its end, in milliseconds; what ended before that
    /// did not end because of it.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub finished_ms: Option<u32>,
}

/// A question for leave to send one request to an upstream that names a limit for all entries together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Told back in the answer.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Its limit, or the asked one's share of it, in requests a second.
    #[serde(rename = "l")]
    pub per_second: f64,
    /// How long ago the asker was told of it, in milliseconds. Of a withdrawal: how long ago the request was sent
    /// whose answer named none.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// It names none any more: the asker tells so, and wants no answer.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_withdrawn: bool,
    /// The asked one gives in place of another that doesn't answer the asker, and may answer others.
    #[serde(rename = "i", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_fallback: bool,
}

/// An agent's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The question's nonce.
    #[serde(rename = "n")]
    pub nonce: u32,
    /// How long the upstream has no room yet, in milliseconds; the request may be sent if it is 0.
    #[serde(rename = "w")]
    pub wait_ms: u32,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A question to an agent.
    #[serde(rename = "Q")]
    Query(Query),
    /// An agent's answer.
    #[serde(rename = "S")]
    Status(Status),
    /// What an entry tells agents, and these tell entries, of requests that end upstreams.
    #[serde(rename = "E")]
    CrashReports(Vec<CrashReport>),
    /// A question for a permit.
    #[serde(rename = "A")]
    PermitRequest(PermitRequest),
    /// Its answer.
    #[serde(rename = "P")]
    Permit(Permit),
}

impl Datagram {
    /// Writes the datagram.
    pub fn to_bytes(&self) -> Vec<u8> {
        // A plain struct of numbers and texts is always written.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`StatusError`] if it is something else.
    pub fn from_bytes(buf: &[u8]) -> Result<Self, StatusError> {
        serde_json::from_slice(buf).context(StatusSnafu)
    }
}
