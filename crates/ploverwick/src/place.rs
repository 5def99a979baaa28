//! Finds the platform's addresses for a command.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use ploverwick_operator::Fleet;
use ploverwick_ports::client::Client;
use ploverwick_ports::log::Log;
use ploverwick_settings::Settings;

use crate::output;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a settings file, with every finding in the error.
///
/// # Errors
/// Fails if there is a finding.
pub(crate) fn settings(file: &Path) -> Result<Settings> {
    ploverwick_settings::load(file).map_err(|findings| {
        let text = output::findings(file, &findings);
        anyhow::anyhow!("the settings cannot be used\n{text}")
    })
}

/// Finds an address: given outright, or in a settings file.
fn address(
    given: Option<SocketAddr>,
    file: Option<&PathBuf>,
    flag: &str,
    of: impl Fn(&Settings) -> SocketAddr,
) -> Result<SocketAddr> {
    match (given, file) {
        (Some(address), _) => Ok(address),
        (None, Some(file)) => Ok(of(&settings(file)?)),
        (None, None) => bail!("give --settings FILE or --{flag} ADDRESS"),
    }
}

/// Returns a client of the log.
///
/// # Errors
/// Fails if its address is not known.
pub(crate) fn log(given: Option<SocketAddr>, file: Option<&PathBuf>) -> Result<Log> {
    let address = address(given, file, "log", |settings| settings.platform.log)?;
    Ok(Log::new(Client::new(), address, TIMEOUT))
}

/// Reads the fleet from the platform's list.
///
/// # Errors
/// Fails if the list's address is not known or it does not answer.
pub(crate) async fn fleet(given: Option<SocketAddr>, file: Option<&PathBuf>) -> Result<Fleet> {
    let address = address(given, file, "roster", |settings| settings.platform.roster)?;
    Fleet::read(address)
        .await
        .context("read the list of instances")
}
