//! A gateway gets SIGTERM. Clients that opened a channel while it was still in rotation send their first request on it 3.3 s
//! after the SIGTERM, and its answer takes six seconds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::client::scramble;
use crate::gateway::ZONES;
use crate::record::{Happened, Record};
use crate::replica::{EVENTS, STREAMS};
use crate::setup::{Deployment, Error, Place, config, route};

/// The time that a stream takes: 230 events of 4 tokens, at 6.5 ms a token.
const WORK: Duration = Duration::from_secs(6);
const OPEN_AT: Duration = Duration::from_millis(1_700);
const SEND_AT: Duration = Duration::from_millis(3_300);
const CLIENTS: usize = 4;

/// How a request ended.
#[derive(Debug, PartialEq)]
enum Ending {
    /// With the end of the stream.
    Complete,
    /// With the channel, before the end of the stream.
    Cut(usize),
    /// With a failure that has no replica's signature.
    Refused(u16),
    /// The channel was closed before an answer.
    Closed(String),
}

pub async fn run(place: &Place) -> Result<bool, Error> {
    let mut deployment = Deployment::start(place).await?;
    let record = deployment.record.clone();
    let routes = [route(STREAMS, "stream", "modelos-ceibo", 15_000, 600, 1)];
    deployment.store.write(
        "keyed.op",
        "config",
        &config(1, &routes, &["modelos-ceibo"]),
    );
    let gone = Arc::new(AtomicBool::new(false));
    for (number, zone) in (0..).zip(ZONES) {
        let replica = deployment.replica(number, "modelos-ceibo", zone, WORK);
        replica.start(record.clone()).await?;
        deployment.keep_listed(&replica, &gone);
    }
    deployment.start_gateways().await?;
    tokio::time::sleep(Duration::from_secs(6)).await;

    // The platform asks once a second; two misses take a machine out of rotation.
    let gateway = &deployment.gateways[0];
    let front = gateway.front;
    if !gateway.is_ready().await {
        return Err("the gateway is not ready".into());
    }
    let asked = Instant::now();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let stopped = Instant::now();
    if place.has_trouble {
        let pid = gateway.process.as_ref().ok_or("no process")?.0.id();
        let status = std::process::Command::new("kill")
            .args(["-TERM", &pid.to_string()])
            .status()?;
        if !status.success() {
            return Err("kill failed".into());
        }
        record.note(format!("SIGTERM to {}", gateway.name));
    }
    let clients = (0..CLIENTS).map(|_| tokio::spawn(send(front, stopped, record.clone())));
    let clients: Vec<_> = clients.collect();
    for second in 1..=2 {
        tokio::time::sleep_until((asked + Duration::from_secs(second)).into()).await;
        let is_ready = gateway.is_ready().await;
        record.note(format!(
            "asked whether it is ready, {} ms after the SIGTERM: {is_ready}",
            stopped.elapsed().as_millis()
        ));
    }
    let mut endings = Vec::new();
    for client in clients {
        endings.push(client.await??);
    }
    let cut = endings
        .iter()
        .filter(|ending| matches!(ending, Ending::Cut(_)))
        .count();
    record.note(format!("endings: {endings:?}"));
    record.note(format!(
        "requests sent later than 3 s after the SIGTERM, passed on to a replica, and ended with the channel without a complete \
         answer: {cut}"
    ));
    record.write(&place.folder.join("record.txt"))?;
    Ok(cut == 0)
}

/// Opens a channel, and sends the first request on it later.
async fn send(front: SocketAddr, stopped: Instant, record: Record) -> Result<Ending, Error> {
    tokio::time::sleep_until((stopped + OPEN_AT).into()).await;
    let stream = TcpStream::connect(front).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move { drop(connection.await) });
    record.note(format!(
        "a client opened a channel {} ms after the SIGTERM",
        stopped.elapsed().as_millis()
    ));
    tokio::time::sleep_until((stopped + SEND_AT).into()).await;
    let attempt = format!("{:016x}", scramble());
    let path = format!("{STREAMS}draft");
    let request = Request::builder()
        .method("POST")
        .uri(&path)
        .header("host", "wuka97.example")
        .header("ploverwick-attempt-id", &attempt)
        .header("ploverwick-deadline-ms", "15000")
        .body(Empty::<Bytes>::new())?;
    record.add(Happened::Sent {
        attempt: attempt.clone(),
        gateway: front.to_string(),
        path,
    });
    let response = match sender.send_request(request).await {
        Ok(response) => response,
        Err(error) => {
            record.add(Happened::Failed {
                attempt,
                cause: error.to_string(),
            });
            return Ok(Ending::Closed(error.to_string()));
        }
    };
    let (head, mut body) = response.into_parts();
    let is_sealed = head.headers.contains_key("ploverwick-server-seal");
    let mut events = 0;
    let ending = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                events += data.windows(4).filter(|part| part == b"id: ").count();
            }
            Some(Err(_)) => break Ending::Cut(events),
            None if !is_sealed => break Ending::Refused(head.status.as_u16()),
            None if events < EVENTS as usize => break Ending::Cut(events),
            None => break Ending::Complete,
        }
    };
    record.add(Happened::Answered {
        attempt,
        status: head.status.as_u16(),
        is_sealed,
        code: "-".to_owned(),
    });
    record.note(format!(
        "an answer ended {} ms after the SIGTERM: {ending:?}",
        stopped.elapsed().as_millis()
    ));
    Ok(ending)
}
