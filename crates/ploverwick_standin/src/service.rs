//! A stand-in for a plain service. It answers with what it was asked and counts calls by tag.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_ports::header;
use ploverwick_serve::{Handler, Reply, json};
use ploverwick_timeline::{Event, Kind, Recorder};
use serde::{Deserialize, Serialize};

use crate::host::{self, Asked, Running, lock};

/// The header by which a test names the work of a call.
pub const TAG: &str = "standin-tag";

/// How the service behaves.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name on the time line.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How long a call takes.
    pub call_time: Duration,
}

/// Faults that can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// This many calls take effect, and their answers are lost.
    pub lose_answers: u32,
}

/// What the service has done.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Calls {
    /// The number of calls by tag.
    pub by_tag: BTreeMap<String, u64>,
}

/// What the service answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Echo {
    /// The service's name.
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
/// Fails if the address cannot be listened on.
pub async fn start(config: Config) -> io::Result<Running> {
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
        let request = match host::common(request, &self.recorder, &self.faults).await? {
            Asked::Answered(reply) => return Ok(reply),
            Asked::Own(request) => request,
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
        let tag = text(TAG).unwrap_or_default();
        let id = text(header::REQUEST).unwrap_or_default();
        let method = request.method().to_string();
        let path = request.uri().path().to_owned();
        let body = host::body(request).await?;
        *lock(&self.calls).by_tag.entry(tag).or_default() += 1;
        let event = Event::new(Kind::Attempt, format!("{method} {path} request={id}"));
        self.recorder.record(event);
        tokio::time::sleep(self.config.call_time).await;
        if self.loses_answer() {
            return Err(io::Error::other("the answer is lost"));
        }
        let echo = Echo {
            endpoint: self.config.name.clone(),
            method,
            path,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        Ok(json(StatusCode::OK, &echo))
    }

    fn loses_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }
}
