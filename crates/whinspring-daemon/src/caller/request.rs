//! Validation of callers' requests and extraction of their metadata.

use {
    crate::{
        headers::{
            ATTEMPT, DEADLINE, REPEATABLE, REQUEST_ID, RESERVED_SEGMENT, strip_holder_headers,
            strip_hop_by_hop,
        },
        shared::Shared,
    },
    http::{
        HeaderMap, HeaderName, Method, Request, Version,
        header::{EXPECT, HOST, UPGRADE},
        request::Parts,
    },
    std::{borrow::Cow, hash::Hasher, time::Duration},
    twox_hash::XxHash3_64,
    uuid::Uuid,
    whinspring::{
        code::Code,
        model::{KeyPlace, Service},
        name::{Name, slice_of},
        request::{Meta, Place},
        time::{Tick, Wall},
    },
};

const MAX_ID_BYTES: usize = 128;

const MAX_KEY_BYTES: usize = 512;

const MAX_CUSTOMER_BYTES: usize = 128;

/// Retry delay sent by a node that has not loaded its records yet.
const NOT_READY_RETRY_MS: u32 = 500;

/// The deadline divided by this is reserved for delivering the last response to the caller.
const DELIVERY_DIVISOR: u32 = 20;

/// Largest part of a deadline reserved for delivering the last response to the caller.
const MAX_DELIVERY: Duration = Duration::from_millis(5);

/// A validated request.
#[derive(Debug)]
pub struct CheckedRequest {
    /// Metadata used for routing and deduplication.
    pub meta: Meta,
    /// Time by which the response must be sent to the caller.
    pub deadline: Tick,
    /// Path and query.
    pub path: Name,
}

/// Refusal of a request: its service (empty if unknown), result code and retry delay in
/// milliseconds.
type Rejection = (Name, Code, u32);

/// Returns the size of a request's head, without separators.
pub fn head_bytes<T>(request: &Request<T>) -> usize {
    let headers = request.headers().iter();
    let fields: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    let target = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    fields + target
}

/// Validates the head of a request.
pub fn check(shared: &Shared, parts: &Parts) -> Result<CheckedRequest, Rejection> {
    let unmatched = |code| (Name::new(), code, 0);
    let path = check_form(parts).map_err(unmatched)?;
    let view = shared.view();
    if view.is_empty() {
        return Err((Name::new(), Code::NotReady, NOT_READY_RETRY_MS));
    }
    let service = view.service_for(path).ok_or(Code::NoService).map_err(unmatched)?.service();
    let reject = |code| (service.name.clone(), code, 0);
    let meta = check_meta(service, parts, path).map_err(reject)?;
    let timeout = check_deadline(service, &parts.headers).map_err(reject)?;
    let delivery = MAX_DELIVERY.min(timeout / DELIVERY_DIVISOR);
    let deadline = shared.clock.now() + (timeout - delivery);
    Ok(CheckedRequest { meta, deadline, path: Name::from(path) })
}

/// Returns a hash of the request, by which requests that crash servers are recognised.
pub fn fingerprint(service: &str, method: &Method, path: &str, body: &[u8]) -> u64 {
    let mut hasher = XxHash3_64::new();
    for part in [service.as_bytes(), method.as_str().as_bytes(), path.as_bytes(), body] {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// Removes headers that are not forwarded to the server.
pub fn strip_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    strip_holder_headers(headers);
    headers.remove(EXPECT);
}

/// Validates what does not depend on the service; returns path and query.
fn check_form(parts: &Parts) -> Result<&str, Code> {
    let method = &parts.method;
    if method == Method::CONNECT || method == Method::TRACE || parts.headers.contains_key(UPGRADE) {
        return Err(Code::BadRequest);
    }
    if parts.version != Version::HTTP_11 || parts.headers.get_all(HOST).iter().count() != 1 {
        return Err(Code::BadRequest);
    }
    let path = parts.uri.path_and_query().ok_or(Code::BadRequest)?.as_str();
    if !path.starts_with('/') {
        return Err(Code::BadRequest);
    }
    for segment in parts.uri.path().split('/') {
        let segment = percent_decode(segment).ok_or(Code::BadRequest)?;
        match &*segment {
            "." | ".." => return Err(Code::BadRequest),
            RESERVED_SEGMENT => return Err(Code::NoService),
            _ => {}
        }
    }
    Ok(path)
}

/// Extracts the metadata of a request, except for its fingerprint.
fn check_meta(service: &Service, parts: &Parts, path: &str) -> Result<Meta, Code> {
    let headers = &parts.headers;
    let id = check_id(headers)?;
    let idempotent = check_idempotent(&parts.method, headers)?;
    if !idempotent && id.is_empty() {
        return Err(Code::NoId);
    }
    Ok(Meta {
        service: service.name.clone(),
        place: check_place(service, headers, path)?,
        customer: check_customer(service, headers)?,
        issued: issue_time(&id),
        id,
        first: check_first(headers)?,
        idempotent,
        fingerprint: 0,
        crashes: 0,
    })
}

/// Extracts the key of a request; `None` for services without keys.
fn check_place(service: &Service, headers: &HeaderMap, path: &str) -> Result<Option<Place>, Code> {
    let key = match &service.key {
        None => return Ok(None),
        Some(KeyPlace::Header(name)) => single_value(headers, name).map_err(|_| Code::NoKey)?,
        Some(KeyPlace::PathPart(index)) => path_part(service, path, *index),
    };
    let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    let key = Name::from(&*key.ok_or(Code::NoKey)?);
    let slice = slice_of(&key, service.slices.max(1));
    Ok(Some(Place { key, slice }))
}

/// Returns a segment of the path after the service's prefix, decoded.
fn path_part<'a>(service: &Service, path: &'a str, index: u32) -> Option<Cow<'a, str>> {
    let path = path.split('?').next()?;
    let rest = path.strip_prefix(service.prefix.trim_end_matches('/'))?;
    let part = rest.trim_start_matches('/').split('/').nth(index as usize)?;
    percent_decode(part)
}

