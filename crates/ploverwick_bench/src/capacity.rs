//! Measures how the cost of control traffic and of single decisions scales, and updates the
//! capacity page.

mod claims;
mod decisions;
mod idle;

use std::fmt::Write;
use std::path::Path;

use anyhow::{Context, Result};

use crate::fit::Line;
use crate::plot::{self, Plot};

const BEGIN_MARKER: &str = "<!-- measured: begin -->";
const END_MARKER: &str = "<!-- measured: end -->";

/// A quantity measured at several sizes.
pub(crate) struct Series {
    /// The file name of its plot, without extension.
    pub(crate) name: &'static str,
    /// The measured quantity with its unit.
    pub(crate) title: &'static str,
    /// The unit of the sizes.
    pub(crate) x_label: &'static str,
    /// Pairs of a size and the value measured at it.
    pub(crate) points: Vec<(f64, f64)>,
    /// The size to which the fitted line is extrapolated.
    pub(crate) target: f64,
}

impl Series {
    fn fit(&self) -> Line {
        Line::fit(&self.points)
    }
}

/// Runs all measurements, writes the plots and replaces the generated section of the page.
///
/// # Errors
/// Fails if a measurement fails or a file cannot be written.
pub(crate) fn run(page: &Path, plots: &Path, seconds: u64) -> Result<()> {
    let mut all_series = decisions::measure()?;
    all_series.extend(idle::measure(seconds)?);
    all_series.extend(claims::measure(seconds)?);
    std::fs::create_dir_all(plots).with_context(|| format!("make {}", plots.display()))?;
    for series in &all_series {
        let file = plots.join(format!("{}.svg", series.name));
        plot::write(
            &file,
            &Plot {
                title: series.title,
                x_label: series.x_label,
                points: &series.points,
                line: series.fit(),
            },
        )?;
    }
    let text = format_table(&all_series);
    print!("{text}");
    replace_section(page, &text)
}

fn format_table(all_series: &[Series]) -> String {
    let mut text = String::from(
        "| measured | size | points (size: value) | at zero | slope | residual | at | value there |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for series in all_series {
        let line = series.fit();
        let points = series.points.iter().map(|(x, y)| format!("{x}: {y:.4}"));
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.4} | {:.6} | {:.4} | {} | {:.4} |",
            series.title,
            series.x_label,
            points.collect::<Vec<_>>().join(", "),
            line.intercept,
            line.slope,
            line.residual,
            series.target,
            line.value_at(series.target)
        );
    }
    text
}

/// Replaces the text between the page's markers.
fn replace_section(page: &Path, text: &str) -> Result<()> {
    let path = page.display();
    let old = std::fs::read_to_string(page).with_context(|| format!("read {path}"))?;
    let (head, rest) = old
        .split_once(BEGIN_MARKER)
        .with_context(|| format!("{path} has no marker {BEGIN_MARKER}"))?;
    let (_, tail) = rest
        .split_once(END_MARKER)
        .with_context(|| format!("{path} has no marker {END_MARKER}"))?;
    let new = format!("{head}{BEGIN_MARKER}\n{text}{END_MARKER}{tail}");
    std::fs::write(page, new).with_context(|| format!("write {path}"))
}
