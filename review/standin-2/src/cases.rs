//! The cases.

mod config;
mod crash;
mod drain;
mod grey;
mod stop;

use std::net::SocketAddr;
use std::time::Duration;

use crate::record::Record;
use crate::replica::Replica;
use crate::setup::{Error, Place};

/// Runs a case; returns whether the rule held.
pub async fn run(name: &str, place: &Place) -> Result<bool, Error> {
    match name {
        "drain" => drain::run(place).await,
        "config" => config::run(place).await,
        "stop" => stop::run(place).await,
        "grey" => grey::run(place).await,
        "crash" => crash::run(place).await,
        _ => Err(format!("{name} is no case").into()),
    }
}

/// Runs a replica as a process of its own, until it is killed.
pub async fn run_replica(id: &str, address: &str, work_ms: &str) -> Result<bool, Error> {
    let address: SocketAddr = address.parse()?;
    let work = Duration::from_millis(work_ms.parse()?);
    let replica = Replica::new(id, "app-familias", "uy-sur-a", address, work);
    replica.start(Record::new()).await?;
    println!("listening");
    std::future::pending().await
}
