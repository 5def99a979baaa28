//! Takes callers' requests over HTTP.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::RETRY_AFTER;
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_names::Request as RequestName;
use ploverwick_ports::header;
use ploverwick_ports::roster::Serves;
use ploverwick_serve::{Handler, Reply, json, stream, text};
use ploverwick_table::{Subject, history};
use ploverwick_timeline::{Event, Kind};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::answer::{Head, PARTS_AHEAD, Part, Sink};
use crate::chain::{self, Exchange, refuse};
use crate::node::Node;
use crate::relay::relay;
use crate::{admin, joining, service};

/// The paths that run a model.
const MODEL_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// The callers' side of a daemon.
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
}

impl Handler for Entry {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let path = request.uri().path().to_owned();
        let get = request.method() == Method::GET;
        let known = match path.as_str() {
            "/healthz" | "/readyz" | "/metrics" | "/v1/models" => Some(&Method::GET),
            path if MODEL_PATHS.contains(&path) => Some(&Method::POST),
            _ => None,
        };
        if known.is_some_and(|method| method != request.method()) {
            let message = format!("{path} does not take {}", request.method());
            return Ok(error(&refuse(Code::MethodNotAllowed, message), None));
        }
        match path.as_str() {
            "/healthz" if get => Ok(text(StatusCode::OK, "ok\n")),
            "/readyz" if get => Ok(ready(&self.node)),
            "/metrics" if get => Ok(admin::metrics()),
            "/v1/models" if get => Ok(self.models()),
            path if MODEL_PATHS.contains(&path) => Ok(self.model(request).await),
            _ => Ok(service::handle(&self.node, request).await),
        }
    }
}

/// Says whether the balancer should send requests here.
pub(crate) fn ready(node: &Node) -> Reply {
    if node.is_draining() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    if node.in_force.borrow().version == history::NONE {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no table in force\n");
    }
    text(StatusCode::OK, "ready\n")
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
}

impl Entry {
    /// Lists the table's adapters on each base model that an endpoint serves.
    fn models(&self) -> Reply {
        let listing = self.node.listing.borrow().clone();
        let mut bases: Vec<&str> = listing
            .endpoints
            .iter()
            .filter_map(|entry| match &entry.serves {
                Serves::Model(base) => Some(base.as_str()),
                Serves::Service(_) => None,
            })
            .collect();
        bases.sort_unstable();
        bases.dedup();
        let table = self.node.in_force.borrow().table.clone();
        let adapters = table.rows().filter_map(|(subject, _)| match subject {
            Subject::Adapter(adapter) => Some(adapter),
            Subject::Group(_) | Subject::All => None,
        });
        let named = adapters.map(|adapter| match table.pinned(adapter) {
            Some(version) => format!("{adapter}@{version}"),
            None => adapter.to_string(),
        });
        let items = named.flat_map(|name| {
            bases.iter().map(move |base| ModelItem {
                id: format!("{base}:{name}"),
                object: "model",
            })
        });
        let list = ModelList {
            object: "list",
            data: items.collect(),
        };
        json(StatusCode::OK, &list)
    }

    async fn model(&self, request: Request<Incoming>) -> Reply {
        match self.admit(request).await {
            Ok(exchange) => self.run(exchange).await,
            Err(verdict) => {
                let code = verdict.code();
                metrics::counter!("ploverwick_requests", "code" => code.name()).increment(1);
                error(&verdict, None)
            }
        }
    }

    async fn admit(&self, request: Request<Incoming>) -> Result<Exchange, Verdict> {
        let (parts, body) = request.into_parts();
        let caller = chain::identify(&self.node.settings.access, &parts.headers)?;
        let body = chain::read_body(&self.node, body).await?;
        let path = parts.uri.path();
        let mut exchange = chain::read(&self.node, path, &parts.headers, caller, body)?;
        chain::pass(&self.node, &mut exchange)?;
        Ok(exchange)
    }

    async fn run(&self, exchange: Exchange) -> Reply {
        let event = Event::new(Kind::Request, format!("arrives from {}", exchange.caller));
        self.node.record(
            event
                .request(&exchange.request)
                .adapter(&exchange.model.adapter),
        );
        let request = exchange.request.clone();
        let streams = exchange.stream;
        let (sender, parts) = mpsc::channel(PARTS_AHEAD);
        if exchange.keyed.is_some() {
            let node = Arc::clone(&self.node);
            tokio::spawn(joining::run(node, exchange, sender));
        } else {
            let node = Arc::clone(&self.node);
            tokio::spawn(relay(node, exchange, Sink::Direct(sender)));
        }
        answer(parts, &request, streams).await
    }
}

