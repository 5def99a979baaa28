//! Parses the headers and the body of a request.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use hyper::body::Incoming;
use ploverwick_claims::Key;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_names::{Caller, Hall, Model, Moment};
use ploverwick_ports::header;
use ploverwick_serve::ReadError;
use ploverwick_timeline::clock::now_millis;
use serde::Deserialize;

use super::{Exchange, IdempotencyKey, refuse};
use crate::node::Node;

const MAX_PRIORITY: u64 = 9;
const MAX_KEY_BYTES: usize = 256;

/// The fields of the body that the daemon reads. All others are forwarded unchanged.
#[derive(Deserialize)]
struct BodyFields {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Reads a body within the size and time limits in the settings.
///
/// # Errors
/// Refuses a body that is too large, too slow or incomplete.
pub(crate) async fn read_body(node: &Node, body: Incoming) -> Result<Bytes, Verdict> {
    let limits = &node.settings.limits;
    let read = ploverwick_serve::read_body(body, limits.body_bytes, limits.body_timeout());
    read.await.map_err(|error| match error {
        ReadError::TooLarge => {
            let message = format!("the body has more than {} bytes", limits.body_bytes);
            refuse(Code::BodyTooLarge, message)
        }
        ReadError::Timeout => {
            let message = format!("no whole body within {} ms", limits.body_timeout_ms);
            refuse(Code::BodySlow, message)
        }
        ReadError::Disconnected => refuse(Code::Cancelled, "the body broke off"),
    })
}

/// Creates an exchange from the path, headers and body of a request.
///
/// # Errors
/// Refuses malformed headers, bodies and models, and a non-idempotent request without a key.
pub(crate) fn read(
    node: &Node,
    path: &str,
    headers: &HeaderMap,
    caller: Caller,
    body: Bytes,
) -> Result<Exchange, Verdict> {
    let fields: BodyFields = serde_json::from_slice(&body)
        .map_err(|error| refuse(Code::BodyMalformed, error.to_string()))?;
    let model: Model = fields
        .model
        .parse()
        .map_err(|error| refuse(Code::ModelMalformed, format!("{error}")))?;
    let priority = number(headers, header::PRIORITY, MAX_PRIORITY)?;
    let idempotency_key = idempotency_key(headers, &caller)?;
    let idempotent = !marked_non_idempotent(headers)?;
    if !idempotent && idempotency_key.is_none() {
        let message = "the request is marked as non-idempotent";
        return Err(refuse(Code::KeyMissing, message));
    }
    Ok(Exchange {
        request: node.new_request(),
        caller,
        path: path.to_owned(),
        model,
        body,
        stream: fields.stream,
        hall: hall(node, headers)?,
        priority: priority.and_then(|priority| u8::try_from(priority).ok()),
        deadline: deadline(node, headers)?,
        idempotent,
        idempotency_key,
        resume_after: number(headers, header::LAST_EVENT_ID, u64::MAX)?.unwrap_or_default(),
        policy: None,
    })
}

/// Returns the value of a header.
///
/// # Errors
/// Refuses a header that is not ASCII text or occurs more than once.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Verdict> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        let message = format!("header {name} stands twice");
        return Err(refuse(Code::HeaderMalformed, message));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| refuse(Code::HeaderMalformed, format!("header {name} is not text")))
}

fn number(headers: &HeaderMap, name: &str, max: u64) -> Result<Option<u64>, Verdict> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    let number = text.trim().parse::<u64>().ok();
    let fits = number.filter(|number| *number <= max);
    fits.map(Some).ok_or_else(|| {
        let message = format!("header {name} has to be a whole number from 0 to {max}");
        refuse(Code::HeaderMalformed, message)
    })
}

fn marked_non_idempotent(headers: &HeaderMap) -> Result<bool, Verdict> {
    match text(headers, header::NON_IDEMPOTENT)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => {
            let message = format!("header {} has to be true or false", header::NON_IDEMPOTENT);
            Err(refuse(Code::HeaderMalformed, message))
        }
    }
}

/// Reads the hall, which defaults to the failure domain of this instance.
fn hall(node: &Node, headers: &HeaderMap) -> Result<Hall, Verdict> {
    let domain = node.settings.instance.failure_domain.as_str();
    let name = text(headers, header::HALL)?.unwrap_or(domain);
    Hall::new(name).map_err(|error| {
        refuse(
            Code::HeaderMalformed,
            format!("header {}: {error}", header::HALL),
        )
    })
}

/// Reads the deadline, limited to the maximum in the settings.
///
/// # Errors
/// Refuses a deadline that is not a number.
pub(crate) fn deadline(node: &Node, headers: &HeaderMap) -> Result<Moment, Verdict> {
    let requests = &node.settings.requests;
    let asked = number(headers, header::DEADLINE_MS, u64::MAX)?;
    let millis = asked.unwrap_or(requests.deadline_ms);
    let bounded = millis.min(requests.deadline_max_ms);
    Ok(node.now() + Duration::from_millis(bounded))
}

/// Reads the idempotency key and the time of its creation, from a header or a version 7 UUID.
///
/// # Errors
/// Refuses a key without a time, because a repeat could then arrive after the key has expired and
/// run again.
pub(crate) fn idempotency_key(
    headers: &HeaderMap,
    caller: &Caller,
) -> Result<Option<IdempotencyKey>, Verdict> {
    let Some(key) = text(headers, header::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("the key has to have 1 to {MAX_KEY_BYTES} bytes");
        return Err(refuse(Code::HeaderMalformed, message));
    }
    let key_time = number(headers, header::KEY_TIME, u64::MAX)?;
    let Some(made_ms) = key_time.or_else(|| uuid_time(key)) else {
        return Err(refuse(Code::KeyUnstamped, "the key has no time"));
    };
    if made_ms > now_millis().saturating_mul(2) {
        return Err(refuse(Code::KeyExpired, "the key's time is not near now"));
    }
    Ok(Some(IdempotencyKey {
        key: Key::digest(caller, key),
        made_ms,
    }))
}

/// Returns the timestamp of a version 7 UUID in milliseconds.
fn uuid_time(key: &str) -> Option<u64> {
    let uuid = uuid::Uuid::parse_str(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds.saturating_mul(1000) + u64::from(nanos / 1_000_000))
}

/// Returns the time left until a deadline.
pub(crate) fn remaining(node: &Node, deadline: Moment) -> Duration {
    deadline.since(node.now())
}
