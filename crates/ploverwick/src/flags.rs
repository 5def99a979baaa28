//! The grammar of the command line.
//!
//! The generator cannot take two subcommands of one name, such as `settings check` and
//! `table check`, so each group has a grammar of its own in a module of its own.
#![allow(missing_docs, clippy::pedantic)]

use std::net::SocketAddr;
use std::path::PathBuf;

pub mod settings;
pub mod table;

xflags::xflags! {
    /// A serving layer for very many LoRA adapters.
    ///
    /// Exit status: 0, 1 if the answer is no, 2 if the command could not run.
    cmd ploverwick {
        /// Runs a daemon until SIGTERM or Ctrl-C, then lets it leave without cutting a request off.
        cmd serve {
            /// The settings file. `ploverwick settings example` prints one.
            required --settings file: PathBuf
        }
        /// Works with settings files: `check` and `example`.
        cmd settings {}
        /// Works with the table: `check`, `diff`, `publish`, `show` and `history`.
        cmd table {}
        /// Shows instances, endpoints, owners, slots and queues. Exits with 1 if a daemon is silent.
        cmd status {
            /// Print one JSON object.
            optional --json
            /// Where to find the roster, from a daemon's settings file.
            optional --settings file: PathBuf
            /// The roster's address, in place of the settings'.
            optional --roster address: SocketAddr
        }
        /// Merges the time lines of all processes into one.
        cmd timeline {
            /// Only events of this request.
            optional --request name: String
            /// Only events of this adapter.
            optional --adapter name: String
            /// Only events of this endpoint.
            optional --endpoint name: String
            /// Print one JSON object a line.
            optional --json
            /// Write a page with a lane for each process to this file.
            optional --html file: PathBuf
            /// A further process to ask, such as a stand-in; may be given again.
            repeated --from address: SocketAddr
            /// Where to find the roster, from a daemon's settings file.
            optional --settings file: PathBuf
            /// The roster's address, in place of the settings'.
            optional --roster address: SocketAddr
        }
        /// Runs a small fleet in this process under load, and counts kept and broken promises.
        cmd demo {
            /// Print one JSON object.
            optional --json
            /// Keep the fleet up until Ctrl-C, for curl.
            optional --stay
            /// The seed of the made-up work; 1 by default.
            optional --seed number: u64
        }
    }
}
