//! The channels to the store on which a read has waited go silent; seconds later a route moves to another service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::gateway::ZONES;
use crate::record::Happened;
use crate::setup::{Deployment, Error, Place, config, route};

const CONFIG_APPLY_MS: u64 = 2_000;
/// Added to the bound, so that no request on the edge counts.
const MARGIN_MS: u64 = 50;

pub async fn run(place: &Place) -> Result<bool, Error> {
    let mut deployment = Deployment::start(place).await?;
    let record = deployment.record.clone();
    let services = ["app-familias", "app-nueva"];
    let routes = |service: &str| [route("/dahu134/", "non_idempotent", service, 1500, 300, 1)];
    deployment.store.write(
        "keyed.op",
        "config",
        &config(7, &routes("app-familias"), &services),
    );
    let gone = Arc::new(AtomicBool::new(false));
    let mut old = Vec::new();
    for (number, (service, zone)) in (0..).zip(
        services
            .iter()
            .flat_map(|service| ZONES.map(|zone| (service, zone))),
    ) {
        let replica = deployment.replica(number, service, zone, Duration::from_millis(60));
        replica.start(record.clone()).await?;
        deployment.keep_listed(&replica, &gone);
        if *service == "app-familias" {
            old.push(replica.id.to_string());
        }
    }
    deployment.start_gateways().await?;
    deployment.start_clients(
        2,
        "POST",
        "/dahu134/save",
        Duration::from_millis(150),
        Duration::from_millis(1500),
    );
    tokio::time::sleep(Duration::from_secs(6)).await;
    if place.has_trouble {
        // With `ACKS=0` the silent channels acknowledge nothing at the level of TCP either.
        let is_dead = std::env::var("ACKS").is_ok_and(|value| value == "0");
        let (silenced, spared) = deployment.link.silence(Duration::from_secs(1), is_dead);
        record.note(format!(
            "{silenced} open channels to the store that had carried nothing for a second went silent; {spared} others and new ones work"
        ));
    }
    // All machines have been in touch again for a second when the change is acknowledged.
    tokio::time::sleep(Duration::from_secs(4)).await;
    deployment.store.write(
        "keyed.op",
        "config",
        &config(12, &routes("app-nueva"), &services),
    );
    let acked =
        record.note("the store acknowledged version 12, which moves the route to app-nueva");
    tokio::time::sleep(Duration::from_secs(35)).await;
    deployment.stop.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let bound = acked + CONFIG_APPLY_MS + MARGIN_MS;
    let mut sent = HashMap::new();
    let (mut stale, mut answered, mut last) = (0, 0, 0);
    let mut gateways: HashMap<String, usize> = HashMap::new();
    for (at, happened) in record.lines() {
        match happened {
            Happened::Sent {
                attempt, gateway, ..
            } => drop(sent.insert(attempt, (at, gateway))),
            Happened::Ran { attempt, replica } if old.contains(&replica) => {
                if let Some((sent_at, gateway)) = sent.get(&attempt)
                    && *sent_at > bound
                {
                    stale += 1;
                    last = *sent_at;
                    *gateways.entry(gateway.clone()).or_default() += 1;
                }
            }
            Happened::Answered { status: 200, .. } if at > acked => answered += 1,
            _ => {}
        }
    }
    record.note(format!(
        "requests answered with success after the ack: {answered}; requests sent later than {CONFIG_APPLY_MS} ms after the ack \
         and run by the old service: {stale}, the last one sent {} ms after the ack, by gateway {gateways:?}",
        last.saturating_sub(acked)
    ));
    record.write(&place.folder.join("record.txt"))?;
    if answered < 50 {
        return Err("hardly any request was served".into());
    }
    Ok(stale == 0)
}
