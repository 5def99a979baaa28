//! Asks every daemon, and every endpoint, of a fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{Method, Request};
use http_body_util::Full;
use ploverwick_daemon::status::Status;
use ploverwick_names::Offset;
use ploverwick_ports::client::{CallError, Client, read_body, status_error};
use ploverwick_ports::roster::{Listing, Roster};
use ploverwick_timeline::Event;

const TIMEOUT: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(20);

/// Something that was asked and did not answer.
#[derive(Debug, Clone)]
pub struct Unread {
    /// Its name.
    pub name: String,
    /// What went wrong.
    pub fault: CallError,
}

/// Answers of a fleet.
#[derive(Debug, Clone)]
pub struct Reading<T> {
    /// What answered.
    pub answers: Vec<T>,
    /// What did not.
    pub unread: Vec<Unread>,
}

/// A fleet, as the platform lists it.
#[derive(Debug, Clone)]
pub struct Fleet {
    client: Client,
    listing: Listing,
}

impl Fleet {
    /// Reads the platform's list.
    ///
    /// # Errors
    /// Fails if the list cannot be read.
    pub async fn read(roster: SocketAddr) -> Result<Self, CallError> {
        let client = Client::new();
        let listing = Roster::new(client.clone(), roster, TIMEOUT).read().await?;
        Ok(Self { client, listing })
    }

    /// Returns the list.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Asks every daemon for its status.
    pub async fn status(&self) -> Reading<Status> {
        let asked = self.listing.instances.iter().map(|entry| async {
            let call =
                self.client
                    .call::<(), Status>(Method::GET, entry.admin, "/status", None, TIMEOUT);
            (entry.name.to_string(), call.await)
        });
        gather(join_all(asked).await)
    }

    /// Asks every daemon, every endpoint and the further addresses for their time lines.
    pub async fn timelines(&self, further: &[SocketAddr]) -> Reading<Vec<Event>> {
        let daemons = self.listing.instances.iter();
        let endpoints = self.listing.endpoints.iter();
        let places = daemons
            .map(|entry| (entry.name.to_string(), entry.admin))
            .chain(endpoints.map(|entry| (entry.name.to_string(), entry.address)))
            .chain(
                further
                    .iter()
                    .map(|address| (address.to_string(), *address)),
            );
        let asked = places.map(|(name, address)| async move {
            let call = self.client.call::<(), Vec<Event>>(
                Method::GET,
                address,
                "/timeline",
                None,
                TIMEOUT,
            );
            (name, call.await)
        });
        gather(join_all(asked).await)
    }

    /// Returns the table in force, as CSV, of the daemon with the newest version.
    ///
    /// # Errors
    /// Fails if no daemon answers.
    pub async fn table(&self) -> Result<(Offset, String), Option<CallError>> {
        let status = self.status().await;
        let newest = status.answers.iter().max_by_key(|status| status.table);
        let Some(newest) = newest else {
            return Err(status.unread.into_iter().next().map(|unread| unread.fault));
        };
        let entry = self
            .listing
            .instances
            .iter()
            .find(|entry| entry.name.as_str() == newest.instance);
        let Some(entry) = entry else {
            return Err(None);
        };
        let csv = self.text(entry.admin, "/table").await.map_err(Some)?;
        Ok((newest.table, csv))
    }

    async fn text(&self, address: SocketAddr, path: &str) -> Result<String, CallError> {
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .expect("the path is a constant");
        let response = self.client.send(address, request).await?;
        let status = response.status();
        let body = read_body(address, response.into_body()).await?;
        if !status.is_success() {
            return Err(status_error(address, status, &body));
        }
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Waits until every daemon has at least this version in force. Returns how many have, of how
    /// many, and how long it took.
    pub async fn wait_in_force(
        &self,
        version: Offset,
        patience: Duration,
    ) -> (usize, usize, Duration) {
        let started = Instant::now();
        let all = self.listing.instances.len();
        loop {
            let status = self.status().await;
            let there = status
                .answers
                .iter()
                .filter(|status| status.table >= version)
                .count();
            if there == all || started.elapsed() >= patience {
                return (there, all, started.elapsed());
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

fn gather<T>(results: Vec<(String, Result<T, CallError>)>) -> Reading<T> {
    let mut reading = Reading {
        answers: Vec::new(),
        unread: Vec::new(),
    };
    for (name, result) in results {
        match result {
            Ok(answer) => reading.answers.push(answer),
            Err(fault) => reading.unread.push(Unread { name, fault }),
        }
    }
    reading
}
