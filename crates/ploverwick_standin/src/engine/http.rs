//! The engine's HTTP face.

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

use super::core::{Output, Refusal, Start};
use super::{Engine, Outcome};
use crate::host::{self, Asked, lock};

const DEFAULT_TOKENS: usize = 16;
const MAX_TOKENS: usize = 100_000;
const STREAM_BUFFER: usize = 64;
const CUT_AFTER: usize = 2;
/// How long sent events take to leave the process, by far.
const FLUSH: Duration = Duration::from_millis(100);
const LOAD_PATIENCE: Duration = Duration::from_mins(1);

/// What the engine reads of a request's body.
#[derive(Debug, Deserialize)]
struct Ask {
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
        let request = match host::common(request, &self.recorder, &self.faults).await? {
            Asked::Answered(reply) => return Ok(reply),
            Asked::Own(request) => request,
        };
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/report") => Ok(self.report()),
            (Method::GET, "/cache/events") => {
                let after = host::parameter(&request, "after").unwrap_or_default();
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
            (Method::POST, "/orders/load") => self.load(host::argument(request).await?).await,
            (Method::POST, "/orders/unload") => self.unload(host::argument(request).await?).await,
            (Method::POST, "/orders/fence") => self.fence(&host::argument(request).await?),
            (Method::POST, "/cancel") => {
                let cancel: Cancel = host::argument(request).await?;
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

    fn followed(&self) -> io::Result<Reply> {
        let mut faults = lock(&self.faults);
        if faults.lose_order_answers > 0 {
            faults.lose_order_answers -= 1;
            return Err(io::Error::other("the answer is lost"));
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
        let (begun, begins) = {
            let mut core = lock(&self.core);
            let checked = core.check_token(order.token);
            let begins = checked.and_then(|()| core.begin_load(&variant));
            (core.incarnation(), begins)
        };
        match begins {
            Err(refusal) => return Ok(refused(refusal)),
            Ok(false) => return self.followed(),
            Ok(true) => {}
        }
        self.note(
            Kind::Load,
            &format!("load begins, token {}", order.token),
            &variant,
        );
        let ok = !lock(&self.faults).fail_loads && self.fetch(&variant).await;
        lock(&self.core).end_load(&variant, begun, ok);
        self.note(Kind::Load, &format!("load ends, ok={ok}"), &variant);
        if ok {
            return self.followed();
        }
        Ok(text(StatusCode::SERVICE_UNAVAILABLE, "load failed\n"))
    }

    /// Fetches weights from the store, or waits the load time without one.
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
            LOAD_PATIENCE,
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
                return Ok(refused(refusal));
            }
            core.unload(&variant);
        }
        self.note(
            Kind::Load,
            &format!("unloaded, token {}", order.token),
            &variant,
        );
        self.followed()
    }

    fn fence(&self, order: &Order) -> io::Result<Reply> {
        let checked = lock(&self.core).check_token(order.token);
        match checked {
            Ok(()) => self.followed(),
            Err(refusal) => Ok(refused(refusal)),
        }
    }

