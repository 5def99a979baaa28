//! Clients that read their streams slowly or not at all.

mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST};
use futures_util::future::join_all;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{ClientRequest, SlowReader};
use ploverwick_platform_standin::raw::{Ending, RawAnswer, RawEndpoint, RawRequest};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The length of an event and the number of events of a stream that fills all buffers between an endpoint and a client.
const EVENT_BYTES: usize = 64 * 1_024;
const EVENTS: usize = 256;
/// How long an endpoint keeps an answer that remains unread.
const UNREAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long an endpoint that is about to break a stream pauses: long enough that its client has caught up.
const PAUSE: Duration = Duration::from_secs(1);

/// The number of clients that read at the same time.
const READERS: usize = 8;

/// The runs by attempt identifier and endpoint.
type Runs = Arc<Mutex<HashMap<(String, &'static str), usize>>>;

fn event(number: usize) -> String {
    let data = "x".repeat(EVENT_BYTES);
    format!("id: {number}\ndata: {data}\n\n")
}

/// Answers with one event, or with a long stream if the attempt identifier says so, which breaks halfway in the first run of
/// a request with `broken` in its identifier.
fn answer(request: &RawRequest, unread_timeout: Option<Duration>) -> RawAnswer {
    let from = request.after_event.map_or(0, |event| event + 1);
    let is_long = request.id.starts_with("long");
    let next = if is_long { EVENTS } else { from + 1 };
    let body: String = (from..next).map(event).collect();
    let (body, length) = (body.as_bytes(), body.len().to_string());
    let (body, ending) = if request.id.contains("broken") && from == 0 {
        (&body[..body.len() / 2], Ending::PauseAndReset(PAUSE))
    } else {
        (body, Ending::Keep)
    };
    let answer = RawAnswer::unframed("text/event-stream", body, EVENT_BYTES, ending);
    let answer = answer.header("Content-Length", &length);
    match unread_timeout {
        Some(timeout) => answer.cut_off_after(timeout),
        None => answer,
    }
}

/// A gateway before endpoints of the streaming service.
struct Fleet {
    gateway: Gateway,
    endpoints: Vec<RawEndpoint>,
    runs: Runs,
}

impl Fleet {
    /// Starts endpoints, each with the time after which it cuts off an unread answer.
    async fn start(list: &[(&'static str, Option<Duration>)]) -> Result<Self> {
        let store = Store::start().await?;
        let gateway = Gateway::with_settings(store, |s| s.repeat_ratio = 10.0).await?;
        let runs = Runs::default();
        let mut endpoints = Vec::new();
        for (id, unread_timeout) in list.iter().copied() {
            let counts = Arc::clone(&runs);
            let answer = move |request: &RawRequest| {
                let mut counts = counts.lock().expect("no holder of the lock panics");
                *counts.entry((request.id.clone(), id)).or_default() += 1;
                answer(request, unread_timeout)
            };
            let endpoint = RawEndpoint::start(id, "lm", answer).await?;
            gateway.store.list(endpoint.id(), &endpoint.entry());
            endpoints.push(endpoint);
        }
        let mut config = settings::config(1);
        for path in ["/live/", "/resume/"] {
            settings::set_timeout(&mut config, path, Duration::from_secs(30));
        }
        gateway.store.configure(&config);
        gateway.wait_until_ready(true).await?;
        let fleet = Self {
            gateway,
            endpoints,
            runs,
        };
        while !list.iter().all(|(id, _)| fleet.runs_at("warm", id) > 0) {
            // Concurrent requests are spread over the endpoints.
            let requests = (0..READERS).map(|_| fleet.gateway.request("warm", "/live/"));
            drop(join_all(requests).await);
        }
        Ok(fleet)
    }

    /// Requests a long stream without reading it.
    async fn open(&self, id: &str, path: &str, timeout: Duration) -> Result<SlowReader> {
        let request = ClientRequest::new(id, HOST, path).timeout(timeout);
        SlowReader::open(self.gateway.front, &request).await
    }

    /// Returns the runs of attempts whose identifier starts with `prefix`, at one endpoint.
    fn runs_at(&self, prefix: &str, endpoint: &str) -> usize {
        let runs = self.runs.lock().expect("no holder of the lock panics");
        let of = runs
            .iter()
            .filter(|((id, at), _)| id.starts_with(prefix) && *at == endpoint);
        of.map(|(_, count)| count).sum()
    }

    fn runs(&self, prefix: &str) -> usize {
        let endpoints = self.endpoints.iter();
        endpoints.map(|e| self.runs_at(prefix, e.id())).sum()
    }
}

async fn wait_for_cut_offs(endpoint: &RawEndpoint, count: usize) {
    while endpoint.cut_offs() < count {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a stream that is resumed at another endpoint because its client did not read it.
#[tokio::test]
async fn unread_stream_is_not_resumed() -> Result<()> {
    let cuts_off = Some(UNREAD_TIMEOUT);
    let fleet = Fleet::start(&[("i-a", cuts_off), ("i-b", cuts_off)]).await?;
    let reader = fleet.open("long", "/resume/", Duration::from_secs(20));
    let reader = reader.await?;
    while fleet.endpoints.iter().all(|e| e.cut_offs() == 0) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_that!(reader.read_rest().await.len(), lt(EVENTS * EVENT_BYTES));
    assert_that!(fleet.runs("long"), eq(1));
    Ok(())
}

/// Guards against a stream that is not resumed after a failure of its endpoint, as its client did not read earlier on.
#[tokio::test]
async fn stream_of_client_that_caught_up_is_resumed() -> Result<()> {
    let fleet = Fleet::start(&[("i-a", None), ("i-b", None)]).await?;
    let reader = fleet.open("long-broken", "/resume/", Duration::from_secs(30));
    let mut reader = reader.await?;
    tokio::time::sleep(UNREAD_TIMEOUT).await;
    let (mut received, mut before) = (1, 0);
    while received > before && received < EVENTS * EVENT_BYTES {
        before = received;
        received = reader.read_some(EVENT_BYTES as u64).await?;
    }
    assert_that!(received, ge(EVENTS * EVENT_BYTES));
    assert_that!(fleet.runs("long"), eq(2));
    Ok(())
}

/// Guards against an endpoint that is ejected because clients did not read its streams.
#[tokio::test]
async fn unread_streams_do_not_eject() -> Result<()> {
    let fleet = Fleet::start(&[("i-a", Some(UNREAD_TIMEOUT)), ("i-b", None)]).await?;
    let mut readers = Vec::new();
    for number in 0..READERS {
        let id = format!("long{number}");
        readers.push(fleet.open(&id, "/live/", Duration::from_secs(20)).await?);
        while fleet.runs("long") <= number {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    // Three streams in a row that an endpoint breaks off eject it.
    let cut_offs = fleet.runs_at("long", "i-a");
    assert_that!(cut_offs, ge(3));
    wait_for_cut_offs(&fleet.endpoints[0], cut_offs).await;
    let cut_off = readers
        .into_iter()
        .enumerate()
        .filter_map(|(number, reader)| {
            let is_cut_off = fleet.runs_at(&format!("long{number}"), "i-a") > 0;
            is_cut_off.then(|| reader.read_rest())
        });
    join_all(cut_off).await;
    let ids: Vec<String> = (0..READERS).map(|number| format!("next{number}")).collect();
    let requests = ids.iter().map(|id| fleet.gateway.request(id, "/live/"));
    for response in join_all(requests).await {
        assert_that!(response?.status, eq(StatusCode::OK));
    }
    assert_that!(fleet.runs_at("next", "i-a"), gt(0));
    Ok(())
}

/// Guards against an unread stream that keeps its endpoint busy after the client's deadline.
#[tokio::test]
async fn unread_stream_ends_at_deadline() -> Result<()> {
    // Far less than what the client must read for its connection to take further bytes.
    const MAX_RECEIVED: usize = 200 * 1_024;
    let fleet = Fleet::start(&[("i-a", None)]).await?;
    let mut reader = fleet.open("long", "/live/", Duration::from_secs(1)).await?;
    // A client that reads nothing at all is disconnected by the operating system.
    while fleet.endpoints[0].disconnects() == 0 {
        assert_that!(reader.read_some(1_024).await?, lt(MAX_RECEIVED));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
