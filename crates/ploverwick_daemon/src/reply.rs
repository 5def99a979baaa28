//! HTTP replies to callers.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_names::Request as RequestName;
use ploverwick_ports::header;
use ploverwick_serve::{Reply, stream};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::response::{Head, PART_CHANNEL_CAPACITY, Part};

/// Creates a reply from the parts of a response.
pub(crate) async fn from_parts(
    mut parts: mpsc::Receiver<Part>,
    request: &RequestName,
    stream_requested: bool,
) -> Reply {
    if stream_requested {
        return match parts.recv().await {
            Some(Part::Head(head)) => streaming(&head, parts, request),
            Some(Part::End(verdict)) => error(&verdict, Some(request)),
            Some(Part::Data(..)) | None => error(&missing_head(), Some(request)),
        };
    }
    buffered(parts, request).await
}

fn missing_head() -> Verdict {
    use ploverwick_codes::attempt::Attempt;
    let sent = Attempt::new().send();
    sent.fail(Code::Interrupted, "the answer has no start")
}

/// Collects the whole response, so that the HTTP status can report how it ended.
async fn buffered(mut parts: mpsc::Receiver<Part>, request: &RequestName) -> Reply {
    let mut head = None;
    let mut body = BytesMut::new();
    while let Some(part) = parts.recv().await {
        match part {
            Part::Head(first) => head = Some(first),
            Part::Data(bytes, _) => body.extend_from_slice(&bytes),
            Part::End(verdict) if verdict.code() == Code::Done => {
                let Some(head) = head else { break };
                return done(&head, body.freeze(), request);
            }
            Part::End(verdict) => return error(&verdict, Some(request)),
        }
    }
    error(&missing_head(), Some(request))
}

fn done(head: &Head, body: Bytes, request: &RequestName) -> Reply {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
    let mut reply = ploverwick_serve::bytes(status, "application/json", body);
    if let Ok(value) = HeaderValue::from_str(&head.content_type) {
        reply
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    set_headers(&mut reply, Code::Done, Some(request), head.model.as_deref());
    reply
}

/// Forwards a stream. On failure it sends the error as the last event and aborts the connection.
fn streaming(head: &Head, mut parts: mpsc::Receiver<Part>, request: &RequestName) -> Reply {
    let (sender, bytes) = mpsc::channel(PART_CHANNEL_CAPACITY);
    tokio::spawn(async move {
        while let Some(part) = parts.recv().await {
            let sent = match part {
                Part::Head(_) => Ok(()),
                Part::Data(bytes, _) => sender.send(Ok(bytes)).await,
                Part::End(verdict) if verdict.code() == Code::Done => return,
                Part::End(verdict) => {
                    let event = format!("event: error\ndata: {}\n\n", error_body(&verdict));
                    let _ = sender.send(Ok(Bytes::from(event))).await;
                    break;
                }
            };
            if sent.is_err() {
                return;
            }
        }
        let _ = sender
            .send(Err(io::Error::other("the answer broke off")))
            .await;
    });
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
    let mut reply = stream(status, &head.content_type, bytes);
    set_headers(&mut reply, Code::Done, Some(request), head.model.as_deref());
    reply
}

fn set_headers(reply: &mut Reply, code: Code, request: Option<&RequestName>, model: Option<&str>) {
    let headers = reply.headers_mut();
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    if let Some(Ok(value)) = request.map(|name| HeaderValue::from_str(name.as_str())) {
        headers.insert(header::REQUEST, value);
    }
    if let Some(Ok(value)) = model.map(HeaderValue::from_str) {
        headers.insert(header::MODEL, value);
    }
}

/// The body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: u16,
    name: &'static str,
    class: ploverwick_codes::Class,
    repeat: ploverwick_codes::Repeat,
    message: &'a str,
    remedy: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

fn error_body(verdict: &Verdict) -> String {
    let code = verdict.code();
    let hint = verdict
        .hint()
        .map(|hint| u64::try_from(hint.as_millis()).unwrap_or(u64::MAX));
    let body = ErrorBody {
        error: ErrorFields {
            code: code.number(),
            name: code.name(),
            class: code.class(),
            repeat: code.repeat(),
            message: verdict.message(),
            remedy: code.remedy(),
            retry_after_ms: hint,
        },
    };
    serde_json::to_string(&body).expect("the project's own messages have a JSON form")
}

/// Creates the reply to a request that was refused or failed.
pub(crate) fn error(verdict: &Verdict, request: Option<&RequestName>) -> Reply {
    let code = verdict.code();
    let status = StatusCode::from_u16(code.http()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = ploverwick_serve::bytes(status, "application/json", error_body(verdict));
    set_headers(&mut reply, code, request, None);
    if let Some(hint) = verdict.hint() {
        // The header is in whole seconds; the body has the exact hint.
        let seconds = hint
            .as_millis()
            .div_ceil(Duration::from_secs(1).as_millis());
        let value = HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX));
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
