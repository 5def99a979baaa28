//! Sends requests as a careful client would, and checks what comes back.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use ploverwick_names::Request as RequestName;
use ploverwick_ports::client::Client;
use ploverwick_ports::header;
use serde::Deserialize;

use crate::work::Work;

/// How often a caller repeats what did not run, or may be repeated.
const TRIES: usize = 20;
const PAUSE: Duration = Duration::from_millis(100);

/// What a caller got at the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// The whole answer, from the model that it names.
    Whole(String),
    /// Something else than the answer to its request.
    Wrong(String),
    /// A final refusal as not run.
    NotRun(u16),
    /// A final answer that the request may have run.
    MayHaveRun(u16),
    /// No final answer after all tries.
    Nothing(String),
}

/// One try of a caller, as the caller saw it.
#[derive(Debug, Clone)]
pub struct Try {
    /// The request's identifier, if the daemon gave one.
    pub request: Option<RequestName>,
    /// Whether the daemon said that it did not run.
    pub not_run: bool,
}

/// A caller's work from its first try to its end.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The work.
    pub work: Work,
    /// How it ended.
    pub got: Got,
    /// Every try.
    pub tries: Vec<Try>,
}

#[derive(Debug, Deserialize)]
struct Completion {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
}

#[derive(Debug, Deserialize)]
struct Failure {
    error: FailureFields,
}

#[derive(Debug, Deserialize)]
struct FailureFields {
    code: u16,
    class: String,
    repeat: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// How one try ended.
enum Ended {
    Final(Got),
    Again(Got, Duration),
}

/// Does a piece of work, trying the entries in turn from the `first` one on.
pub async fn perform(
    client: &Client,
    entries: &[SocketAddr],
    first: usize,
    work: &Work,
    key: Option<&str>,
) -> Outcome {
    let mut tries = Vec::new();
    let mut last = Got::Nothing("no try".to_owned());
    for index in 0..TRIES {
        let entry = entries[(first + index) % entries.len()];
        let (seen, ended) = attempt(client, entry, work, key).await;
        tries.push(seen);
        match ended {
            Ended::Final(got) => {
                last = got;
                break;
            }
            Ended::Again(got, pause) => {
                last = got;
                tokio::time::sleep(pause).await;
            }
        }
    }
    Outcome {
        work: work.clone(),
        got: last,
        tries,
    }
}

async fn attempt(
    client: &Client,
    entry: SocketAddr,
    work: &Work,
    key: Option<&str>,
) -> (Try, Ended) {
    let mut tried = Try {
        request: None,
        not_run: false,
    };
    let ended = match exchange(client, entry, work, key, &mut tried).await {
        Ok(ended) => ended,
        // Whether it ran is not known, so only what may run twice is tried again without a key.
        Err(error) if key.is_some() || !work.non_idempotent => {
            Ended::Again(Got::Nothing(format!("{error:#}")), PAUSE)
        }
        Err(error) => Ended::Final(Got::Nothing(format!("{error:#}"))),
    };
    (tried, ended)
}

fn build(entry: SocketAddr, work: &Work, key: Option<&str>) -> Result<Request<Full<Bytes>>> {
    let body = serde_json::json!({
        "model": work.model(), "prompt": "hint", "max_tokens": work.tokens,
        "stream": work.stream, "user": work.tag,
    });
    let mut request = Request::post(format!("http://{entry}/v1/completions"));
    if let Some(key) = key {
        request = request.header(header::IDEMPOTENCY_KEY, key);
    }
    if work.non_idempotent {
        request = request.header(header::NON_IDEMPOTENT, "true");
    }
    let body = Full::new(Bytes::from(serde_json::to_vec(&body)?));
    request.body(body).context("build a request")
}

async fn exchange(
    client: &Client,
    entry: SocketAddr,
    work: &Work,
    key: Option<&str>,
    tried: &mut Try,
) -> Result<Ended> {
    let response = client.send(entry, build(entry, work, key)?).await?;
    let named = |name: &str| text(&response, name).map(ToOwned::to_owned);
    tried.request = named(header::REQUEST).and_then(|name| RequestName::new(&name).ok());
    let model = named(header::MODEL).unwrap_or_default();
    let status = response.status();
    let (body, broken) = read_body(response).await;
    if !status.is_success() {
        return failure(work, &body, tried);
    }
    if let Some(error) = broken {
        return match last_error(&body) {
            Some(told) => failure(work, &told, tried),
            None => Err(error),
        };
    }
    let answered = if work.stream {
        streamed(&body)?
    } else {
        let completion: Completion = serde_json::from_slice(&body)?;
        completion
            .choices
            .into_iter()
            .map(|choice| choice.text)
            .collect()
    };
    let expected = model == work.model() || work.version.is_none();
    Ok(Ended::Final(if answered == work.answer() && expected {
        Got::Whole(model)
    } else {
        Got::Wrong(format!("{model}: {answered}"))
    }))
}

/// Reads a body as far as it comes, and says why it broke off, if it did.
async fn read_body(response: Response<Incoming>) -> (Bytes, Option<anyhow::Error>) {
    let mut body = response.into_body();
    let mut read = BytesMut::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(error)) => {
                let error = anyhow::Error::new(error).context("the answer broke off");
                return (read.freeze(), Some(error));
            }
            None => return (read.freeze(), None),
        }
    }
}

/// Finds the event in which a stream that broke off tells why.
fn last_error(body: &Bytes) -> Option<Bytes> {
    let text = std::str::from_utf8(body).ok()?;
    let event = text
        .rsplit("event: error\n")
        .next()
        .filter(|event| event.len() < text.len())?;
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    Some(Bytes::copy_from_slice(data.as_bytes()))
}

fn text<'a, B>(response: &'a Response<B>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn failure(work: &Work, body: &Bytes, tried: &mut Try) -> Result<Ended> {
    let failure: Failure = serde_json::from_slice(body).context("read a refusal")?;
    let error = failure.error;
    tried.not_run = error.class == "not_run";
    let got = if tried.not_run {
        Got::NotRun(error.code)
    } else {
        Got::MayHaveRun(error.code)
    };
    let may = match error.repeat.as_str() {
        "yes" => true,
        "if_idempotent" => !work.non_idempotent,
        _ => false,
    };
    let pause = error.retry_after_ms.map_or(PAUSE, Duration::from_millis);
    Ok(if may {
        Ended::Again(got, pause)
    } else {
        Ended::Final(got)
    })
}

/// Puts the text of a whole stream together.
fn streamed(body: &Bytes) -> Result<String> {
    let text = std::str::from_utf8(body).context("the stream is no text")?;
    let mut answer = String::new();
    let mut done = false;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event
            .lines()
            .find_map(|line| line.strip_prefix("data: "))
            .context("an event has no data")?;
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let completion: Completion = serde_json::from_str(data)?;
        answer.extend(completion.choices.into_iter().map(|choice| choice.text));
    }
    anyhow::ensure!(done, "the stream has no end");
    Ok(answer)
}
