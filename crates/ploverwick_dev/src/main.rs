//! Regenerates committed files, or checks that they are current.
//!
//! `cargo run -p ploverwick_dev -- generate` writes them; `check` exits with 1 if one is stale.

mod pages;
mod protocol;
mod scenarios;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};

mod flags {
    xflags::xflags! {
        /// Regenerates committed files, or checks that they are current.
        cmd ploverwick-dev {
            /// Writes every generated file.
            cmd generate {}
            /// Exits with 1 if a generated file is not current.
            cmd check {}
        }
    }
}

/// A file that is made from code.
struct Generated {
    /// Where it stands, from the workspace's root.
    path: PathBuf,
    /// What it should hold.
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

fn all() -> Result<Vec<Generated>> {
    Ok(vec![
        protocol::code(&root())?,
        pages::results(),
        pages::diagnostics(),
        scenarios::page(&root())?,
    ])
}

fn generate() -> Result<bool> {
    for file in all()? {
        let path = root().join(&file.path);
        std::fs::write(&path, &file.text).with_context(|| format!("write {}", path.display()))?;
        println!("wrote {}", file.path.display());
    }
    Ok(true)
}

fn check() -> Result<bool> {
    let mut current = true;
    for file in all()? {
        let found = std::fs::read_to_string(root().join(&file.path)).unwrap_or_default();
        if found != file.text {
            current = false;
            eprintln!(
                "{} is stale: run `cargo run -p ploverwick_dev -- generate` and commit it",
                file.path.display()
            );
        }
    }
    Ok(current)
}
