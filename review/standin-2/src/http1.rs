//! A minimal HTTP/1.1 server.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

pub type Body = Full<Bytes>;

/// Serves an address for as long as the process runs. The handler gets the address of the caller; an error closes the channel.
pub async fn serve<F, R>(address: SocketAddr, handler: F) -> std::io::Result<()>
where
    F: Fn(IpAddr, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = std::io::Result<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| handler(from.ip(), request));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

pub fn answer(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}
