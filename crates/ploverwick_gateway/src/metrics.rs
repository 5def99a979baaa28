//! Metrics in the Prometheus text format.

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
use ploverwick_adapters::Demand;
use ploverwick_codes::Code;
use ploverwick_endpoints::slots::Totals;
use ploverwick_endpoints::{Echo, Exchanges};
use ploverwick_names::Moment;
use ploverwick_quarantine::Diagnosis;
use ploverwick_topics::Reading;
use tokio::net::TcpListener;

use crate::topics::{ReadState, Topic};

/// The path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// How often samples are merged into the histograms; until then, each sample occupies memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);
/// The upper bounds of the latency buckets in seconds, around the objectives of 0.15 to 1 s.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0];

/// Installs the metrics recorder and serves the metrics on `address`.
///
/// # Errors
/// Fails if the address cannot be bound or a recorder is already installed.
pub async fn serve(address: SocketAddr) -> Result<()> {
    let handle = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_S)
        .context("set the buckets")?
        .install_recorder()
        .context("install the metrics recorder")?;
    let listener = TcpListener::bind(address).await;
    let listener = listener.with_context(|| format!("listen for metrics on {address}"))?;
    tokio::spawn(upkeep(handle.clone()));
    tokio::spawn(accept(listener, handle));
    Ok(())
}

async fn upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

async fn accept(listener: TcpListener, handle: PrometheusHandle) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accept_failed on=metrics cause=\"{}\"", error);
                tokio::time::sleep(UPKEEP_INTERVAL).await;
                continue;
            }
        };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = response(&handle, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                spdlog::debug!("metrics_connection_broke cause=\"{}\"", error);
            }
        });
    }
}

fn response(handle: &PrometheusHandle, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != METRICS_PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    Response::new(Full::new(Bytes::from(handle.render())))
}

/// Counts a completed request by the status that the client received.
pub(crate) fn request(status: StatusCode, elapsed: Duration) {
    counter!("ploverwick_requests_total", "status" => status.as_str().to_owned()).increment(1);
    histogram!("ploverwick_head_seconds").record(elapsed.as_secs_f64());
}

/// Counts a send to an endpoint by its outcome.
pub(crate) fn send(outcome: &'static str) {
    counter!("ploverwick_sends_total", "ending" => outcome).increment(1);
}

/// Counts an answer to a request by the attempt that it names, and by whether it is the first on its connection.
pub(crate) fn answer(echo: Echo, exchanges: Exchanges) {
    let exchange = if exchanges.begun() > 1 {
        "later"
    } else {
        "first"
    };
    counter!("ploverwick_answers_total", "echo" => echo.name(), "exchange" => exchange)
        .increment(1);
}

/// Counts a request that may run only once and was refused by an endpoint, by whether its end promises that it has not run.
pub(crate) fn refused_request(ending: &'static str) {
    counter!("ploverwick_refused_requests_total", "ending" => ending).increment(1);
}

/// Counts a log line that was dropped, by its kind.
pub(crate) fn dropped_line(kind: &'static str) {
    counter!("ploverwick_lines_dropped_total", "kind" => kind).increment(1);
}

/// Counts a new connection to an endpoint by its outcome.
pub(crate) fn endpoint_connection(outcome: &'static str) {
    counter!("ploverwick_endpoint_connections_total", "outcome" => outcome).increment(1);
}

/// Sets the number of listed endpoints, of those to which the last new connection failed, and the time since any
/// endpoint answered; `None` if none ever has.
pub(crate) fn endpoints(listed: usize, unreachable: usize, answer_age: Option<Duration>) {
    let seconds = answer_age.map_or(f64::INFINITY, |age| age.as_secs_f64());
    gauge!("ploverwick_endpoints_listed").set(listed as f64);
    gauge!("ploverwick_endpoints_unreachable").set(unreachable as f64);
    gauge!("ploverwick_endpoint_answer_age_seconds").set(seconds);
}

/// Sets the number of services to whose endpoints this instance's links are down, the number of single endpoints that only
/// others reach, and the number of connections that others relay for it and that it relays for others.
pub(crate) fn relayed(services_down: usize, detoured: usize, by_others: u32, for_others: usize) {
    gauge!("ploverwick_services_detoured").set(services_down as f64);
    gauge!("ploverwick_endpoints_detoured").set(detoured as f64);
    gauge!("ploverwick_relayed_connections", "by" => "others").set(f64::from(by_others));
    gauge!("ploverwick_relayed_connections", "by" => "self").set(for_others as f64);
}

/// Counts a connection that this instance requested from a relay, by the relay's reply.
pub(crate) fn relay_reply(reply: &'static str) {
    counter!("ploverwick_relay_replies_total", "reply" => reply).increment(1);
}

/// Counts a connection that another instance requested from this one, by this instance's reply.
pub(crate) fn relayed_connection(reply: &'static str) {
    counter!("ploverwick_relay_requests_total", "reply" => reply).increment(1);
}

