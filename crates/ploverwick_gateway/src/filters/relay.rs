//! Passes answers of endpoints on to clients.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming, SizeHint};
use ploverwick_endpoints::Outcome;
use ploverwick_platform::answer::{self, Head, Statement};
use tokio::time::Instant;

use super::flight::Flight;
use super::place::{self, Target};
use super::quarantine;
use super::reply::{Body, Broken, whole as whole_body};
use super::reuse::keep;
use super::send::{self, Answered, Sent};
use super::task::Task;
use crate::clock::Clock;
use crate::connection::Activity;
use crate::controllers::crashes;
use crate::pool::Connection;
use crate::shared::Shared;

/// The part of the silence after which a client leaves that a stream may pause before it goes on at
/// another endpoint, which needs the other half to read the prompt.
const PAUSE_SHARE: f64 = 0.5;

/// Reads an answer to its end and makes a response of it.
///
/// # Errors
/// Fails with the cause if it breaks off; nothing went to the client then.
pub(crate) async fn whole(
    shared: &Arc<Shared>,
    task: &Task,
    answered: Answered,
) -> Result<Response<Body>, String> {
    let Answered {
        parts,
        head,
        body,
        mut flight,
        connection,
    } = answered;
    let body = match tokio::time::timeout_at(task.deadline, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            flight.end(Outcome::Broken);
            crashes::handle_broken_connection(shared, &flight.endpoint, task.suspect());
            return Err(error.to_string());
        }
        Err(_) => {
            flight.end(Outcome::Broken);
            return Err("the answer was not complete in time".to_owned());
        }
    };
    flight.end(if parts.status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Success
    });
    keep(shared, &flight.endpoint, connection, &head);
    Ok(respond(&parts, &head, whole_body(body)))
}

/// Passes a stream of events on as it comes.
pub(crate) fn stream(
    shared: &Arc<Shared>,
    task: &Arc<Task>,
    target: &Target,
    answered: Answered,
    sent: u32,
) -> Response<Body> {
    let Answered {
        parts,
        head,
        body,
        flight,
        connection,
    } = answered;
    let relay = Relay {
        shared: Arc::clone(shared),
        task: Arc::clone(task),
        source: Some(Source {
            body,
            flight,
            connection,
            head: head.clone(),
        }),
        events: task.route.kind.may_repeat().then(Events::default),
        sent,
        tried: vec![Arc::clone(&target.entry.id)],
    };
    let frames = stream::try_unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Ok::<_, Broken>(bytes.map(|bytes| (Frame::data(bytes), relay)))
    });
    respond(&parts, &head, UnsyncBoxBody::new(StreamBody::new(frames)))
}

fn respond(parts: &Parts, head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = promise(parts.status, head);
    *response.headers_mut() = answer::forward(&parts.headers);
    response
}

/// A status that promises "not run" goes on only with the endpoint's own statement.
fn promise(status: StatusCode, head: &Head) -> StatusCode {
    let promises = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if promises && head.statement == Statement::Nothing {
        return StatusCode::BAD_GATEWAY;
    }
    status
}

#[derive(Debug)]
struct Source {
    body: Incoming,
    flight: Flight,
    connection: Connection,
    head: Head,
}

/// A stream on its way to a client.
#[derive(Debug)]
struct Relay {
    shared: Arc<Shared>,
    task: Arc<Task>,
    source: Option<Source>,
    /// Cuts the bytes into events, if the stream may go on at another endpoint.
    events: Option<Events>,
    sent: u32,
    tried: Vec<Arc<str>>,
}

