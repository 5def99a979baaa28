//! Reads a stream from an endpoint.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ploverwick_endpoints::{EventScanner, Scan};
use ploverwick_platform::answer::Head;

use super::in_flight::InFlight;
use super::resume::Found;
use super::send::Answered;
use crate::pool::Connection;

/// The answer of an endpoint that is being read.
#[derive(Debug)]
pub(super) struct Source {
    body: Incoming,
    scanner: EventScanner,
    pub(super) in_flight: InFlight,
    pub(super) connection: Connection,
    pub(super) head: Head,
}

impl From<Answered> for Source {
    fn from(answered: Answered) -> Self {
        Self {
            body: answered.body,
            scanner: EventScanner::default(),
            in_flight: answered.in_flight,
            connection: answered.connection,
            head: answered.head,
        }
    }
}

impl Source {
    /// Returns whether the stream stands inside an event.
    pub(super) fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }
}

/// What happened while a stream waited.
#[derive(Debug)]
pub(super) enum Event {
    /// The next piece of the stream, and the events in it.
    Data(Bytes, Scan),
    End,
    Break(hyper::Error),
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
            None => return Event::End,
            Some(Err(error)) => return Event::Break(error),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    let scan = source.scanner.scan(&data);
                    return Event::Data(data, scan);
                }
            }
        }
    }
}