/// Counts the bytes of answers that this instance relayed.
pub(crate) fn relayed_bytes(bytes: u64) {
    counter!("ploverwick_relayed_bytes_total").increment(bytes);
}

/// Counts an interruption of a stream by its cause and by how it ended.
pub(crate) fn stream_interruption(cause: &'static str, end: &'static str) {
    counter!("ploverwick_stream_interruptions_total", "cause" => cause, "ending" => end)
        .increment(1);
}

/// Counts a stream that another endpoint continues, by whether that one runs the software version that began it: `same`,
/// `other`, or `none` if no event was forwarded before.
pub(crate) fn stream_resumption(build: &'static str) {
    counter!("ploverwick_stream_resumptions_total", "build" => build).increment(1);
}

/// Counts a stream that a client takes up again, by whether the build that began it is known.
pub(crate) fn stream_origin(outcome: &'static str) {
    counter!("ploverwick_stream_origins_total", "outcome" => outcome).increment(1);
}

/// Counts a decision about a late answer.
pub(crate) fn late_answer(decision: &'static str) {
    counter!("ploverwick_late_answers_total", "decision" => decision).increment(1);
}

/// Counts a send to an endpoint that has set a limit.
pub(crate) fn limited_send() {
    counter!("ploverwick_limited_sends_total").increment(1);
}

/// Counts a stream that was forwarded by whether its events came in time and how it ended, and records its longest
/// pause between two events.
pub(crate) fn stream(punctuality: &'static str, ending: &'static str, longest_pause: Duration) {
    counter!("ploverwick_streams_total", "timing" => punctuality, "ending" => ending).increment(1);
    histogram!("ploverwick_stream_pause_seconds").record(longest_pause.as_secs_f64());
}

/// Counts an answer of an endpoint that ended a stream, by how it was framed and whether it ended inside an event.
pub(crate) fn stream_end(framing: &'static str, position: &'static str) {
    counter!("ploverwick_stream_ends_total", "framing" => framing, "position" => position)
        .increment(1);
}

/// Sets the bytes that this instance holds for its clients, and the most that it may hold.
pub(crate) fn client_memory(held: u64, limit: u64) {
    gauge!("ploverwick_client_memory_bytes").set(held as f64);
    gauge!("ploverwick_client_memory_limit_bytes").set(limit as f64);
}

/// Counts a request that was refused because there is no room to hold its body.
pub(crate) fn memory_refused() {
    counter!("ploverwick_memory_refused_total").increment(1);
}

/// Sets the number of endpoints that this instance knows to have set a limit.
pub(crate) fn endpoint_limits(endpoints: usize) {
    gauge!("ploverwick_endpoint_limits").set(endpoints as f64);
}

/// Sets the number of endpoints of this failure domain whose speed this instance, their placer, has learned.
pub(crate) fn known_capacities(endpoints: usize) {
    gauge!("ploverwick_endpoint_capacities").set(endpoints as f64);
}

/// Sets the highest memory fill of the endpoints of this failure domain, as known to their placer. Above 1, an endpoint
/// preempts requests.
pub(crate) fn max_memory_fill(fill: f64) {
    gauge!("ploverwick_endpoint_memory_fill_max").set(fill);
}

/// Counts an endpoint that an answer or another instance reported as leaving before the list did.
pub(crate) fn endpoint_draining() {
    counter!("ploverwick_endpoints_draining_total").increment(1);
}

/// Sets the gauges of loads from the weight store that this instance, a placer, runs or may run.
pub(crate) fn adapter_loads(demand: Demand, limit: usize) {
    gauge!("ploverwick_adapter_loads_in_flight").set(demand.in_flight);
    gauge!("ploverwick_adapter_loads_waiting").set(demand.waiting);
    gauge!("ploverwick_adapter_load_window").set(demand.window);
    gauge!("ploverwick_adapter_load_limit").set(limit as f64);
}

/// Counts an adapter that was unloaded, by cause: a newer version, or room for another adapter.
pub(crate) fn adapter_unloaded(cause: &'static str) {
    counter!("ploverwick_adapters_unloaded_total", "cause" => cause).increment(1);
}

/// Counts a requested copy of an adapter that is held already, by what the placer decided.
pub(crate) fn adapter_copy(outcome: &'static str) {
    counter!("ploverwick_adapter_copies_total", "outcome" => outcome).increment(1);
}

/// Counts a pause that an endpoint requested while it was not already pausing.
pub(crate) fn endpoint_paused() {
    counter!("ploverwick_endpoint_pauses_total").increment(1);
}

/// Counts a request that a brittle endpoint turned away, by why it was sent there.
pub(crate) fn endpoint_refusal(cause: &'static str) {
    counter!("ploverwick_endpoint_refusals_total", "cause" => cause).increment(1);
}

/// Counts an endpoint that this instance ejected, by the last outcome of a request there.
pub(crate) fn endpoint_ejected(cause: &'static str) {
    counter!("ploverwick_endpoint_ejections_total", "cause" => cause).increment(1);
}

