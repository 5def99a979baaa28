//! Routes requests to plain services.
//!
//! Whether a call may be retried depends on its method and the settings of the service. A call that
//! may have run is retried only if its method permits. With an idempotency key, a call that is not
//! repeatable runs at most once across all its repeats, like a non-idempotent model request.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use ploverwick_claims::scribe::Outcome;
use ploverwick_codes::attempt::{Attempt, Verdict};
use ploverwick_codes::{Class, Code};
use ploverwick_names::{Moment, Request as RequestName};
use ploverwick_placement::{equally_weighted, rank};
use ploverwick_ports::client::CallError;
use ploverwick_ports::header;
use ploverwick_ports::roster::EndpointEntry;
use ploverwick_ports::truncation::{Detector, EVENT_ENDS};
use ploverwick_serve::Reply;
use ploverwick_settings::Service;
use ploverwick_timeline::{Event, Kind};
use tokio::sync::mpsc;

use crate::chain::{self, IdempotencyKey, refuse, remaining};
use crate::controllers::claims;
use crate::lock::lock;
use crate::node::Node;
use crate::response::{Head, Lookup, PART_CHANNEL_CAPACITY, Part, Sink};
use crate::{idempotency, listing, reply};

/// Headers that are not forwarded, because they concern a single connection or only this daemon.
const STRIPPED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// The prefix of this project's own headers, which are not forwarded either.
const OWN_HEADER_PREFIX: &str = "ploverwick-";

/// A call to a plain service.
struct Call {
    request: RequestName,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deadline: Moment,
    repeatable: bool,
    idempotency_key: Option<IdempotencyKey>,
    serves: String,
}

/// Handles a request whose path is not one of the daemon's own.
pub(crate) async fn handle(node: &Arc<Node>, request: Request<Incoming>) -> Reply {
    match admit(node, request).await {
        Ok(call) => {
            let request = call.request.clone();
            let (sender, parts) = mpsc::channel(PART_CHANNEL_CAPACITY);
            tokio::spawn(run(Arc::clone(node), call, sender));
            reply::from_parts(parts, &request, true).await
        }
        Err(verdict) => reply::error(&verdict, None),
    }
}

async fn admit(node: &Node, request: Request<Incoming>) -> Result<Call, Verdict> {
    let path = request.uri().path();
    let services = &node.settings.services;
    let Some(service) = services
        .iter()
        .find(|service| path.starts_with(&service.prefix))
    else {
        return Err(refuse(Code::PathUnknown, format!("no handler for {path}")));
    };
    if has_dot_segment(path) {
        let message = "the path has a segment '.' or '..'";
        return Err(refuse(Code::PathUnknown, message));
    }
    if node.is_draining() {
        return Err(refuse(Code::Draining, "this instance is leaving"));
    }
    let (parts, body) = request.into_parts();
    let caller = chain::identify(&node.settings.access, &parts.headers)?;
    let idempotency_key = chain::idempotency_key(&parts.headers, &caller)?;
    let repeatable = is_repeatable(service, &parts.method);
    let body = chain::read_body(node, body).await?;
    let rest = parts.uri.path_and_query().map_or("", |path| path.as_str());
    Ok(Call {
        request: node.new_request(),
        method: parts.method,
        path: format!("/{}", &rest[service.prefix.len()..]),
        headers: forwarded_headers(&parts.headers),
        body,
        deadline: chain::deadline(node, &parts.headers)?,
        repeatable,
        idempotency_key: idempotency_key.filter(|_| !repeatable),
        serves: service.serves.clone(),
    })
}

fn is_repeatable(service: &Service, method: &Method) -> bool {
    let not = &service.not_repeatable;
    !not.iter()
        .any(|known| known.eq_ignore_ascii_case(method.as_str()))
}

/// Returns whether a path has a dot segment, also if encoded, with which it could escape its prefix.
fn has_dot_segment(path: &str) -> bool {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/");
    decoded
        .split('/')
        .any(|segment| matches!(segment, "." | ".."))
}

/// Returns the headers to forward to a service. None of them can be mistaken for this daemon's own.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_forwarded = |name: &HeaderName| {
        !STRIPPED_HEADERS.contains(&name.as_str()) && !name.as_str().starts_with(OWN_HEADER_PREFIX)
    };
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

async fn run(node: Arc<Node>, call: Call, sender: mpsc::Sender<Part>) {
    let Some(idempotency_key) = call.idempotency_key else {
        let sink = Sink::Direct(sender);
        let verdict = relay(&node, &call, &sink).await;
        finish(&node, &call, &sink, verdict).await;
        return;
    };
    let response = match node.responses.entry(idempotency_key.key, &call.request) {
        Lookup::Found(response) => response,
        Lookup::Started(response) => {
            let started = Arc::clone(&response);
            tokio::spawn(async move {
                let sink = Sink::Cached(Arc::clone(&started));
                let verdict = claim_and_relay(&node, &call, idempotency_key, &sink).await;
                let class = verdict.code().class();
                finish(&node, &call, &sink, verdict).await;
                if class == Class::NotRun {
                    node.responses.remove(&idempotency_key.key, &call.request);
                } else {
                    node.responses.finished(idempotency_key.key, &started);
                }
            });
            response
        }
    };
    response.read(0, sender).await;
}

