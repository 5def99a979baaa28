//! Clients that keep connections open, and send requests again as the platform's clients do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use ploverwick_platform_standin::client::{ClientRequest, Connection};
use ploverwick_platform_standin::faulty::{self, STREAM_PATH};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::deployment::{HOST, ONCE_PATH, SAFE_PATH};
use crate::verdict::{Attempt, Ending};

/// The number of attempts at a request.
const MAX_ATTEMPTS: u32 = 3;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_THINK_MS: u64 = 60;
const MAX_BACKOFF_MS: u64 = 250;
/// The largest body, which is longer than what is sent with the head.
const MAX_BODY_BYTES: usize = 40_000;

/// Sends requests until `end`, one after the other.
pub async fn run(
    seed: u64,
    fronts: Arc<[SocketAddr]>,
    numbers: Arc<AtomicU64>,
    end: Instant,
) -> Vec<Attempt> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut attempts = Vec::new();
    let mut connection = None;
    while Instant::now() < end {
        let think = Duration::from_millis(random.random_range(0..MAX_THINK_MS));
        tokio::time::sleep(think).await;
        let path = draw_path(&mut random);
        let body = Bytes::from(vec![b'x'; random.random_range(0..MAX_BODY_BYTES)]);
        for _ in 0..MAX_ATTEMPTS {
            // A retry uses a new connection, which may reach another instance.
            let opened = match connection.take() {
                Some(connection) => Some(connection),
                None => open(&fronts, &mut random).await,
            };
            let Some(mut opened) = opened else { break };
            let id = format!("{:016x}", numbers.fetch_add(1, Ordering::Relaxed));
            let request = ClientRequest::new(&id, HOST, path);
            let request = request.timeout(TIMEOUT).body(body.clone());
            let sent = tokio::time::timeout(TIMEOUT, opened.send(&request)).await;
            let ending = match sent {
                Ok(Ok(response)) => {
                    let expected = faulty::body(path, &id);
                    let ending = Ending::of(&response, &expected);
                    if response.is_whole && !response.closes && ending == Ending::Served {
                        connection = Some(opened);
                    }
                    ending
                }
                Ok(Err(_)) => Ending::Closed,
                Err(_) => Ending::Abandoned,
            };
            let runs_once = path != SAFE_PATH;
            let may_retry = ending.is_promise() || (!runs_once && ending != Ending::Served);
            attempts.push(Attempt {
                id,
                runs_once,
                ending,
            });
            if !may_retry {
                break;
            }
            let backoff = Duration::from_millis(random.random_range(0..MAX_BACKOFF_MS));
            tokio::time::sleep(backoff).await;
        }
    }
    attempts
}

fn draw_path(random: &mut SmallRng) -> &'static str {
    [ONCE_PATH, ONCE_PATH, STREAM_PATH, SAFE_PATH]
        .choose(random)
        .expect("the list is not empty")
}

async fn open(fronts: &[SocketAddr], random: &mut SmallRng) -> Option<Connection> {
    let front = *fronts.choose(random)?;
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, Connection::open(front)).await;
    opened.ok()?.ok()
}
