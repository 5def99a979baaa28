//! An endpoint's process: faults arrive as lines on the standard input, runs are reported as lines on the standard output.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use ploverwick_platform_standin::faulty::{Behaviour, FaultyEndpoint};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpSocket;

/// The length of the queue of connections that the process has not accepted yet.
const BACKLOG: u32 = 256;

/// The only argument of an endpoint's process, as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// The identifier, a new one at each start.
    pub id: String,
    /// The address.
    pub address: SocketAddr,
    /// How it works.
    pub behaviour: Behaviour,
    /// The seed of what it draws.
    pub seed: u64,
}

/// Runs an endpoint until its standard input ends.
///
/// # Errors
/// Fails if the address is taken or a line on the standard input is malformed.
pub async fn run(start: Start) -> Result<()> {
    let on_run = |id: &str| {
        let line = format!("{id}\n");
        // A pipe takes a short line as a whole, so that a run is reported even if the process is killed next.
        std::io::stdout()
            .write_all(line.as_bytes())
            .and_then(|()| std::io::stdout().flush())
            .expect("the reader outlives the endpoint");
    };
    let endpoint = FaultyEndpoint::new(&start.id, start.behaviour, start.seed, on_run);
    let endpoint = Arc::new(endpoint);
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(start.address).context("bind the endpoint")?;
    let listener = socket.listen(BACKLOG)?;
    tokio::spawn(Arc::clone(&endpoint).serve(listener));
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        endpoint.set_faults(serde_json::from_str(&line).context("read faults")?);
    }
    Ok(())
}
