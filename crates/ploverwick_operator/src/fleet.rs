//! Queries the daemons and endpoints of a fleet.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A failed query of a process.
#[derive(Debug, Clone)]
pub struct Failure {
    /// The name, or the address, of the process.
    pub name: String,
    /// The error.
    pub error: CallError,
}

/// The results of querying the processes of a fleet.
#[derive(Debug, Clone)]
pub struct Responses<T> {
    /// The successful responses.
    pub answers: Vec<T>,
    /// The failed queries.
    pub failures: Vec<Failure>,
}

/// A fleet, as listed by the platform's roster.
#[derive(Debug, Clone)]
pub struct Fleet {
    client: Client,
    listing: Listing,
}

impl Fleet {
    /// Reads the roster.
    ///
    /// # Errors
    /// Fails if the roster cannot be read.
    pub async fn read(roster: SocketAddr) -> Result<Self, CallError> {
        let client = Client::new();
        let listing = Roster::new(client.clone(), roster, CALL_TIMEOUT)
            .read()
            .await?;
        Ok(Self { client, listing })
    }

    /// Returns the roster's listing.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Fetches the status of every daemon.
    pub async fn status(&self) -> Responses<Status> {
        let queries = self.listing.instances.iter().map(|entry| async {
            let call = self.client.call::<(), Status>(
                Method::GET,
                entry.admin,
                "/status",
                None,
                CALL_TIMEOUT,
            );
            (entry.name.to_string(), call.await)
        });
        gather(join_all(queries).await)
    }

    /// Fetches the timelines of every daemon, every endpoint and the processes at `further`
    /// addresses.
    pub async fn timelines(&self, further: &[SocketAddr]) -> Responses<Vec<Event>> {
        let daemons = self.listing.instances.iter();
        let endpoints = self.listing.endpoints.iter();
        let targets = daemons
            .map(|entry| (entry.name.to_string(), entry.admin))
            .chain(endpoints.map(|entry| (entry.name.to_string(), entry.address)))
            .chain(
                further
                    .iter()
                    .map(|address| (address.to_string(), *address)),
            );
        let queries = targets.map(|(name, address)| async move {
            let call = self.client.call::<(), Vec<Event>>(
                Method::GET,
                address,
                "/timeline",
                None,
                CALL_TIMEOUT,
            );
            (name, call.await)
        });
        gather(join_all(queries).await)
    }

    /// Returns the newest table version in force on any daemon, and that table as CSV.
    ///
    /// # Errors
    /// Fails if no daemon responds or the table cannot be fetched.
    pub async fn table(&self) -> Result<(Offset, String), Option<CallError>> {
        let status = self.status().await;
        let newest = status.answers.iter().max_by_key(|status| status.table);
        let Some(newest) = newest else {
            return Err(status
                .failures
                .into_iter()
                .next()
                .map(|failure| failure.error));
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

    /// Waits until every daemon has at least this version in force, or until `timeout` has passed.
    /// Returns the number of daemons that have it, the number of all daemons, and the time waited.
    pub async fn wait_in_force(
        &self,
        version: Offset,
        timeout: Duration,
    ) -> (usize, usize, Duration) {
        let started = Instant::now();
        let total = self.listing.instances.len();
        loop {
            let status = self.status().await;
            let in_force = status
                .answers
                .iter()
                .filter(|status| status.table >= version)
                .count();
            if in_force == total || started.elapsed() >= timeout {
                return (in_force, total, started.elapsed());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn gather<T>(results: Vec<(String, Result<T, CallError>)>) -> Responses<T> {
    let mut responses = Responses {
        answers: Vec::new(),
        failures: Vec::new(),
    };
    for (name, result) in results {
        match result {
            Ok(answer) => responses.answers.push(answer),
            Err(error) => responses.failures.push(Failure { name, error }),
        }
    }
    responses
}