/// Makes a reply of an answer's parts.
pub(crate) async fn answer(
    mut parts: mpsc::Receiver<Part>,
    request: &RequestName,
    streams: bool,
) -> Reply {
    if streams {
        return match parts.recv().await {
            Some(Part::Head(head)) => streamed(&head, parts, request),
            Some(Part::End(verdict)) => error(&verdict, Some(request)),
            Some(Part::Data(..)) | None => error(&lost(), Some(request)),
        };
    }
    whole(parts, request).await
}

fn lost() -> Verdict {
    use ploverwick_codes::attempt::Attempt;
    let sent = Attempt::new().send();
    sent.fail(Code::Interrupted, "the answer has no start")
}

/// Collects a whole answer, so that its status tells how it ended.
async fn whole(mut parts: mpsc::Receiver<Part>, request: &RequestName) -> Reply {
    let mut head = None;
    let mut body = BytesMut::new();
    while let Some(part) = parts.recv().await {
        match part {
            Part::Head(first) => head = Some(first),
            Part::Data(bytes, _) => body.extend_from_slice(&bytes),
            Part::End(verdict) if verdict.code() == Code::Done => {
                let Some(head) = head else { break };
                return done(&head, body.freeze(), request);
            }
            Part::End(verdict) => return error(&verdict, Some(request)),
        }
    }
    error(&lost(), Some(request))
}

fn done(head: &Head, body: Bytes, request: &RequestName) -> Reply {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
    let mut reply = ploverwick_serve::bytes(status, "application/json", body);
    if let Ok(value) = HeaderValue::from_str(&head.content_type) {
        reply
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    mark(&mut reply, Code::Done, Some(request), head.model.as_deref());
    reply
}

/// Passes a stream on. If it does not end well, it tells why in a last event and breaks off.
fn streamed(head: &Head, mut parts: mpsc::Receiver<Part>, request: &RequestName) -> Reply {
    let (sender, bytes) = mpsc::channel(PARTS_AHEAD);
    tokio::spawn(async move {
        while let Some(part) = parts.recv().await {
            let sent = match part {
                Part::Head(_) => Ok(()),
                Part::Data(bytes, _) => sender.send(Ok(bytes)).await,
                Part::End(verdict) if verdict.code() == Code::Done => return,
                Part::End(verdict) => {
                    let event = format!("event: error\ndata: {}\n\n", error_body(&verdict));
                    let _ = sender.send(Ok(Bytes::from(event))).await;
                    break;
                }
            };
            if sent.is_err() {
                return;
            }
        }
        let _ = sender
            .send(Err(io::Error::other("the answer broke off")))
            .await;
    });
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
    let mut reply = stream(status, &head.content_type, bytes);
    mark(&mut reply, Code::Done, Some(request), head.model.as_deref());
    reply
}

fn mark(reply: &mut Reply, code: Code, request: Option<&RequestName>, model: Option<&str>) {
    let headers = reply.headers_mut();
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    if let Some(Ok(value)) = request.map(|name| HeaderValue::from_str(name.as_str())) {
        headers.insert(header::REQUEST, value);
    }
    if let Some(Ok(value)) = model.map(HeaderValue::from_str) {
        headers.insert(header::MODEL, value);
    }
}

/// The body of an answer that is not the one asked for.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: u16,
    name: &'static str,
    class: ploverwick_codes::Class,
    repeat: ploverwick_codes::Repeat,
    message: &'a str,
    remedy: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

fn error_body(verdict: &Verdict) -> String {
    let code = verdict.code();
    let hint = verdict
        .hint()
        .map(|hint| u64::try_from(hint.as_millis()).unwrap_or(u64::MAX));
    let body = ErrorBody {
        error: ErrorFields {
            code: code.number(),
            name: code.name(),
            class: code.class(),
            repeat: code.repeat(),
            message: verdict.message(),
            remedy: code.remedy(),
            retry_after_ms: hint,
        },
    };
    serde_json::to_string(&body).expect("the project's own messages have a JSON form")
}

/// Makes the reply for a request that was refused or failed.
pub(crate) fn error(verdict: &Verdict, request: Option<&RequestName>) -> Reply {
    let code = verdict.code();
    let status = StatusCode::from_u16(code.http()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = ploverwick_serve::bytes(status, "application/json", error_body(verdict));
    mark(&mut reply, code, request, None);
    if let Some(hint) = verdict.hint() {
        // The header counts whole seconds; the body has the exact hint.
        let seconds = hint
            .as_millis()
            .div_ceil(Duration::from_secs(1).as_millis());
        let value = HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX));
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
