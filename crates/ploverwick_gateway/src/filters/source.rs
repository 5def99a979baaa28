//! Reads a stream from an endpoint.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ploverwick_platform::answer::Head;

use super::in_flight::InFlight;
use super::resume::Found;
use super::send::Answered;
use crate::pool::Connection;

/// The answer of an endpoint that is being read.
#[derive(Debug)]
pub(super) struct Source {
    body: Incoming,
    pub(super) in_flight: InFlight,
    pub(super) connection: Connection,
    pub(super) head: Head,
}

impl From<Answered> for Source {
    fn from(answered: Answered) -> Self {
        Self {
            body: answered.body,
            in_flight: answered.in_flight,
            connection: answered.connection,
            head: answered.head,
        }
    }
}

/// What happened while a stream waited.
#[derive(Debug)]
pub(super) enum Event {
    Data(Bytes),
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
                    return Event::Data(data);
                }
            }
        }
    }
}
