//! A simulated platform roster, whose listing lags behind changes.
//!
//! `PUT /listing` replaces the listing, as the platform would on a change. `GET /roster` returns
//! the new listing only after the configured lag.

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

use crate::host::{self, Handle, Route, lock};

/// The configuration of the roster.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name in the timeline.
    pub name: String,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The delay until a change becomes visible.
    pub lag: Duration,
    /// The initial listing, which is visible at once.
    pub listing: Listing,
}

/// Faults to inject.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is refused.
    pub outage: bool,
}

#[derive(Debug)]
struct Roster {
    lag: Duration,
    recorder: Recorder,
    faults: Mutex<Faults>,
    /// The listings by the time from which they are visible, oldest first.
    listings: Mutex<VecDeque<(Instant, Listing)>>,
}

/// Starts the roster.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn start(config: Config) -> io::Result<Handle> {
    host::run(config.address, |_| {
        Arc::new(Roster {
            lag: config.lag,
            recorder: host::recorder(&config.name),
            faults: Mutex::default(),
            listings: Mutex::new(VecDeque::from([(Instant::now(), config.listing)])),
        })
    })
    .await
}

impl Handler for Roster {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let request = match host::handle_common(request, &self.recorder, &self.faults).await? {
            Route::Handled(reply) => return Ok(reply),
            Route::Specific(request) => request,
        };
        if lock(&self.faults).outage {
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "outage\n"));
        }
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/roster") => Ok(self.conditional_listing(&request)),
            (Method::PUT, "/listing") => {
                let listing: Listing = host::read_json(request).await?;
                Ok(self.replace(listing))
            }
            _ => Ok(host::unknown_path()),
        }
    }
}

impl Roster {
    /// Returns the visible listing, or 304 if the reader already has it.
    fn conditional_listing(&self, request: &Request<Incoming>) -> Reply {
        let listing = self.visible_listing();
        let text = serde_json::to_vec(&listing).unwrap_or_default();
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        let etag = format!("\"{:x}\"", hasher.finish());
        let if_none_match = request.headers().get(IF_NONE_MATCH);
        let unchanged = if_none_match.is_some_and(|known| known.as_bytes() == etag.as_bytes());
        let mut reply = if unchanged {
            bytes(StatusCode::NOT_MODIFIED, "application/json", Vec::new())
        } else {
            bytes(StatusCode::OK, "application/json", text)
        };
        if let Ok(value) = HeaderValue::from_str(&etag) {
            reply.headers_mut().insert(ETAG, value);
        }
        reply
    }

    fn visible_listing(&self) -> Listing {
        let mut listings = lock(&self.listings);
        let now = Instant::now();
        while listings.get(1).is_some_and(|(from, _)| *from <= now) {
            listings.pop_front();
        }
        listings
            .front()
            .map(|(_, listing)| listing.clone())
            .unwrap_or_default()
    }

    fn replace(&self, listing: Listing) -> Reply {
        let detail = format!(
            "list changes to {} instances and {} endpoints",
            listing.instances.len(),
            listing.endpoints.len()
        );
        self.recorder.record(Event::new(Kind::Member, detail));
        lock(&self.listings).push_back((Instant::now() + self.lag, listing));
        json(StatusCode::OK, &serde_json::json!({}))
    }
}
