//! Reads a request, checks it, and finds its route.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ploverwick_codes::Code;
use ploverwick_platform::request;
use tokio::time::Instant;

use super::identify;
use super::quarantine;
use super::quota;
use super::reply::Reply;
use super::task::{Task, Terms};
use super::terms;
use crate::shared::Shared;

/// When to come back to an instance that knows no configuration yet.
const NO_CONFIG: Duration = Duration::from_millis(300);
/// The longest time for a body to arrive.
const BODY: Duration = Duration::from_secs(10);

/// Admits a request or says why not.
pub(crate) async fn run(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Task, Reply> {
    let received = Instant::now();
    let Some(config) = shared.state().config.clone() else {
        return Err(Reply::new(Code::NoConfiguration, "").retry_after(NO_CONFIG));
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
    let call = request::read(&head.headers);
    let caller = identify::run(shared, &config, &route, &call.id, &head.headers)?;
    let patience = call.timeout.unwrap_or(route.timeout).min(route.timeout);
    let body = read(body, config.limits.body_bytes).await?;
    let service = route.service(rand::random::<f64>());
    let service = Arc::clone(service.expect("a route has a service"));
    count(shared, &service);
    // The chosen part is all that goes on; a path in absolute form loses its host.
    let target = head
        .uri
        .path_and_query()
        .map(http::uri::PathAndQuery::as_str);
    let target = target.and_then(|target| target.parse().ok());
    let deadline = received + patience;
    let begin_by = route
        .event_timeout
        .map_or(deadline, |silence| received + silence);
    let mut task = Task {
        terms: Terms::of(&route, caller.organisation()),
        caller,
        method: head.method,
        target: target.unwrap_or(head.uri),
        headers: head.headers,
        body,
        call,
        route,
        service,
        received,
        deadline,
        begin_by: begin_by.min(deadline),
        config: config.version,
        fingerprint: OnceLock::new(),
        charge: None,
    };
    if let Some(refusal) = quarantine::refusal(shared, &task) {
        return Err(refusal);
    }
    task.terms = terms::run(shared, &task)?;
    task.charge = quota::run(shared, &task).await?;
    Ok(task)
}

/// Reads a body of at most `most` bytes.
async fn read(body: Incoming, most: usize) -> Result<Bytes, Reply> {
    let body = Limited::new(body, most).collect();
    match tokio::time::timeout(BODY, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("The limit is {most} bytes.");
            Err(Reply::new(Code::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(Reply::new(Code::BodyMalformed, error.to_string())),
        Err(_) => Err(Reply::new(Code::BodySlow, "")),
    }
}

/// Counts a request towards what the repeats of its service may be.
fn count(shared: &Shared, service: &Arc<str>) {
    let now = shared.now();
    let mut state = shared.state();
    let budget = state.retry_budgets.entry(Arc::clone(service)).or_default();
    budget.record_request(now);
}
