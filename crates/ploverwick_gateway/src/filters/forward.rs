//! Forwards answers of endpoints to clients.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use ploverwick_endpoints::{Backpressure, Entry, Outcome, Resumption, Scan, Step};
use ploverwick_platform::answer;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::answer_wait::AnswerWait;
use super::event_splitter::EventSplitter;
use super::quarantine;
use super::reply::{Body, BrokenAnswer, ReadDeadline, full_body};
use super::resume::{self, Cause, Found, Interruption};
use super::reuse::keep;
use super::select::Target;
use super::send::{self, Answered, SendOutcome};
use super::source::{Break, Event, Source, read};
use super::stream_timing::{Ending, StreamTiming};
use crate::controllers::{crashes, origins};
use crate::memory::Answer;
use crate::metrics;
use crate::shared::Shared;

/// How long a paused endpoint is kept after the request was sent to another one, which may refuse it at once.
const MAX_OVERLAP: Duration = Duration::from_millis(100);
/// How long the origin of a stream is kept beyond the client's time limit, for an attempt that was sent just before it.
const RETRY_MARGIN: Duration = Duration::from_secs(1);

/// The size of an answer in bytes up to which it is read before it is forwarded, whatever the memory limit.
const MAX_COLLECTED_BYTES: usize = 4 * 1_024 * 1_024;

/// Reads a complete answer and builds the response from it. What there is no room for is forwarded as the client reads it.
///
/// # Errors
/// Fails with the cause if the answer is interrupted or late. Nothing has been sent to the client then.
pub(crate) async fn whole(
    shared: &Arc<Shared>,
    request: &Arc<AdmittedRequest>,
    mut answered: Answered,
) -> Result<Response<Body>, String> {
    let collected = collect(shared, &mut answered.body);
    let body = match tokio::time::timeout_at(request.deadline, collected).await {
        Ok(Ok(Collected::Whole(bytes))) => bytes,
        Ok(Ok(Collected::Part(bytes))) if answered.parts.status.is_success() => {
            let resumption = Resumption::new(None, 1, 1);
            let parts = answered.parts.clone();
            let mut forwarded = ForwardedStream::new(shared, request, answered, resumption);
            forwarded.collected = Some(bytes);
            return Ok(forwarded.into_response(&parts));
        }
        Ok(Ok(Collected::Part(_))) => {
            answered.in_flight.set_outcome(Outcome::Error);
            return Err("there is no room for the error answer".to_owned());
        }
        Ok(Err(error)) => {
            answered.in_flight.set_outcome(Outcome::Broken);
            let endpoint = &answered.in_flight.endpoint;
            let suspect = request.suspect(&answered.known);
            crashes::handle_broken_connection(shared, endpoint, suspect);
            return Err(error.to_string());
        }
        Err(_) => {
            answered.in_flight.set_outcome(Outcome::Broken);
            return Err("the answer was not complete in time".to_owned());
        }
    };
    let Answered {
        parts,
        head,
        mut in_flight,
        connection,
        ..
    } = answered;
    in_flight.set_outcome(if parts.status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Success
    });
    keep(shared, &in_flight.endpoint, connection, &head);
    Ok(build_response(&parts, full_body(body)))
}

/// What was read of a plain answer.
enum Collected {
    Whole(Bytes),
    /// There is no room for the rest.
    Part(Bytes),
}

/// Reads an answer up to its end, or as far as there is room.
async fn collect(shared: &Shared, body: &mut Incoming) -> Result<Collected, hyper::Error> {
    let answer = Answer::default();
    let mut held = shared.memory.hold(0, &answer);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        held.extend(data.len() as u64);
        bytes.extend_from_slice(&data);
        if bytes.len() > MAX_COLLECTED_BYTES || !shared.memory.may_read(&answer) {
            return Ok(Collected::Part(held.attach(bytes.freeze())));
        }
    }
    Ok(Collected::Whole(held.attach(bytes.freeze())))
}

