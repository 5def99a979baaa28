//! Utilities shared by the tests of the command line.
#![allow(dead_code, reason = "each test file uses only some of them")]

pub mod process;

use std::path::{Path, PathBuf};
use std::process::Command;

/// The output of a command.
#[derive(Debug)]
pub struct Output {
    /// The exit status.
    pub status: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

/// Runs `ploverwick` in the directory of the fixtures.
pub fn ploverwick(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_ploverwick"))
        .args(arguments)
        .current_dir(fixtures())
        .output()
        .expect("run ploverwick");
    Output {
        status: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the directory of the fixtures, which is the working directory of all commands.
pub fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}
