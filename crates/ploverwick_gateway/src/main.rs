//! The gateway daemon in front of the users' platform, and the operators' commands.

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
    // One thread is enough because an instance has only a fraction of a core.
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
        GatewayCmd::Table(flags) => runtime.block_on(run_table(flags.subcommand)),
        GatewayCmd::Quarantine(flags) => runtime.block_on(run_quarantine(flags.subcommand)),
    }
}

async fn run_quarantine(command: QuarantineCmd) -> Result<()> {
    match command {
        QuarantineCmd::List(flags) => {
            for entry in quarantine::list(flags.store).await? {
                println!("{} refused {} s ago", entry.key(), entry.age_s());
            }
        }
        QuarantineCmd::Release(flags) => {
            quarantine::release(flags.store, &flags.key).await?;
            println!("released {}", flags.key);
        }
    }
    Ok(())
}

async fn run_table(command: TableCmd) -> Result<()> {
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
        /// The gateway in front of the users' platform, with commands for the operators.
        cmd gateway {
            /// Runs the daemon. The platform provides the path of the settings file.
            default cmd serve {
                /// Checks the settings, prints them and exits.
                optional --check
                /// Serves metrics on this port of the instance's address.
                optional --metrics port: u16
            }
            /// Lists or releases requests and prompt parts that are refused because endpoints crashed on them.
            cmd quarantine {
                /// Prints the refused requests and prompt parts, the most recent first.
                cmd list {
                    /// The store, as IP:PORT.
                    required --store store: SocketAddr
                }
                /// Releases a request or a part, after it or the endpoints were fixed.
                cmd release {
                    /// The fingerprint of the request, or `part/` and the part, as printed by the list.
                    required key: String
                    /// The store, as IP:PORT.
                    required --store store: SocketAddr
                }
            }
            /// Shows or publishes the operators' table in the platform's store.
            cmd table {
                /// Prints the published table as CSV, and its version on standard error.
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
                    /// The version that the file is based on; 0 for the first table.
                    required --base base: u64
                }
            }
        }
    }
}
