//! An answer on its way.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Sleep, sleep, timeout};

use super::ask::Ask;
use super::dialect::{Dialect, read_token};
use super::ending::{Ending, malformed};
use super::head::read_head;
use crate::error::Result;
use crate::http_client::{HttpClient, chain};
use crate::sse::{SseEvent, SseReader};

/// Time after which a caller gives an answer up.
const PATIENCE: Duration = Duration::from_secs(600);

/// Time within which a stream has to end after its closing event.
const REST_BOUND: Duration = Duration::from_secs(5);

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
    Token(SseEvent),
    /// The request has ended.
    End,
}

fn out_of_patience() -> Ending {
    Ending::Lost {
        detail: format!("no outcome within {PATIENCE:?}"),
    }
}

/// An answer on its way.
#[derive(Debug)]
pub struct AnswerStream {
    dialect: Dialect,
    state: State,
    /// One timer for the whole answer: one for each token would cost more than the token.
    patience: Pin<Box<Sleep>>,
    reader: SseReader,
}

#[derive(Debug)]
pub(super) enum State {
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
        let head = async {
            match client.send(req).await {
                Ok(response) => read_head(response).await,
                Err(error) => State::Ended(Ending::Lost {
                    detail: error.to_string(),
                }),
            }
        };
        let mut patience = Box::pin(sleep(PATIENCE));
        let state = tokio::select! {
            state = head => state,
            () = &mut patience => State::Ended(out_of_patience()),
        };
        Ok(Self {
            dialect: match ask.engine_bundle {
                Some(_) => Dialect::Engine,
                None => Dialect::Entry,
            },
            state,
            patience,
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
                    name if name == self.dialect.token_name() => return Step::Token(event),
                    name => {
                        let ending = self.dialect.read_closing(name, event.data());
                        self.close(ending).await;
                    }
                }
                continue;
            }
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = &mut self.patience => {
                    self.end(out_of_patience());
                    continue;
                }
            };
            match frame {
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
            let read_rest = async {
                while let Some(Ok(frame)) = body.frame().await {
                    if let Some(data) = frame.data_ref() {
                        self.reader.push(data);
                    }
                }
            };
            // A sender that goes on and on has sent enough by then to be seen.
            let _ = timeout(REST_BOUND, read_rest).await;
            // What broke the protocol first is the one worth telling.
            let was_sound = !matches!(ending, Ending::Malformed { .. });
            if was_sound && self.reader.has_rest() {
                ending = malformed("bytes after the closing event");
            }
        }
        self.end(ending);
    }

    fn end(&mut self, ending: Ending) {
        self.state = State::Ended(ending);
    }
}
