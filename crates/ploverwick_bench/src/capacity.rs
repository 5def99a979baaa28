//! Measures the slopes of the control traffic and rewrites the capacity page.

mod claims;
mod decisions;
mod idle;

use std::fmt::Write;
use std::path::Path;

use anyhow::{Context, Result};

use crate::fit::Line;
use crate::plot::{self, Plot};

const BEGIN: &str = "<!-- measured: begin -->";
const END: &str = "<!-- measured: end -->";

/// Something measured at several sizes.
pub(crate) struct Slope {
    /// The name of its plot's file.
    pub(crate) name: &'static str,
    /// What was measured, with its unit.
    pub(crate) what: &'static str,
    /// What the size counts.
    pub(crate) size: &'static str,
    /// The measured points.
    pub(crate) points: Vec<(f64, f64)>,
    /// The size that it is worked out for.
    pub(crate) target: f64,
}

impl Slope {
    fn line(&self) -> Line {
        Line::fit(&self.points)
    }
}

/// Measures everything, writes the plots and the measured part of the page.
///
/// # Errors
/// Fails if a measurement fails or a file cannot be written.
pub(crate) fn run(page: &Path, plots: &Path, seconds: u64) -> Result<()> {
    let mut slopes = decisions::measure()?;
    slopes.extend(idle::measure(seconds)?);
    slopes.extend(claims::measure(seconds)?);
    std::fs::create_dir_all(plots).with_context(|| format!("make {}", plots.display()))?;
    for slope in &slopes {
        let file = plots.join(format!("{}.svg", slope.name));
        plot::write(
            &file,
            &Plot {
                title: slope.what,
                x: slope.size,
                points: &slope.points,
                line: slope.line(),
            },
        )?;
    }
    let text = table(&slopes);
    print!("{text}");
    rewrite(page, &text)
}

fn table(slopes: &[Slope]) -> String {
    let mut text = String::from(
        "| measured | size | points (size: value) | at zero | slope | residual | at | value there |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for slope in slopes {
        let line = slope.line();
        let points = slope.points.iter().map(|(x, y)| format!("{x}: {y:.4}"));
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.4} | {:.6} | {:.4} | {} | {:.4} |",
            slope.what,
            slope.size,
            points.collect::<Vec<_>>().join(", "),
            line.at_zero,
            line.slope,
            line.residual,
            slope.target,
            line.at(slope.target)
        );
    }
    text
}

/// Puts the text between the page's marks.
fn rewrite(page: &Path, text: &str) -> Result<()> {
    let shown = page.display();
    let before = std::fs::read_to_string(page).with_context(|| format!("read {shown}"))?;
    let (head, rest) = before
        .split_once(BEGIN)
        .with_context(|| format!("{shown} lacks the mark {BEGIN}"))?;
    let (_, tail) = rest
        .split_once(END)
        .with_context(|| format!("{shown} lacks the mark {END}"))?;
    let after = format!("{head}{BEGIN}\n{text}{END}{tail}");
    std::fs::write(page, after).with_context(|| format!("write {shown}"))
}
