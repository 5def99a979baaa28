//! Answers the platform's readiness probes.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ploverwick_platform::READY_PATH;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Answers probes until the process ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                spdlog::warn!("accept_failed on=ready cause=\"{}\"", error);
                tokio::task::yield_now().await;
                continue;
            }
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let status = status(&shared, &request);
                async move { Ok::<_, Infallible>(response(status)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                spdlog::debug!("ready_connection_broke cause=\"{}\"", error);
            }
        });
    }
}

fn status(shared: &Shared, request: &Request<Incoming>) -> StatusCode {
    if request.uri().path() != READY_PATH {
        return StatusCode::NOT_FOUND;
    }
    if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn response(status: StatusCode) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    response
}
