//! Forwards answers of endpoints to clients.

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

use super::admitted_request::AdmittedRequest;
use super::in_flight::InFlight;
use super::quarantine;
use super::reply::{Body, BrokenAnswer, full_body};
use super::reuse::keep;
use super::select::{self, Target};
use super::send::{self, Answered, SendOutcome};
use super::stream_timing::{Ending, StreamTiming};
use crate::clock::Clock;
use crate::connection::Activity;
use crate::controllers::crashes;
use crate::pool::Connection;
use crate::shared::Shared;

/// The fraction of the client's event timeout for which a stream may pause before it is resumed at another
/// endpoint. That endpoint needs the other half to read the prompt.
const MAX_PAUSE_RATIO: f64 = 0.5;

/// Reads a complete answer and builds the response from it.
///
/// # Errors
/// Fails with the cause if the answer is interrupted or late. Nothing has been sent to the client then.
pub(crate) async fn whole(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
    answered: Answered,
) -> Result<Response<Body>, String> {
    let Answered {
        parts,
        head,
        body,
        mut in_flight,
        connection,
    } = answered;
    let body = match tokio::time::timeout_at(request.deadline, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            in_flight.set_outcome(Outcome::Broken);
            crashes::handle_broken_connection(shared, &in_flight.endpoint, request.suspect());
            return Err(error.to_string());
        }
        Err(_) => {
            in_flight.set_outcome(Outcome::Broken);
            return Err("the answer was not complete in time".to_owned());
        }
    };
    in_flight.set_outcome(if parts.status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Success
    });
    keep(shared, &in_flight.endpoint, connection, &head);
    Ok(build_response(&parts, &head, full_body(body)))
}

/// Forwards a stream of events as it arrives.
pub(crate) fn event_stream(
    shared: &Arc<Shared>,
    request: &Arc<AdmittedRequest>,
    target: &Target,
    answered: Answered,
    sent: u32,
) -> Response<Body> {
    let Answered {
        parts,
        head,
        body,
        in_flight,
        connection,
    } = answered;
    let forwarded = ForwardedStream {
        shared: Arc::clone(shared),
        request: Arc::clone(request),
        source: Some(Source {
            body,
            in_flight,
            connection,
            head: head.clone(),
        }),
        splitter: request.route.kind.may_retry().then(EventSplitter::default),
        sent,
        tried: vec![Arc::clone(&target.entry.id)],
        timing: StreamTiming::start(shared, request, &target.entry.id),
    };
    let frames = stream::try_unfold(forwarded, |mut forwarded| async move {
        let bytes = forwarded.next().await?;
        Ok::<_, BrokenAnswer>(bytes.map(|bytes| (Frame::data(bytes), forwarded)))
    });
    build_response(&parts, &head, UnsyncBoxBody::new(StreamBody::new(frames)))
}

fn build_response(parts: &Parts, head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = forwarded_status(parts.status, head);
    *response.headers_mut() = answer::forward(&parts.headers);
    response
}

/// Returns the status to forward. A status that implies "not run" is forwarded only if the endpoint stated that it
/// has not run the request.
fn forwarded_status(status: StatusCode, head: &Head) -> StatusCode {
    let means_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if means_not_run && head.statement == Statement::Nothing {
        return StatusCode::BAD_GATEWAY;
    }
    status
}

#[derive(Debug)]
struct Source {
    body: Incoming,
    in_flight: InFlight,
    connection: Connection,
    head: Head,
}

/// A stream that is forwarded to a client.
#[derive(Debug)]
struct ForwardedStream {
    shared: Arc<Shared>,
    request: Arc<AdmittedRequest>,
    source: Option<Source>,
    /// Splits the bytes into events, if the stream may be resumed at another endpoint.
    splitter: Option<EventSplitter>,
    sent: u32,
    tried: Vec<Arc<str>>,
    timing: StreamTiming,
}

