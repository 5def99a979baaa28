//! Formats output and prints it to a terminal or a pipe.

use std::fmt::Write;
use std::io::{IsTerminal, Write as _};
use std::path::Path;

use ploverwick_codes::diagnostic::Diagnostic;

const RED: &str = "\x1b[31m";
const GREEN: &str = "\x1b[32m";
const RESET: &str = "\x1b[0m";

/// Prints to standard output. Write errors are ignored, because a pipe such as `| head` may close
/// early.
pub(crate) fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Formats findings, one per line, each prefixed with the file name.
pub(crate) fn format_findings(file: &Path, findings: &[Diagnostic]) -> String {
    let mut text = String::new();
    for finding in findings {
        let _ = writeln!(text, "{}: {finding}", file.display());
    }
    text
}

/// Colours a word green or red if standard output is a terminal.
pub(crate) fn paint(good: bool, word: &str) -> String {
    if !std::io::stdout().is_terminal() {
        return word.to_owned();
    }
    let colour = if good { GREEN } else { RED };
    format!("{colour}{word}{RESET}")
}

/// Aligns rows in columns; the first row is the header.
pub(crate) fn format_columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        let _ = writeln!(text, "{}", line.join("  ").trim_end());
    }
    text
}
