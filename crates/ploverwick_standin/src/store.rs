//! A stand-in for the weight store, which bounds rate and concurrency.
//!
//! `GET /weights/ADAPTER/VERSION` takes the load time, longer if more loads run than the store
//! serves at full speed. Over the rate it answers 429. Versions that start with `missing` do not
//! exist.

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

use crate::host::{self, Asked, Bucket, Running, lock};

/// How the store behaves.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name on the time line.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The most loads started a second.
    pub loads_per_s: f64,
    /// How many loads run at full speed.
    pub loads_at_once: u32,
    /// How long a load takes at full speed.
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

/// Faults that can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused.
    pub outage: bool,
    /// Every load takes this much longer, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Debug)]
struct Store {
    config: Config,
    recorder: Recorder,
    faults: Mutex<Faults>,
    bucket: Mutex<Bucket>,
    active: AtomicU32,
}

/// Starts the store.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub async fn start(config: Config) -> io::Result<Running> {
    let address = config.address;
    host::run(address, |_| {
        let rate = config.loads_per_s;
        Arc::new(Store {
            recorder: host::recorder(&config.name),
            config,
            faults: Mutex::default(),
            bucket: Mutex::new(Bucket::new(rate, rate.max(1.0))),
            active: AtomicU32::new(0),
        })
    })
    .await
}

impl Handler for Store {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let request = match host::common(request, &self.recorder, &self.faults).await? {
            Asked::Answered(reply) => return Ok(reply),
            Asked::Own(request) => request,
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
            let what = format!("refused {adapter}@{version}: too many loads");
            self.recorder.record(Event::new(Kind::Load, what));
            return text(StatusCode::TOO_MANY_REQUESTS, "too many loads\n");
        }
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        let crowding = (f64::from(active) / f64::from(self.config.loads_at_once)).max(1.0);
        let time = self.config.load_time.mul_f64(crowding);
        tokio::time::sleep(time + Duration::from_millis(faults.slow_ms)).await;
        self.active.fetch_sub(1, Ordering::Relaxed);
        let what = format!("served {adapter}@{version}");
        self.recorder.record(Event::new(Kind::Load, what));
        json(
            StatusCode::OK,
            &serde_json::json!({"adapter": adapter, "version": version}),
        )
    }
}
