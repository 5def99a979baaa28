//! `ploverwick table check` and `table diff`.

use std::path::Path;

use anyhow::{Context, Result};
use ploverwick_table::{Table, parse, patch};

use crate::{Answer, output};

/// Reads a table file; its findings are in the inner error.
pub(crate) fn read(file: &Path) -> Result<std::result::Result<Table, String>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("read {}", file.display()))?;
    Ok(parse::parse(&text).map_err(|findings| output::findings(file, &findings)))
}

/// Reports every finding in a table file.
pub(crate) fn check(file: &Path) -> Answer {
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

/// Shows what differs between two table files.
pub(crate) fn diff(before: &Path, after: &Path) -> Answer {
    let good = |file: &Path| -> Result<Table> {
        read(file)?.map_err(|findings| anyhow::anyhow!("the table cannot be used\n{findings}"))
    };
    let edits = patch::diff(&good(before)?, &good(after)?);
    for edit in &edits {
        output::print(&format!("{edit}\n"));
    }
    Ok(edits.is_empty())
}
