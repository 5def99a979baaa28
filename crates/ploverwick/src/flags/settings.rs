//! The flags and subcommands of `ploverwick settings`.

use std::path::PathBuf;

xflags::xflags! {
    /// Commands for settings files.
    cmd settings {
        /// Reports all findings in a settings file.
        cmd check {
            /// The settings file.
            required file: PathBuf
        }
        /// Prints a commented example file with all keys.
        cmd example {}
    }
}
