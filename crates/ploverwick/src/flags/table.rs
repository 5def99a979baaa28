//! The grammar of `ploverwick table`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Works with the table.
    cmd table {
        /// Reports every finding in a table file.
        cmd check {
            /// The table, as CSV.
            required file: PathBuf
        }
        /// Shows what differs between two table files. Exits with 1 if something does.
        cmd diff {
            /// The earlier table.
            required before: PathBuf
            /// The later table.
            required after: PathBuf
        }
        /// Publishes a table and waits for the verdict and for all daemons.
        cmd publish {
            /// The table, as CSV.
            required file: PathBuf
            /// The version that the file was edited from; 0 for a first table.
            required --base version: u64
            /// Who publishes; the environment's USER by default.
            optional --author name: String
            /// How long to wait for all daemons, in milliseconds; 10000 by default.
            optional --wait-ms millis: u64
            /// Where to find log and roster, from a daemon's settings file.
            optional --settings file: PathBuf
            /// The log's address, in place of the settings'.
            optional --log address: SocketAddr
            /// The roster's address, in place of the settings'.
            optional --roster address: SocketAddr
        }
        /// Shows what is in force, resolved for each adapter.
        cmd show {
            /// The time to resolve for, such as 2026-12-02T08:00:00Z; now by default.
            optional --at time: String
            /// The hall to resolve for.
            optional --hall name: String
            /// Print the table itself as CSV, to be edited and published again.
            optional --csv
            /// Where to find the roster, from a daemon's settings file.
            optional --settings file: PathBuf
            /// The roster's address, in place of the settings'.
            optional --roster address: SocketAddr
        }
        /// Lists the publications in the log, with their verdicts.
        cmd history {
            /// Print one JSON object a line.
            optional --json
            /// Where to find the log, from a daemon's settings file.
            optional --settings file: PathBuf
            /// The log's address, in place of the settings'.
            optional --log address: SocketAddr
        }
    }
}