/// Forwards a stream of events as it arrives.
///
/// `excluded` are the endpoints that are not tried again.
pub(crate) fn event_stream(
    shared: &Arc<Shared>,
    request: &Arc<AdmittedRequest>,
    answered: Answered,
    mut excluded: Vec<Arc<str>>,
) -> Response<Body> {
    excluded.push(Arc::clone(&answered.in_flight.endpoint));
    let parts = answered.parts.clone();
    let route = &request.route;
    let may_resume = route.kind.may_retry();
    let max_runs = if may_resume { route.max_attempts } else { 1 };
    let runs = request.lock_evidence().sends().runs();
    let resumption = Resumption::new(route.event_timeout, max_runs, runs);
    let mut forwarded = ForwardedStream::new(shared, request, answered, resumption);
    forwarded.splitter = may_resume.then(EventSplitter::default);
    forwarded.excluded = excluded;
    forwarded.into_response(&parts)
}

fn build_response(parts: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = forwarded_status(parts.status);
    *response.headers_mut() = answer::forward(&parts.headers);
    response
}

/// Returns the status to forward. Answers that prove that their request has not run are not forwarded, so that the status of one
/// that is must promise nothing.
fn forwarded_status(status: StatusCode) -> StatusCode {
    if answer::is_promise(status) {
        return StatusCode::BAD_GATEWAY;
    }
    status
}

/// A stream that is forwarded to a client.
#[derive(Debug)]
struct ForwardedStream {
    shared: Arc<Shared>,
    request: Arc<AdmittedRequest>,
    source: Option<Source>,
    /// Splits the bytes into events, if the stream may be resumed at another endpoint.
    splitter: Option<EventSplitter>,
    is_complete: bool,
    resumption: Resumption,
    /// The endpoints that are not tried again.
    excluded: Vec<Arc<str>>,
    /// When another endpoint may be sought at the earliest.
    seek_from: Instant,
    /// When the wait for the next event began.
    silent_since: Instant,
    interruption: Option<Interruption>,
    /// The endpoint that the first event came from.
    first_endpoint: Option<Entry>,
    /// What was read before the answer was forwarded.
    collected: Option<Bytes>,
    /// The bytes that are held of the answer.
    answer: Answer,
    /// When bytes were handed over that the client has not taken yet.
    handed_over: Option<Instant>,
    backpressure: Backpressure,
    timing: StreamTiming,
}

impl ForwardedStream {
    /// Creates a stream that is not resumed.
    fn new(
        shared: &Arc<Shared>,
        request: &Arc<AdmittedRequest>,
        answered: Answered,
        resumption: Resumption,
    ) -> Self {
        let source = Source::from(answered);
        Self {
            shared: Arc::clone(shared),
            request: Arc::clone(request),
            timing: StreamTiming::start(shared, request, &source.in_flight.endpoint),
            source: Some(source),
            splitter: None,
            is_complete: false,
            resumption,
            excluded: Vec::new(),
            seek_from: Instant::now(),
            silent_since: Instant::now(),
            interruption: None,
            first_endpoint: None,
            collected: None,
            answer: Answer::default(),
            handed_over: None,
            backpressure: Backpressure::default(),
        }
    }

    fn into_response(self, parts: &Parts) -> Response<Body> {
        let deadline = self.request.deadline;
        let frames = stream::try_unfold(self, |mut forwarded| async move {
            let bytes = forwarded.next().await?;
            Ok::<_, BrokenAnswer>(bytes.map(|bytes| (Frame::data(bytes), forwarded)))
        });
        let body = UnsyncBoxBody::new(StreamBody::new(frames));
        let mut response = build_response(parts, body);
        response.extensions_mut().insert(ReadDeadline(deadline));
        response
    }

