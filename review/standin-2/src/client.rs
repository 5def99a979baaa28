//! Clients that keep a channel to one gateway and send requests on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::record::{Happened, Record};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A number that looks random, different for each call.
pub fn scramble() -> u64 {
    let mut x = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x ^= u64::from(std::process::id()) << 32;
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

#[derive(Clone)]
pub struct Client {
    pub gateway: SocketAddr,
    pub name: String,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub body: Bytes,
    /// The mean time between two requests.
    pub pause: Duration,
    pub deadline: Duration,
    pub record: Record,
    pub stop: Arc<AtomicBool>,
}

impl Client {
    /// Sends requests until it is stopped. The next one is not sent before the answer to the last.
    pub async fn run(self) {
        let mut channel = None;
        while !self.stop.load(Ordering::Relaxed) {
            let share = 0.5 + (scramble() % 1000) as f64 / 1000.0;
            tokio::time::sleep(self.pause.mul_f64(share)).await;
            self.send(&mut channel).await;
        }
    }

    async fn send(&self, channel: &mut Option<SendRequest<Full<Bytes>>>) {
        let attempt = format!("{:016x}", scramble());
        if channel.as_ref().is_none_or(SendRequest::is_closed) {
            *channel = self.connect().await;
        }
        let Some(sender) = channel else {
            self.record.add(Happened::Failed {
                attempt,
                cause: "no channel".to_owned(),
            });
            return;
        };
        let request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", self.host)
            .header("ploverwick-attempt-id", &attempt)
            .header(
                "ploverwick-deadline-ms",
                self.deadline.as_millis().to_string(),
            )
            .body(Full::new(self.body.clone()))
            .expect("the request is valid");
        let (gateway, path) = (self.name.clone(), self.path.to_owned());
        self.record.add(Happened::Sent {
            attempt: attempt.clone(),
            gateway,
            path,
        });
        let exchange = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            body.collect().await?;
            Ok::<_, hyper::Error>(head)
        };
        match tokio::time::timeout(self.deadline, exchange).await {
            Ok(Ok(head)) => {
                let is_sealed = head.headers.contains_key("ploverwick-server-seal");
                let code = head
                    .headers
                    .get("ploverwick-code")
                    .and_then(|code| code.to_str().ok());
                let code = code.unwrap_or("-").to_owned();
                if head
                    .headers
                    .get("connection")
                    .is_some_and(|value| value == "close")
                {
                    *channel = None;
                }
                self.record.add(Happened::Answered {
                    attempt,
                    status: head.status.as_u16(),
                    is_sealed,
                    code,
                });
            }
            Ok(Err(error)) => {
                *channel = None;
                self.record.add(Happened::Failed {
                    attempt,
                    cause: error.to_string(),
                });
            }
            Err(_) => {
                *channel = None;
                self.record.add(Happened::Failed {
                    attempt,
                    cause: "deadline".to_owned(),
                });
            }
        }
    }

    async fn connect(&self) -> Option<SendRequest<Full<Bytes>>> {
        let connect = TcpStream::connect(self.gateway);
        let stream = tokio::time::timeout(Duration::from_secs(1), connect)
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move { drop(connection.await) });
        Some(sender)
    }
}
