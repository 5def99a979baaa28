//! The flags and subcommands of `ploverwick table`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Commands for the table.
    cmd table {
        /// Reports all findings in a table file.
        cmd check {
            /// The table, as CSV.
            required file: PathBuf
        }
        /// Shows the differences between two table files. Exits with 1 if there are any.
        cmd diff {
            /// The old table, as CSV.
            required before: PathBuf
            /// The new table, as CSV.
            required after: PathBuf
        }
        /// Publishes a table, waits for the verdict and then until the table is in force on all
        /// daemons.
        cmd publish {
            /// The table, as CSV.
            required file: PathBuf
            /// The version that the file is based on; 0 for the first table.
            required --base version: u64
            /// The author of the publication; the environment variable USER by default.
            optional --author name: String
            /// How long to wait for all daemons, in milliseconds; 10000 by default.
            optional --wait-ms millis: u64
            /// A daemon's settings file to read the addresses of the log and the roster from.
            optional --settings file: PathBuf
            /// The log's address; overrides the settings file.
            optional --log address: SocketAddr
            /// The roster's address; overrides the settings file.
            optional --roster address: SocketAddr
        }
        /// Shows the policy in force for each adapter.
        cmd show {
            /// The time at which to resolve it, such as 2026-12-02T08:00:00Z; now by default.
            optional --at time: String
            /// The hall for which to resolve it.
            optional --hall name: String
            /// Print the table itself as CSV, ready to edit and publish again.
            optional --csv
            /// A daemon's settings file to read the roster's address from.
            optional --settings file: PathBuf
            /// The roster's address; overrides the settings file.
            optional --roster address: SocketAddr
        }
        /// Lists the table publications in the log, with their verdicts.
        cmd history {
            /// Print one JSON object per line.
            optional --json
            /// A daemon's settings file to read the log's address from.
            optional --settings file: PathBuf
            /// The log's address; overrides the settings file.
            optional --log address: SocketAddr
        }
    }
}
