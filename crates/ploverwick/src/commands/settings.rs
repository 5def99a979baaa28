//! `ploverwick settings`.

use std::path::Path;

use crate::{CommandResult, output};

/// Prints all findings in a settings file.
#[allow(
    clippy::unnecessary_wraps,
    reason = "all commands have the same signature"
)]
pub(crate) fn check(file: &Path) -> CommandResult {
    match ploverwick_settings::load(file) {
        Ok(settings) => {
            let instance = &settings.instance;
            output::print(&format!(
                "{}: good: instance {} in {}\n",
                file.display(),
                instance.name,
                instance.failure_domain
            ));
            Ok(true)
        }
        Err(findings) => {
            eprint!("{}", output::format_findings(file, &findings));
            Ok(false)
        }
    }
}

/// Prints the example settings file.
#[allow(
    clippy::unnecessary_wraps,
    reason = "all commands have the same signature"
)]
pub(crate) fn example() -> CommandResult {
    output::print(ploverwick_settings::EXAMPLE);
    Ok(true)
}
