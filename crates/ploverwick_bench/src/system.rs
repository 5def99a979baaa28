//! What the operating system says of this process.

use std::fs;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::runtime::{Builder, Runtime};

/// The field of `/proc/.../stat` that holds the ticks in user mode, counted after the name.
const USER_TICKS: usize = 11;

/// Makes a runtime whose threads carry a name, so that their time can be told apart.
///
/// # Errors
/// Fails if threads cannot be started.
pub(crate) fn runtime(name: &str) -> Result<Runtime> {
    Builder::new_multi_thread()
        .thread_name(name)
        .enable_all()
        .build()
        .context("start a runtime")
}

/// Returns the processor time of all threads whose name starts with `name`.
///
/// # Errors
/// Fails if the process's own files cannot be read.
pub(crate) fn threads_time(name: &str) -> Result<Duration> {
    let mut ticks = 0;
    for entry in fs::read_dir("/proc/self/task").context("list threads")? {
        // A thread may end while it is looked at.
        let Ok(stat) = fs::read_to_string(entry?.path().join("stat")) else {
            continue;
        };
        ticks += thread_ticks(&stat, name).unwrap_or(0);
    }
    let per_second = rustix_ticks_per_second();
    Ok(Duration::from_secs_f64(ticks as f64 / per_second))
}

/// Reads the ticks of a thread from a line such as `7 (daemons) S 1 ...`.
fn thread_ticks(stat: &str, name: &str) -> Option<u64> {
    let (_, rest) = stat.split_once('(')?;
    let (thread, fields) = rest.rsplit_once(") ")?;
    if !thread.starts_with(name) {
        return None;
    }
    let fields: Vec<&str> = fields.split(' ').collect();
    let user: u64 = fields.get(USER_TICKS)?.parse().ok()?;
    let system: u64 = fields.get(USER_TICKS + 1)?.parse().ok()?;
    Some(user + system)
}

fn rustix_ticks_per_second() -> f64 {
    rustix::param::clock_ticks_per_second() as f64
}

/// Returns the memory that the process holds, in bytes.
///
/// # Errors
/// Fails if the process's own file cannot be read.
pub(crate) fn resident() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").context("read memory")?;
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or_default() * rustix::param::page_size() as u64)
}

/// Returns the bytes that went over the loopback interface, with all headers.
///
/// # Errors
/// Fails if the interface's counters cannot be read.
pub(crate) fn loopback_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/net/dev").context("read counters")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next());
    bytes
        .and_then(|bytes| bytes.parse().ok())
        .context("the loopback interface has a counter")
}
