//! Sends requests as a well-behaved client, with retries, and checks the responses.

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

/// The maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 20;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The final result of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The complete response, with the model that the response names.
    Complete(String),
    /// A response with a different text or model than requested.
    Mismatch(String),
    /// A final refusal: the request did not run.
    NotRun(u16),
    /// A final failure: the request may have run.
    MayHaveRun(u16),
    /// No definite response.
    NoResponse(String),
}

/// An attempt, as seen by the caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The request identifier, if the daemon returned one.
    pub request: Option<RequestName>,
    /// Whether the daemon reported that the request did not run.
    pub not_run: bool,
}

/// The outcome of a piece of work over all attempts.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The work.
    pub work: Work,
    /// The result of the last attempt.
    pub result: CallResult,
    /// All attempts.
    pub attempts: Vec<Attempt>,
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
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Deserialize)]
struct ErrorFields {
    code: u16,
    class: String,
    repeat: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// The result of an attempt, and for a retry the delay before it.
enum Decision {
    Final(CallResult),
    Retry(CallResult, Duration),
}

/// Performs a piece of work. Attempts go to the daemons in turn, starting with index `first`.
pub async fn perform(
    client: &Client,
    daemons: &[SocketAddr],
    first: usize,
    work: &Work,
    key: Option<&str>,
) -> Outcome {
    let mut attempts = Vec::new();
    let mut last = CallResult::NoResponse("no attempt".to_owned());
    for index in 0..MAX_ATTEMPTS {
        let daemon = daemons[(first + index) % daemons.len()];
        let (attempt, decision) = attempt(client, daemon, work, key).await;
        attempts.push(attempt);
        match decision {
            Decision::Final(result) => {
                last = result;
                break;
            }
            Decision::Retry(result, delay) => {
                last = result;
                tokio::time::sleep(delay).await;
            }
        }
    }
    Outcome {
        work: work.clone(),
        result: last,
        attempts,
    }
}

async fn attempt(
    client: &Client,
    daemon: SocketAddr,
    work: &Work,
    key: Option<&str>,
) -> (Attempt, Decision) {
    let mut attempt = Attempt {
        request: None,
        not_run: false,
    };
    let decision = match exchange(client, daemon, work, key, &mut attempt).await {
        Ok(decision) => decision,
        // It is unknown whether the request ran, so without a key only idempotent work is retried.
        Err(error) if key.is_some() || !work.non_idempotent => {
            Decision::Retry(CallResult::NoResponse(format!("{error:#}")), RETRY_DELAY)
        }
        Err(error) => Decision::Final(CallResult::NoResponse(format!("{error:#}"))),
    };
    (attempt, decision)
}

fn build(daemon: SocketAddr, work: &Work, key: Option<&str>) -> Result<Request<Full<Bytes>>> {
    let body = serde_json::json!({
        "model": work.model(), "prompt": "hint", "max_tokens": work.tokens,
        "stream": work.stream, "user": work.tag,
    });
    let mut request = Request::post(format!("http://{daemon}/v1/completions"));
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
    daemon: SocketAddr,
    work: &Work,
    key: Option<&str>,
    attempt: &mut Attempt,
) -> Result<Decision> {
    let response = client.send(daemon, build(daemon, work, key)?).await?;
    let owned_header = |name: &str| header_text(&response, name).map(ToOwned::to_owned);
    attempt.request = owned_header(header::REQUEST).and_then(|name| RequestName::new(&name).ok());
    let model = owned_header(header::MODEL).unwrap_or_default();
    let status = response.status();
    let (body, broken) = read_body(response).await;
    if !status.is_success() {
        return classify_error(work, &body, attempt);
    }
    if let Some(error) = broken {
        return match final_error(&body) {
            Some(event) => classify_error(work, &event, attempt),
            None => Err(error),
        };
    }
    let generated = if work.stream {
        stream_text(&body)?
    } else {
        let completion: Completion = serde_json::from_slice(&body)?;
        completion
            .choices
            .into_iter()
            .map(|choice| choice.text)
            .collect()
    };
    let expected = model == work.model() || work.version.is_none();
    Ok(Decision::Final(
        if generated == work.expected_text() && expected {
            CallResult::Complete(model)
        } else {
            CallResult::Mismatch(format!("{model}: {generated}"))
        },
    ))
}

/// Reads a body until its end or until an error, and returns what was read with the error.
async fn read_body(response: Response<Incoming>) -> (Bytes, Option<anyhow::Error>) {
    let mut body = response.into_body();
    let mut read = BytesMut::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(error)) => {
                let error = anyhow::Error::new(error).context("read the response body");
                return (read.freeze(), Some(error));
            }
            None => return (read.freeze(), None),
        }
    }
}

/// Returns the data of the error event at the end of an aborted stream.
fn final_error(body: &Bytes) -> Option<Bytes> {
    let text = std::str::from_utf8(body).ok()?;
    let event = text
        .rsplit("event: error\n")
        .next()
        .filter(|event| event.len() < text.len())?;
    let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    Some(Bytes::copy_from_slice(data.as_bytes()))
}

fn header_text<'a, B>(response: &'a Response<B>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn classify_error(work: &Work, body: &Bytes, attempt: &mut Attempt) -> Result<Decision> {
    let failure: ErrorBody = serde_json::from_slice(body).context("parse an error response")?;
    let error = failure.error;
    attempt.not_run = error.class == "not_run";
    let result = if attempt.not_run {
        CallResult::NotRun(error.code)
    } else {
        CallResult::MayHaveRun(error.code)
    };
    let retryable = match error.repeat.as_str() {
        "yes" => true,
        "if_idempotent" => !work.non_idempotent,
        _ => false,
    };
    let delay = error
        .retry_after_ms
        .map_or(RETRY_DELAY, Duration::from_millis);
    Ok(if retryable {
        Decision::Retry(result, delay)
    } else {
        Decision::Final(result)
    })
}

/// Concatenates the text of the events of a complete stream.
fn stream_text(body: &Bytes) -> Result<String> {
    let text = std::str::from_utf8(body).context("the stream is not valid UTF-8")?;
    let mut generated = String::new();
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
        generated.extend(completion.choices.into_iter().map(|choice| choice.text));
    }
    anyhow::ensure!(done, "the stream has no [DONE] event");
    Ok(generated)
}
