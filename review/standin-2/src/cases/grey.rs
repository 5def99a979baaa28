//! One replica of three runs its requests and fails two in five of them with a status of its own, its status check being good.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::gateway::ZONES;
use crate::record::Happened;
use crate::setup::{Deployment, Error, Place, config, route};

pub async fn run(place: &Place) -> Result<bool, Error> {
    let mut deployment = Deployment::start(place).await?;
    let record = deployment.record.clone();
    let routes = [route("/dahu134/", "non_idempotent", "app-familias", 1500, 300, 1)];
    deployment.store.write("keyed.op", "config", &config(1, &routes, &["app-familias"]));
    let gone = Arc::new(AtomicBool::new(false));
    let mut replicas = Vec::new();
    for (number, zone) in (0..).zip(ZONES) {
        let replica = deployment.replica(number, "app-familias", zone, Duration::from_millis(60));
        replica.start(record.clone()).await?;
        deployment.keep_listed(&replica, &gone);
        replicas.push(replica);
    }
    deployment.start_gateways().await?;
    deployment.start_clients(2, "POST", "/dahu134/save", Duration::from_millis(150), Duration::from_millis(1500));
    tokio::time::sleep(Duration::from_secs(5)).await;
    if place.has_trouble {
        replicas[0].is_failing.store(true, Ordering::Relaxed);
        record.note(format!("{} begins to fail two in five of the requests that it runs", replicas[0].id));
    }
    tokio::time::sleep(Duration::from_millis(6500)).await;
    replicas[0].is_failing.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.stop.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let mut given = HashMap::new();
    let mut answered = 0;
    let mut wrong: BTreeMap<String, usize> = BTreeMap::new();
    for (_, happened) in record.lines() {
        match happened {
            Happened::Gave { attempt, status } => drop(given.insert(attempt, status)),
            Happened::Answered { attempt, status, is_sealed, .. } => {
                answered += usize::from(status == 200);
                if is_sealed && given.get(&attempt) != Some(&status) {
                    let given = given.get(&attempt);
                    *wrong.entry(format!("replica {given:?}, client {status}")).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    record.note(format!(
        "answered with success: {answered}; answers with a replica's seal and another status than that replica gave: {wrong:?}"
    ));
    record.write(&place.folder.join("record.txt"))?;
    if answered < 50 {
        return Err("hardly any request was served".into());
    }
    Ok(wrong.is_empty())
}
