//! A caller: asks an entry for an answer and reads what comes.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::Instant;
use wagtailreel_core::{CustomerId, Digest, Epoch, OrderKey, Priority, RequestId, ServiceName};
use wagtailreel_core::{NotRunReason, Outcome};

use crate::error::Result;
use crate::http_client::{HttpClient, chain, request, url_of};
use crate::sse::SseReader;

/// Header with the caller's id of a request.
const REQUEST: &str = "wagtailreel-request";
/// Header with the priority of a request.
const PRIORITY: &str = "wagtailreel-priority";
/// Header with the time that a caller waits at most.
const DEADLINE: &str = "wagtailreel-deadline-ms";
/// Header with the key of an order.
const ORDER: &str = "wagtailreel-order";
/// Header with the exact time after which a caller may come back.
const RETRY_AFTER_MS: &str = "wagtailreel-retry-after-ms";

/// One request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Service that is asked.
    pub service: ServiceName,
    /// Customer's key.
    pub key: String,
    /// Name of the customer, for the tools' own tables.
    pub customer: CustomerId,
    /// Id of the request; none leaves it to the entry.
    pub request: Option<RequestId>,
    /// What is asked.
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// Priority; none takes the service's.
    pub priority: Option<Priority>,
    /// How long the caller waits at most.
    pub deadline: Option<Duration>,
    /// Key of an order that runs at most once.
    pub order: Option<OrderKey>,
}

impl Ask {
    /// Makes an ordinary request.
    pub fn new(service: &str, key: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            service: service.to_owned(),
            key: key.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            ..Self::default()
        }
    }

    /// Sets the id of the request.
    #[must_use]
    pub fn with_request(mut self, id: &str) -> Self {
        self.request = Some(id.to_owned());
        self
    }

    /// Sets the priority.
    #[must_use]
    pub fn with_priority(mut self, priority: Priority) -> Self {
        self.priority = Some(priority);
        self
    }

    /// Sets how long the caller waits at most.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Makes it an order that runs at most once.
    #[must_use]
    pub fn with_order(mut self, key: &str) -> Self {
        self.order = Some(key.to_owned());
        self
    }

    /// Writes the HTTP request to the entry at `entry`.
    ///
    /// # Errors
    ///
    /// Returns an error if a text doesn't fit into a header or path.
    pub fn to_http(&self, entry: SocketAddr) -> Result<Request<Full<Bytes>>> {
        let url = url_of(entry, &format!("/v1/services/{}/generate", self.service));
        let body = serde_json::json!({"prompt": self.prompt, "max_tokens": self.max_tokens});
        let mut req = request(Method::POST, &url, Bytes::from(body.to_string()))?;
        let headers = req.headers_mut();
        set(
            headers,
            "authorization",
            Some(format!("Bearer {}", self.key)),
        );
        set(headers, "content-type", Some("application/json".to_owned()));
        set(headers, REQUEST, self.request.clone());
        set(headers, PRIORITY, self.priority.map(|it| it.to_string()));
        let deadline = self.deadline.map(|it| it.as_millis().to_string());
        set(headers, DEADLINE, deadline);
        set(headers, ORDER, self.order.clone());
        Ok(req)
    }
}

/// Sets a header if there is a value that a header can carry.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: Option<String>) {
    if let Some(value) = value.and_then(|text| text.parse().ok()) {
        headers.insert(name, value);
    }
}

/// How a request ended, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The stream was closed by `end`.
    Answered {
        /// Tokens, as the closing event says.
        tokens: u32,
        /// Digest of the bundle, as the closing event says.
        weights: Digest,
        /// Epoch, as the closing event says.
        epoch: Epoch,
    },
    /// The request was never started.
    NotRun {
        /// Why, in wire text.
        reason: String,
        /// Whether the headers tell when to come back, and when.
        retry_after: Option<Duration>,
        /// Status of the answer.
        status: StatusCode,
    },
    /// It may have been started.
    Unknown {
        /// Why.
        reason: String,
    },
    /// The entry answered without an outcome, such as `401`.
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Body of the answer.
        body: String,
    },
    /// The connection failed before any outcome came.
    Lost {
        /// What failed.
        detail: String,
    },
    /// What came breaks the protocol.
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

