//! Reads a stream from an endpoint.

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ploverwick_endpoints::{Entry, EventScanner, Scan};
use ploverwick_platform::answer::{Framing, Head};
use ploverwick_quarantine::prompt::Knowledge;

use super::in_flight::InFlight;
use super::resume::Found;
use super::send::Answered;
use crate::pool::Connection;

/// The answer of an endpoint that is being read.
#[derive(Debug)]
pub(super) struct Source {
    body: Incoming,
    scanner: EventScanner,
    is_document: bool,
    has_events: bool,
    pub(super) entry: Entry,
    pub(super) in_flight: InFlight,
    pub(super) connection: Connection,
    pub(super) head: Head,
    pub(super) known: Knowledge,
}

impl From<Answered> for Source {
    fn from(answered: Answered) -> Self {
        Self {
            body: answered.body,
            scanner: EventScanner::default(),
            is_document: is_document(&answered.parts.headers),
            has_events: false,
            entry: answered.entry,
            in_flight: answered.in_flight,
            connection: answered.connection,
            head: answered.head,
            known: answered.known,
        }
    }
}

/// Why a stream from an endpoint broke.
#[derive(Debug, thiserror::Error)]
pub(super) enum Break {
    /// The connection failed, or it ended before the end that the framing marks.
    #[error("{0}")]
    Connection(#[from] hyper::Error),
    /// An event that must be read whole does not end.
    #[error("an event is too large")]
    EventTooLarge,
    /// The stream ended inside an event.
    #[error("the stream ended inside an event")]
    InsideEvent,
    /// The connection ended before the first event of a stream that nothing else marks the end of.
    #[error("the connection ended before the first event")]
    NoEvent,
}

impl Source {
    /// Scans the next bytes of the stream.
    pub(super) fn scan(&mut self, data: &[u8]) -> Scan {
        let scan = self.scanner.scan(data);
        self.has_events |= scan.events > 0;
        scan
    }

    /// Returns whether the stream stands inside an event.
    pub(super) fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Returns what the end of the bytes means.
    fn end(&self) -> Event {
        if self.is_document && self.head.framing != Framing::Close {
            Event::End
        } else if self.is_inside_event() {
            Event::Break(Break::InsideEvent)
        } else if !self.has_events && self.head.framing == Framing::Close {
            Event::Break(Break::NoEvent)
        } else {
            Event::End
        }
    }
}

/// Returns whether an answer states that it consists of something other than events.
fn is_document(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(CONTENT_TYPE) else {
        return false;
    };
    let media_type = content_type.as_bytes().split(|byte| *byte == b';').next();
    let media_type = media_type.unwrap_or_default().trim_ascii();
    !media_type.eq_ignore_ascii_case(b"text/event-stream")
}

/// What happened while a stream waited.
#[derive(Debug)]
pub(super) enum Event {
    /// The next piece of the stream, and the events in it.
    Data(Bytes, Scan),
    End,
    Break(Break),
    Found(Found),
    Timeout,
}

/// Reads from an endpoint; never completes without one.
pub(super) async fn read(source: &mut Option<Source>) -> Event {
    let Some(source) = source else {
        return std::future::pending().await;
    };
    loop {
        match source.body.frame().await {
            None => return source.end(),
            Some(Err(error)) => return Event::Break(error.into()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    let scan = source.scan(&data);
                    return Event::Data(data, scan);
                }
            }
        }
    }
}
