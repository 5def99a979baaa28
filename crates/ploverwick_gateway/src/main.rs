//! The daemon in front of the users' platform.

use anyhow::Result;
use ploverwick_platform::settings;

fn main() -> Result<()> {
    let flags = flags::Gateway::from_env_or_exit();
    let settings = settings::read()?;
    if flags.check {
        println!("{settings:#?}");
        return Ok(());
    }
    ploverwick_gateway::set_up_logs()?;
    // One thread: an instance has a part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(ploverwick_gateway::run(settings))
}

mod flags {
    xflags::xflags! {
        /// Serves clients of the platform. The settings file is the one that the platform names.
        cmd gateway {
            /// Checks the settings, prints them and ends.
            optional --check
        }
    }
}
