//! The cases.

mod config;
mod drain;
mod stop;

use crate::setup::{Error, Place};

/// Runs a case; returns whether the rule held.
pub async fn run(name: &str, place: &Place) -> Result<bool, Error> {
    match name {
        "drain" => drain::run(place).await,
        "config" => config::run(place).await,
        "stop" => stop::run(place).await,
        _ => Err(format!("{name} is no case").into()),
    }
}
