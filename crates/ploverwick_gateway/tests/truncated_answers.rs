//! An answer that its endpoint broke off never looks complete, and a whole one stays whole, however it is framed.

mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use common::Gateway;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::raw::{Ending, RawAnswer, RawEndpoint, RawRequest};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

const EVENTS: usize = 3;
const LINE_ENDS: [&str; 2] = ["\n", "\r\n"];
/// The sizes of the pieces in which an answer is written.
const PIECES: [usize; 3] = [1, 7, 1_000];

/// Where an endpoint breaks a stream off.
#[derive(Debug, Clone, Copy)]
struct Cut {
    at: usize,
    line_end: &'static str,
    piece: usize,
}

fn events(from: usize, line_end: &str) -> String {
    let event = |number| format!("id: {number}{line_end}data: e{number}{line_end}{line_end}");
    (from..EVENTS).map(event).collect()
}

/// Returns the cuts inside an event of a stream that starts at the event `from`, and the one before its first byte.
fn cuts_inside_events(from: usize) -> Vec<Cut> {
    let mut cuts = Vec::new();
    for line_end in LINE_ENDS {
        let whole = events(from, line_end);
        let ends: Vec<usize> = (from + 1..=EVENTS)
            .map(|next| whole.len() - events(next, line_end).len())
            .collect();
        let inside = (0..whole.len()).filter(|at| !ends.contains(at));
        cuts.extend(inside.zip(PIECES.iter().cycle()).map(|(at, piece)| Cut {
            at,
            line_end,
            piece: *piece,
        }));
    }
    cuts
}

/// Which runs of a stream are broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Broken {
    First,
    Resumed,
}

/// The cut of each attempt, and the number of its runs.
type Cuts = Arc<Mutex<HashMap<String, (Cut, Broken, usize)>>>;

/// A gateway before three endpoints of the streaming service, whose answers have neither length nor chunks.
struct Fleet {
    gateway: Gateway,
    cuts: Cuts,
}

impl Fleet {
    async fn start(framed: bool) -> Result<Self> {
        let cuts = Cuts::default();
        let store = Store::start().await?;
        let gateway = Gateway::with_settings(store, |s| s.repeat_ratio = 10.0).await?;
        for id in ["i-a", "i-b", "i-c"] {
            let cuts = Arc::clone(&cuts);
            let endpoint =
                RawEndpoint::start(id, "lm", move |request| answer(&cuts, request, framed)).await?;
            gateway.store.list(endpoint.id(), &endpoint.entry());
        }
        let mut config = settings::config(1);
        settings::set_attempts(&mut config, "/resume/", 3);
        gateway.store.configure(&config);
        gateway.wait_until_ready(true).await?;
        while gateway.request("warm", "/live/").await?.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(Self { gateway, cuts })
    }

    /// Returns the body of a stream, if the client saw its end, and the number of its runs.
    async fn stream(&self, path: &str, cut: Cut, broken: Broken) -> (Option<String>, usize) {
        let id = format!("{path}{broken:?}{cut:?}");
        let id: String = id.chars().filter(char::is_ascii_alphanumeric).collect();
        let lock = || self.cuts.lock().expect("no holder of the lock panics");
        lock().insert(id.clone(), (cut, broken, 0));
        // A stream that breaks before its first byte was forwarded has no response.
        let got = self.gateway.request(&id, path).await.ok();
        let body = got.and_then(|got| got.is_whole.then_some(got.body));
        let (.., runs) = lock()[&id];
        (body, runs)
    }
}

fn answer(cuts: &Cuts, request: &RawRequest, framed: bool) -> RawAnswer {
    let from = request.after_event.map_or(0, |event| event + 1);
    let mut cuts = cuts.lock().expect("no holder of the lock panics");
    let Some((cut, broken, runs)) = cuts.get_mut(&request.id) else {
        let body = events(from, "\n");
        return RawAnswer::unframed("text/event-stream", body.as_bytes(), 1_000, Ending::Close);
    };
    *runs += 1;
    let mut body = events(from, cut.line_end);
    let at = match (broken, *runs) {
        // Inside the event after the first one.
        (Broken::Resumed, 1) => body.len() - events(1, cut.line_end).len() + 1,
        (Broken::First, 1) | (Broken::Resumed, 2) => cut.at,
        _ => body.len(),
    };
    let length = body.len();
    body.truncate(at);
    let answer = RawAnswer::unframed(
        "text/event-stream",
        body.as_bytes(),
        cut.piece,
        Ending::Close,
    );
    if framed {
        answer.header("Content-Length", &length.to_string())
    } else {
        answer
    }
}

/// Guards against the end of a connection inside an event that is passed on as the end of the stream.
#[gtest]
#[tokio::test]
async fn cut_streams_look_broken() -> Result<()> {
    let fleet = Fleet::start(false).await?;
    for cut in cuts_inside_events(0) {
        let got = fleet.stream("/live/", cut, Broken::First).await;
        expect_that!(got, eq(&(None, 1)), "{cut:?}");
    }
    Ok(())
}

