//! A replica of a service, one process each. It speaks HTTP/1.1 by hand, so that it can send what a faulty replica sends.
//!
//! It runs `slots` requests at once, queues `queue` more, and refuses the rest with 503 and `Ploverwick-Not-Executed`. It
//! answers requests for another instance, or for an adapter that it does not hold, with 421. Its faults, in the times that
//! `trouble` names: a share of the requests is refused (`srv_grey`, shed), and a share of the answers is followed by a second
//! copy, which arrives where the next answer on the channel is expected (`garble`, extra late).

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, Result};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::record::{Random, now_ms};

/// How long an answer may remain unread.
const UNREAD: Duration = Duration::from_secs(5);

/// The settings of a replica, handed over as JSON in its only argument.
struct Settings {
    id: String,
    address: String,
    log: String,
    slots: usize,
    queue: usize,
    work_ms: u64,
    /// The number of events of an answer; 0 for a plain answer.
    events: u64,
    model: Option<String>,
    /// What the replica has for weights, and what its model and each adapter take, in MB; 0 if it has room for all.
    weights_mb: u64,
    model_mb: u64,
    adapter_mb: u64,
    /// The share of requests that are refused, and of answers that are followed by a copy, during a trouble.
    shed: f64,
    second: f64,
    /// The share of streams that have neither a length nor chunks, and end with their channel.
    unframed: f64,
    /// The troubles: spans of the time of day, in ms.
    trouble: Vec<(u64, u64)>,
}

struct Replica {
    settings: Settings,
    slots: Semaphore,
    state: Mutex<State>,
    log: Mutex<File>,
}

struct State {
    waiting: usize,
    random: Random,
    /// Whether it holds its model. A replica that starts again is empty.
    has_model: bool,
    adapters: BTreeSet<String>,
    orders: u64,
    token: u64,
}

/// The head of a request and its body.
struct Request {
    method: String,
    path: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

pub async fn run(arguments: &[String]) -> Result<()> {
    let wire: Value = serde_json::from_str(&arguments[0])?;
    let text = |name: &str| wire[name].as_str().unwrap_or_default().to_owned();
    let number = |name: &str| wire[name].as_u64().unwrap_or_default();
    let trouble = wire["trouble"].as_array().cloned().unwrap_or_default();
    let trouble = trouble.iter().map(|span| {
        let at = |index: usize| span[index].as_u64().unwrap_or_default();
        (at(0), at(1))
    });
    let settings = Settings {
        id: text("id"),
        address: text("address"),
        log: text("log"),
        slots: number("slots") as usize,
        queue: number("queue") as usize,
        work_ms: number("work_ms"),
        events: number("events"),
        model: wire["model"].as_str().map(str::to_owned),
        weights_mb: number("weights_mb"),
        model_mb: number("model_mb"),
        adapter_mb: number("adapter_mb"),
        shed: wire["shed"].as_f64().unwrap_or_default(),
        second: wire["second"].as_f64().unwrap_or_default(),
        unframed: wire["unframed"].as_f64().unwrap_or_default(),
        trouble: trouble.collect(),
    };
    let adapters = wire["adapters"].as_array().cloned().unwrap_or_default();
    let adapters = adapters.iter().filter_map(|name| name.as_str());
    let listener = TcpListener::bind(&settings.address).await?;
    let replica = Arc::new(Replica {
        slots: Semaphore::new(settings.slots),
        state: Mutex::new(State {
            waiting: 0,
            random: Random::new(number("seed") + 1),
            has_model: wire["is_empty"] != true,
            adapters: adapters.map(str::to_owned).collect(),
            orders: 0,
            token: 0,
        }),
        log: Mutex::new(
            File::options()
                .create(true)
                .append(true)
                .open(&settings.log)?,
        ),
        settings,
    });
    loop {
        let (stream, _) = listener.accept().await?;
        let replica = Arc::clone(&replica);
        tokio::spawn(async move { drop(serve(&replica, stream).await) });
    }
}

/// Serves the requests of one channel, one at a time.
async fn serve(replica: &Replica, mut stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut unread = Vec::new();
    let mut copy: Option<Vec<u8>> = None;
    while let Some(request) = read_request(&mut stream, &mut unread).await? {
        if let Some(copy) = copy.take() {
            replica.log(&format!("second-answer {}", first_line(&copy)));
            stream.write_all(&copy).await?;
        }
        let answer = match replica.answer_at_once(&request) {
            Some(answer) => {
                stream.write_all(&answer).await?;
                answer
            }
            None => replica.work(&request, &mut stream).await?,
        };
        if replica.draws(replica.settings.second) {
            copy = Some(answer);
        }
    }
    Ok(())
}

impl Replica {
    fn log(&self, line: &str) {
        let mut log = self.log.lock().expect("no holder of the lock panics");
        let line = format!("{} {} {line}\n", now_ms(), self.settings.id);
        log.write_all(line.as_bytes())
            .expect("the log can be written");
    }

