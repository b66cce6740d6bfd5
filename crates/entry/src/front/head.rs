//! Reads the head of a request: the customer, and how the request is to be handled. Also reads the body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::{Body, to_bytes};
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use wagtailreel_core::headers::{DEADLINE_MS, ORDER, PRIORITY, REQUEST};
use wagtailreel_core::{CustomerId, Document, NotRunReason, OrderKey, Priority, RequestId};
use wagtailreel_route::LimitVerdict;

use crate::events;
use crate::front::answer::Denial;
use crate::service::Service;
use crate::shared::Shared;

/// Longest name that a caller may give its request, in bytes.
const MAX_REQUEST_NAME: usize = 128;

/// Longest time that a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Head of a request whose customer is known and within its limit.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) service: Arc<Service>,
    pub(crate) document: Arc<Document>,
    pub(crate) customer: CustomerId,
    pub(crate) arrived: Instant,
    /// Id of the request within the system.
    pub(crate) id: RequestId,
    /// Name of the request: the one that the caller gave, or else the id.
    pub(crate) name: String,
    pub(crate) priority: Priority,
    pub(crate) deadline: Option<Instant>,
    pub(crate) order: Option<OrderKey>,
}

/// Returns the customer whose key the caller sent.
///
/// # Errors
///
/// Returns a denial with status 401.
pub(crate) fn authenticate(cx: &Shared, headers: &HeaderMap) -> Result<CustomerId, Denial> {
    let customer = bearer(headers).and_then(|token| cx.customers.find(token));
    customer.map(str::to_owned).ok_or_else(|| {
        events::CUSTOMER_UNKNOWN.emit(&[]);
        let message = "send `Authorization: Bearer` with a known customer key";
        Denial::Bad(StatusCode::UNAUTHORIZED, message.to_owned())
    })
}

/// Returns the bearer token of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim())
        .filter(|token| !token.is_empty())
}

/// Reads the head of a request of `customer` to `service`.
///
/// # Errors
///
/// Returns why the request is not accepted.
pub(crate) fn read_head(
    cx: &Shared,
    customer: CustomerId,
    service: &str,
    headers: &HeaderMap,
) -> Result<RequestHead, Denial> {
    let arrived = Instant::now();
    if cx.is_leaving() {
        return Err(Denial::NotRun(NotRunReason::Leaving, None));
    }
    if !cx.book.is_known() {
        return Err(Denial::NotRun(NotRunReason::NoUpstream, None));
    }
    let found = cx.services.get(service);
    let found = found.and_then(|service| Some((service.document()?, service)));
    let Some((document, service)) = found else {
        let message = "no such service: check its name, or submit its document";
        return Err(Denial::Bad(StatusCode::NOT_FOUND, message.to_owned()));
    };
    let id = cx.new_request_id();
    let name = text(headers, REQUEST)?.unwrap_or(&id);
    if name.len() > MAX_REQUEST_NAME {
        return Err(Denial::bad(
            "`wagtailreel-request` is longer than 128 characters",
        ));
    }
    let name = name.to_owned();
    let priority = read_priority(headers)?.unwrap_or(document.priority);
    let deadline = read_deadline(headers)?.map(|wait| arrived + wait);
    let order = text(headers, ORDER)?.map(str::to_owned);
    if let LimitVerdict::Over(wait) = service.limit(&customer) {
        return Err(Denial::NotRun(NotRunReason::Limit, Some(wait)));
    }
    Ok(RequestHead {
        service,
        document,
        customer,
        arrived,
        id,
        name,
        priority,
        deadline,
        order,
    })
}

/// Reads the whole body.
///
/// # Errors
///
/// Returns a denial with status 413 if the body is too long, 408 if it takes too long, and 400 if it is
/// truncated.
pub(crate) async fn read_body(
    cx: &Shared,
    headers: &HeaderMap,
    body: Body,
) -> Result<Bytes, Denial> {
    let limit = usize::try_from(cx.settings.body_limit).unwrap_or(usize::MAX);
    let declared = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if declared.is_some_and(|length| length > cx.settings.body_limit) {
        return Err(too_long(limit));
    }
    let read = tokio::time::timeout(BODY_TIMEOUT, to_bytes(body, limit)).await;
    let Ok(read) = read else {
        let message = "the body did not come within 30 s: send it again";
        return Err(Denial::Bad(StatusCode::REQUEST_TIMEOUT, message.to_owned()));
    };
    read.map_err(|err| {
        let source = std::error::Error::source(&err);
        let is_limit = source.is_some_and(|source| source.is::<http_body_util::LengthLimitError>());
        if is_limit {
            too_long(limit)
        } else {
            Denial::bad("the body broke off: send it again")
        }
    })
}

fn too_long(limit: usize) -> Denial {
    let message = format!("the body is longer than {limit} bytes: send less");
    Denial::Bad(StatusCode::PAYLOAD_TOO_LARGE, message)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Denial> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value.to_str().ok().filter(|value| !value.is_empty());
    value
        .map(Some)
        .ok_or_else(|| Denial::bad(format!("`{name}` is not plain text: correct or omit it")))
}

fn read_priority(headers: &HeaderMap) -> Result<Option<Priority>, Denial> {
    match text(headers, PRIORITY)? {
        None => Ok(None),
        Some("low") => Ok(Some(Priority::Low)),
        Some("normal") => Ok(Some(Priority::Normal)),
        Some("high") => Ok(Some(Priority::High)),
        Some(_) => Err(Denial::bad(
            "`wagtailreel-priority` is none of low, normal, high: correct or omit it",
        )),
    }
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Denial> {
    let Some(value) = text(headers, DEADLINE_MS)? else {
        return Ok(None);
    };
    // The limit of one day keeps the arithmetic on instants from overflowing.
    let millis = value.parse::<u64>().ok().filter(|ms| *ms <= 86_400_000);
    let millis = millis.ok_or_else(|| {
        Denial::bad("`wagtailreel-deadline-ms` is no whole number up to 86400000: correct it")
    })?;
    Ok(Some(Duration::from_millis(millis)))
}