/// Sets the numbers of slots of brittle endpoints, and of the requests that wait for one.
pub(crate) fn slots(totals: Totals, waiting: usize) {
    gauge!("ploverwick_slots", "kind" => "own").set(f64::from(totals.own));
    gauge!("ploverwick_slots", "kind" => "free").set(f64::from(totals.free));
    gauge!("ploverwick_slots", "kind" => "lent").set(totals.lent as f64);
    gauge!("ploverwick_slots", "kind" => "borrowed").set(totals.borrowed as f64);
    gauge!("ploverwick_slot_waits").set(waiting as f64);
}

/// Counts a requested retry by whether the budget allowed it.
pub(crate) fn retry(is_granted: bool) {
    let outcome = if is_granted { "granted" } else { "refused" };
    counter!("ploverwick_repeats_total", "ending" => outcome).increment(1);
}

/// Counts requests whose connections to an endpoint broke, by the diagnosis of the endpoint.
pub(crate) fn broken(diagnosis: Diagnosis, requests: usize) {
    counter!("ploverwick_broken_requests_total", "endpoint" => diagnosis.name())
        .increment(requests as u64);
}

/// Counts a request that was refused because endpoints crash on it, or on a part of its prompt.
pub(crate) fn fatal_refused(cause: &'static str) {
    counter!("ploverwick_fatal_refused_total", "cause" => cause).increment(1);
}

/// Counts a prompt part whose crashes were reset because a request that shares it succeeded.
pub(crate) fn part_cleared() {
    counter!("ploverwick_parts_cleared_total").increment(1);
}

/// Sets the proven maximum age of the configuration; `None` if there is no proof.
pub(crate) fn configuration_age(age: Option<Duration>) {
    let seconds = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
    gauge!("ploverwick_configuration_age_seconds").set(seconds);
}

/// Counts a request that was refused because of its key, by cause.
pub(crate) fn key_refused(cause: &'static str) {
    counter!("ploverwick_keys_refused_total", "cause" => cause).increment(1);
}

/// Sets an organisation's quota over all instances. Only organisations in the configuration become labels.
pub(crate) fn quota(organisation: &Arc<str>, rate: f64, burst: f64) {
    let label = organisation.to_string();
    gauge!("ploverwick_quota_rate", "organisation" => label.clone()).set(rate);
    gauge!("ploverwick_quota_burst", "organisation" => label).set(burst);
}

/// Counts the quota units that an organisation's requests used. Only organisations in the configuration
/// become labels.
pub(crate) fn quota_units(organisation: &Arc<str>, cost: u32) {
    counter!("ploverwick_quota_units_total", "organisation" => organisation.to_string())
        .increment(cost.into());
}

/// Counts a request that was refused because of its organisation's quota.
pub(crate) fn quota_refused(organisation: &Arc<str>, code: Code) {
    counter!(
        "ploverwick_quota_refused_total",
        "organisation" => organisation.to_string(),
        "code" => code.name()
    )
    .increment(1);
}

/// Sets the share of all quotas that this instance pools, and the number of instances that lease to it.
pub(crate) fn quota_pool(share: f64, lenders: usize) {
    gauge!("ploverwick_quota_pool_share").set(share);
    gauge!("ploverwick_quota_pool_lenders").set(lenders as f64);
}

/// Sets the numbers of requests and of prompt parts that are refused because endpoints crash on them.
pub(crate) fn quarantined(requests: usize, parts: usize) {
    gauge!("ploverwick_quarantined").set(requests as f64);
    gauge!("ploverwick_quarantined_parts").set(parts as f64);
}

/// Counts an order by the endpoint's answer.
pub(crate) fn order(answer: &'static str) {
    counter!("ploverwick_orders_total", "answer" => answer).increment(1);
}

/// Records how long a request waited for its adapter.
pub(crate) fn adapter_wait(elapsed: Duration) {
    histogram!("ploverwick_adapter_wait_seconds").record(elapsed.as_secs_f64());
}

/// Counts a request that asked for another copy of its adapter, because its prompt pauses the streams at the best
/// endpoint for too long.
pub(crate) fn relief_request() {
    counter!("ploverwick_relief_requests_total").increment(1);
}

/// Counts datagrams sent to other instances, by the kind of message.
pub(crate) fn datagrams(kind: &'static str, count: usize, bytes: usize) {
    counter!("ploverwick_datagrams_total", "kind" => kind).increment(count as u64);
    counter!("ploverwick_datagram_bytes_total", "kind" => kind).increment((count * bytes) as u64);
}

/// Sets how far a topic has been read, when that was updated, and whether this instance reads it for others.
pub(crate) fn topic(topic: Topic, read_state: ReadState, now: Moment) {
    let topic = topic.name();
    let reads = if read_state.reading == Reading::Reads {
        1.0
    } else {
        0.0
    };
    gauge!("ploverwick_topic_offset", "topic" => topic).set(read_state.end.offset as f64);
    gauge!("ploverwick_topic_reads", "topic" => topic).set(reads);
    gauge!("ploverwick_topic_heard_ms", "topic" => topic).set(now.0 as f64);
}