/// Guards against a stream that is not resumed because it ended with its connection inside an event, at its first
/// endpoint or at the one that resumed it.
#[gtest]
#[tokio::test]
async fn cut_streams_are_resumed() -> Result<()> {
    let fleet = Fleet::start(false).await?;
    for cut in cuts_inside_events(0) {
        let got = fleet.stream("/resume/", cut, Broken::First).await;
        let whole = Some(events(0, cut.line_end));
        expect_that!(got, eq(&(whole, 2)), "{cut:?}");
    }
    for cut in cuts_inside_events(1) {
        let got = fleet.stream("/resume/", cut, Broken::Resumed).await;
        let whole = Some(events(0, cut.line_end));
        expect_that!(got, eq(&(whole, 3)), "{cut:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn whole_streams_stay_whole() -> Result<()> {
    let fleet = Fleet::start(false).await?;
    for path in ["/live/", "/resume/"] {
        for line_end in LINE_ENDS {
            for piece in PIECES {
                let at = events(0, line_end).len();
                let cut = Cut {
                    at,
                    line_end,
                    piece,
                };
                let got = fleet.stream(path, cut, Broken::First).await;
                let whole = Some(events(0, line_end));
                expect_that!(got, eq(&(whole, 1)), "{path} {cut:?}");
            }
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn cut_framed_streams_look_broken() -> Result<()> {
    let fleet = Fleet::start(true).await?;
    for cut in cuts_inside_events(0) {
        let (body, _) = fleet.stream("/live/", cut, Broken::First).await;
        expect_that!(body, none(), "{cut:?}");
    }
    Ok(())
}

/// Starts a gateway before a plain endpoint that answers each request with the answer named by the path.
async fn plain_gateway() -> Result<Gateway> {
    let gateway = Gateway::unconfigured().await?;
    let endpoint = RawEndpoint::start("i-a", "app", |request| {
        let ending = if request.path.contains("reset") {
            Ending::Reset
        } else {
            Ending::Close
        };
        let status = if request.path.contains("failure") {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        RawAnswer {
            before: Vec::new(),
            names_attempt: true,
            is_signed: true,
            head_end: "\r\n\r\n",
            head: status.to_owned(),
            body: vec![
                Bytes::from_static(b"the endpoint's "),
                Bytes::from_static(b"bytes"),
            ],
            ending,
            unread_timeout: None,
        }
    })
    .await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&settings::config(1));
    gateway.wait_until_ready(true).await?;
    while gateway.request("warm", "/safe/warm").await?.status != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(gateway)
}

#[gtest]
#[tokio::test]
async fn whole_plain_answers_stay_whole() -> Result<()> {
    let gateway = plain_gateway().await?;
    for number in 0..3 {
        for path in ["/safe/x", "/once/x"] {
            let got = gateway.request(&format!("{path}{number}"), path).await?;
            expect_that!(got.status, eq(StatusCode::OK));
            expect_that!(got.body, eq("the endpoint's bytes"));
            expect_that!(got.is_whole, eq(true));
        }
    }
    let got = gateway.request("f", "/once/failure").await?;
    expect_that!(got.status, eq(StatusCode::INTERNAL_SERVER_ERROR));
    expect_that!(got.is_whole, eq(true));
    Ok(())
}

/// Guards against an answer without length or chunks that is passed on as complete after a reset.
#[gtest]
#[tokio::test]
async fn reset_plain_answers_fail() -> Result<()> {
    let gateway = plain_gateway().await?;
    for path in ["/safe/reset", "/once/reset"] {
        let got = gateway.request(path, path).await?;
        expect_that!(got.status, eq(StatusCode::BAD_GATEWAY), "{path}");
        expect_that!(got.is_signed, eq(false));
    }
    Ok(())
}

/// Guards against an answer other than a stream of events that looks broken, though its length shows that it is whole.
#[gtest]
#[tokio::test]
async fn framed_documents_stay_whole() -> Result<()> {
    const DOCUMENT: &str = r#"{"text":"the endpoint's bytes"}"#;
    let gateway = Gateway::unconfigured().await?;
    let endpoint = RawEndpoint::start("i-a", "lm", |_| {
        let length = DOCUMENT.len().to_string();
        let document = DOCUMENT.as_bytes();
        RawAnswer::unframed("application/json", document, 7, Ending::Close)
            .header("Content-Length", &length)
    })
    .await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&settings::config(1));
    gateway.wait_until_ready(true).await?;
    while gateway.request("warm", "/live/").await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for path in ["/live/", "/resume/"] {
        let got = gateway.request(path, path).await?;
        expect_that!(got.body, eq(DOCUMENT), "{path}");
        expect_that!(got.is_whole, eq(true), "{path}");
    }
    Ok(())
}
