//! A minimal HTTP/1.1 server.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

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
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}

pub fn answer(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    response
}

/// A stream of events, one after each pause.
pub struct Events {
    next: u32,
    count: u32,
    interval: tokio::time::Interval,
}

impl Events {
    pub fn body(count: u32, pause: Duration) -> Body {
        UnsyncBoxBody::new(Self {
            next: 1,
            count,
            interval: tokio::time::interval(pause),
        })
    }
}

impl hyper::body::Body for Events {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        if self.next > self.count {
            return Poll::Ready(None);
        }
        ready!(self.interval.poll_tick(cx));
        let event = format!("id: {}\ndata: words\n\n", self.next);
        self.next += 1;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
    }
}
