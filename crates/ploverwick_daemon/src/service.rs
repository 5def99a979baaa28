//! Routes requests to plain services.
//!
//! A call may be repeated if its method says so. A call that may not be repeated is tried once;
//! with a key it runs at most once over all its repeats, like a non-idempotent model request.

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
use ploverwick_placement::{even, rank};
use ploverwick_ports::client::CallError;
use ploverwick_ports::header;
use ploverwick_ports::roster::EndpointEntry;
use ploverwick_serve::Reply;
use ploverwick_settings::Service;
use ploverwick_timeline::{Event, Kind};
use tokio::sync::mpsc;

use crate::answer::{Entry, Head, PARTS_AHEAD, Part, Sink};
use crate::chain::{self, Keyed, refuse, remaining};
use crate::controllers::claims;
use crate::lock::lock;
use crate::node::Node;
use crate::{joining, listing, reply};

/// Headers that concern one connection, or this daemon alone, and are not passed on.
const NOT_PASSED: [&str; 9] = [
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
const OWN_PREFIX: &str = "ploverwick-";

/// A call to a plain service.
struct Call {
    request: RequestName,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deadline: Moment,
    repeatable: bool,
    keyed: Option<Keyed>,
    serves: String,
}

/// Answers a request whose path is none of the daemon's own.
pub(crate) async fn handle(node: &Arc<Node>, request: Request<Incoming>) -> Reply {
    match admit(node, request).await {
        Ok(call) => {
            let request = call.request.clone();
            let (sender, parts) = mpsc::channel(PARTS_AHEAD);
            tokio::spawn(run(Arc::clone(node), call, sender));
            reply::answer(parts, &request, true).await
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
    let keyed = chain::keyed(&parts.headers, &caller)?;
    let repeatable = is_repeatable(service, &parts.method);
    let body = chain::read_body(node, body).await?;
    let rest = parts.uri.path_and_query().map_or("", |path| path.as_str());
    Ok(Call {
        request: node.new_request(),
        method: parts.method,
        path: format!("/{}", &rest[service.prefix.len()..]),
        headers: passed_on(&parts.headers),
        body,
        deadline: chain::deadline(node, &parts.headers)?,
        repeatable,
        keyed: keyed.filter(|_| !repeatable),
        serves: service.serves.clone(),
    })
}

fn is_repeatable(service: &Service, method: &Method) -> bool {
    let not = &service.not_repeatable;
    !not.iter()
        .any(|known| known.eq_ignore_ascii_case(method.as_str()))
}

/// Says whether a path could climb out of its prefix, also with encoded dots.
fn has_dot_segment(path: &str) -> bool {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/");
    decoded
        .split('/')
        .any(|segment| matches!(segment, "." | ".."))
}

/// Returns the headers that a service gets: none that could pass for this daemon's own.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let passes = |name: &HeaderName| {
        !NOT_PASSED.contains(&name.as_str()) && !name.as_str().starts_with(OWN_PREFIX)
    };
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

async fn run(node: Arc<Node>, call: Call, sender: mpsc::Sender<Part>) {
    let Some(keyed) = call.keyed else {
        let sink = Sink::Direct(sender);
        let verdict = relay(&node, &call, &sink).await;
        finish(&node, &call, &sink, verdict).await;
        return;
    };
    let answer = match node.answers.entry(keyed.key, &call.request) {
        Entry::Found(answer) => answer,
        Entry::Begun(answer) => {
            let begun = Arc::clone(&answer);
            tokio::spawn(async move {
                let sink = Sink::Kept(Arc::clone(&begun));
                let verdict = claim_and_relay(&node, &call, keyed, &sink).await;
                let class = verdict.code().class();
                finish(&node, &call, &sink, verdict).await;
                if class == Class::NotRun {
                    node.answers.remove(&keyed.key, &call.request);
                } else {
                    node.answers.finished(keyed.key, &begun);
                }
            });
            answer
        }
    };
    answer.read(0, sender).await;
}

async fn finish(node: &Node, call: &Call, sink: &Sink, verdict: Verdict) {
    let code = verdict.code();
    metrics::counter!("ploverwick_service_calls", "code" => code.name()).increment(1);
    let event = Event::new(Kind::Request, format!("service call ends with {code}"));
    node.record(event.request(&call.request));
    // The caller may have left.
    let _ = sink.send(Part::End(verdict)).await;
}

async fn claim_and_relay(node: &Arc<Node>, call: &Call, keyed: Keyed, sink: &Sink) -> Verdict {
    match claims::claim(node, &call.request, keyed).await {
        Outcome::Won => {
            let verdict = relay(node, call, sink).await;
            if verdict.code().class() == Class::NotRun {
                claims::forfeit(node, &call.request, keyed);
            }
            verdict
        }
        Outcome::Lost(holder) => joining::join(node, &holder, keyed, sink).await,
        Outcome::Expired => refuse(Code::KeyExpired, "the key is outside its window"),
        Outcome::Unconfirmed => {
            claims::forfeit(node, &call.request, keyed);
            refuse(Code::LogUnavailable, "the log does not confirm the key")
        }
    }
}

/// Tries the service's endpoints in turn, as far as the call may be repeated.
async fn relay(node: &Arc<Node>, call: &Call, sink: &Sink) -> Verdict {
    lock(&node.retries).earn(node.settings.requests.retries_per_100);
    let listing = node.listing.borrow().clone();
    let entries: Vec<&EndpointEntry> = listing::service(&listing, &call.serves).collect();
    let candidates = even(entries.iter().map(|entry| entry.name.as_str()));
    let attempts = node.settings.requests.attempts as usize;
    let order = rank(call.request.as_str(), &candidates, attempts);
    let mut last = refuse(
        Code::NoEndpoint,
        format!("no endpoint serves {}", call.serves),
    );
    // What the caller is told: a later try's refusal takes nothing back of an earlier one.
    let mut told = last.clone();
    // The first endpoint gets a second chance after a break, for it may be the only one.
    for (tried, index) in order.iter().chain(order.first()).enumerate() {
        if tried == order.len() && last.code().class() == Class::NotRun {
            break;
        }
        let entry = entries[*index];
        let (verdict, head) = attempt(node, call, entry, sink).await;
        let code = verdict.code();
        let event = Event::new(Kind::Attempt, format!("service call: {code}"));
        node.record(event.request(&call.request).endpoint(&entry.name));
        told = verdict.clone().after(told);
        if head || matches!(code, Code::Done | Code::DeadlineWhileRunning) {
            return told;
        }
        // Only a call that is really repeated takes from the budget.
        let safe = code.class() == Class::NotRun || call.repeatable && lock(&node.retries).take();
        if !safe {
            return told;
        }
        last = verdict;
    }
    told
}

/// Makes one attempt; also says whether the caller has the head of an answer.
async fn attempt(node: &Node, call: &Call, entry: &EndpointEntry, sink: &Sink) -> (Verdict, bool) {
    let unsent = Attempt::new();
    let left = remaining(node, call.deadline);
    if left.is_zero() {
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
    let passing = pass(node, entry.address, request, sink, &mut head);
    let passed = tokio::time::timeout(left, passing).await;
    let verdict = match passed {
        Ok(Ok(())) => unsent.send().finish(),
        Ok(Err(fault @ CallError::Unreachable { .. })) => {
            unsent.refuse(Code::PeerUnreachable, fault.to_string())
        }
        Ok(Err(fault)) => unsent.send().fail(Code::Interrupted, fault.to_string()),
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

async fn pass(
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
    let unwanted = || lost("the caller left".to_owned());
    *head = true;
    sink.send(Part::Head(first)).await.map_err(|_| unwanted())?;
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| lost(error.to_string()))?;
        if let Ok(bytes) = frame.into_data() {
            let sent = sink.send(Part::Data(bytes, 0)).await;
            sent.map_err(|_| unwanted())?;
        }
    }
    Ok(())
}
