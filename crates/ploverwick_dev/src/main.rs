//! Regenerates committed files, or checks that they are up to date.
//!
//! `cargo run -p ploverwick_dev -- generate` writes the files; `check` exits with status 1 if one is
//! stale.

mod pages;
mod protocol;
mod scenarios;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};

mod flags {
    xflags::xflags! {
        /// Regenerates committed files, or checks that they are up to date.
        cmd ploverwick-dev {
            /// Writes all generated files.
            cmd generate {}
            /// Exits with status 1 if a generated file is stale.
            cmd check {}
        }
    }
}

/// A generated file.
struct Generated {
    /// The path, relative to the workspace root.
    path: PathBuf,
    /// The expected content.
    text: String,
}

fn main() -> ExitCode {
    let flags = flags::PloverwickDev::from_env_or_exit();
    let outcome = match flags.subcommand {
        flags::PloverwickDevCmd::Generate(_) => generate(),
        flags::PloverwickDevCmd::Check(_) => check(),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("ploverwick-dev: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn generated_files() -> Result<Vec<Generated>> {
    Ok(vec![
        protocol::code(&root())?,
        pages::results(),
        pages::diagnostics(),
        scenarios::page(&root())?,
    ])
}

fn generate() -> Result<bool> {
    for file in generated_files()? {
        let path = root().join(&file.path);
        std::fs::write(&path, &file.text).with_context(|| format!("write {}", path.display()))?;
        println!("wrote {}", file.path.display());
    }
    Ok(true)
}

fn check() -> Result<bool> {
    let mut up_to_date = true;
    for file in generated_files()? {
        let found = std::fs::read_to_string(root().join(&file.path)).unwrap_or_default();
        if found != file.text {
            up_to_date = false;
            eprintln!(
                "{} is stale: run `cargo run -p ploverwick_dev -- generate` and commit it",
                file.path.display()
            );
        }
    }
    Ok(up_to_date)
}
