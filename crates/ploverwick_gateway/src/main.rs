//! The daemon in front of the users' platform, and the operators' commands for it.

use std::process::ExitCode;

use anyhow::{Context, Result};
use flags::{GatewayCmd, QuarantineCmd, TableCmd};
use ploverwick_gateway::{metrics, quarantine, table};
use ploverwick_platform::settings;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ploverwick-gateway: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let flags = flags::Gateway::from_env_or_exit();
    // One thread: an instance has a part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    match flags.subcommand {
        GatewayCmd::Serve(serve) => {
            let settings = settings::read()?;
            if serve.check {
                println!("{settings:#?}");
                return Ok(());
            }
            ploverwick_gateway::set_up_logs()?;
            runtime.block_on(async {
                if let Some(port) = serve.metrics {
                    metrics::serve((settings.ip, port).into()).await?;
                }
                ploverwick_gateway::run(settings).await
            })
        }
        GatewayCmd::Table(flags) => runtime.block_on(operate(flags.subcommand)),
        GatewayCmd::Quarantine(flags) => runtime.block_on(review(flags.subcommand)),
    }
}

async fn review(command: QuarantineCmd) -> Result<()> {
    match command {
        QuarantineCmd::List(flags) => {
            for case in quarantine::list(flags.store).await? {
                println!("{} refused {} s ago", case.fingerprint, case.age_s);
            }
        }
        QuarantineCmd::Release(flags) => {
            let fingerprint = flags.fingerprint.parse()?;
            quarantine::release(flags.store, fingerprint).await?;
            println!("released {fingerprint}");
        }
    }
    Ok(())
}

async fn operate(command: TableCmd) -> Result<()> {
    match command {
        TableCmd::Show(flags) => {
            let published = table::show(flags.store).await?;
            eprintln!("version {}", published.version);
            print!("{}", published.text.unwrap_or_default());
        }
        TableCmd::Publish(flags) => {
            let text = std::fs::read_to_string(&flags.file)
                .with_context(|| format!("read {}", flags.file.display()))?;
            let version = table::publish(flags.store, &text, flags.base).await?;
            println!("published as version {version}");
        }
    }
    Ok(())
}

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves clients of the users' platform, and publishes the operators' table there.
        cmd gateway {
            /// Serves. The settings file is the one that the platform names.
            default cmd serve {
                /// Checks the settings, prints them and ends.
                optional --check
                /// Serves counters and histograms on this port of the instance's address.
                optional --metrics port: u16
            }
            /// Shows the requests that are refused as endpoints crashed under them.
            cmd quarantine {
                /// Prints them, the last refused first.
                cmd list {
                    /// The store, as IP:PORT.
                    required --store store: SocketAddr
                }
                /// Lets one through again, after it or the endpoints were mended.
                cmd release {
                    /// The fingerprint, as the list and the log show it.
                    required fingerprint: String
                    /// The store, as IP:PORT.
                    required --store store: SocketAddr
                }
            }
            /// Works on the operators' table in the platform's store.
            cmd table {
                /// Prints the published table as CSV, and its version on the error stream.
                cmd show {
                    /// The store, as IP:PORT.
                    required --store store: SocketAddr
                }
                /// Publishes a table.
                cmd publish {
                    /// The table, as CSV.
                    required file: PathBuf
                    /// The store, as IP:PORT.
                    required --store store: SocketAddr
                    /// The version that the file was made from; 0 for the first table.
                    required --base base: u64
                }
            }
        }
    }
}