impl Ending {
    /// Returns the outcome that the system stated, if it stated one.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answered { .. } => Some(Outcome::Answered),
            Self::NotRun { .. } => Some(Outcome::NotRun),
            Self::Unknown { .. } => Some(Outcome::Unknown),
            Self::Refused { .. } | Self::Lost { .. } | Self::Malformed { .. } => None,
        }
    }

    /// Returns a short word for tables: the outcome, or what came in its place.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
            Self::Refused { .. } => "refused",
            Self::Lost { .. } => "lost",
            Self::Malformed { .. } => "malformed",
        }
    }

    /// Returns the reason in words; empty for an answer.
    pub fn reason(&self) -> String {
        match self {
            Self::Answered { .. } => String::new(),
            Self::NotRun { reason, .. } | Self::Unknown { reason } => reason.clone(),
            Self::Refused { status, .. } => status.as_str().to_owned(),
            Self::Lost { detail } | Self::Malformed { detail } => detail.clone(),
        }
    }
}

/// One token as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the answer.
    pub index: u32,
    /// Text of the token.
    pub text: String,
}

/// What comes next on a stream.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Data of a token event, not yet read.
    Token(crate::sse::SseEvent),
    /// The request has ended.
    End,
}

/// An answer on its way.
#[derive(Debug)]
pub struct AnswerStream {
    state: State,
    reader: SseReader,
}

#[derive(Debug)]
enum State {
    Open(Incoming),
    Ended(Ending),
}

impl AnswerStream {
    /// Sends `ask` to the entry at `entry` and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error only if `ask` can't be written as a request; a failed connection is an
    /// [`Ending::Lost`].
    pub async fn open(client: &HttpClient, entry: SocketAddr, ask: &Ask) -> Result<Self> {
        let req = ask.to_http(entry)?;
        let state = match client.send(req).await {
            Ok(response) => read_head(response).await,
            Err(error) => State::Ended(Ending::Lost {
                detail: error.to_string(),
            }),
        };
        Ok(Self {
            state,
            reader: SseReader::new(),
        })
    }

    /// Waits for the next token; none when the request has ended.
    pub async fn next_token(&mut self) -> Option<Token> {
        match self.step().await {
            Step::End => None,
            Step::Token(event) => match read_token(event.data()) {
                Some((index, text)) => Some(Token {
                    index,
                    text: text.into_owned(),
                }),
                None => {
                    self.end(malformed("a token event that can't be read"));
                    None
                }
            },
        }
    }

    /// Reads the rest and returns how the request ended.
    pub async fn finish(mut self) -> Ending {
        while self.next_token().await.is_some() {}
        match self.state {
            State::Ended(ending) => ending,
            State::Open(_) => malformed("the stream did not end"),
        }
    }

    /// Waits for what comes next. After an end it is always that end.
    pub(crate) async fn step(&mut self) -> Step {
        loop {
            let State::Open(body) = &mut self.state else {
                return Step::End;
            };
            if let Some(event) = self.reader.next_event() {
                match event.name() {
                    b"token" => return Step::Token(event),
                    name => {
                        let ending = read_closing(name, event.data());
                        self.close(ending).await;
                    }
                }
                continue;
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.reader.push(data);
                    }
                    if self.reader.is_overlong() {
                        self.end(malformed("an event of more than 1 MiB"));
                    }
                }
                Some(Err(source)) => self.end(Ending::Lost {
                    detail: chain(&source),
                }),
                None => self.end(malformed("the stream ended without a closing event")),
            }
        }
    }

    /// Ends the stream, and looks that nothing follows the closing event.
    async fn close(&mut self, ending: Ending) {
        let mut ending = ending;
        if let State::Open(body) = &mut self.state {
            while let Some(Ok(frame)) = body.frame().await {
                if let Some(data) = frame.data_ref() {
                    self.reader.push(data);
                }
            }
            if self.reader.has_rest() {
                ending = malformed("bytes after the closing event");
            }
        }
        self.end(ending);
    }

    fn end(&mut self, ending: Ending) {
        self.state = State::Ended(ending);
    }
}

fn malformed(detail: &str) -> Ending {
    Ending::Malformed {
        detail: detail.to_owned(),
    }
}

