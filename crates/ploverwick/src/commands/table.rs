//! `ploverwick table check` and `table diff`.

use std::path::Path;

use anyhow::{Context, Result};
use ploverwick_table::{Table, parse, patch};

use crate::{CommandResult, output};

/// Reads a table file. The outer error is an I/O error, the inner one the formatted findings.
pub(crate) fn read(file: &Path) -> Result<std::result::Result<Table, String>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("read {}", file.display()))?;
    Ok(parse::parse(&text).map_err(|findings| output::format_findings(file, &findings)))
}

/// Prints all findings in a table file.
pub(crate) fn check(file: &Path) -> CommandResult {
    match read(file)? {
        Ok(table) => {
            output::print(&format!("{}: good: {} rows\n", file.display(), table.len()));
            Ok(true)
        }
        Err(findings) => {
            eprint!("{findings}");
            Ok(false)
        }
    }
}

/// Prints the differences between two table files.
pub(crate) fn diff(before: &Path, after: &Path) -> CommandResult {
    let read_valid = |file: &Path| -> Result<Table> {
        read(file)?.map_err(|findings| anyhow::anyhow!("the table is invalid\n{findings}"))
    };
    let edits = patch::diff(&read_valid(before)?, &read_valid(after)?);
    for edit in &edits {
        output::print(&format!("{edit}\n"));
    }
    Ok(edits.is_empty())
}
