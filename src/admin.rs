//! Client of the administration API.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::{BadUrlSnafu, CommandError, NoAnswerSnafu, UnreachableSnafu};

/// Longest wait for an answer; a submission is read back from the log before it is answered.
const ANSWER_BOUND: Duration = Duration::from_secs(30);

/// An answer of the administration API.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) outcome: Option<String>,
    pub(crate) body: String,
}

/// Talks to one entry's admin listener.
#[derive(Debug)]
pub(crate) struct AdminClient {
    base: String,
    token: Option<String>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl AdminClient {
    pub(crate) fn new(base: &str) -> Result<Self, CommandError> {
        let address = base
            .strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'));
        let valid = address.is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok());
        if !valid {
            return BadUrlSnafu { url: base }.fail();
        }
        Ok(Self {
            base: base.trim_end_matches('/').to_owned(),
            token: None,
            client: Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    pub(crate) fn with_token(mut self, token: String) -> Self {
        self.token = Some(token);
        self
    }

    /// Sends one request and reads the whole answer.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Answer, CommandError> {
        let url = format!("{}{path}", self.base);
        let mut builder = Request::builder().method(method).uri(&url);
        if let Some(token) = &self.token {
            builder = builder.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = match builder.body(Full::new(Bytes::from(body))) {
            Ok(req) => req,
            Err(_) => return BadUrlSnafu { url }.fail(),
        };
        match tokio::time::timeout(ANSWER_BOUND, self.exchange(&url, req)).await {
            Ok(answer) => answer,
            Err(_) => NoAnswerSnafu {
                url,
                what: "the wait ran out",
            }
            .fail(),
        }
    }

    async fn exchange(&self, url: &str, req: Request<Full<Bytes>>) -> Result<Answer, CommandError> {
        let response = match self.client.request(req).await {
            Ok(response) => response,
            Err(e) if e.is_connect() => {
                return UnreachableSnafu {
                    url,
                    what: e.to_string(),
                }
                .fail();
            }
            Err(e) => {
                return NoAnswerSnafu {
                    url,
                    what: e.to_string(),
                }
                .fail();
            }
        };
        let status = response.status().as_u16();
        let outcome = response
            .headers()
            .get(wagtailreel_core::headers::OUTCOME)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        match response.into_body().collect().await {
            Ok(body) => Ok(Answer {
                status,
                outcome,
                body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
            }),
            Err(e) => NoAnswerSnafu {
                url,
                what: e.to_string(),
            }
            .fail(),
        }
    }
}
