//! `ploverwick settings`.

use std::path::Path;

use crate::{Answer, output};

/// Reports every finding in a settings file.
#[allow(clippy::unnecessary_wraps, reason = "every command has the same form")]
pub(crate) fn check(file: &Path) -> Answer {
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
            eprint!("{}", output::findings(file, &findings));
            Ok(false)
        }
    }
}

/// Prints the example file.
#[allow(clippy::unnecessary_wraps, reason = "every command has the same form")]
pub(crate) fn example() -> Answer {
    output::print(ploverwick_settings::EXAMPLE);
    Ok(true)
}