impl Relay {
    /// Returns the next bytes; `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            let limit = self.pause_limit();
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let frame = tokio::time::timeout_at(limit, source.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if let Some(bytes) = self.pass(data) {
                        return Ok(Some(bytes));
                    }
                }
                Ok(None) => return Ok(self.finish()),
                Ok(Some(Err(error))) => {
                    crashes::handle_broken_connection(
                        &self.shared,
                        &source.flight.endpoint,
                        self.task.suspect(),
                    );
                    self.resume(&error.to_string()).await?;
                }
                Err(_) if limit < self.task.deadline => self.resume("the stream paused").await?,
                Err(_) => {
                    self.lose(Outcome::Abandoned);
                    return Err(self.broken("the deadline passed"));
                }
            }
        }
    }

    /// Returns until when the next bytes are awaited: to the end, unless the stream may go on elsewhere
    /// before its client leaves. A connection may fall silent without a sign.
    fn pause_limit(&self) -> Instant {
        let may_go_on = self.events.is_some() && self.sent < self.task.route.max_attempts;
        match self.task.route.event_timeout {
            Some(silence) if may_go_on => {
                let limit = Instant::now() + silence.mul_f64(PAUSE_SHARE);
                limit.min(self.task.deadline)
            }
            Some(_) | None => self.task.deadline,
        }
    }

    /// Holds back what is not a whole event, if the stream may go on elsewhere.
    fn pass(&mut self, data: Bytes) -> Option<Bytes> {
        match &mut self.events {
            None => Some(data),
            Some(events) => events.push(&data),
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        if let Some(mut source) = self.source.take() {
            source.flight.end(Outcome::Success);
            quarantine::ended_well(&self.shared, &self.task);
            let endpoint = Arc::clone(&source.flight.endpoint);
            keep(&self.shared, &endpoint, source.connection, &source.head);
        }
        let rest = self.events.as_mut().map(Events::rest);
        rest.filter(|rest| !rest.is_empty())
    }

    fn lose(&mut self, outcome: Outcome) {
        if let Some(mut source) = self.source.take() {
            source.flight.end(outcome);
        }
    }

    fn broken(&self, cause: &str) -> Broken {
        if self.shared.lines.allow(self.shared.now()) {
            spdlog::info!(
                "stream_broken id={} route={} sent={} endpoints={:?} cause=\"{}\" left_ms={} ms={}",
                self.task.call.id,
                self.task.route.name,
                self.sent,
                self.tried,
                cause,
                self.task.left().as_millis(),
                self.task.received.elapsed().as_millis()
            );
        }
        Broken(cause.to_owned())
    }

    /// Goes on at another endpoint after the last whole event.
    async fn resume(&mut self, cause: &str) -> Result<(), Broken> {
        self.lose(Outcome::Broken);
        let after = match &mut self.events {
            Some(events) => events.cut(),
            None => return Err(self.broken(cause)),
        };
        while self.sent < self.task.route.max_attempts
            && quarantine::may_repeat(&self.shared, &self.task)
            && self
                .shared
                .may_repeat(&self.task.call.id, &self.task.service)
        {
            let target = match place::run(&self.shared, &self.task, &self.tried).await {
                Ok(target) => target,
                Err(reply) => return Err(self.broken(&reply.detail)),
            };
            if let Some(refusal) = quarantine::refusal(&self.shared, &self.task) {
                return Err(self.broken(&refusal.detail));
            }
            self.sent += 1;
            self.tried.push(Arc::clone(&target.entry.id));
            let limit = target.begin_by.unwrap_or(self.task.deadline);
            let limit = limit.min(self.task.deadline);
            let sent = send::run(&self.shared, &self.task, &target, limit, after).await;
            if let Sent::Revoked(reply) = &sent {
                return Err(self.broken(reply.code.name()));
            }
            if let Sent::Answered(answered) = sent
                && answered.parts.status.is_success()
                && answered.head.is_signed
            {
                let Answered {
                    head,
                    body,
                    flight,
                    connection,
                    ..
                } = *answered;
                self.source = Some(Source {
                    body,
                    flight,
                    connection,
                    head,
                });
                return Ok(());
            }
        }
        Err(self.broken(cause))
    }
}

/// Cuts a stream into whole events and remembers the last one's identifier.
#[derive(Debug, Default)]
pub(crate) struct Events {
    pending: BytesMut,
    last: Option<u64>,
}

impl Events {
    /// Takes bytes in and returns the whole events so far, if any.
    pub(crate) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(data);
        let end = event_end(&self.pending, from)?;
        let events = self.pending.split_to(end).freeze();
        self.last = last_id(&events).or(self.last);
        Some(events)
    }

    /// Drops a part of an event and returns the last whole one's identifier.
    pub(crate) fn cut(&mut self) -> Option<u64> {
        self.pending.clear();
        self.last
    }

    /// Returns what is left at the end of the stream.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Finds the end of the last whole event; an empty line ends one.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for at in from..bytes.len() {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            end = Some(at + 2);
        } else if rest.starts_with(b"\n\r\n") {
            end = Some(at + 3);
        }
    }
    end
}

fn last_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// Says when an answer is over, so that the connection counts as idle from then on.
#[derive(Debug)]
pub(crate) struct Ended {
    activity: Activity,
    clock: Clock,
}

impl Ended {
    pub(crate) fn new(activity: Activity, clock: Clock) -> Self {
        Self { activity, clock }
    }
}

impl Drop for Ended {
    fn drop(&mut self) {
        self.activity.end(self.clock.now());
    }
}

/// Ties the end of a body to a watcher.
pub(crate) fn watched(body: Body, ended: Ended) -> Body {
    UnsyncBoxBody::new(Watched {
        body,
        _ended: ended,
    })
}

struct Watched {
    body: Body,
    _ended: Ended,
}

impl hyper::body::Body for Watched {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
