//! The HTTP API of the engine.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_names::{Model, Token, Variant};
use ploverwick_ports::engine::{Cancel, Order, OrderAck};
use ploverwick_ports::header;
use ploverwick_serve::{Handler, Reply, json, stream, text};
use ploverwick_timeline::clock::Stamp;
use ploverwick_timeline::{Event, Kind};
use serde::Deserialize;
use tokio::sync::{mpsc, watch};

use super::core::{Output, Refusal, RunRequest};
use super::{Engine, Outcome};
use crate::host::{self, Route, lock};

const DEFAULT_MAX_TOKENS: usize = 16;
const MAX_TOKENS: usize = 100_000;
const STREAM_BUFFER_EVENTS: usize = 64;
const CUT_AFTER_EVENTS: usize = 2;
/// A generous bound on the time until sent events have left the process.
const FLUSH_DELAY: Duration = Duration::from_millis(100);
const LOAD_TIMEOUT: Duration = Duration::from_mins(1);

/// The fields of a completion request that the engine uses.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    user: String,
    #[serde(default)]
    prompt: String,
}

impl Handler for Engine {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let request = match host::handle_common(request, &self.recorder, &self.faults).await? {
            Route::Handled(reply) => return Ok(reply),
            Route::Specific(request) => request,
        };
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/report") => Ok(self.report()),
            (Method::GET, "/cache/events") => {
                let after = host::query_parameter(&request, "after").unwrap_or_default();
                let lag = self.config.report_lag;
                Ok(json(
                    StatusCode::OK,
                    &lock(&self.core).cache.events(after, lag),
                ))
            }
            (Method::GET, "/standin/records") => {
                Ok(json(StatusCode::OK, &lock(&self.core).records))
            }
            (Method::POST, "/standin/restart") => {
                lock(&self.core).restart();
                self.recorder.record(Event::new(Kind::Fault, "restart"));
                Ok(json(StatusCode::OK, &serde_json::json!({})))
            }
            (Method::POST, "/orders/load") => self.load(host::read_json(request).await?).await,
            (Method::POST, "/orders/unload") => self.unload(host::read_json(request).await?).await,
            (Method::POST, "/orders/fence") => self.fence(&host::read_json(request).await?),
            (Method::POST, "/cancel") => {
                let cancel: Cancel = host::read_json(request).await?;
                lock(&self.core).cancel(&cancel.request);
                Ok(json(StatusCode::OK, &()))
            }
            (Method::POST, path) if path.starts_with("/v1/") => self.run(request).await,
            _ => Ok(host::unknown_path()),
        }
    }
}

impl Engine {
    fn report(&self) -> Reply {
        let mut report = lock(&self.core).report();
        report.leaving = lock(&self.faults).leaving;
        json(StatusCode::OK, &report)
    }

    fn acknowledge(&self) -> io::Result<Reply> {
        let mut faults = lock(&self.faults);
        if faults.lose_order_answers > 0 {
            faults.lose_order_answers -= 1;
            return Err(io::Error::other("injected fault: response dropped"));
        }
        let incarnation = lock(&self.core).incarnation();
        Ok(json(StatusCode::OK, &OrderAck { incarnation }))
    }

    async fn delay_order(&self) {
        let delay = lock(&self.faults).delay_orders_ms;
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }

    async fn load(&self, order: Order) -> io::Result<Reply> {
        self.delay_order().await;
        let Some(variant) = order.variant else {
            return Ok(text(StatusCode::BAD_REQUEST, "no adapter\n"));
        };
        let (started_in, started) = {
            let mut core = lock(&self.core);
            let checked = core.check_token(order.token);
            let started = checked.and_then(|()| core.begin_load(&variant));
            (core.incarnation(), started)
        };
        match started {
            Err(refusal) => return Ok(refusal_response(refusal)),
            Ok(false) => return self.acknowledge(),
            Ok(true) => {}
        }
        self.record_event(
            Kind::Load,
            &format!("load begins, token {}", order.token),
            &variant,
        );
        let ok = !lock(&self.faults).fail_loads && self.fetch(&variant).await;
        lock(&self.core).end_load(&variant, started_in, ok);
        self.record_event(Kind::Load, &format!("load ends, ok={ok}"), &variant);
        if ok {
            return self.acknowledge();
        }
        Ok(text(StatusCode::SERVICE_UNAVAILABLE, "load failed\n"))
    }

