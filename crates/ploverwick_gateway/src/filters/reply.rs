//! Answers that this instance gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use ploverwick_codes::Code;

/// A body towards a client.
pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;

/// An answer broke off; the client's connection is closed so that it does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub(crate) struct Broken(pub(crate) String);

/// An answer of this instance's own.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) code: Code,
    pub(crate) detail: String,
    /// When the client may come back, if it may.
    pub(crate) retry_after: Option<Duration>,
    /// The client is to come back over another connection, which may lead to another instance.
    closes: bool,
}

impl Reply {
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_after: None,
            closes: false,
        }
    }

    pub(crate) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    pub(crate) fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    pub(crate) fn into_response(self) -> Response<Body> {
        let text = format!("{}: {} {}\n", self.code, self.code.summary(), self.detail);
        let mut response = Response::new(whole(Bytes::from(text)));
        *response.status_mut() =
            StatusCode::from_u16(self.code.http()).expect("the codes' statuses are valid");
        let headers = response.headers_mut();
        headers.insert("ploverwick-code", HeaderValue::from(self.code.number()));
        if self.closes {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(delay) = self.retry_after {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("a number is a valid header");
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// Makes a body of bytes that are all there.
pub(crate) fn whole(bytes: Bytes) -> Body {
    let body = Full::new(bytes).map_err(|never| match never {});
    UnsyncBoxBody::new(body)
}