    fn note(&self, kind: Kind, what: &str, variant: &Variant) {
        let event = Event::new(kind, format!("{what} ({variant})"));
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
        let ask: Ask = host::argument(request).await?;
        let Ok(model) = ask.model.parse::<Model>() else {
            return Ok(text(StatusCode::BAD_REQUEST, "bad model\n"));
        };
        let Some(version) = model.version.clone() else {
            return Ok(text(StatusCode::BAD_REQUEST, "no version\n"));
        };
        if self.takes(|faults| &mut faults.cut_heads) {
            return Err(io::Error::other("cut before the head"));
        }
        let start = Start {
            request: id.clone(),
            tag: ask.user,
            prompt: ask.prompt,
            asked: ask.model,
            variant: Variant {
                adapter: model.adapter.clone(),
                version,
            },
            priority: u32::try_from(number(header::PRIORITY).unwrap_or_default()).unwrap_or(0),
            resumes: number(header::LAST_EVENT_ID).unwrap_or_default() > 0,
            tokens: ask
                .max_tokens
                .unwrap_or(DEFAULT_TOKENS)
                .clamp(1, MAX_TOKENS),
        };
        let token = Token(number(header::FENCING_TOKEN).unwrap_or_default());
        let output = match self.begin(start, token, &model) {
            Ok(output) => output,
            Err(refusal) => return Ok(refused(refusal)),
        };
        let echoed = self.echo(&model);
        let mut reply = if ask.stream {
            let after = number(header::LAST_EVENT_ID).unwrap_or_default();
            self.stream(output, id, echoed.clone(), after)
        } else {
            whole(output, &id, &echoed).await?
        };
        let incarnation = lock(&self.core).incarnation().0;
        let headers = reply.headers_mut();
        headers.insert(header::INCARNATION, incarnation.into());
        if let Ok(value) = HeaderValue::from_str(&echoed) {
            headers.insert(header::MODEL, value);
        }
        Ok(reply)
    }

    fn begin(
        &self,
        start: Start,
        token: Token,
        model: &Model,
    ) -> Result<watch::Receiver<Output>, Refusal> {
        if lock(&self.faults).refuse_runs || model.base.as_str() != self.config.base {
            return Err(Refusal::NotLoaded);
        }
        let event = Event::new(Kind::Attempt, format!("run asked, token {token}"));
        let event = match start.request.clone().try_into() {
            Ok(request) => event.request(&request),
            Err(_) => event,
        };
        self.recorder.record(event.adapter(&model.adapter));
        lock(&self.core).start(start)
    }

    /// Counts a fault down; returns whether it strikes.
    fn takes(&self, counter: impl FnOnce(&mut super::Faults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        let left = counter(&mut faults);
        let strikes = *left > 0;
        *left = left.saturating_sub(1);
        strikes
    }

    fn echo(&self, model: &Model) -> String {
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
        let cut = self.takes(|faults| &mut faults.cut_streams);
        let (sender, parts) = mpsc::channel(STREAM_BUFFER);
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        tokio::spawn(follow(output, sender, id, model, skip, cut));
        stream(StatusCode::OK, "text/event-stream", parts)
    }
}

fn refused(refusal: Refusal) -> Reply {
    let body = serde_json::json!({"error": refusal.name()});
    let mut reply = json(StatusCode::CONFLICT, &body);
    reply
        .headers_mut()
        .insert(header::NOT_RUN, HeaderValue::from_static("true"));
    reply
}

/// Sends a run's events as they are made, from the one after `skip` on.
async fn follow(
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
        if cut && sent >= CUT_AFTER {
            // The events before the cut are to arrive: an error right behind them drops them.
            tokio::time::sleep(FLUSH).await;
            let _ = sender.send(Err(io::Error::other("cut"))).await;
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
                    .send(Err(io::Error::other("the run broke off")))
                    .await;
                return;
            }
            None => {}
        }
        let gone = tokio::select! {
            changed = output.changed() => changed.is_err(),
            () = sender.closed() => true,
        };
        if gone {
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
    let fresh = output.tokens.iter().enumerate().skip(sent);
    let events = fresh.map(|(index, token)| {
        let text = String::from_utf8_lossy(token);
        let data = serde_json::json!({
            "id": id, "object": "text_completion", "model": model,
            "choices": [{"index": 0, "text": text}],
        });
        Bytes::from(format!("id: {}\ndata: {data}\n\n", index + 1))
    });
    (events.collect(), output.outcome)
}

/// Waits for a run to finish and answers with its whole text.
async fn whole(mut output: watch::Receiver<Output>, id: &str, model: &str) -> io::Result<Reply> {
    let ended = output.wait_for(|output| output.outcome.is_some()).await;
    let output = ended.map_err(io::Error::other)?;
    if output.outcome != Some(Outcome::Finished) {
        return Err(io::Error::other("the run broke off"));
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
