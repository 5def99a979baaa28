//! The flags and subcommands of the command line.
//!
//! `xflags!` does not support two subcommands with the same name, such as `settings check` and
//! `table check`, so each command group is a separate grammar in its own module.
#![allow(missing_docs, clippy::pedantic)]

use std::net::SocketAddr;
use std::path::PathBuf;

pub mod settings;
pub mod table;

xflags::xflags! {
    /// A serving layer for large numbers of LoRA adapters.
    ///
    /// Exit status: 0 on success, 1 if the result is negative, 2 if the command could not run.
    cmd ploverwick {
        /// Runs a daemon until SIGTERM or Ctrl-C, then drains it without aborting requests.
        cmd serve {
            /// The settings file. `ploverwick settings example` prints one.
            required --settings file: PathBuf
        }
        /// Commands for settings files: `check` and `example`.
        cmd settings {}
        /// Commands for the table: `check`, `diff`, `publish`, `show` and `history`.
        cmd table {}
        /// Shows instances, endpoints, owners, slots and queues. Exits with 1 if a daemon does not
        /// respond.
        cmd status {
            /// Print one JSON object.
            optional --json
            /// A daemon's settings file to read the roster's address from.
            optional --settings file: PathBuf
            /// The roster's address; overrides the settings file.
            optional --roster address: SocketAddr
        }
        /// Shows the merged timeline of all processes.
        cmd timeline {
            /// Only events of this request.
            optional --request name: String
            /// Only events of this adapter.
            optional --adapter name: String
            /// Only events of this endpoint.
            optional --endpoint name: String
            /// Print one JSON object per line.
            optional --json
            /// Write an HTML page with one lane per process to this file.
            optional --html file: PathBuf
            /// The address of another process to query, such as a stand-in; can be repeated.
            repeated --from address: SocketAddr
            /// A daemon's settings file to read the roster's address from.
            optional --settings file: PathBuf
            /// The roster's address; overrides the settings file.
            optional --roster address: SocketAddr
        }
        /// Runs a small fleet under load in this process and checks its delivery guarantees.
        cmd demo {
            /// Print one JSON object.
            optional --json
            /// Keep the fleet running until Ctrl-C, to try it with curl.
            optional --stay
            /// The seed of the generated workload; 1 by default.
            optional --seed number: u64
        }
    }
}
