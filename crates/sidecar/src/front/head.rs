//! Validates the heads of requests.

use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use sagemast_decide::api::*;

use super::RequestNames;
use crate::transfer::limits::MAX_BODY_BYTES;

/// Longest accepted `X-Request-ID`. The ids of open requests are kept in memory.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// Longest accepted `X-Timeout-Ms`.
const MAX_REQUEST_TIMEOUT_MS: u64 = 600_000;

/// Status and reason with which a malformed request is rejected.
pub type Rejection = (StatusCode, &'static str);

/// The fields of a valid request head.
pub struct ValidatedHead {
    /// The class that its path and its header name.
    pub class: ClassId,
    /// Its tenant; the first one where the settings name none.
    pub tenant: TenantId,
    /// How long the client waits.
    pub time_left: Duration,
    /// The id that the client gave the request.
    pub id: Box<str>,
}

/// Validates a request head. A request that upstreams could not use or might parse differently is never
/// forwarded.
///
/// # Errors
/// The status and reason of the rejection.
pub fn validate_head(request: &Request<Incoming>, names: &RequestNames) -> Result<ValidatedHead, Rejection> {
    let bad_request = |reason| (StatusCode::BAD_REQUEST, reason);
    let class_name = request.uri().path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let Some(class) = names.classes.iter().position(|form| form.name == class_name) else {
        return Err((StatusCode::NOT_FOUND, "no such path"));
    };
    let target = request.uri().path_and_query().map_or("", |target| target.as_str());
    if !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad_request("the path is not plain text"));
    }
    let headers = request.headers();
    let length = match single_value(headers, "content-length")? {
        Some(text) => parse_decimal(text).ok_or(bad_request("Content-Length is not a number"))?,
        None => 0,
    };
    if length > MAX_BODY_BYTES {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"));
    }
    match single_value(headers, "x-priority-class")? {
        None => return Err(bad_request("X-Priority-Class is missing")),
        Some(name) if name != class_name => {
            return Err(bad_request("X-Priority-Class does not fit the path"));
        }
        Some(_) => {}
    }
    let idempotency_key = single_value(headers, "idempotency-key")?;
    let form = &names.classes[class];
    match (request.method(), form.effect) {
        (&Method::GET, Effect::Idempotent) if !request.body().is_end_stream() => {
            return Err(bad_request("GET has no body"));
        }
        (&Method::GET, Effect::Idempotent) => {}
        (&Method::PUT, Effect::Idempotent) if form.put => {}
        // Without the key, upstreams could not recognize a repeated request.
        (&Method::POST, Effect::IdempotentByKey { .. }) if idempotency_key.is_none_or(str::is_empty) => {
            return Err(bad_request("Idempotency-Key is missing"));
        }
        // A key promises that a repeated request is not executed again, which does not hold for this class.
        (&Method::POST, Effect::NonIdempotent) if idempotency_key.is_some() => {
            return Err(bad_request("the class takes no Idempotency-Key"));
        }
        (&Method::POST, Effect::IdempotentByKey { .. } | Effect::NonIdempotent) => {}
        _ => return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class")),
    }
    let id = single_value(headers, "x-request-id")?
        .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES);
    let id = id.ok_or(bad_request("X-Request-ID is missing or too long"))?.into();
    let timeout = single_value(headers, "x-timeout-ms")?.ok_or(bad_request("X-Timeout-Ms is missing"))?;
    let timeout_ms = parse_decimal(timeout).filter(|ms| (1..=MAX_REQUEST_TIMEOUT_MS).contains(ms));
    let time_left =
        Duration::from_millis(timeout_ms.ok_or(bad_request("X-Timeout-Ms is not a number of milliseconds"))?);
    let tenant = match single_value(headers, "x-tenant-id")? {
        _ if names.tenants.is_empty() => 0,
        None => return Err(bad_request("X-Tenant-Id is missing")),
        Some(name) => {
            names.tenants.iter().position(|tenant| tenant == name).ok_or(bad_request("unknown tenant"))?
        }
    };
    Ok(ValidatedHead { class: ClassId(class), tenant: TenantId(tenant), time_left, id })
}

/// Parses a number of decimal digits only; `parse` alone would accept a sign.
fn parse_decimal(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The value of a header that may occur only once.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    match (value.to_str(), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        (Err(_), _) => Err((StatusCode::BAD_REQUEST, "a header is not text")),
        (_, Some(_)) => Err((StatusCode::BAD_REQUEST, "a header comes twice")),
    }
}
