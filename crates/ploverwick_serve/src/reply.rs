//! Answers to requests.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

/// The body of an answer. An error in it breaks the connection off.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// An answer to a request.
pub type Reply = Response<Body>;

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Makes an answer of bytes.
pub fn bytes(status: StatusCode, content_type: &'static str, bytes: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(whole(bytes.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Makes an answer of text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Reply {
    bytes(status, "text/plain; charset=utf-8", text.into())
}

/// Makes an answer of a value's JSON form.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("the project's own messages have a JSON form");
    bytes(status, "application/json", body)
}

/// Makes an answer whose body is what comes out of a channel, until that is closed. An error
/// breaks the connection off, so that the client does not take the answer for whole.
pub fn stream(
    status: StatusCode,
    content_type: &str,
    parts: mpsc::Receiver<Result<Bytes, std::io::Error>>,
) -> Reply {
    let frames = unfold(parts, |mut parts| async move {
        let part = parts.recv().await?;
        Some((part.map(Frame::data), parts))
    });
    let mut reply = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *reply.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        reply.headers_mut().insert(CONTENT_TYPE, value);
    }
    reply
}
