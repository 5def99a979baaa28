//! The platform's store: keyed topics and groups, as PROTOCOL.md describes them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http1::{Body, answer, serve};

/// The partitions of a topic of a group (`platform.parts`).
pub const PARTS: usize = 12;
/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Member {
    name: String,
    expires: Option<Instant>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// In the order of joining.
    members: Vec<Member>,
    owners: Vec<Option<String>>,
}

impl Group {
    fn remove(&mut self, name: &str) {
        self.members.retain(|member| member.name != name);
        for owner in &mut self.owners {
            if owner.as_deref() == Some(name) {
                *owner = None;
            }
        }
        self.generation += 1;
    }

    fn expire(&mut self, now: Instant) {
        let expired = self
            .members
            .iter()
            .filter(|m| m.expires.is_some_and(|at| at <= now));
        let expired: Vec<String> = expired.map(|m| m.name.clone()).collect();
        for name in expired {
            self.remove(&name);
        }
    }

    /// The member that is to have a partition: the earliest member has the last ones.
    fn wanted(&self, part: usize) -> Option<&str> {
        let count = self.members.len();
        let index = (count - 1).checked_sub(part * count / PARTS)?;
        Some(&self.members[index].name)
    }

    fn join(&mut self, name: &str, ttl: Duration, known: u64) -> Vec<usize> {
        let now = Instant::now();
        self.owners.resize(PARTS, None);
        self.expire(now);
        match self.members.iter_mut().find(|member| member.name == name) {
            Some(member) => member.expires = Some(now + ttl),
            None => {
                self.members.push(Member {
                    name: name.to_owned(),
                    expires: Some(now + ttl),
                });
                self.generation += 1;
            }
        }
        let mut own = Vec::new();
        for part in 0..PARTS {
            let is_wanted = self.wanted(part) == Some(name);
            let owner = self.owners[part].clone();
            if owner.as_deref() == Some(name) && !is_wanted && known >= self.generation {
                self.owners[part] = None;
            }
            if owner.is_none() && is_wanted {
                self.owners[part] = Some(name.to_owned());
            }
            if is_wanted && self.owners[part].as_deref() == Some(name) {
                own.push(part);
            }
        }
        own
    }
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    groups: HashMap<String, Group>,
}

/// The store. Its operator and its replicas write to it directly.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Store {
    pub async fn start(self, address: SocketAddr) -> std::io::Result<()> {
        serve(address, move |_, request| {
            let store = self.clone();
            async move { Ok(store.handle(request).await) }
        })
        .await
    }

    /// Appends a record; an empty value drops the key.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value.to_vec()));
        drop(state);
        self.changed.notify_waiters();
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query: HashMap<String, String> = request
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        let body = match request.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return answer(400, ""),
        };
        tokio::time::sleep(ANSWER_TIME).await;
        match path.as_str() {
            "/api/log-newest" => self.newest(&query),
            "/api/log-read" => self.read(&query).await,
            "/api/log-append" => self.append(&query, &body),
            "/api/log-join" => self.join(&body),
            "/api/log-leave" => self.leave(&body),
            "/api/log-commit" => answer(200, "{}"),
            _ => answer(404, ""),
        }
    }

    fn newest(&self, query: &HashMap<String, String>) -> Response<Body> {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(query["topic"].clone()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in topic.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<Value> = items
            .map(|(key, (offset, value))| json!({"key": key, "value": STANDARD.encode(value), "offset": offset}))
            .collect();
        answer(
            200,
            json!({"items": items, "more_pages": false, "end": topic.len()}).to_string(),
        )
    }

    async fn read(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = usize::try_from(number("from").unwrap_or(0)).unwrap();
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let mut out = Vec::new();
            {
                let mut state = self.state.lock().unwrap();
                let topic = state.topics.entry(query["topic"].clone()).or_default();
                out.extend_from_slice(&(topic.len() as u64).to_be_bytes());
                out.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in topic.iter().skip(from) {
                    let length = u32::try_from(1 + key.len() + value.len()).unwrap();
                    out.extend_from_slice(&length.to_be_bytes());
                    out.push(u8::try_from(key.len()).unwrap());
                    out.extend_from_slice(key.as_bytes());
                    out.extend_from_slice(value);
                }
            }
            if out.len() > 16 || tokio::time::timeout_at(deadline, changed).await.is_err() {
                return answer(200, out);
            }
        }
    }

    fn append(&self, query: &HashMap<String, String>, mut body: &[u8]) -> Response<Body> {
        let mut records = Vec::new();
        while body.len() >= 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            let record = &body[4..4 + length];
            let key_length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
            records.push((key, record[1 + key_length..].to_vec()));
            body = &body[4 + length..];
        }
        let name = query["topic"].clone();
        if matches!(name.as_str(), "keyed.op" | "keyed.servers") {
            return answer(403, "");
        }
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(name).or_default();
        let end = topic.len();
        if query.get("as_of").is_some_and(|at| *at != end.to_string()) {
            return answer(412, json!({"end": end}).to_string());
        }
        topic.extend(records);
        let text = json!({"offset": end, "end": topic.len()}).to_string();
        drop(state);
        self.changed.notify_waiters();
        answer(200, text)
    }

    fn join(&self, body: &[u8]) -> Response<Body> {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = |name: &str| call[name].as_str().unwrap_or_default().to_owned();
        let ttl = Duration::from_millis(call["ttl_ms"].as_u64().unwrap_or(1000).max(1000));
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(text("group")).or_default();
        let parts = group.join(
            &text("member"),
            ttl,
            call["generation"].as_u64().unwrap_or(0),
        );
        let topic = call["topics"][0].as_str().unwrap_or("t");
        let rows: Vec<Value> = parts
            .into_iter()
            .map(|part| json!([topic, part, 0]))
            .collect();
        answer(
            200,
            json!({"generation": group.generation, "parts": rows}).to_string(),
        )
    }

    fn leave(&self, body: &[u8]) -> Response<Body> {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let group = call["group"].as_str().unwrap_or_default().to_owned();
        let member = call["member"].as_str().unwrap_or_default();
        state.groups.entry(group).or_default().remove(member);
        answer(200, "{}")
    }
}
