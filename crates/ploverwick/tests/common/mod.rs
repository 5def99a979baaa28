//! What the tests of the command line share.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod process;

use std::path::{Path, PathBuf};
use std::process::Command;

/// How a command ended.
#[derive(Debug)]
pub struct Ended {
    /// The exit status.
    pub status: i32,
    /// The standard output.
    pub out: String,
    /// The standard error.
    pub err: String,
}

/// Runs the command line.
pub fn ploverwick(arguments: &[&str]) -> Ended {
    let output = Command::new(env!("CARGO_BIN_EXE_ploverwick"))
        .args(arguments)
        .current_dir(fixtures())
        .output()
        .expect("the program runs");
    Ended {
        status: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the folder of fixtures, in which commands run.
pub fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}
