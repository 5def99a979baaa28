//! A simulated append-only log of the platform.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_names::Offset;
use ploverwick_ports::log::{Append, Appended, Batch, Record};
use ploverwick_serve::{Handler, Reply, json, text};
use ploverwick_timeline::Recorder;
use ploverwick_timeline::clock::now_millis;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::host::{self, Handle, Route, TokenBucket, lock};

const MAX_WAIT: Duration = Duration::from_secs(30);
const MAX_READ_RECORDS: usize = 4096;

/// The configuration of the log.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name in the timeline.
    pub name: String,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The maximum number of appends per second.
    pub appends_per_s: f64,
    /// The duration of an append.
    pub append_time: Duration,
    /// The retention time of records.
    pub retention: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "log".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            appends_per_s: 400.0,
            append_time: Duration::from_millis(2),
            retention: Duration::from_hours(1),
        }
    }
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is refused.
    pub outage: bool,
    /// The number of appends that take effect but whose responses are dropped.
    pub lose_answers: u32,
    /// The extra duration of each call, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Debug, Default)]
struct Stream {
    /// The number of expired records; the first retained offset is one higher.
    expired: u64,
    records: VecDeque<Record>,
}

impl Stream {
    fn next(&self) -> Offset {
        Offset(self.expired + self.records.len() as u64 + 1)
    }

    fn expire(&mut self, before_ms: u64) {
        while self
            .records
            .front()
            .is_some_and(|record| record.at_ms < before_ms)
        {
            self.records.pop_front();
            self.expired += 1;
        }
    }
}

#[derive(Debug)]
struct Log {
    config: Config,
    recorder: Recorder,
    faults: Mutex<Faults>,
    streams: Mutex<HashMap<String, Stream>>,
    bucket: Mutex<TokenBucket>,
    /// The number of appends. Waiting readers watch it for changes.
    appends: watch::Sender<u64>,
}

/// Statistics of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stats {
    /// The number of appends that took effect.
    pub appends: u64,
}

/// Starts the log.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn start(config: Config) -> io::Result<Handle> {
    let address = config.address;
    host::run(address, |_| {
        let rate = config.appends_per_s;
        Arc::new(Log {
            recorder: host::recorder(&config.name),
            config,
            faults: Mutex::default(),
            streams: Mutex::default(),
            bucket: Mutex::new(TokenBucket::new(rate, rate)),
            appends: watch::Sender::new(0),
        })
    })
    .await
}

impl Handler for Log {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let request = match host::handle_common(request, &self.recorder, &self.faults).await? {
            Route::Handled(reply) => return Ok(reply),
            Route::Specific(request) => request,
        };
        let faults = lock(&self.faults).clone();
        if faults.outage {
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "outage\n"));
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["streams", stream, "append"] => self.append(stream, request).await,
            ["streams", stream, "read"] => Ok(self.read(stream, &request).await),
            ["stats"] => {
                let appends = *self.appends.borrow();
                Ok(json(StatusCode::OK, &Stats { appends }))
            }
            _ => Ok(host::unknown_path()),
        }
    }
}

impl Log {
    async fn append(&self, stream: &str, request: Request<Incoming>) -> io::Result<Reply> {
        let append: Append = host::read_json(request).await?;
        if !lock(&self.bucket).take() {
            return Ok(text(StatusCode::TOO_MANY_REQUESTS, "too many appends\n"));
        }
        tokio::time::sleep(self.config.append_time).await;
        let first = self.store(stream, append.records);
        if self.consume_response_fault() {
            return Err(io::Error::other("injected fault: response dropped"));
        }
        Ok(json(StatusCode::OK, &Appended { first }))
    }

    fn store(&self, stream: &str, texts: Vec<String>) -> Offset {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        let first = stream.next();
        let at_ms = now_millis();
        for text in texts {
            let offset = stream.next();
            stream.records.push_back(Record {
                offset,
                at_ms,
                text,
            });
        }
        self.appends.send_modify(|count| *count += 1);
        first
    }

    fn consume_response_fault(&self) -> bool {
        let mut faults = lock(&self.faults);
        let applies = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        applies
    }

    async fn read(&self, stream: &str, request: &Request<Incoming>) -> Reply {
        let from = Offset(host::query_parameter(request, "from").unwrap_or(1));
        let wait = host::query_parameter(request, "wait_ms").unwrap_or_default();
        let wait = Duration::from_millis(wait).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let mut appends = self.appends.subscribe();
        loop {
            appends.borrow_and_update();
            let batch = self.batch(stream, from);
            if !batch.records.is_empty() {
                return json(StatusCode::OK, &batch);
            }
            let changed = tokio::time::timeout_at(deadline, appends.changed()).await;
            if changed.is_err() || lock(&self.faults).outage {
                return json(StatusCode::OK, &batch);
            }
        }
    }

    fn batch(&self, stream: &str, from: Offset) -> Batch {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        let retention = u64::try_from(self.config.retention.as_millis()).unwrap_or(u64::MAX);
        stream.expire(now_millis().saturating_sub(retention));
        let skip = usize::try_from(from.0.saturating_sub(stream.expired + 1)).unwrap_or(usize::MAX);
        Batch {
            start: Offset(stream.expired + 1),
            next: stream.next(),
            records: stream
                .records
                .iter()
                .skip(skip)
                .take(MAX_READ_RECORDS)
                .cloned()
                .collect(),
        }
    }
}
