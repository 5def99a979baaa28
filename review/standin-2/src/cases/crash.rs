//! All replicas of a service in one zone, a third of them, crash at once, while all clients ask for the same page.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::gateway::{Process, ZONES, note_pid};
use crate::record::{Happened, Record};
use crate::replica::Replica;
use crate::setup::{Deployment, Error, Place, config, route};

const REPLICAS: u8 = 12;
/// Those of the first zone.
const CRASHED: usize = 4;
const WORK: Duration = Duration::from_millis(300);
/// The crashes at most; the case ends with the first after which requests are denied.
const CRASHES: usize = 3;

/// A replica in a process of its own.
struct Running {
    replica: Replica,
    gone: Arc<AtomicBool>,
    _process: Process,
}

fn start(deployment: &Deployment, place: &Place, number: u8) -> Result<Running, Error> {
    let zone = ZONES[usize::from(number) / CRASHED];
    let replica = deployment.replica(number, "app-familias", zone, WORK);
    let mut child = Command::new(std::env::current_exe()?)
        .args(["replica", &replica.id, &replica.address.to_string(), &WORK.as_millis().to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    note_pid(&place.scratch, child.id());
    let stdout = child.stdout.take().ok_or("no output")?;
    let process = Process(child);
    let mut line = String::new();
    std::io::BufReader::new(stdout).read_line(&mut line)?;
    if line.trim() != "listening" {
        return Err("a replica did not start".into());
    }
    let gone = Arc::new(AtomicBool::new(false));
    deployment.keep_listed(&replica, &gone);
    Ok(Running { replica, gone, _process: process })
}

pub async fn run(place: &Place) -> Result<bool, Error> {
    let mut deployment = Deployment::start(place).await?;
    let record = deployment.record.clone();
    let routes = [route("/dahu134/", "idempotent", "app-familias", 1500, 600, 2)];
    deployment.store.write("keyed.op", "config", &config(1, &routes, &["app-familias"]));
    let mut replicas: Vec<Option<Running>> = Vec::new();
    for number in 0..REPLICAS {
        replicas.push(Some(start(&deployment, place, number)?));
    }
    deployment.start_gateways().await?;
    deployment.start_clients(4, "GET", "/dahu134/", Duration::from_millis(150), Duration::from_millis(1500));
    tokio::time::sleep(Duration::from_secs(8)).await;
    for _ in 0..CRASHES {
        if place.has_trouble {
            // All of them are killed before anything else happens.
            let crashed: Vec<Running> = replicas[..CRASHED].iter_mut().filter_map(Option::take).collect();
            let mut ids = Vec::new();
            for running in &crashed {
                running.gone.store(true, Ordering::Relaxed);
                ids.push(running.replica.id.to_string());
            }
            drop(crashed);
            record.note(format!("{CRASHED} of {REPLICAS} replicas, all of one zone, crashed: {}", ids.join(" ")));
            let store = deployment.store.clone();
            tokio::spawn(async move {
                // Their entries go after three check-ins of silence.
                tokio::time::sleep(Duration::from_millis(3600)).await;
                for id in ids {
                    store.write("keyed.servers", &id, b"");
                }
            });
            tokio::time::sleep(Duration::from_secs(4)).await;
            for (index, slot) in replicas.iter_mut().enumerate() {
                if slot.is_none() {
                    *slot = Some(start(&deployment, place, u8::try_from(index)?)?);
                }
            }
            record.note("they started again, as new boots");
        }
        if count_denied(&record) > 0 {
            tokio::time::sleep(Duration::from_secs(15)).await;
            break;
        }
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    deployment.stop.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let mut sent = 0_u64;
    let mut endings: BTreeMap<String, usize> = BTreeMap::new();
    let mut first_denied = None;
    for (at, happened) in record.lines() {
        if is_denial(&happened) {
            first_denied.get_or_insert(at);
        }
        match happened {
            Happened::Sent { .. } => sent += 1,
            Happened::Answered { status, is_sealed, code, .. } => {
                *endings.entry(format!("{status} sealed={is_sealed} code={code}")).or_default() += 1;
            }
            Happened::Failed { cause, .. } => *endings.entry(cause).or_default() += 1,
            _ => {}
        }
    }
    let denied = count_denied(&record);
    let allowed = 5 + sent / 500;
    record.note(format!("endings: {endings:?}"));
    record.note(format!(
        "requests sent: {sent}; ended with a 4xx of a gateway's own though proper: {denied}, the first at {first_denied:?} ms; \
         the rule allows {allowed}"
    ));
    record.write(&place.folder.join("record.txt"))?;
    Ok(denied <= allowed)
}

/// Returns whether a gateway ended a request with a 3xx or 4xx of its own, other than 408, 421 and 429.
fn is_denial(happened: &Happened) -> bool {
    matches!(happened, Happened::Answered { status, is_sealed: false, .. }
        if (300..500).contains(status) && !matches!(status, 408 | 421 | 429))
}

fn count_denied(record: &Record) -> u64 {
    record.lines().iter().filter(|(_, happened)| is_denial(happened)).count() as u64
}