/// Reads the head: a stream goes on, anything else has its outcome in the headers.
async fn read_head(response: http::Response<Incoming>) -> State {
    let (head, body) = response.into_parts();
    if head.status == StatusCode::OK {
        return State::Open(body);
    }
    let text = match body.collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(_) => String::new(),
    };
    let outcome = header(&head.headers, Outcome::HEADER);
    let reason = header(&head.headers, NotRunReason::HEADER).unwrap_or_default();
    let ending = match outcome.as_deref().map(Outcome::from_wire) {
        Some(Some(Outcome::NotRun)) => Ending::NotRun {
            reason,
            retry_after: retry_after(&head.headers),
            status: head.status,
        },
        Some(Some(Outcome::Unknown)) => Ending::Unknown { reason },
        Some(_) => malformed("an outcome header that doesn't fit its status"),
        None => Ending::Refused {
            status: head.status,
            body: text,
        },
    };
    State::Ended(ending)
}

/// Reads when to come back; both headers have to be there.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    header(headers, "retry-after")?.parse::<u64>().ok()?;
    let ms = header(headers, RETRY_AFTER_MS)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

#[derive(Deserialize)]
struct EndData {
    outcome: String,
    tokens: u32,
    weights: Digest,
    epoch: Epoch,
}

#[derive(Deserialize)]
struct ErrorData {
    outcome: String,
    reason: String,
}

/// Reads the closing event of a stream.
fn read_closing(name: &[u8], data: &[u8]) -> Ending {
    match name {
        b"end" => match serde_json::from_slice::<EndData>(data) {
            Ok(end) if end.outcome == "answered" => Ending::Answered {
                tokens: end.tokens,
                weights: end.weights,
                epoch: end.epoch,
            },
            _ => malformed("an end event that can't be read"),
        },
        b"error" => match serde_json::from_slice::<ErrorData>(data) {
            Ok(error) if error.outcome == "unknown" => Ending::Unknown {
                reason: error.reason,
            },
            _ => malformed("an error event that can't be read"),
        },
        _ => malformed("an event that is no token, end or error"),
    }
}

#[derive(Deserialize)]
struct TokenData<'a> {
    index: u32,
    #[serde(borrow)]
    token: Cow<'a, str>,
}

/// Reads `{"index": 0, "token": "..."}`.
///
/// The usual layout is read without a JSON parser, since a load run reads hundreds of thousands
/// a second; any other layout is left to the parser.
pub(crate) fn read_token(data: &[u8]) -> Option<(u32, Cow<'_, str>)> {
    if let Some(token) = read_plain_token(data) {
        return Some(token);
    }
    let token: TokenData<'_> = serde_json::from_slice(data).ok()?;
    Some((token.index, token.token))
}

fn read_plain_token(data: &[u8]) -> Option<(u32, Cow<'_, str>)> {
    let rest = data.strip_prefix(b"{\"index\":")?;
    let comma = rest.iter().position(|byte| *byte == b',')?;
    let index = std::str::from_utf8(&rest[..comma]).ok()?.parse().ok()?;
    let text = rest[comma..].strip_prefix(b",\"token\":\"")?;
    let text = text.strip_suffix(b"\"}")?;
    if text.iter().any(|byte| matches!(byte, b'\\' | b'"')) {
        return None;
    }
    Some((index, Cow::Borrowed(std::str::from_utf8(text).ok()?)))
}

/// A whole answer with its times.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How it ended.
    pub ending: Ending,
    /// The tokens in the order in which they came.
    pub tokens: Vec<Token>,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end.
    pub took: Duration,
}

/// Sends `ask` to the entry at `entry` and reads the whole answer.
///
/// # Errors
///
/// Returns an error only if `ask` can't be written as a request.
pub async fn ask_whole(client: &HttpClient, entry: SocketAddr, ask: &Ask) -> Result<Answer> {
    let start = Instant::now();
    let mut stream = AnswerStream::open(client, entry, ask).await?;
    let mut tokens = Vec::new();
    let mut first_token = None;
    while let Some(token) = stream.next_token().await {
        first_token.get_or_insert_with(|| start.elapsed());
        tokens.push(token);
    }
    Ok(Answer {
        ending: stream.finish().await,
        tokens,
        first_token,
        took: start.elapsed(),
    })
}