async fn finish(node: &Node, call: &Call, sink: &Sink, verdict: Verdict) {
    let code = verdict.code();
    metrics::counter!("ploverwick_service_calls", "code" => code.name()).increment(1);
    let event = Event::new(Kind::Request, format!("service call ends with {code}"));
    node.record(event.request(&call.request));
    // The receiver may have disconnected.
    let _ = sink.send(Part::End(verdict)).await;
}

async fn claim_and_relay(
    node: &Arc<Node>,
    call: &Call,
    idempotency_key: IdempotencyKey,
    sink: &Sink,
) -> Verdict {
    match claims::claim(node, &call.request, idempotency_key).await {
        Outcome::Won => {
            let verdict = relay(node, call, sink).await;
            if verdict.code().class() == Class::NotRun {
                claims::forfeit(node, &call.request, idempotency_key);
            }
            verdict
        }
        Outcome::Lost(holder) => idempotency::join(node, &holder, idempotency_key, sink).await,
        Outcome::Expired => refuse(Code::KeyExpired, "the key is outside its window"),
        Outcome::Unconfirmed => {
            claims::forfeit(node, &call.request, idempotency_key);
            refuse(Code::LogUnavailable, "the log does not confirm the key")
        }
    }
}

/// Tries the service's endpoints in order, as long as the call may be retried.
async fn relay(node: &Arc<Node>, call: &Call, sink: &Sink) -> Verdict {
    lock(&node.retry_budget).deposit(node.settings.requests.retries_per_100);
    let listing = node.listing.borrow().clone();
    let entries: Vec<&EndpointEntry> = listing::service(&listing, &call.serves).collect();
    let candidates = equally_weighted(entries.iter().map(|entry| entry.name.as_str()));
    let attempts = node.settings.requests.attempts as usize;
    let order = rank(call.request.as_str(), &candidates, attempts);
    let mut last = refuse(
        Code::NoEndpoint,
        format!("no endpoint serves {}", call.serves),
    );
    // The verdict for the caller. The refusal of a retry does not override an earlier attempt that
    // may have run.
    let mut combined = last.clone();
    // After an interruption the first endpoint is tried again, because it may be the only one.
    for (tried, index) in order.iter().chain(order.first()).enumerate() {
        if tried == order.len() && last.code().class() == Class::NotRun {
            break;
        }
        let entry = entries[*index];
        let (verdict, head) = attempt(node, call, entry, sink).await;
        let code = verdict.code();
        let event = Event::new(Kind::Attempt, format!("service call: {code}"));
        node.record(event.request(&call.request).endpoint(&entry.name));
        combined = verdict.clone().after(combined);
        if head || matches!(code, Code::Done | Code::DeadlineWhileRunning) {
            return combined;
        }
        // The retry budget is only charged for a call that may have run and is retried.
        let safe =
            code.class() == Class::NotRun || call.repeatable && lock(&node.retry_budget).take();
        if !safe {
            return combined;
        }
        last = verdict;
    }
    combined
}

/// Makes one attempt. Also returns whether the caller has received the head of a response.
async fn attempt(node: &Node, call: &Call, entry: &EndpointEntry, sink: &Sink) -> (Verdict, bool) {
    let unsent = Attempt::new();
    let time_left = remaining(node, call.deadline);
    if time_left.is_zero() {
        let verdict = unsent.refuse(Code::DeadlineBeforeRun, "the deadline has passed");
        return (verdict, false);
    }
    let request = match build(call, entry.address) {
        Ok(request) => request,
        Err(error) => {
            return (
                unsent.refuse(Code::HeaderMalformed, error.to_string()),
                false,
            );
        }
    };
    let mut head = false;
    let forwarding = forward(node, entry.address, request, sink, &mut head);
    let forwarded = tokio::time::timeout(time_left, forwarding).await;
    let verdict = match forwarded {
        Ok(Ok(())) => unsent.send().finish(),
        Ok(Err(error @ CallError::Unreachable { .. })) => {
            unsent.refuse(Code::PeerUnreachable, error.to_string())
        }
        Ok(Err(error)) => unsent.send().fail(Code::Interrupted, error.to_string()),
        Err(_) => unsent
            .send()
            .fail(Code::DeadlineWhileRunning, "the deadline passed"),
    };
    (verdict, head)
}

fn build(call: &Call, address: SocketAddr) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(header::REQUEST, call.request.as_str())
        .body(Full::new(call.body.clone()))?;
    request.headers_mut().extend(call.headers.clone());
    Ok(request)
}

async fn forward(
    node: &Node,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    sink: &Sink,
    head: &mut bool,
) -> Result<(), CallError> {
    let lost = |cause: String| CallError::ResponseLost { address, cause };
    let response = node.client.send(address, request).await?;
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    let first = Head {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned(),
        model: None,
    };
    let disconnected = || lost("the caller left".to_owned());
    *head = true;
    sink.send(Part::Head(first))
        .await
        .map_err(|_| disconnected())?;
    let mut detector = Detector::new(&response, EVENT_ENDS);
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| lost(error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            detector.push(&bytes);
            let sent = sink.send(Part::Data(bytes, 0)).await;
            sent.map_err(|_| disconnected())?;
        }
    }
    detector.finish().map_err(|error| lost(error.to_string()))
}
