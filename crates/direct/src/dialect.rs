//! How requests and answers are marked on the wire.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use wagtailreel_core::RequestId;
use wagtailreel_fleet::WeightsVersion;
use wagtailreel_route::direct::NamedLimit;

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt of the caller.
    pub id: Option<RequestId>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the customer.
    pub key: Option<String>,
    /// The last event that the caller has of an earlier stream.
    pub last_event: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
}

/// What an upstream is told along with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch<'a> {
    /// How long an answer is still wanted.
    pub remaining: Duration,
    /// Id of the upstream that is meant; another one at its address refuses.
    pub upstream: &'a str,
    /// The customer whose key the request carried.
    pub customer: Option<&'a str>,
    /// Rank of the request, 0 first.
    pub rank: u8,
    /// Version of the weights that is meant; an engine with another one refuses.
    pub version: Option<WeightsVersion>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What an upstream tells of its load with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What an upstream's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers; answers to something else belong to nobody.
    pub id: Option<RequestId>,
    /// The upstream says that it has not run the request and won't.
    pub not_run: bool,
    /// The upstream is another one than was meant, or has other weights.
    pub misdirected: bool,
    /// Load of the upstream.
    pub load: Option<ServerLoad>,
    /// How long the upstream keeps the connection without a request.
    pub keep_alive: Option<Duration>,
    /// The requests a second that the upstream takes from all entries together.
    pub limit: NamedLimit,
}

/// Reads and writes the marks of requests and answers.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the marks of a caller's request.
    fn request(&self, headers: &HeaderMap) -> RequestHead;

    /// Replaces the marks that only this system may set, and takes away the customer's key.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the marks of an upstream's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Marks an answer of the entry itself to the request `id`.
    fn own_answer(&self, headers: &mut HeaderMap, id: &str);
}