impl ForwardedStream {
    /// Returns the next bytes for the client; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        let awaited_at = Instant::now();
        loop {
            let deadline = self.read_deadline();
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let frame = tokio::time::timeout_at(deadline, source.body.frame()).await;
            match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let now = Instant::now();
                    if self
                        .timing
                        .record_bytes(&source.in_flight.endpoint, &data, now)
                    {
                        source.in_flight.record_event(awaited_at, now);
                    }
                    if let Some(bytes) = self.accept(data) {
                        return Ok(Some(bytes));
                    }
                }
                Ok(None) => return Ok(self.finish()),
                Ok(Some(Err(error))) => {
                    crashes::handle_broken_connection(
                        &self.shared,
                        &source.in_flight.endpoint,
                        self.request.suspect(),
                    );
                    self.resume(&error.to_string()).await?;
                }
                Err(_) if deadline < self.request.deadline => {
                    self.resume("the stream paused").await?;
                }
                Err(_) => {
                    self.close_source(Outcome::Abandoned);
                    return Err(self.fail("the deadline passed"));
                }
            }
        }
    }

    /// Returns the deadline for the next bytes. It is the request's deadline, unless the stream may be resumed at
    /// another endpoint before the client disconnects: a connection may stall without an error.
    fn read_deadline(&self) -> Instant {
        let may_resume = self.splitter.is_some() && self.sent < self.request.route.max_attempts;
        match self.request.route.event_timeout {
            Some(event_timeout) if may_resume => {
                let deadline = Instant::now() + event_timeout.mul_f64(MAX_PAUSE_RATIO);
                deadline.min(self.request.deadline)
            }
            Some(_) | None => self.request.deadline,
        }
    }

    /// Returns the bytes to forward. Incomplete events are buffered if the stream may be resumed at another
    /// endpoint.
    fn accept(&mut self, data: Bytes) -> Option<Bytes> {
        match &mut self.splitter {
            None => Some(data),
            Some(splitter) => splitter.push(&data),
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        if let Some(mut source) = self.source.take() {
            source.in_flight.set_outcome(Outcome::Success);
            self.timing.set_ending(Ending::Complete);
            quarantine::handle_success(&self.shared, &self.request);
            let endpoint = Arc::clone(&source.in_flight.endpoint);
            keep(&self.shared, &endpoint, source.connection, &source.head);
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_rest);
        rest.filter(|rest| !rest.is_empty())
    }

    fn close_source(&mut self, outcome: Outcome) {
        if let Some(mut source) = self.source.take() {
            source.in_flight.set_outcome(outcome);
        }
    }

    fn fail(&mut self, cause: &str) -> BrokenAnswer {
        self.timing.set_ending(Ending::Broken);
        if self.shared.log_limiter.allow(self.shared.now()) {
            spdlog::info!(
                "stream_broken id={} route={} sent={} endpoints={:?} cause=\"{}\" left_ms={} ms={}",
                self.request.info.id,
                self.request.route.name,
                self.sent,
                self.tried,
                cause,
                self.request.remaining().as_millis(),
                self.request.received.elapsed().as_millis()
            );
        }
        BrokenAnswer(cause.to_owned())
    }

    /// Resumes the stream at another endpoint after the last complete event.
    async fn resume(&mut self, cause: &str) -> Result<(), BrokenAnswer> {
        self.close_source(Outcome::Broken);
        let after = match &mut self.splitter {
            Some(splitter) => splitter.discard_partial(),
            None => return Err(self.fail(cause)),
        };
        while self.sent < self.request.route.max_attempts
            && quarantine::may_retry(&self.shared, &self.request)
            && self
                .shared
                .may_retry(&self.request.info.id, &self.request.service)
        {
            let target = match select::run(&self.shared, &self.request, &self.tried).await {
                Ok(target) => target,
                Err(reply) => return Err(self.fail(&reply.detail)),
            };
            if let Some(refusal) = quarantine::refusal(&self.shared, &self.request) {
                return Err(self.fail(&refusal.detail));
            }
            self.sent += 1;
            self.tried.push(Arc::clone(&target.entry.id));
            let deadline = target.start_deadline.unwrap_or(self.request.deadline);
            let deadline = deadline.min(self.request.deadline);
            let outcome = send::run(&self.shared, &self.request, &target, deadline, after).await;
            if let SendOutcome::Revoked(reply) = &outcome {
                return Err(self.fail(reply.code.name()));
            }
            if let SendOutcome::Answered(answered) = outcome
                && answered.parts.status.is_success()
                && answered.head.is_signed
            {
                let Answered {
                    head,
                    body,
                    in_flight,
                    connection,
                    ..
                } = *answered;
                self.source = Some(Source {
                    body,
                    in_flight,
                    connection,
                    head,
                });
                return Ok(());
            }
        }
        Err(self.fail(cause))
    }
}

/// Splits a stream into complete events and keeps the identifier of the last one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    pending: BytesMut,
    last: Option<u64>,
}

impl EventSplitter {
    /// Appends bytes and returns the complete events so far, if any.
    pub(crate) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(data);
        let end = event_end(&self.pending, from)?;
        let events = self.pending.split_to(end).freeze();
        self.last = last_id(&events).or(self.last);
        Some(events)
    }

    /// Discards an incomplete event and returns the identifier of the last complete one.
    pub(crate) fn discard_partial(&mut self) -> Option<u64> {
        self.pending.clear();
        self.last
    }

    /// Returns the remaining bytes at the end of the stream.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// Returns the end of the last complete event. An empty line ends an event.
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

/// Marks the client's connection as idle when dropped at the end of an answer.
#[derive(Debug)]
pub(crate) struct ActivityGuard {
    activity: Activity,
    clock: Clock,
}

impl ActivityGuard {
    pub(crate) fn new(activity: Activity, clock: Clock) -> Self {
        Self { activity, clock }
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.activity.end(self.clock.now());
    }
}

/// Wraps a body so that `guard` is dropped with it.
pub(crate) fn guarded(body: Body, guard: ActivityGuard) -> Body {
    UnsyncBoxBody::new(GuardedBody {
        body,
        _guard: guard,
    })
}

struct GuardedBody {
    body: Body,
    _guard: ActivityGuard,
}

impl hyper::body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
