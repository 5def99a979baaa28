//! Detects truncated responses whose end only the end of the connection marks.
//!
//! A response with a length or in chunks that is truncated is an error of the connection. One with neither ends with its
//! connection, and a process that crashes closes it like one that is done. Then only the content can show the end.

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, Response};
use hyper::body::{Body, Incoming};
use serde::de::IgnoredAny;

/// The ends of a stream that ends after an event.
pub const EVENT_ENDS: &[&[u8]] = &[b"\n\n", b"\n\r\n", b"\r\r"];
/// The length of the longest end of a stream that can be checked.
const MAX_END_BYTES: usize = 16;
/// The largest JSON document that is checked, in bytes.
const MAX_JSON_BYTES: usize = 16 << 20;

/// A response ended with its connection before its content did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the connection ended before the answer did")]
pub struct Truncated;

/// Detects whether a response is truncated.
#[derive(Debug)]
pub struct Detector(Content);

/// The content that shows where a response ends.
#[derive(Debug)]
enum Content {
    /// The framing or nothing shows the end.
    Unchecked,
    Json(BytesMut),
    Events {
        last_bytes: BytesMut,
        ends: &'static [&'static [u8]],
    },
}

impl Detector {
    /// Creates a detector for a response; a stream of events has to end with one of `event_ends`, of 16 bytes at most.
    pub fn new(response: &Response<Incoming>, event_ends: &'static [&'static [u8]]) -> Self {
        let headers = response.headers();
        let has_length = response.body().size_hint().exact().is_some();
        if has_length || is_chunked(headers) {
            return Self(Content::Unchecked);
        }
        let content_type = text(headers, CONTENT_TYPE).unwrap_or_default();
        let media_type = content_type.split(';').next().unwrap_or_default().trim();
        Self(match media_type.to_ascii_lowercase().as_str() {
            "application/json" => Content::Json(BytesMut::new()),
            "text/event-stream" => Content::Events {
                last_bytes: BytesMut::new(),
                ends: event_ends,
            },
            _ => Content::Unchecked,
        })
    }

    /// Adds the next bytes of the body.
    pub fn push(&mut self, bytes: &Bytes) {
        match &mut self.0 {
            Content::Unchecked => {}
            Content::Json(document) if document.len() + bytes.len() > MAX_JSON_BYTES => {
                self.0 = Content::Unchecked;
            }
            Content::Json(document) => document.extend_from_slice(bytes),
            Content::Events { last_bytes, .. } => {
                last_bytes.extend_from_slice(&bytes[bytes.len().saturating_sub(MAX_END_BYTES)..]);
                let excess = last_bytes.len().saturating_sub(MAX_END_BYTES);
                drop(last_bytes.split_to(excess));
            }
        }
    }

    /// Checks the content at the end of the body.
    ///
    /// # Errors
    /// Fails if the content shows that the body is truncated.
    pub fn finish(self) -> Result<(), Truncated> {
        let is_whole = match self.0 {
            Content::Unchecked => true,
            Content::Json(document) => serde_json::from_slice::<IgnoredAny>(&document).is_ok(),
            Content::Events { last_bytes, ends } => {
                ends.iter().any(|end| last_bytes.ends_with(end))
            }
        };
        is_whole.then_some(()).ok_or(Truncated)
    }
}

fn text(headers: &HeaderMap, name: http::HeaderName) -> Option<&str> {
    headers.get_all(name).iter().next_back()?.to_str().ok()
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let last = text(headers, TRANSFER_ENCODING).and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
