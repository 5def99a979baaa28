//! Connects commands to the platform's log and roster.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use ploverwick_operator::Fleet;
use ploverwick_ports::client::Client;
use ploverwick_ports::log::Log;
use ploverwick_settings::Settings;

use crate::output;

const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Loads a settings file.
///
/// # Errors
/// Fails if the file has findings; the error lists all of them.
pub(crate) fn load_settings(file: &Path) -> Result<Settings> {
    ploverwick_settings::load(file).map_err(|findings| {
        let text = output::format_findings(file, &findings);
        anyhow::anyhow!("the settings file is invalid\n{text}")
    })
}

/// Returns an address from its flag, or else from the settings file.
fn resolve_address(
    flag_value: Option<SocketAddr>,
    file: Option<&PathBuf>,
    flag: &str,
    setting: impl Fn(&Settings) -> SocketAddr,
) -> Result<SocketAddr> {
    match (flag_value, file) {
        (Some(address), _) => Ok(address),
        (None, Some(file)) => Ok(setting(&load_settings(file)?)),
        (None, None) => bail!("give --settings FILE or --{flag} ADDRESS"),
    }
}

/// Returns a client of the log.
///
/// # Errors
/// Fails if neither the flag nor a valid settings file gives the address.
pub(crate) fn log_client(flag_value: Option<SocketAddr>, file: Option<&PathBuf>) -> Result<Log> {
    let address = resolve_address(flag_value, file, "log", |settings| settings.platform.log)?;
    Ok(Log::new(Client::new(), address, LOG_TIMEOUT))
}

/// Reads the fleet from the platform's roster.
///
/// # Errors
/// Fails if neither the flag nor a valid settings file gives the address, or if the roster does not
/// respond.
pub(crate) async fn fleet(flag_value: Option<SocketAddr>, file: Option<&PathBuf>) -> Result<Fleet> {
    let address = resolve_address(flag_value, file, "roster", |settings| {
        settings.platform.roster
    })?;
    Fleet::read(address).await.context("read the roster")
}
