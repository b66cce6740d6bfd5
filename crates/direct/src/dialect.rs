//! How requests and answers carry the metadata of this system in their headers.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use wagtailreel_core::RequestId;
use wagtailreel_fleet::WeightsVersion;
use wagtailreel_route::direct::NamedLimit;

/// Id of a part of a prompt. Requests whose prompts share text name the same ids.
pub type PromptPart = String;

/// Metadata in the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request; each attempt of the caller has its own.
    pub id: Option<RequestId>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// Key of the customer.
    pub key: Option<String>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u32,
    /// Ids of the parts of the prompt that other requests may share, in order.
    pub prompt_parts: Vec<PromptPart>,
}

/// Metadata that the entry adds to a request for an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch<'a> {
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Id of the intended upstream. Another upstream at the same address refuses the request.
    pub upstream: &'a str,
    /// The customer whose key the request carried.
    pub customer: Option<&'a str>,
    /// Priority rank of the request; 0 is the highest.
    pub rank: u8,
    /// Intended version of the weights. An engine with another version refuses the request.
    pub version: Option<WeightsVersion>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Load of an upstream as its answer reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Number of requests that the upstream runs.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Factor by which work currently takes longer than usual on its VM, above 0; `None` if not reported.
    pub pace: Option<f64>,
}

/// Metadata in the headers of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that is answered. The entry discards an answer with another id than it sent.
    pub id: Option<RequestId>,
    /// Upstreams name the request in such an answer, and this one does not. It belongs to no request.
    pub is_unnamed: bool,
    /// The upstream has not run the request, and will not run it.
    pub not_run: bool,
    /// The upstream is not the intended one, or holds other weights.
    pub misdirected: bool,
    /// Load of the upstream.
    pub load: Option<ServerLoad>,
    /// How long the upstream keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Limit of the requests a second that the upstream accepts from all entries together.
    pub limit: NamedLimit,
    /// The upstream says that it is leaving.
    pub is_leaving: bool,
    /// How long the upstream, which turned the request away, wants no other one from this entry.
    pub rest: Option<Duration>,
}

/// Reads and writes the metadata of requests and answers.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the metadata of a caller's request.
    fn request(&self, headers: &HeaderMap) -> RequestHead;

    /// Reads the parts of the caller's prompt in order, each with its number of tokens. Only called if engines
    /// retain prompts.
    fn prompt(&self, headers: &HeaderMap) -> Vec<(PromptPart, u32)> {
        let _ = headers;
        Vec::new()
    }

    /// Sets the headers that only this system may set, in place of any that the caller sent, and removes the
    /// customer's key.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the metadata of an upstream's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Adds the metadata to an answer that the entry itself gives to the request `id`.
    fn own_answer(&self, headers: &mut HeaderMap, id: &str);
}
