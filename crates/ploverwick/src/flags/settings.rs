//! The grammar of `ploverwick settings`.

use std::path::PathBuf;

xflags::xflags! {
    /// Works with settings files.
    cmd settings {
        /// Reports every finding in a settings file.
        cmd check {
            /// The settings file.
            required file: PathBuf
        }
        /// Prints a commented example with every key.
        cmd example {}
    }
}
