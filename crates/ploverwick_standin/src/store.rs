//! A simulated weight store with a rate limit and a concurrency limit.
//!
//! `GET /weights/ADAPTER/VERSION` takes the configured load time, and proportionally longer if more
//! loads run than the store serves at full speed. Loads over the rate limit get 429. Versions that
//! start with `missing` do not exist.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_serve::{Handler, Reply, json, text};
use ploverwick_timeline::{Event, Kind, Recorder};
use serde::{Deserialize, Serialize};

use crate::host::{self, Handle, Route, TokenBucket, lock};

/// The configuration of the store.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name in the timeline.
    pub name: String,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The maximum number of loads started per second.
    pub loads_per_s: f64,
    /// The number of concurrent loads served at full speed.
    pub loads_at_once: u32,
    /// The duration of a load at full speed.
    pub load_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "store".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            loads_per_s: 9.0,
            loads_at_once: 4,
            load_time: Duration::from_secs(3),
        }
    }
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every load is refused.
    pub outage: bool,
    /// The extra duration of each load, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Debug)]
struct Store {
    config: Config,
    recorder: Recorder,
    faults: Mutex<Faults>,
    bucket: Mutex<TokenBucket>,
    active: AtomicU32,
}

/// Starts the store.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn start(config: Config) -> io::Result<Handle> {
    let address = config.address;
    host::run(address, |_| {
        let rate = config.loads_per_s;
        Arc::new(Store {
            recorder: host::recorder(&config.name),
            config,
            faults: Mutex::default(),
            bucket: Mutex::new(TokenBucket::new(rate, rate.max(1.0))),
            active: AtomicU32::new(0),
        })
    })
    .await
}

impl Handler for Store {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let request = match host::handle_common(request, &self.recorder, &self.faults).await? {
            Route::Handled(reply) => return Ok(reply),
            Route::Specific(request) => request,
        };
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match parts.as_slice() {
            ["weights", _, version] if version.starts_with("missing") => {
                Ok(text(StatusCode::NOT_FOUND, "no such version\n"))
            }
            ["weights", adapter, version] => Ok(self.load(adapter, version).await),
            _ => Ok(host::unknown_path()),
        }
    }
}

impl Store {
    async fn load(&self, adapter: &str, version: &str) -> Reply {
        let faults = lock(&self.faults).clone();
        if faults.outage {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage\n");
        }
        if !lock(&self.bucket).take() {
            let detail = format!("refused {adapter}@{version}: too many loads");
            self.recorder.record(Event::new(Kind::Load, detail));
            return text(StatusCode::TOO_MANY_REQUESTS, "too many loads\n");
        }
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        let slowdown = (f64::from(active) / f64::from(self.config.loads_at_once)).max(1.0);
        let time = self.config.load_time.mul_f64(slowdown);
        tokio::time::sleep(time + Duration::from_millis(faults.slow_ms)).await;
        self.active.fetch_sub(1, Ordering::Relaxed);
        let detail = format!("served {adapter}@{version}");
        self.recorder.record(Event::new(Kind::Load, detail));
        json(
            StatusCode::OK,
            &serde_json::json!({"adapter": adapter, "version": version}),
        )
    }
}
