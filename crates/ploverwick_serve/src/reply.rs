//! Builds HTTP responses.

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

/// The body of a response. An error in it aborts the connection.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A response to a request.
pub type Reply = Response<Body>;

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Creates a response with a body of bytes.
pub fn bytes(status: StatusCode, content_type: &'static str, bytes: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(whole(bytes.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}

/// Creates a plain-text response.
pub fn text(status: StatusCode, text: impl Into<String>) -> Reply {
    bytes(status, "text/plain; charset=utf-8", text.into())
}

/// Creates a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("the value serialises to JSON");
    bytes(status, "application/json", body)
}

/// Creates a response that streams the chunks received from a channel until the channel is closed. An error
/// aborts the connection, so that the client does not take the response for complete.
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
