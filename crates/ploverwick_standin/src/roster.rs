//! A stand-in for the platform's list of instances, which lags.
//!
//! `PUT /listing` replaces the list, as the platform would on a change; `GET /roster` shows the
//! list as it was a while ago.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_ports::roster::Listing;
use ploverwick_serve::{Handler, Reply, json, text};
use ploverwick_timeline::{Event, Kind, Recorder};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::host::{self, Running, lock};

/// How the list behaves.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name on the time line.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// How long a change takes to show.
    pub lag: Duration,
    /// The list at the start, which shows at once.
    pub listing: Listing,
}

/// Faults that can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused.
    pub outage: bool,
}

#[derive(Debug)]
struct Roster {
    lag: Duration,
    recorder: Recorder,
    faults: Mutex<Faults>,
    shown: Mutex<VecDeque<(Instant, Listing)>>,
}

/// Starts the list.
///
/// # Errors
/// Fails if the address cannot be listened on.
pub async fn start(config: Config) -> io::Result<Running> {
    host::run(config.address, |_| {
        Arc::new(Roster {
            lag: config.lag,
            recorder: host::recorder(&config.name),
            faults: Mutex::default(),
            shown: Mutex::new(VecDeque::from([(Instant::now(), config.listing)])),
        })
    })
    .await
}

impl Handler for Roster {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let mut request = Some(request);
        if let Some(reply) = host::common(&mut request, &self.recorder, &self.faults).await? {
            return Ok(reply);
        }
        let Some(request) = request else {
            return Ok(host::unknown_path());
        };
        if lock(&self.faults).outage {
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "outage\n"));
        }
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/roster") => Ok(json(StatusCode::OK, &self.show())),
            (Method::PUT, "/listing") => {
                let listing: Listing = host::argument(request).await?;
                Ok(self.change(listing))
            }
            _ => Ok(host::unknown_path()),
        }
    }
}

impl Roster {
    fn show(&self) -> Listing {
        let mut shown = lock(&self.shown);
        let now = Instant::now();
        while shown.get(1).is_some_and(|(from, _)| *from <= now) {
            shown.pop_front();
        }
        shown
            .front()
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }

    fn change(&self, listing: Listing) -> Reply {
        let what = format!(
            "list changes to {} instances and {} endpoints",
            listing.instances.len(),
            listing.endpoints.len()
        );
        self.recorder.record(Event::new(Kind::Member, what));
        lock(&self.shown).push_back((Instant::now() + self.lag, listing));
        json(StatusCode::OK, &serde_json::json!({}))
    }
}
