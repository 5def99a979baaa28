//! A stand-in for the platform's list of instances, which lags.
//!
//! `PUT /listing` replaces the list, as the platform would on a change; `GET /roster` shows the
//! list as it was a while ago.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::header::{ETAG, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_ports::roster::Listing;
use ploverwick_serve::{Handler, Reply, bytes, json, text};
use ploverwick_timeline::{Event, Kind, Recorder};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::host::{self, Asked, Running, lock};

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
        let request = match host::common(request, &self.recorder, &self.faults).await? {
            Asked::Answered(reply) => return Ok(reply),
            Asked::Own(request) => request,
        };
        if lock(&self.faults).outage {
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "outage\n"));
        }
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/roster") => Ok(self.show_changed(&request)),
            (Method::PUT, "/listing") => {
                let listing: Listing = host::argument(request).await?;
                Ok(self.change(listing))
            }
            _ => Ok(host::unknown_path()),
        }
    }
}

impl Roster {
    /// Shows the list, or that it is still the one that the reader has.
    fn show_changed(&self, request: &Request<Incoming>) -> Reply {
        let listing = self.show();
        let text = serde_json::to_vec(&listing).unwrap_or_default();
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        let tag = format!("\"{:x}\"", hasher.finish());
        let known = request.headers().get(IF_NONE_MATCH);
        let same = known.is_some_and(|known| known.as_bytes() == tag.as_bytes());
        let mut reply = if same {
            bytes(StatusCode::NOT_MODIFIED, "application/json", Vec::new())
        } else {
            bytes(StatusCode::OK, "application/json", text)
        };
        if let Ok(value) = HeaderValue::from_str(&tag) {
            reply.headers_mut().insert(ETAG, value);
        }
        reply
    }

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
