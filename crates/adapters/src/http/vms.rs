//! The list of VMs over HTTP.

use std::time::Duration;

use ::http::{Method, StatusCode};

use super::exchange::{build_request, read_json, refusal};
use super::{BaseUrl, Body, HttpClient};
use crate::{PlatformError, VmList, VmListPage};

/// How long an answer is waited for, over and above a wait that was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The list of VMs over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: HttpClient,
    base: BaseUrl,
    timeout: Duration,
}

impl HttpVmList {
    /// Makes an adapter for the list at `base`.
    pub fn new<U>(base: U) -> Self
    where
        U: Into<BaseUrl>,
    {
        Self {
            client: HttpClient::new(),
            base: base.into(),
            timeout: ANSWER_TIMEOUT,
        }
    }

    /// Uses `client` and its pool in place of one of its own.
    pub fn with_client(mut self, client: HttpClient) -> Self {
        self.client = client;
        self
    }

    /// Sets how long an answer is waited for, over and above a wait that was asked for.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

impl VmList for HttpVmList {
    async fn list(
        &self,
        since: Option<u64>,
        wait: Duration,
    ) -> Result<Option<VmListPage>, PlatformError> {
        let path = match since {
            Some(since) => format!("/vms?since={since}&wait_ms={}", wait.as_millis()),
            None => "/vms".to_owned(),
        };
        let req = build_request(&self.base, Method::GET, &path, Body::empty())?;
        let timeout = self.timeout + wait;
        let response = self.client.request_within(req, timeout).await?;
        match response.status() {
            StatusCode::OK => {
                let page = read_json(&self.base, response.into_body(), self.timeout).await?;
                Ok(Some(page))
            }
            StatusCode::NOT_MODIFIED => Ok(None),
            _ => Err(refusal(&self.base, response).await),
        }
    }
}
