//! HTTP client for the records that a neighbour has read.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use snafu::Snafu;
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_core::Offset;
use wagtailreel_fleet::{BootTime, Era, Page, Topic};

use crate::packing::{UnpackError, age_of, unpack};
use crate::wire::{KnownRecords, READING_HEADER};

/// How long a neighbour's answer may take in addition to its wait. Within a data centre an answer takes a
/// few milliseconds, and a large configuration for a dozen neighbours 0.1 s.
pub(crate) const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(250);

/// Time-out for connecting to a neighbour.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time-out for the body of an answer. A configuration of 2,000 routes takes 1.5 s to reach 14 neighbours
/// over a link of 60 Mbit/s.
const COPY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum size of a copy, in bytes. A configuration of 270 routes takes about 150 KB.
const MAX_COPY_BYTES: usize = 32 << 20;

/// Error of a read from a neighbour.
#[derive(Debug, Snafu)]
pub(crate) enum NeighbourError {
    #[snafu(display("no answer ({reason}): check the neighbour"))]
    Silent { reason: String },
    #[snafu(display("refused with {status}: check the neighbour"))]
    Refused { status: u16, is_reading: bool },
    #[snafu(display("the neighbour's records are {age:?} old: check its link to the registry"))]
    Stale {
        age: Duration,
        is_reading: bool,
        /// The records, which may be used if there are none that are more recent.
        known: Box<RelayedRecords>,
    },
    #[snafu(display(
        "the neighbour's records are from before era {known}: check its link to the registry"
    ))]
    EarlierEra { known: Era, is_reading: bool },
    #[snafu(transparent)]
    Unreadable { source: UnpackError },
}

impl NeighbourError {
    /// Returns whether the neighbour has a read in progress that will bring newer records.
    pub(crate) const fn is_reading(&self) -> bool {
        match self {
            Self::Refused { is_reading, .. }
            | Self::EarlierEra { is_reading, .. }
            | Self::Stale { is_reading, .. } => *is_reading,
            Self::Silent { .. } | Self::Unreadable { .. } => false,
        }
    }
}

/// A query to a neighbour.
#[derive(Debug)]
pub(crate) struct NeighbourQuery {
    pub(crate) topic: Topic,
    pub(crate) path: String,
    /// The newest era that the reader knows.
    pub(crate) era: Era,
    pub(crate) wait: Duration,
    /// Whether the neighbour waits for new records, so that an empty answer comes at the end of the wait.
    pub(crate) waits_for_records: bool,
}

/// Records read from a neighbour.
#[derive(Debug)]
pub(crate) struct RelayedRecords {
    pub(crate) records: KnownRecords,
    /// Time as of which the records are known to be complete.
    pub(crate) as_of: BootTime,
}

/// A neighbour's answer.
#[derive(Debug)]
pub(crate) enum NeighbourAnswer {
    /// The records.
    Known(RelayedRecords),
    /// The neighbour holds only the newest record of each key before this offset.
    Expired(Offset),
}

/// HTTP client for reads from neighbours.
#[derive(Clone, Debug)]
pub(crate) struct NeighbourClient(HttpClient);

impl NeighbourClient {
    pub(crate) fn new() -> Self {
        Self(HttpClient::with_connect_timeout(CONNECT_TIMEOUT))
    }

    /// Queries one neighbour.
    ///
    /// # Errors
    ///
    /// Returns a [`NeighbourError`] if the neighbour gives no valid answer, or if its records are older than
    /// `age_limit` or of an earlier era than the reader knows.
    pub(crate) async fn ask(
        &self,
        neighbour: SocketAddr,
        query: &NeighbourQuery,
        age_limit: Duration,
    ) -> Result<NeighbourAnswer, NeighbourError> {
        let NeighbourQuery {
            topic, era, wait, ..
        } = *query;
        let url = format!(
            "http://{neighbour}/v1/registry/{topic}{}&era={era}&oldest_ms={}",
            query.path,
            age_limit.as_millis()
        );
        let req = Request::get(&url).body(Body::default());
        let req = req.map_err(|e| silent_error(&e))?;
        let sent = BootTime::now();
        let answer = self.0.request_within(req, wait + NEIGHBOUR_TIMEOUT);
        let answer = answer.await.map_err(|e| silent_error(&e))?;
        let status = answer.status();
        if status == StatusCode::CONFLICT {
            let is_reading = is_reading(answer.headers());
            return EarlierEraSnafu {
                known: era,
                is_reading,
            }
            .fail();
        }
        if !matches!(status, StatusCode::OK | StatusCode::GONE) {
            let status = status.as_u16();
            let is_reading = is_reading(answer.headers());
            return RefusedSnafu { status, is_reading }.fail();
        }
        let (head, body) = answer.into_parts();
        let body = collect_body(&url, body, MAX_COPY_BYTES, NEIGHBOUR_TIMEOUT);
        let body = tokio::time::timeout(COPY_TIMEOUT, body).await;
        let body = body
            .map_err(|e| silent_error(&e))?
            .map_err(|e| silent_error(&e))?;
        if status == StatusCode::GONE {
            return Ok(NeighbourAnswer::Expired(unpack(&head.headers, &body)?));
        }
        let age = age_of(&head.headers)?;
        let records: KnownRecords = unpack(&head.headers, &body)?;
        if records.next.era < era {
            // An older build, which never names an era.
            return EarlierEraSnafu {
                known: era,
                is_reading: false,
            }
            .fail();
        }
        let is_stale = age > age_limit;
        // A neighbour that is behind answers without waiting.
        let has_waited = query.waits_for_records && records.items.is_empty() && !is_stale;
        let holds_as_of = Page::answer_as_of(has_waited, sent, wait, BootTime::now());
        let as_of = holds_as_of.minus(age);
        let known = RelayedRecords { records, as_of };
        if !is_stale {
            return Ok(NeighbourAnswer::Known(known));
        }
        StaleSnafu {
            age,
            is_reading: is_reading(&head.headers),
            known,
        }
        .fail()
    }
}

fn is_reading(headers: &HeaderMap) -> bool {
    headers.contains_key(READING_HEADER)
}

fn silent_error<E>(err: &E) -> NeighbourError
where
    E: std::fmt::Display,
{
    let reason = err.to_string();
    NeighbourError::Silent { reason }
}
