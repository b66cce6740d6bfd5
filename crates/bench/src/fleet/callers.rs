//! What callers do with a fleet.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;

use super::Fleet;
use super::vm::Listen;
use crate::answer::{Answer, AnswerStream, Ask, ask_whole, set};
use crate::error::Result;
use crate::http_client::{Fetched, request, url_of};

impl Fleet {
    /// Returns an ordinary request of the customer at position `customer`.
    ///
    /// # Panics
    ///
    /// Panics if the specification has no such customer.
    pub fn ask_of(&self, customer: usize, service: &str, prompt: &str, max_tokens: u32) -> Ask {
        let customer = &self.spec.customers[customer];
        let mut ask = Ask::new(service, &customer.key, prompt, max_tokens);
        ask.customer.clone_from(&customer.name);
        ask
    }

    /// Asks at the entry `vm` and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry; a failed request is an ending, not an error.
    pub async fn ask(&self, vm: &str, ask: &Ask) -> Result<Answer> {
        ask_whole(&self.client, self.data_addr(vm)?, ask).await
    }

    /// Asks at the entry `vm` and returns the stream of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry; a failed request is an ending, not an error.
    pub async fn open(&self, vm: &str, ask: &Ask) -> Result<AnswerStream> {
        AnswerStream::open(&self.client, self.data_addr(vm)?, ask).await
    }

    /// Calls a plain service through the entry `vm`; `headers` are sent as they are.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such entry or no whole answer comes.
    pub async fn call(
        &self,
        vm: &str,
        service: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Result<Fetched> {
        let url = url_of(
            self.data_addr(vm)?,
            &format!("/v1/services/{service}/call/{path}"),
        );
        let mut req = request(Method::POST, &url, Bytes::copy_from_slice(body.as_bytes()))?;
        let key = self
            .spec
            .customers
            .first()
            .map(|it| format!("Bearer {}", it.key));
        set(req.headers_mut(), "authorization", key);
        for (name, value) in headers {
            set(req.headers_mut(), name, Some((*value).to_owned()));
        }
        self.client.fetch(req).await
    }

    /// Returns the callers' listeners of all entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.vms.values();
        let entries = entries.filter(|vm| matches!(vm.listen, Listen::Entry(_)));
        entries.map(|vm| vm.listen.data()).collect()
    }

    /// Returns the base URLs of the engines' stand-ins.
    pub fn engine_urls(&self) -> Vec<String> {
        let engines = self.standins.engines.values();
        engines.map(|it| format!("http://{}", it.addr())).collect()
    }
}