    /// Fetches the weights from the store; without a store, waits for `load_time`.
    async fn fetch(&self, variant: &Variant) -> bool {
        let Some(store) = self.config.store else {
            tokio::time::sleep(self.config.load_time).await;
            return true;
        };
        let path = format!("/weights/{}/{}", variant.adapter, variant.version);
        let fetched = self.client.call::<(), serde_json::Value>(
            Method::GET,
            store,
            &path,
            None,
            LOAD_TIMEOUT,
        );
        fetched.await.is_ok()
    }

    async fn unload(&self, order: Order) -> io::Result<Reply> {
        self.delay_order().await;
        let Some(variant) = order.variant else {
            return Ok(text(StatusCode::BAD_REQUEST, "no adapter\n"));
        };
        {
            let mut core = lock(&self.core);
            if let Err(refusal) = core.check_token(order.token) {
                return Ok(refusal_response(refusal));
            }
            core.unload(&variant);
        }
        self.record_event(
            Kind::Load,
            &format!("unloaded, token {}", order.token),
            &variant,
        );
        self.acknowledge()
    }

    fn fence(&self, order: &Order) -> io::Result<Reply> {
        let checked = lock(&self.core).check_token(order.token);
        match checked {
            Ok(()) => self.acknowledge(),
            Err(refusal) => Ok(refusal_response(refusal)),
        }
    }

    fn record_event(&self, kind: Kind, detail: &str, variant: &Variant) {
        let event = Event::new(kind, format!("{detail} ({variant})"));
        self.recorder.record(event.adapter(&variant.adapter));
    }

    async fn run(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let headers = request.headers().clone();
        let text_of = |name: &str| headers.get(name)?.to_str().ok();
        let number = |name: &str| text_of(name).and_then(|text| text.parse::<u64>().ok());
        if let Some(stamp) = number(header::STAMP) {
            self.recorder.clock().observe(Stamp(stamp));
        }
        let id = text_of(header::REQUEST).unwrap_or_default().to_owned();
        let completion: CompletionRequest = host::read_json(request).await?;
        let Ok(model) = completion.model.parse::<Model>() else {
            return Ok(text(StatusCode::BAD_REQUEST, "bad model\n"));
        };
        let Some(version) = model.version.clone() else {
            return Ok(text(StatusCode::BAD_REQUEST, "no version\n"));
        };
        if self.consume_fault(|faults| &mut faults.cut_heads) {
            return Err(io::Error::other(
                "injected fault: aborted before the response head",
            ));
        }
        let run_request = RunRequest {
            request: id.clone(),
            tag: completion.user,
            prompt: completion.prompt,
            asked: completion.model,
            variant: Variant {
                adapter: model.adapter.clone(),
                version,
            },
            priority: u32::try_from(number(header::PRIORITY).unwrap_or_default()).unwrap_or(0),
            resumes: number(header::LAST_EVENT_ID).unwrap_or_default() > 0,
            tokens: completion
                .max_tokens
                .unwrap_or(DEFAULT_MAX_TOKENS)
                .clamp(1, MAX_TOKENS),
        };
        let token = Token(number(header::FENCING_TOKEN).unwrap_or_default());
        let output = match self.start_run(run_request, token, &model) {
            Ok(output) => output,
            Err(refusal) => return Ok(refusal_response(refusal)),
        };
        let reported_model = self.reported_model(&model);
        let mut reply = if completion.stream {
            let after = number(header::LAST_EVENT_ID).unwrap_or_default();
            self.stream(output, id, reported_model.clone(), after)
        } else {
            complete_response(output, &id, &reported_model).await?
        };
        let incarnation = lock(&self.core).incarnation().0;
        let headers = reply.headers_mut();
        headers.insert(header::INCARNATION, incarnation.into());
        if let Ok(value) = HeaderValue::from_str(&reported_model) {
            headers.insert(header::MODEL, value);
        }
        let end = lock(&self.faults).end_body_after.take();
        Ok(match end {
            Some(bytes) => host::end_with_connection(reply, bytes),
            None => reply,
        })
    }

