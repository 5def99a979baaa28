//! Resource usage of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::runtime::{Builder, Runtime};

/// The index of the user-mode ticks among the fields of `/proc/.../stat` after the thread's name.
/// The system-mode ticks follow.
const USER_TICKS_INDEX: usize = 11;

/// Starts a runtime with named threads, so that the CPU time of each runtime can be read
/// separately.
///
/// # Errors
/// Fails if threads cannot be started.
pub(crate) fn runtime(name: &str) -> Result<Runtime> {
    Builder::new_multi_thread()
        .thread_name(name)
        .enable_all()
        .build()
        .context("start the runtime")
}

/// Returns the total CPU time of all threads whose name starts with `name`.
///
/// # Errors
/// Fails if the list of threads in `/proc` cannot be read.
pub(crate) fn thread_cpu_time(name: &str) -> Result<Duration> {
    let mut ticks = 0;
    for entry in fs::read_dir("/proc/self/task").context("list threads")? {
        // The thread may have exited after it was listed.
        let Ok(stat) = fs::read_to_string(entry?.path().join("stat")) else {
            continue;
        };
        ticks += thread_ticks(&stat, name).unwrap_or(0);
    }
    let per_second = ticks_per_second();
    Ok(Duration::from_secs_f64(ticks as f64 / per_second))
}

/// Parses the CPU ticks of a thread from a line such as `7 (daemons) S 1 ...`.
fn thread_ticks(stat: &str, name: &str) -> Option<u64> {
    let (_, rest) = stat.split_once('(')?;
    let (thread, fields) = rest.rsplit_once(") ")?;
    if !thread.starts_with(name) {
        return None;
    }
    let fields: Vec<&str> = fields.split(' ').collect();
    let user: u64 = fields.get(USER_TICKS_INDEX)?.parse().ok()?;
    let system: u64 = fields.get(USER_TICKS_INDEX + 1)?.parse().ok()?;
    Some(user + system)
}

fn ticks_per_second() -> f64 {
    rustix::param::clock_ticks_per_second() as f64
}

/// Returns the process's resident memory in bytes.
///
/// # Errors
/// Fails if `/proc/self/statm` cannot be read.
pub(crate) fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").context("read /proc/self/statm")?;
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    Ok(pages.unwrap_or_default() * rustix::param::page_size() as u64)
}

/// Returns the number of bytes received on the loopback interface, including all headers.
///
/// # Errors
/// Fails if the counters of the interface cannot be read.
pub(crate) fn loopback_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/net/dev").context("read /proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().next());
    bytes
        .and_then(|bytes| bytes.parse().ok())
        .context("no byte counter for the loopback interface")
}
