//! A simulated plain service. It echoes each call and counts calls by tag.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_ports::header;
use ploverwick_serve::{Handler, Reply, bytes, json};
use ploverwick_timeline::{Event, Kind, Recorder};
use serde::{Deserialize, Serialize};

use crate::host::{self, Handle, Route, lock};

/// The request header with the tag by which calls are counted.
pub const TAG_HEADER: &str = "standin-tag";

/// The configuration of the service.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name in the timeline.
    pub name: String,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The duration of a call.
    pub call_time: Duration,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The number of calls that take effect but whose responses are dropped.
    pub lose_answers: u32,
    /// The number of bytes after which the body of the next response ends with its connection. It has neither a length
    /// nor chunks.
    pub end_body_after: Option<usize>,
    /// The content type of that response, whose body is then the request's.
    pub content_type: Option<String>,
}

/// The calls that the service has received.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Calls {
    /// The number of calls by tag.
    pub by_tag: BTreeMap<String, u64>,
}

/// The response body.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Echo {
    /// The name of the service.
    pub endpoint: String,
    /// The method of the call.
    pub method: String,
    /// The path of the call.
    pub path: String,
    /// The body of the call.
    pub body: String,
}

#[derive(Debug)]
struct Service {
    config: Config,
    recorder: Recorder,
    faults: Mutex<Faults>,
    calls: Mutex<Calls>,
}

/// Starts the service.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn start(config: Config) -> io::Result<Handle> {
    host::run(config.address, |_| {
        Arc::new(Service {
            recorder: host::recorder(&config.name),
            config,
            faults: Mutex::default(),
            calls: Mutex::default(),
        })
    })
    .await
}

impl Handler for Service {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let request = match host::handle_common(request, &self.recorder, &self.faults).await? {
            Route::Handled(reply) => return Ok(reply),
            Route::Specific(request) => request,
        };
        if request.uri().path() == "/standin/calls" {
            return Ok(json(StatusCode::OK, &*lock(&self.calls)));
        }
        self.call(request).await
    }
}

impl Service {
    async fn call(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let text = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(ToOwned::to_owned)
        };
        let tag = text(TAG_HEADER).unwrap_or_default();
        let id = text(header::REQUEST).unwrap_or_default();
        let method = request.method().to_string();
        let path = request.uri().path().to_owned();
        let body = host::read_body(request).await?;
        *lock(&self.calls).by_tag.entry(tag).or_default() += 1;
        let event = Event::new(Kind::Attempt, format!("{method} {path} request={id}"));
        self.recorder.record(event);
        tokio::time::sleep(self.config.call_time).await;
        if self.consume_response_fault() {
            return Err(io::Error::other("injected fault: response dropped"));
        }
        let echo = Echo {
            endpoint: self.config.name.clone(),
            method,
            path,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        Ok(self.fault_end(json(StatusCode::OK, &echo), body))
    }

    /// Applies the fault that ends a response with its connection.
    fn fault_end(&self, reply: Reply, request_body: Bytes) -> Reply {
        let (end, content_type) = {
            let mut faults = lock(&self.faults);
            (faults.end_body_after.take(), faults.content_type.take())
        };
        let content_type = content_type.and_then(|name| HeaderValue::from_str(&name).ok());
        let reply = match content_type {
            Some(content_type) => {
                let mut reply = bytes(StatusCode::OK, "", request_body);
                reply.headers_mut().insert(CONTENT_TYPE, content_type);
                reply
            }
            None => reply,
        };
        match end {
            Some(bytes) => host::end_with_connection(reply, bytes),
            None => reply,
        }
    }

    fn consume_response_fault(&self) -> bool {
        let mut faults = lock(&self.faults);
        let applies = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        applies
    }
}
