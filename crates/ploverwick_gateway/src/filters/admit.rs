//! Reads and validates a request and finds its route.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use ploverwick_codes::Code;
use ploverwick_platform::request;
use tokio::time::Instant;

use super::admitted_request::{AdmittedRequest, Terms};
use super::authenticate;
use super::quarantine;
use super::quota;
use super::reply::Reply;
use super::terms;
use crate::connection::Activity;
use crate::shared::Shared;

/// The `Retry-After` of an instance that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Admits a request, or returns the reply that refuses it.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    activity: &Activity,
    request: Request<Incoming>,
) -> Result<AdmittedRequest, Reply> {
    let received = Instant::now();
    let Some(config) = shared.state().config.clone() else {
        return Err(Reply::new(Code::NoConfiguration, "").retry_after(NO_CONFIG_RETRY_AFTER));
    };
    let (head, body) = request.into_parts();
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let Some(route) = config.route(host, head.uri.path()) else {
        let detail = format!("host {host:?}, path {:?}", head.uri.path());
        return Err(Reply::new(Code::PathUnknown, detail));
    };
    let route = Arc::clone(route);
    let info = request::read(&head.headers);
    let caller = authenticate::run(shared, &config, &route, &info.id, &head.headers)?;
    let timeout = info.timeout.unwrap_or(route.timeout).min(route.timeout);
    let body = read_body(shared, body, config.limits.body_bytes).await?;
    activity.set_unread_body(false);
    let service = route.service(rand::random::<f64>());
    let service = Arc::clone(service.expect("a route has a service"));
    record_request(shared, &service);
    // Forward only the path and query; an absolute URI loses its host.
    let target = head
        .uri
        .path_and_query()
        .map(http::uri::PathAndQuery::as_str);
    let target = target.and_then(|target| target.parse().ok());
    let deadline = received + timeout;
    let first_event_deadline = route
        .event_timeout
        .map_or(deadline, |event_timeout| received + event_timeout);
    let mut admitted = AdmittedRequest {
        terms: Terms::of(&route, caller.organisation()),
        caller,
        method: head.method,
        target: target.unwrap_or(head.uri),
        headers: head.headers,
        body,
        info,
        route,
        service,
        received,
        deadline,
        first_event_deadline: first_event_deadline.min(deadline),
        config_version: config.version,
        fingerprint: OnceLock::new(),
        prompt_parts: OnceLock::new(),
        build: OnceLock::new(),
        origin_attempt: None,
        charge: None,
        sends: AtomicU32::new(0),
        used_connections: Mutex::default(),
        evidence: Mutex::default(),
    };
    if let Some(refusal) = quarantine::refusal(shared, &admitted) {
        return Err(refusal);
    }
    admitted.terms = terms::run(shared, &admitted)?;
    admitted.charge = quota::run(shared, &admitted).await?;
    Ok(admitted)
}

/// Reads a body of at most `max_bytes` bytes, which is held until the last reference to it is dropped.
async fn read_body(shared: &Shared, mut body: Incoming, max_bytes: usize) -> Result<Bytes, Reply> {
    let too_large = || {
        let detail = format!("The limit is {max_bytes} bytes.");
        Reply::new(Code::BodyTooLarge, detail)
    };
    let no_room = |delay| {
        let reply = Reply::new(Code::MemoryFull, "");
        reply.closing().retry_after(delay)
    };
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(too_large());
    }
    // Refuses at once what cannot be held, rather than after it has arrived.
    let mut held = shared.memory.admit(announced).map_err(no_room)?;
    let read = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Reply::new(Code::BodyMalformed, e.to_string()))?;
            let data = frame.into_data().unwrap_or_default();
            if bytes.len() + data.len() > max_bytes {
                return Err(too_large());
            }
            bytes.extend_from_slice(&data);
            let unannounced = (bytes.len() as u64).saturating_sub(held.bytes());
            if unannounced > 0 {
                held.admit(unannounced).map_err(no_room)?;
            }
        }
        Ok(bytes.freeze())
    };
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(bytes) => Ok(held.attach(bytes?)),
        Err(_) => Err(Reply::new(Code::BodySlow, "")),
    }
}

/// Records a request in the retry budget of its service.
fn record_request(shared: &Shared, service: &Arc<str>) {
    let now = shared.now();
    let mut state = shared.state();
    let budget = state.retry_budgets.entry(Arc::clone(service)).or_default();
    budget.record_request(shared.retry_policy(), now);
}
