//! Stand-in for a plain service.

mod http;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use wagtailreel_core::headers;

use crate::chance::Chance;
use crate::faults::{CommonFaults, FaultSet, Faults};
use crate::server::{Port, StartError};

/// Settings of the stand-in for a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainConfig {
    /// Header by which calls are told apart, in lower case.
    pub request_header: String,
    /// Seed of what goes by chance.
    pub seed: u64,
}

impl Default for PlainConfig {
    fn default() -> Self {
        Self {
            request_header: headers::REQUEST.to_owned(),
            seed: 0,
        }
    }
}

/// Faults of the stand-in for a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFaults {
    /// Faults that every stand-in has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Calls, from the next on, that run without an answer.
    pub lose_answers: u64,
    /// Share of calls that run without an answer, from 0 to 1.
    pub lose_share: f64,
    /// Status that calls are answered with after they ran; 0 is 200.
    pub status: u16,
}

impl FaultSet for PlainFaults {
    fn common(&self) -> &CommonFaults {
        &self.common
    }
}

/// What the stand-in for a plain service has done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainStats {
    /// Calls that ran.
    pub calls: u64,
    /// Of these, calls without an answer.
    pub lost: u64,
    /// How often each request ran.
    pub runs: BTreeMap<String, u64>,
    /// How often each path ran, under whatever id.
    pub paths: BTreeMap<String, u64>,
}

/// Stand-in for a plain service. It stops when dropped.
#[derive(Debug)]
pub struct PlainStandin {
    port: Port,
    store: Arc<Store>,
}

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Store {
    faults: Faults<PlainFaults>,
    request_header: String,
    chance: Chance,
    stats: Mutex<PlainStats>,
}

impl PlainStandin {
    /// Starts the stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if `listen` can't be used.
    ///
    /// # Panics
    ///
    /// Panics outside of a `tokio` runtime.
    pub fn start(cfg: PlainConfig, listen: SocketAddr) -> Result<Self, StartError> {
        let port = Port::reserve(listen)?;
        let store = Arc::new(Store {
            faults: Faults::new(),
            request_header: cfg.request_header,
            chance: Chance::new(cfg.seed),
            stats: Mutex::default(),
        });
        port.serve(http::router(&port, &store))?;
        Ok(Self { port, store })
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.port.addr()
    }

    /// Returns the switch of the faults.
    pub fn faults(&self) -> Faults<PlainFaults> {
        self.store.faults.clone()
    }

    /// Returns what was done so far.
    pub fn stats(&self) -> PlainStats {
        self.store.stats().clone()
    }

    /// Returns how often `request` ran.
    pub fn runs(&self, request: &str) -> u64 {
        let stats = self.store.stats();
        stats.runs.get(request).copied().unwrap_or_default()
    }

    /// Drops all connections and refuses new ones until [`resume`](Self::resume).
    pub fn crash(&self) {
        self.port.crash();
    }

    /// Serves again after a crash.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if another process took the port.
    pub fn resume(&self) -> Result<(), StartError> {
        self.port.resume()
    }

    /// Stops for good.
    pub fn stop(&self) {
        self.port.stop();
    }
}

impl Drop for PlainStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Store {
    fn stats(&self) -> MutexGuard<'_, PlainStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
