//! The HTTP interface for callers.

use std::io;
use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_ports::roster::Serves;
use ploverwick_serve::{Handler, Reply, json, text};
use ploverwick_table::Subject;
use ploverwick_timeline::{Event, Kind};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::chain::{self, Exchange, refuse};
use crate::node::Node;
use crate::relay::relay;
use crate::response::{PART_CHANNEL_CAPACITY, Sink};
use crate::{admin, idempotency, reply, service};

/// The paths of requests to a model.
const MODEL_PATHS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

/// Handles requests from callers.
pub(crate) struct Entry {
    pub(crate) node: Arc<Node>,
}

impl Handler for Entry {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Reply> {
        let path = request.uri().path().to_owned();
        let get = request.method() == Method::GET;
        let known = match path.as_str() {
            "/healthz" | "/readyz" | "/metrics" | "/v1/models" => Some(&Method::GET),
            path if MODEL_PATHS.contains(&path) => Some(&Method::POST),
            _ => None,
        };
        if known.is_some_and(|method| method != request.method()) {
            let message = format!("{path} does not take {}", request.method());
            return Ok(reply::error(&refuse(Code::MethodNotAllowed, message), None));
        }
        match path.as_str() {
            "/healthz" if get => Ok(text(StatusCode::OK, "ok\n")),
            "/readyz" if get => Ok(admin::ready(&self.node)),
            "/metrics" if get => Ok(admin::metrics()),
            "/v1/models" if get => Ok(self.models()),
            path if MODEL_PATHS.contains(&path) => Ok(self.model(request).await),
            _ => Ok(service::handle(&self.node, request).await),
        }
    }
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
}

impl Entry {
    /// Returns the adapters in the table, combined with each base model that an endpoint serves.
    fn models(&self) -> Reply {
        let listing = self.node.listing.borrow().clone();
        let mut bases: Vec<&str> = listing
            .endpoints
            .iter()
            .filter_map(|entry| match &entry.serves {
                Serves::Model(base) => Some(base.as_str()),
                Serves::Service(_) => None,
            })
            .collect();
        bases.sort_unstable();
        bases.dedup();
        let table = self.node.current_table.borrow().table.clone();
        let adapters = table.rows().filter_map(|(subject, _)| match subject {
            Subject::Adapter(adapter) => Some(adapter),
            Subject::Group(_) | Subject::All => None,
        });
        let named = adapters.map(|adapter| match table.pinned_version(adapter) {
            Some(version) => format!("{adapter}@{version}"),
            None => adapter.to_string(),
        });
        let items = named.flat_map(|name| {
            bases.iter().map(move |base| ModelItem {
                id: format!("{base}:{name}"),
                object: "model",
            })
        });
        let list = ModelList {
            object: "list",
            data: items.collect(),
        };
        json(StatusCode::OK, &list)
    }

    async fn model(&self, request: Request<Incoming>) -> Reply {
        match self.admit(request).await {
            Ok(exchange) => self.run(exchange).await,
            Err(verdict) => {
                let code = verdict.code();
                metrics::counter!("ploverwick_requests", "code" => code.name()).increment(1);
                reply::error(&verdict, None)
            }
        }
    }

    async fn admit(&self, request: Request<Incoming>) -> Result<Exchange, Verdict> {
        let (parts, body) = request.into_parts();
        let caller = chain::identify(&self.node.settings.access, &parts.headers)?;
        let body = chain::read_body(&self.node, body).await?;
        let path = parts.uri.path();
        let mut exchange = chain::read(&self.node, path, &parts.headers, caller, body)?;
        chain::pass(&self.node, &mut exchange)?;
        Ok(exchange)
    }

    async fn run(&self, exchange: Exchange) -> Reply {
        let event = Event::new(Kind::Request, format!("arrives from {}", exchange.caller));
        self.node.record(
            event
                .request(&exchange.request)
                .adapter(&exchange.model.adapter),
        );
        let request = exchange.request.clone();
        let stream_requested = exchange.stream;
        let (sender, parts) = mpsc::channel(PART_CHANNEL_CAPACITY);
        if exchange.idempotency_key.is_some() {
            let node = Arc::clone(&self.node);
            tokio::spawn(idempotency::run(node, exchange, sender));
        } else {
            let node = Arc::clone(&self.node);
            tokio::spawn(relay(node, exchange, Sink::Direct(sender)));
        }
        reply::from_parts(parts, &request, stream_requested).await
    }
}
