//! A replica leaves without reporting `draining` just after the open channels to the store went silent.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::gateway::ZONES;
use crate::record::Happened;
use crate::setup::{Deployment, Error, Place, config, route};

const DRAIN_MS: u64 = 2_000;
const STABLE_MS: u64 = 3_000;
/// Added to both bounds, so that no request on the edge counts.
const MARGIN_MS: u64 = 50;

pub async fn run(place: &Place) -> Result<bool, Error> {
    let mut deployment = Deployment::start(place).await?;
    let record = deployment.record.clone();
    let routes = [route(
        "/dahu134/",
        "non_idempotent",
        "app-familias",
        1500,
        300,
        1,
    )];
    deployment
        .store
        .write("keyed.op", "config", &config(1, &routes, &["app-familias"]));
    let mut replicas = Vec::new();
    for (number, zone) in (0..).zip(ZONES) {
        let replica = deployment.replica(number, "app-familias", zone, Duration::from_millis(60));
        replica.start(record.clone()).await?;
        let gone = Arc::new(AtomicBool::new(false));
        deployment.keep_listed(&replica, &gone);
        replicas.push((replica, gone));
    }
    deployment.start_gateways().await?;
    deployment.start_clients(
        2,
        "POST",
        "/dahu134/save",
        Duration::from_millis(150),
        Duration::from_millis(1500),
    );
    tokio::time::sleep(Duration::from_secs(8)).await;
    let silent_at = if place.has_trouble {
        let (silenced, _) = deployment.link.silence(Duration::ZERO, true);
        Some(record.note(format!(
            "{silenced} open channels to the store went silent; new ones work"
        )))
    } else {
        None
    };
    tokio::time::sleep(Duration::from_millis(200)).await;
    // It goes on serving, as the pages say, and ends with the case.
    let (leaving, gone) = &replicas[1];
    gone.store(true, Ordering::Relaxed);
    leaving.is_draining.store(true, Ordering::Relaxed);
    deployment.store.write("keyed.servers", &leaving.id, b"");
    let acked = record.note(format!(
        "the store removed the entry of {}, which leaves",
        leaving.id
    ));
    tokio::time::sleep(Duration::from_secs(12)).await;
    deployment.stop.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let in_touch = silent_at.map_or(0, |at| at + STABLE_MS + MARGIN_MS);
    let bound = acked + DRAIN_MS + MARGIN_MS;
    let mut sent_at = HashMap::new();
    let (mut late, mut answered, mut first, mut last) = (0, 0, 0, 0);
    for (at, happened) in record.lines() {
        match happened {
            Happened::Sent { attempt, .. } => drop(sent_at.insert(attempt, at)),
            Happened::Reached {
                attempt, replica, ..
            } if replica == *leaving.id => {
                let is_in_touch = sent_at.get(&attempt).is_some_and(|sent| *sent >= in_touch);
                if at > bound && is_in_touch {
                    late += 1;
                    first = if late == 1 { at } else { first };
                    last = at;
                }
            }
            Happened::Answered { status: 200, .. } if at > acked => answered += 1,
            _ => {}
        }
    }
    record.note(format!(
        "requests answered with success after the ack: {answered}; requests that reached the leaving replica later than \
         {DRAIN_MS} ms after the ack, taken and sent on by machines in touch: {late} (from {} to {} ms after the ack)",
        first.saturating_sub(acked),
        last.saturating_sub(acked)
    ));
    record.write(&place.folder.join("record.txt"))?;
    if answered < 50 {
        return Err("hardly any request was served".into());
    }
    Ok(late == 0)
}