    /// Returns the next bytes for the client; `None` at the end of the stream.
    ///
    /// It is called once the client has taken the previous bytes, except for what the connection buffers.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        let room = self.shared.memory.wait_to_read(&self.answer);
        // Past the deadline, the next step breaks the stream off.
        drop(tokio::time::timeout_at(self.request.deadline, room).await);
        self.record_stall();
        if let Some(bytes) = self.collected.take() {
            if let Some(source) = &mut self.source {
                source.scan(&bytes);
            }
            self.handed_over = Some(Instant::now());
            return Ok(Some(bytes));
        }
        let bytes = self.read_next().await?;
        self.handed_over = bytes.is_some().then(Instant::now);
        Ok(bytes.map(|bytes| {
            let held = self.shared.memory.hold(bytes.len() as u64, &self.answer);
            held.attach(bytes)
        }))
    }

    /// Records how long the client has not taken the previous bytes.
    fn record_stall(&mut self) {
        if let Some(since) = self.handed_over.take() {
            let stall = since.elapsed();
            self.backpressure.record_stall(stall);
            self.timing.record_stall(stall);
        }
    }

    async fn read_next(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        if self.is_complete {
            return Ok(None);
        }
        let awaited_at = Instant::now();
        self.silent_since = awaited_at;
        loop {
            let has_source = self.source.is_some();
            let silence = self.silent_since.elapsed();
            let remaining = self.request.remaining();
            let step_begun = Instant::now();
            let step = self.resumption.next_step(has_source, silence, remaining);
            let mut event = match step {
                Step::Wait(time) => self.wait(time).await,
                Step::Seek(time) => self.seek(time).await,
                Step::Fail => return Err(self.fail(remaining.is_zero())),
            };
            if let Event::Found(Found::Target(target)) = event {
                event = self.resume(&target).await;
            }
            self.backpressure.record_wait(step_begun.elapsed());
            match event {
                Event::Data(data, scan) => {
                    self.end_pause();
                    self.record_events(scan.events, awaited_at);
                    if let Some(bytes) = self.accept(data, scan) {
                        self.fix_build(scan);
                        return Ok(Some(bytes));
                    }
                    if self
                        .splitter
                        .as_ref()
                        .is_some_and(EventSplitter::is_overfull)
                    {
                        self.handle_break(&Break::EventTooLarge);
                    }
                }
                Event::End => return Ok(self.finish()),
                Event::Break(cause) if self.backpressure.explains_break() => {
                    return Err(self.end_unread(&cause));
                }
                Event::Break(cause) => self.handle_break(&cause),
                Event::Found(Found::Forbidden(cause)) => self.forbid(&cause),
                Event::Found(_) | Event::Timeout => {}
            }
        }
    }

    async fn wait(&mut self, time: Duration) -> Event {
        let event = tokio::time::timeout(time, read(&mut self.source)).await;
        event.unwrap_or(Event::Timeout)
    }

    /// Seeks another endpoint while the present one may still continue.
    async fn seek(&mut self, time: Duration) -> Event {
        let end = Instant::now() + time;
        self.interrupt(Cause::Pause);
        let (shared, request) = (&self.shared, &self.request);
        tokio::select! {
            biased;
            event = read(&mut self.source) => event,
            found = resume::seek(shared, request, &self.excluded, self.seek_from, end) => Event::Found(found),
        }
    }

    /// Resumes the stream at another endpoint after the last complete event.
    ///
    /// The present endpoint is closed once the other one answers, or after [`MAX_OVERLAP`].
    async fn resume(&mut self, target: &Target) -> Event {
        let shared = Arc::clone(&self.shared);
        let request = Arc::clone(&self.request);
        let deadline = target.start_deadline.unwrap_or(request.deadline);
        let deadline = deadline.min(request.deadline);
        let after = self.splitter.as_ref().and_then(EventSplitter::last);
        let mut wait = AnswerWait::until(deadline);
        let mut send = pin!(send::run(&shared, &request, target, &mut wait, after));
        let outcome = tokio::select! {
            biased;
            event = read(&mut self.source) => match event {
                Event::Break(cause) => {
                    self.handle_break(&cause);
                    send.await
                }
                event => {
                    self.resumption.record_run();
                    self.excluded.push(Arc::clone(&target.entry.id));
                    return event;
                }
            },
            outcome = &mut send => outcome,
            () = tokio::time::sleep(MAX_OVERLAP) => {
                self.close_source(Outcome::Broken);
                send.await
            }
        };
        self.handle_outcome(target, outcome);
        Event::Timeout
    }

    fn handle_outcome(&mut self, target: &Target, outcome: SendOutcome) {
        metrics::send(outcome.name());
        match outcome {
            SendOutcome::Answered(answered)
                if answered.parts.status.is_success() && answered.head.is_signed =>
            {
                self.close_source(Outcome::Broken);
                self.resumption.record_run();
                if let Some(interruption) = self.interruption.take() {
                    self.log("stream_resumed", &interruption.cause, Some(&target.entry));
                    metrics::stream_resumption(self.compare_build(&target.entry));
                    interruption.end_resumed();
                }
                self.source = Some(Source::from(*answered));
                self.backpressure = Backpressure::default();
                self.silent_since = Instant::now();
            }
            SendOutcome::Answered(mut answered) => {
                answered.in_flight.set_outcome(Outcome::Error);
                self.resumption.record_run();
            }
            SendOutcome::Lost(_) | SendOutcome::TimedOut => self.resumption.record_run(),
            SendOutcome::Revoked(reply) => self.forbid(reply.code.name()),
            SendOutcome::Withdrawn => self.forbid("endpoints crashed under it elsewhere"),
            SendOutcome::Unsent(_) | SendOutcome::NotRun { .. } => {
                let backoff = self.resumption.record_refusal();
                self.seek_from = Instant::now() + backoff;
            }
        }
        self.excluded.push(Arc::clone(&target.entry.id));
    }

    fn forbid(&mut self, cause: &str) {
        self.log("stream_not_resumed", cause, None);
        self.resumption.forbid();
    }

    /// Handles a break that the client explains: the stream is neither held against the endpoint nor resumed.
    fn end_unread(&mut self, cause: &Break) -> BrokenAnswer {
        // Only a probe of its address shows whether the endpoint crashed meanwhile.
        self.diagnose_break();
        self.timing.set_ending(Ending::Unread);
        self.close_source(Outcome::Abandoned);
        let cause = format!("the client did not read: {cause}");
        self.log("stream_broken", &cause, None);
        BrokenAnswer(cause)
    }

    fn diagnose_break(&mut self) {
        if let Some(source) = &self.source {
            self.timing.record_end(source);
            let endpoint = &source.in_flight.endpoint;
            let suspect = self.request.suspect(&source.known);
            crashes::handle_broken_connection(&self.shared, endpoint, suspect);
        }
    }

    fn handle_break(&mut self, cause: &Break) {
        self.diagnose_break();
        self.close_source(Outcome::Broken);
        self.interruption = None;
        self.interrupt(Cause::Break(cause.to_string()));
    }

    /// Marks the stream as interrupted. If the client disconnects now, its endpoint is the cause.
    fn interrupt(&mut self, cause: Cause) {
        if let Some(source) = &mut self.source {
            source.in_flight.set_outcome(Outcome::Broken);
        }
        self.interruption
            .get_or_insert_with(|| Interruption::new(cause));
    }

    /// Records that the endpoint continued by itself, if it had paused.
    fn end_pause(&mut self) {
        let Some(interruption) = self.interruption.take() else {
            return;
        };
        if let Some(source) = &mut self.source {
            source.in_flight.set_outcome(Outcome::Abandoned);
            let entry = source.entry.clone();
            self.log("stream_kept", &interruption.cause, Some(&entry));
        }
        interruption.end_kept();
    }

    /// Records when events arrived, which were waited for since `awaited_at`.
    fn record_events(&mut self, events: usize, awaited_at: Instant) {
        let Some(source) = &mut self.source else {
            return;
        };
        if events == 0 {
            return;
        }
        let now = Instant::now();
        let endpoint = &source.in_flight.endpoint;
        self.timing.record_events(endpoint, events, now);
        source.in_flight.record_event(awaited_at, now);
    }

    /// Returns the bytes to forward. Incomplete events are buffered if the stream may be resumed at another
    /// endpoint.
    fn accept(&mut self, data: Bytes, scan: Scan) -> Option<Bytes> {
        match &mut self.splitter {
            None => Some(data),
            Some(splitter) => splitter.push(&data, scan.end),
        }
    }

    /// Fixes the build with the first event that is forwarded: only that build may continue the stream, here or where the
    /// client takes it up again.
    fn fix_build(&mut self, scan: Scan) {
        let Some(source) = self.source.as_ref().filter(|_| scan.events > 0) else {
            return;
        };
        if self.splitter.is_none() || self.first_endpoint.is_some() {
            return;
        }
        let entry = source.entry.clone();
        self.request.build.get_or_init(|| entry.build());
        if let Some(attempt) = self.request.origin_attempt {
            let timeout = self.request.info.timeout;
            let timeout = timeout.unwrap_or(self.request.route.timeout);
            let remaining = timeout.saturating_sub(self.request.received.elapsed());
            let lifetime = remaining.saturating_add(RETRY_MARGIN);
            let scope = self.request.scope();
            origins::record(&self.shared, scope, attempt, &entry, lifetime);
        }
        self.first_endpoint = Some(entry);
    }

    fn finish(&mut self) -> Option<Bytes> {
        self.is_complete = true;
        if let Some(mut source) = self.source.take() {
            source.in_flight.set_outcome(Outcome::Success);
            self.timing.set_ending(Ending::Complete);
            self.timing.record_end(&source);
            let framing = source.head.framing;
            quarantine::handle_success(&self.shared, &self.request, &source.entry, framing);
            let endpoint = Arc::clone(&source.in_flight.endpoint);
            keep(&self.shared, &endpoint, source.connection, &source.head);
        }
        if let Some(interruption) = self.interruption.take() {
            interruption.end_kept();
        }
        let rest = self.splitter.as_mut().map(EventSplitter::take_rest);
        rest.filter(|rest| !rest.is_empty())
    }

    /// Closes the connection to the endpoint and discards the event of which a part was read.
    fn close_source(&mut self, outcome: Outcome) {
        if let Some(mut source) = self.source.take() {
            source.in_flight.set_outcome(outcome);
        }
        if let Some(splitter) = &mut self.splitter {
            splitter.discard_partial();
        }
    }

    fn fail(&mut self, is_late: bool) -> BrokenAnswer {
        self.timing.set_ending(Ending::Broken);
        self.close_source(Outcome::Abandoned);
        let cause = match &self.interruption {
            Some(interruption) if !is_late => interruption.cause.to_string(),
            Some(_) | None => "the deadline passed".to_owned(),
        };
        self.log("stream_broken", &cause, None);
        BrokenAnswer(cause)
    }

    /// Returns whether an endpoint runs the software version that began the stream.
    fn compare_build(&self, entry: &Entry) -> &'static str {
        match &self.first_endpoint {
            None => "none",
            Some(first) if first.build() == entry.build() => "same",
            Some(_) => "other",
        }
    }

    /// Logs an event; `endpoint` is the one that continues the stream.
    fn log(&self, event: &str, cause: impl std::fmt::Display, endpoint: Option<&Entry>) {
        if self.shared.log_limiter.allow(self.shared.now()) {
            spdlog::info!(
                "{} id={} route={} endpoint={} began_at={} pause_ms={} runs={} endpoints={:?} cause=\"{}\" left_ms={} ms={}",
                event,
                self.request.info.id,
                self.request.route.name,
                format_endpoint(endpoint),
                format_endpoint(self.first_endpoint.as_ref()),
                self.silent_since.elapsed().as_millis(),
                self.resumption.runs(),
                self.excluded,
                cause,
                self.request.remaining().as_millis(),
                self.request.received.elapsed().as_millis()
            );
        }
    }
}

impl Drop for ForwardedStream {
    fn drop(&mut self) {
        if self.handed_over.is_none() || self.is_complete {
            return;
        }
        self.record_stall();
        if self.backpressure.explains_break() {
            self.timing.set_ending(Ending::Unread);
        }
    }
}

/// Formats an endpoint and the version of its software.
fn format_endpoint(entry: Option<&Entry>) -> String {
    entry.map_or_else(
        || "-".to_owned(),
        |entry| format!("{}@{}", entry.id, entry.software),
    )
}