/// Returns the customer of the request; empty if there is none.
fn check_customer(service: &Service, headers: &HeaderMap) -> Result<Name, Code> {
    if service.customer.is_empty() {
        return Ok(Name::new());
    }
    let customer = single_value(headers, &service.customer)?.unwrap_or_default();
    if customer.len() > MAX_CUSTOMER_BYTES {
        return Err(Code::BadRequest);
    }
    Ok(Name::from(&*customer))
}

/// Returns the request id; empty if there is none.
fn check_id(headers: &HeaderMap) -> Result<Name, Code> {
    let mut values = headers.get_all(REQUEST_ID).iter();
    let Some(value) = values.next() else { return Ok(Name::new()) };
    let visible = value.as_bytes().iter().all(u8::is_ascii_graphic);
    let fits = (1..=MAX_ID_BYTES).contains(&value.len());
    if values.next().is_some() || !visible || !fits {
        return Err(Code::BadId);
    }
    let text = value.to_str().map_err(|_| Code::BadId)?;
    Ok(Name::from(text))
}

/// Returns the creation time of an id that is a UUIDv7.
fn issue_time(id: &str) -> Option<Wall> {
    let uuid = Uuid::try_parse(id).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Wall(seconds * 1_000 + u64::from(nanos / 1_000_000)))
}

/// Returns whether the caller marked this as the first attempt with the id.
fn check_first(headers: &HeaderMap) -> Result<bool, Code> {
    let Some(attempt) = single_value(headers, ATTEMPT.as_str())? else { return Ok(false) };
    let attempt: u32 = attempt.parse().map_err(|_| Code::BadRequest)?;
    if attempt == 0 { Err(Code::BadRequest) } else { Ok(attempt == 1) }
}

/// Returns whether the request is idempotent.
fn check_idempotent(method: &Method, headers: &HeaderMap) -> Result<bool, Code> {
    let safe = matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS);
    match single_value(headers, REPEATABLE.as_str())?.as_deref() {
        None => Ok(safe),
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(Code::BadRequest),
    }
}

/// Returns the timeout that the caller set, or the service's default.
fn check_deadline(service: &Service, headers: &HeaderMap) -> Result<Duration, Code> {
    let value = single_value(headers, DEADLINE.as_str()).map_err(|_| Code::BadDeadline)?;
    let Some(value) = value else {
        return Ok(Duration::from_millis(service.deadline_ms.into()));
    };
    let ms: u32 = value.parse().map_err(|_| Code::BadDeadline)?;
    if ms == 0 || ms > service.cap_ms || value.starts_with('+') {
        return Err(Code::BadDeadline);
    }
    Ok(Duration::from_millis(ms.into()))
}

/// Returns the value of a header; an error if it occurs more than once.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<Cow<'a, str>>, Code> {
    let Ok(name) = HeaderName::try_from(name) else { return Ok(None) };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(Code::BadRequest);
    }
    let text = std::str::from_utf8(value.as_bytes()).map_err(|_| Code::BadRequest)?;
    Ok(Some(Cow::Borrowed(text.trim())))
}

/// Decodes a percent-encoded string; `None` if it is malformed.
pub(crate) fn percent_decode(part: &str) -> Option<Cow<'_, str>> {
    if !part.contains('%') {
        return Some(Cow::Borrowed(part));
    }
    let mut bytes = Vec::with_capacity(part.len());
    let mut rest = part.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        if *first != b'%' {
            bytes.push(*first);
            rest = tail;
            continue;
        }
        let digits = std::str::from_utf8(tail.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).ok().map(Cow::Owned)
}
