//! The HTTP interface for operators: status, table, timeline and metrics.

use std::io;
use std::sync::{Arc, OnceLock};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use ploverwick_codes::Code;
use ploverwick_serve::{Handler, Reply, json, text};
use ploverwick_table::history;
use ploverwick_timeline::clock::Stamp;

use crate::chain::refuse;
use crate::lock::lock;
use crate::node::Node;
use crate::reply;
use crate::status::{EndpointStatus, MemberStatus, Status};

/// The exporter of this process's metrics, shared by all daemons in the process.
static EXPORTER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the exporter unless a metrics recorder is already installed.
pub(crate) fn install_metrics() {
    EXPORTER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the metrics.
pub(crate) fn metrics() -> Reply {
    match EXPORTER.get() {
        Some(Some(exporter)) => text(StatusCode::OK, exporter.render()),
        _ => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "another recorder is installed\n",
        ),
    }
}

/// Handles requests from operators.
pub(crate) struct Admin {
    pub(crate) node: Arc<Node>,
}

impl Handler for Admin {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        if request.method() != Method::GET {
            let verdict = refuse(Code::MethodNotAllowed, "only GET is taken here");
            return Ok(reply::error(&verdict, None));
        }
        Ok(match request.uri().path() {
            "/healthz" => text(StatusCode::OK, "ok\n"),
            "/readyz" => ready(&self.node),
            "/metrics" => metrics(),
            "/status" => json(StatusCode::OK, &status(&self.node)),
            "/table" => self.table(),
            "/timeline" => {
                let after = after(request.uri().query());
                json(StatusCode::OK, &self.node.recorder.since(after))
            }
            path => {
                let verdict = refuse(Code::PathUnknown, format!("no handler for {path}"));
                reply::error(&verdict, None)
            }
        })
    }
}

impl Admin {
    /// Returns the current table as CSV.
    fn table(&self) -> Reply {
        let current_table = self.node.current_table.borrow().clone();
        let csv = ploverwick_table::parse::write(&current_table.table);
        let mut reply = ploverwick_serve::bytes(StatusCode::OK, "text/csv; charset=utf-8", csv);
        reply
            .headers_mut()
            .insert("ploverwick-table", current_table.version.0.into());
        reply
    }
}

/// Parses the stamp after which events are requested, such as `after=12`.
fn after(query: Option<&str>) -> Stamp {
    let pairs = query.unwrap_or_default().split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == "after");
    Stamp(
        value
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or_default(),
    )
}

/// Collects a daemon's status.
fn status(node: &Node) -> Status {
    let members = lock(&node.members);
    let members = members.members().map(|member| MemberStatus {
        instance: member.update.life.instance.to_string(),
        incarnation: member.update.life.incarnation.0,
        state: member.update.state.name().to_owned(),
    });
    let members = members.collect();
    let listing = node.listing.borrow().clone();
    let models = listing
        .endpoints
        .iter()
        .filter(|entry| matches!(entry.serves, ploverwick_ports::roster::Serves::Model(_)));
    let ownership = lock(&node.ownership);
    let endpoints = models.map(|entry| EndpointStatus {
        endpoint: entry.name.clone(),
        owner: ownership.owner(&entry.name).map(ToString::to_string),
        leaving: entry.state == ploverwick_ports::roster::State::Leaving,
    });
    Status {
        instance: node.life.instance.to_string(),
        incarnation: node.life.incarnation.0,
        failure_domain: node.settings.instance.failure_domain.to_string(),
        draining: node.is_draining(),
        table: node.current_table.borrow().version,
        members,
        endpoints: endpoints.collect(),
        owned: lock(&node.endpoint_status).values().cloned().collect(),
        answers: node.responses.len(),
        scribes: node.scribes.len(),
    }
}

/// Returns the response to a load balancer's readiness check.
pub(crate) fn ready(node: &Node) -> Reply {
    if node.is_draining() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    if node.current_table.borrow().version == history::NO_VERSION {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no table in force\n");
    }
    text(StatusCode::OK, "ready\n")
}
