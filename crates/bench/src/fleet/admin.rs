//! An operator: submits documents to an entry and asks how a rollout stands.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use wagtailreel_core::{EditId, Epoch, Offset, TeamName};

use crate::answer::set;
use crate::error::{ParseSnafu, Result, StatusSnafu};
use crate::http_client::{Fetched, HttpClient, request, url_of};

/// What became of a submitted document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// It is accepted and was read back.
    Accepted {
        /// The service's new revision.
        revision: Offset,
        /// The service's epoch.
        epoch: Epoch,
    },
    /// Another edit was first.
    Lost {
        /// The winner's revision.
        revision: Offset,
        /// The winner's team.
        team: TeamName,
        /// The winner's edit id.
        edit: EditId,
    },
    /// It is not valid.
    Invalid {
        /// The problems as JSON text.
        problems: String,
    },
    /// The log is away, or the entry does not know the configuration yet.
    Away {
        /// The outcome: `not-run` or `unknown`.
        outcome: String,
        /// Why, in the entry's words.
        error: String,
    },
    /// The token is unknown or another team's.
    Denied {
        /// `401` or `403`.
        status: StatusCode,
    },
}

#[derive(Deserialize)]
struct AcceptedBody {
    revision: Offset,
    epoch: Epoch,
}

#[derive(Deserialize)]
struct AwayBody {
    error: String,
}

#[derive(Deserialize)]
struct LostBody {
    revision: Offset,
    team: TeamName,
    edit: EditId,
}

/// An operator with a token at one entry's administration listener.
#[derive(Clone, Debug)]
pub struct Operator {
    client: HttpClient,
    admin: SocketAddr,
    token: String,
}

impl Operator {
    /// Makes an operator who talks to the listener at `admin`.
    pub fn new(client: HttpClient, admin: SocketAddr, token: &str) -> Self {
        Self {
            client,
            admin,
            token: token.to_owned(),
        }
    }

    /// Submits a document that was edited from revision `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or it can't be read.
    pub async fn submit(
        &self,
        service: &str,
        yaml: &str,
        base: Offset,
        edit: &str,
    ) -> Result<Submission> {
        let path = format!("/admin/v1/services/{service}/document?base={base}&edit={edit}");
        let fetched = self.fetch(Method::POST, &path, yaml).await?;
        match fetched.status {
            StatusCode::OK => {
                let body: AcceptedBody = read(&path, &fetched)?;
                Ok(Submission::Accepted {
                    revision: body.revision,
                    epoch: body.epoch,
                })
            }
            StatusCode::CONFLICT => {
                let body: LostBody = read(&path, &fetched)?;
                Ok(Submission::Lost {
                    revision: body.revision,
                    team: body.team,
                    edit: body.edit,
                })
            }
            StatusCode::UNPROCESSABLE_ENTITY => Ok(Submission::Invalid {
                problems: fetched.text(),
            }),
            StatusCode::SERVICE_UNAVAILABLE => {
                let body: AwayBody = read(&path, &fetched)?;
                let outcome = fetched.header(wagtailreel_core::headers::OUTCOME);
                Ok(Submission::Away {
                    outcome: outcome.unwrap_or_default().to_owned(),
                    error: body.error,
                })
            }
            status @ (StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) => {
                Ok(Submission::Denied { status })
            }
            _ => Err(bad_status(&path, &fetched)),
        }
    }

    /// Has a document checked without submitting it; returns the status and the problems.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes.
    pub async fn check(&self, service: &str, yaml: &str) -> Result<Fetched> {
        let path = format!("/admin/v1/services/{service}/check");
        self.fetch(Method::POST, &path, yaml).await
    }

    /// Returns the service's document, revision and epoch; none if there is no such service.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or it can't be read.
    pub async fn current(&self, service: &str) -> Result<Option<Value>> {
        let path = format!("/admin/v1/services/{service}");
        let fetched = self.fetch(Method::GET, &path, "").await?;
        if fetched.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        success(&path, &fetched).map(Some)
    }

    /// Returns the accepted and refused revisions that the entry knows.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or it can't be read.
    pub async fn history(&self, service: &str) -> Result<Value> {
        let path = format!("/admin/v1/services/{service}/history");
        success(&path, &self.fetch(Method::GET, &path, "").await?)
    }

    /// Returns how the service's rollout stands, per data centre and VM.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes or it can't be read.
    pub async fn rollout(&self, service: &str) -> Result<Value> {
        let path = format!("/admin/v1/services/{service}/rollout");
        success(&path, &self.fetch(Method::GET, &path, "").await?)
    }

    /// Sends a request with the operator's token and returns the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer comes.
    pub async fn fetch(&self, method: Method, path: &str, body: &str) -> Result<Fetched> {
        let url = url_of(self.admin, path);
        let mut req = request(method, &url, Bytes::copy_from_slice(body.as_bytes()))?;
        let token = format!("Bearer {}", self.token);
        set(req.headers_mut(), "authorization", Some(token));
        self.client.fetch(req).await
    }
}

fn success(path: &str, fetched: &Fetched) -> Result<Value> {
    if fetched.status.is_success() {
        read(path, fetched)
    } else {
        Err(bad_status(path, fetched))
    }
}

fn bad_status(path: &str, fetched: &Fetched) -> crate::BenchError {
    StatusSnafu {
        url: path,
        status: fetched.status,
        body: fetched.text(),
    }
    .build()
}

fn read<T>(path: &str, fetched: &Fetched) -> Result<T>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(&fetched.body).map_err(|source| {
        ParseSnafu {
            what: path,
            detail: format!("{source}: {}", fetched.text()),
        }
        .build()
    })
}