    fn start_run(
        &self,
        run_request: RunRequest,
        token: Token,
        model: &Model,
    ) -> Result<watch::Receiver<Output>, Refusal> {
        if lock(&self.faults).refuse_runs || model.base.as_str() != self.config.base {
            return Err(Refusal::NotLoaded);
        }
        let event = Event::new(Kind::Attempt, format!("run asked, token {token}"));
        let event = match run_request.request.clone().try_into() {
            Ok(request) => event.request(&request),
            Err(_) => event,
        };
        self.recorder.record(event.adapter(&model.adapter));
        lock(&self.core).start(run_request)
    }

    /// Decrements the counter of a fault; returns whether the fault applies to this call.
    fn consume_fault(&self, counter: impl FnOnce(&mut super::Faults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let count = counter(&mut faults);
        let applies = *count > 0;
        *count = count.saturating_sub(1);
        applies
    }

    fn reported_model(&self, model: &Model) -> String {
        match &lock(&self.faults).echo_adapter {
            Some(adapter) => format!("{}:{adapter}@v0", model.base),
            None => model.to_string(),
        }
    }

    fn stream(
        &self,
        output: watch::Receiver<Output>,
        id: String,
        model: String,
        after: u64,
    ) -> Reply {
        let cut = self.consume_fault(|faults| &mut faults.cut_streams);
        let (sender, parts) = mpsc::channel(STREAM_BUFFER_EVENTS);
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        tokio::spawn(send_events(output, sender, id, model, skip, cut));
        stream(StatusCode::OK, "text/event-stream", parts)
    }
}

fn refusal_response(refusal: Refusal) -> Reply {
    let body = serde_json::json!({"error": refusal.name()});
    let mut reply = json(StatusCode::CONFLICT, &body);
    reply
        .headers_mut()
        .insert(header::NOT_RUN, HeaderValue::from_static("true"));
    reply
}

/// Sends the events of a run as its tokens are generated, starting after the first `skip` events.
async fn send_events(
    mut output: watch::Receiver<Output>,
    sender: mpsc::Sender<Result<Bytes, io::Error>>,
    id: String,
    model: String,
    skip: usize,
    cut: bool,
) {
    let mut sent = skip;
    loop {
        let (events, outcome) = events_after(&output.borrow_and_update(), sent, &id, &model);
        sent += events.len();
        for event in events {
            if sender.send(Ok(event)).await.is_err() {
                return;
            }
        }
        if cut && sent >= CUT_AFTER_EVENTS {
            // An error sent right after the events would discard them before they are flushed.
            tokio::time::sleep(FLUSH_DELAY).await;
            let _ = sender
                .send(Err(io::Error::other("injected fault: stream aborted")))
                .await;
            return;
        }
        match outcome {
            Some(Outcome::Finished) => {
                let done = format!("id: {}\ndata: [DONE]\n\n", sent + 1);
                let _ = sender.send(Ok(Bytes::from(done))).await;
                return;
            }
            Some(_) => {
                let _ = sender
                    .send(Err(io::Error::other("the run did not finish")))
                    .await;
                return;
            }
            None => {}
        }
        let disconnected = tokio::select! {
            changed = output.changed() => changed.is_err(),
            () = sender.closed() => true,
        };
        if disconnected {
            return;
        }
    }
}

fn events_after(
    output: &Output,
    sent: usize,
    id: &str,
    model: &str,
) -> (Vec<Bytes>, Option<Outcome>) {
    let new_tokens = output.tokens.iter().enumerate().skip(sent);
    let events = new_tokens.map(|(index, token)| {
        let text = String::from_utf8_lossy(token);
        let data = serde_json::json!({
            "id": id, "object": "text_completion", "model": model,
            "choices": [{"index": 0, "text": text}],
        });
        Bytes::from(format!("id: {}\ndata: {data}\n\n", index + 1))
    });
    (events.collect(), output.outcome)
}

/// Waits until a run has finished and returns a response with its whole text.
async fn complete_response(
    mut output: watch::Receiver<Output>,
    id: &str,
    model: &str,
) -> io::Result<Reply> {
    let ended = output.wait_for(|output| output.outcome.is_some()).await;
    let output = ended.map_err(io::Error::other)?;
    if output.outcome != Some(Outcome::Finished) {
        return Err(io::Error::other("the run did not finish"));
    }
    let text: String = output
        .tokens
        .iter()
        .map(|token| String::from_utf8_lossy(token))
        .collect();
    let body = serde_json::json!({
        "id": id, "object": "text_completion", "model": model,
        "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
        "usage": {"completion_tokens": output.tokens.len()},
    });
    Ok(json(StatusCode::OK, &body))
}