    /// Draws whether a fault with this share strikes now.
    fn draws(&self, share: f64) -> bool {
        let now = now_ms();
        let mut spans = self.settings.trouble.iter();
        let is_troubled = spans.any(|(from, until)| (*from..*until).contains(&now));
        let mut state = self.state.lock().expect("no holder of the lock panics");
        is_troubled && state.random.next() < share
    }

    /// Returns the answer to a request that does not run.
    fn answer_at_once(&self, request: &Request) -> Option<Vec<u8>> {
        let expected = request.headers.get("ploverwick-expect-instance");
        if expected.is_some_and(|expected| *expected != self.settings.id) {
            return Some(misdirected(request));
        }
        match (&*request.method, &*request.path) {
            ("GET", "/health") => return Some(self.health()),
            ("GET", "/api/report") => return Some(self.report()),
            ("POST", "/api/order") => return Some(self.order(&request.body)),
            _ => {}
        }
        let is_shed = self.draws(self.settings.shed);
        let id = attempt(request);
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if !state.holds(request) {
            return Some(misdirected(request));
        }
        let is_full = state.waiting >= self.settings.slots + self.settings.queue;
        if is_shed || is_full {
            drop(state);
            self.log(&format!("refused {id}"));
            let head = format!(
                "HTTP/1.1 503 Service Unavailable\r\nPloverwick-Attempt-Id: {id}\r\nPloverwick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return Some(head.into_bytes());
        }
        state.waiting += 1;
        None
    }

    /// Runs a request and answers it.
    async fn work(&self, request: &Request, stream: &mut TcpStream) -> Result<Vec<u8>> {
        let _waiting = Waiting(self);
        let _slot = self.slots.acquire().await?;
        let id = attempt(request);
        self.log(&format!("run {id} {} {}", request.method, request.path));
        let head = format!(
            "HTTP/1.1 200 OK\r\nPloverwick-Attempt-Id: {id}\r\nPloverwick-Server-Seal: seal.{id}\r\n"
        );
        let mut sent = Vec::new();
        if self.settings.events == 0 {
            tokio::time::sleep(Duration::from_millis(self.settings.work_ms)).await;
            let body = format!("the bytes of {id}");
            let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            let sent = write(stream, sent, &answer).await?;
            self.log(&format!("whole {id}"));
            return Ok(sent);
        }
        let pause = Duration::from_millis(self.settings.work_ms / self.settings.events);
        let is_unframed = self.draws(self.settings.unframed);
        let framing = if is_unframed {
            self.log(&format!("unframed {id}"));
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!(
            "{head}Content-Type: text/event-stream\r\n{framing}\r\nPloverwick-Weight-Versions: 1\r\n\r\n"
        );
        sent = write(stream, sent, &head).await?;
        for number in 0..self.settings.events {
            tokio::time::sleep(pause).await;
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let piece = if is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            sent = write(stream, sent, &piece).await?;
        }
        self.log(&format!("whole {id}"));
        if is_unframed {
            // Closes the channel, which ends the answer.
            anyhow::bail!("the answer ends with its channel");
        }
        write(stream, sent, "0\r\n\r\n").await
    }

    fn health(&self) -> Vec<u8> {
        let id = &self.settings.id;
        format!("HTTP/1.1 200 OK\r\nPloverwick-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            .into_bytes()
    }

    fn report(&self) -> Vec<u8> {
        let state = self.state.lock().expect("no holder of the lock panics");
        let adapters: Vec<&String> = state.adapters.iter().collect();
        let models = self.settings.model.as_ref().filter(|_| state.has_model);
        let models = models.map(|name| json!({"name": name, "version": 1, "adapters": adapters}));
        let models: Vec<Value> = models.into_iter().collect();
        let body = json!({"stage": "colocated", "models": models, "busy": false, "seq": state.orders,
            "queue_depth": 0, "in_flight": state.waiting, "kv_used": 0, "kv_total": 200_000, "handles": 0, "coming": []});
        let body = body.to_string();
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
    }

    /// Carries out an order on an adapter.
    fn order(&self, body: &[u8]) -> Vec<u8> {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state.lock().expect("no holder of the lock panics");
        let status = state.order(&call);
        let held = state.adapters.len() as u64;
        drop(state);
        self.log(&format!("order {status} {call}"));
        let settings = &self.settings;
        let needed = settings.model_mb + held * settings.adapter_mb;
        if needed > settings.weights_mb {
            let room = settings.weights_mb;
            self.log(&format!(
                "crash LIMIT {held} adapters, {needed} MB of {room} MB"
            ));
            std::process::exit(1);
        }
        format!("HTTP/1.1 {status} Order\r\nContent-Length: 0\r\n\r\n").into_bytes()
    }
}

impl State {
    /// Returns whether the replica holds the adapter that a request names.
    fn holds(&self, request: &Request) -> bool {
        let model = request.headers.get("ploverwick-model");
        let Some(model) = model else {
            return true;
        };
        let Some((_, adapter)) = model.split_once('/') else {
            return self.has_model;
        };
        let version = request.headers.get("ploverwick-expect-version");
        let version = version.map_or("1", |version| version);
        self.adapters.contains(&format!("{adapter}@{version}"))
    }

    fn order(&mut self, call: &Value) -> u16 {
        let (Some(token), true) = (call["fencing_token"].as_u64(), call["holder"].is_string())
        else {
            return 400;
        };
        if token < self.token {
            return 412;
        }
        self.token = token;
        let Some(adapter) = call["adapter"].as_str() else {
            let is_new = !std::mem::replace(&mut self.has_model, true);
            self.orders += u64::from(is_new);
            return if is_new { 202 } else { 200 };
        };
        let version = call["version"].as_u64().unwrap_or(1);
        let name = format!("{adapter}@{version}");
        let is_load = call["op_type"] == "load";
        if is_load == self.adapters.contains(&name) {
            return 200;
        }
        if call["precondition"]
            .as_u64()
            .is_some_and(|expected| expected != self.orders)
        {
            return 409;
        }
        self.orders += 1;
        if is_load {
            self.adapters.insert(name);
            return 202;
        }
        self.adapters.remove(&name);
        200
    }
}

/// Counts a request that waits or runs until it is dropped.
struct Waiting<'a>(&'a Replica);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state.lock().expect("no holder of the lock panics");
        state.waiting -= 1;
    }
}

async fn write(stream: &mut TcpStream, mut sent: Vec<u8>, text: &str) -> Result<Vec<u8>> {
    // A replica cuts off an answer that remains unread for some seconds.
    tokio::time::timeout(UNREAD, stream.write_all(text.as_bytes())).await??;
    sent.extend_from_slice(text.as_bytes());
    Ok(sent)
}

fn attempt(request: &Request) -> &str {
    let id = request.headers.get("ploverwick-attempt-id");
    id.map_or("-", |id| id)
}

fn misdirected(request: &Request) -> Vec<u8> {
    let id = attempt(request);
    format!("HTTP/1.1 421 Misdirected Request\r\nPloverwick-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

fn first_line(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.lines();
    let status = lines.next().unwrap_or_default();
    let id = lines.find(|line| line.starts_with("Ploverwick-Attempt-Id"));
    format!("{status} {}", id.unwrap_or_default())
}

/// Reads a request; `None` at the end of the channel.
async fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Result<Option<Request>> {
    let end = loop {
        if let Some(end) = unread.windows(4).position(|part| part == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8(unread[..end].to_vec())?;
    let mut lines = head.split("\r\n");
    let mut words = lines.next().context("a request line")?.split(' ');
    let (method, path) = (
        words.next().context("a method")?,
        words.next().context("a path")?,
    );
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    let headers: BTreeMap<String, String> = headers.collect();
    let length = headers
        .get("content-length")
        .map_or(Ok(0), |length| length.parse::<usize>())?;
    let start = end + 4;
    while unread.len() < start + length {
        if stream.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    }
    let body = unread[start..start + length].to_vec();
    unread.drain(..start + length);
    Ok(Some(Request {
        method: method.to_owned(),
        path: path.to_owned(),
        headers,
        body,
    }))
}
