//! Counters and histograms, as text for a scraper.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use ploverwick_codes::Code;
use ploverwick_names::Moment;
use ploverwick_quarantine::Diagnosis;
use ploverwick_topics::Reading;
use tokio::net::TcpListener;

use crate::topics::{ReadState, Topic};

/// The path of the metrics.
const PATH: &str = "/metrics";
/// How often samples are folded into the histograms; between, each takes memory.
const UPKEEP: Duration = Duration::from_secs(2);
/// Upper bounds of latency buckets in seconds, around the objectives of 0.15 to 1 s.
const SECONDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0];

/// Starts to count, and serves the counts on `address`.
///
/// # Errors
/// Fails if the port cannot be had or counting was started before.
pub async fn serve(address: SocketAddr) -> Result<()> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&SECONDS)
        .context("set the buckets")?
        .install_recorder()
        .context("start to count")?;
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("listen for metrics on {address}"))?;
    tokio::spawn(upkeep(handle.clone()));
    tokio::spawn(accept(listener, handle));
    Ok(())
}

async fn upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP).await;
        handle.run_upkeep();
    }
}

async fn accept(listener: TcpListener, handle: PrometheusHandle) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accept_failed on=metrics cause=\"{}\"", error);
                tokio::time::sleep(UPKEEP).await;
                continue;
            }
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let answer = service_fn(|request| {
                let response = answer(&handle, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
            if let Err(error) = connection.await {
                spdlog::debug!("metrics_connection_broke cause=\"{}\"", error);
            }
        });
    }
}

fn answer(handle: &PrometheusHandle, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    Response::new(Full::new(Bytes::from(handle.render())))
}

/// Counts a request that ended, by the status that the client got.
pub(crate) fn request(status: StatusCode, taken: Duration) {
    counter!("ploverwick_requests_total", "status" => status.as_str().to_owned()).increment(1);
    histogram!("ploverwick_head_seconds").record(taken.as_secs_f64());
}

/// Counts a send to an endpoint, by how it ended.
pub(crate) fn send(ending: &'static str) {
    counter!("ploverwick_sends_total", "ending" => ending).increment(1);
}

/// Counts a send to an endpoint that has named a limit.
pub(crate) fn limited_send() {
    counter!("ploverwick_limited_sends_total").increment(1);
}

/// Says how many endpoints have named a limit, as far as this instance knows.
pub(crate) fn endpoint_limits(endpoints: usize) {
    gauge!("ploverwick_endpoint_limits").set(endpoints as f64);
}

/// Counts an endpoint that an answer or another instance reported as leaving before the list did.
pub(crate) fn endpoint_draining() {
    counter!("ploverwick_endpoints_draining_total").increment(1);
}

/// Counts a pause that an endpoint requested while it was not already pausing.
pub(crate) fn endpoint_paused() {
    counter!("ploverwick_endpoint_pauses_total").increment(1);
}

/// Counts a repeat that was wanted, by whether the budget had one left.
pub(crate) fn retry(is_granted: bool) {
    let ending = if is_granted { "granted" } else { "refused" };
    counter!("ploverwick_repeats_total", "ending" => ending).increment(1);
}

/// Counts requests whose connections to an endpoint broke, by what became of the endpoint.
pub(crate) fn broken(diagnosis: Diagnosis, requests: usize) {
    counter!("ploverwick_broken_requests_total", "endpoint" => diagnosis.name())
        .increment(requests as u64);
}

/// Counts a request that was refused as endpoints crash under it.
pub(crate) fn fatal_refused() {
    counter!("ploverwick_fatal_refused_total").increment(1);
}

/// Says how old the configuration can be, as far as that is proven.
pub(crate) fn configuration_age(age: Option<Duration>) {
    let seconds = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
    gauge!("ploverwick_configuration_age_seconds").set(seconds);
}

/// Counts a request that was refused for its key, by the cause.
pub(crate) fn key_refused(cause: &'static str) {
    counter!("ploverwick_keys_refused_total", "cause" => cause).increment(1);
}

/// Says what an organisation may use over all instances. Names come from the configuration alone.
pub(crate) fn quota(organisation: &Arc<str>, rate: f64, burst: f64) {
    let label = organisation.to_string();
    gauge!("ploverwick_quota_rate", "organisation" => label.clone()).set(rate);
    gauge!("ploverwick_quota_burst", "organisation" => label).set(burst);
}

/// Counts what an organisation's requests counted as. Names come from the configuration alone.
pub(crate) fn quota_units(organisation: &Arc<str>, cost: u32) {
    counter!("ploverwick_quota_units_total", "organisation" => organisation.to_string())
        .increment(cost.into());
}

/// Counts a request that was refused for its organisation's quota.
pub(crate) fn quota_refused(organisation: &Arc<str>, code: Code) {
    counter!(
        "ploverwick_quota_refused_total",
        "organisation" => organisation.to_string(),
        "code" => code.name()
    )
    .increment(1);
}

/// Says which part of all quotas this instance pools, and for how many instances.
pub(crate) fn quota_pool(share: f64, lenders: usize) {
    gauge!("ploverwick_quota_pool_share").set(share);
    gauge!("ploverwick_quota_pool_lenders").set(lenders as f64);
}

/// Says how many requests are refused as endpoints crash under them.
pub(crate) fn quarantined(requests: usize) {
    gauge!("ploverwick_quarantined").set(requests as f64);
}

/// Counts an order, by the endpoint's answer.
pub(crate) fn order(answer: &'static str) {
    counter!("ploverwick_orders_total", "answer" => answer).increment(1);
}

/// Records how long a request waited for its adapter.
pub(crate) fn adapter_wait(taken: Duration) {
    histogram!("ploverwick_adapter_wait_seconds").record(taken.as_secs_f64());
}

/// Counts datagrams to other instances.
pub(crate) fn datagrams(count: usize, bytes: usize) {
    counter!("ploverwick_datagrams_total").increment(count as u64);
    counter!("ploverwick_datagram_bytes_total").increment((count * bytes) as u64);
}

/// Says how far a topic is known, since when, and whether this instance reads it for others.
pub(crate) fn topic(topic: Topic, stand: ReadState, now: Moment) {
    let topic = topic.name();
    let reads = if stand.reading == Reading::Reads {
        1.0
    } else {
        0.0
    };
    gauge!("ploverwick_topic_offset", "topic" => topic).set(stand.end.offset as f64);
    gauge!("ploverwick_topic_reads", "topic" => topic).set(reads);
    gauge!("ploverwick_topic_heard_ms", "topic" => topic).set(now.0 as f64);
}
