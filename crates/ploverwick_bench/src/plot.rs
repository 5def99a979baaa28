//! Draws measured points and their fitted line.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::fit::Line;

const SIZE: (u32, u32) = (640, 400);
const HEADROOM: f64 = 1.15;

/// What a plot shows.
pub(crate) struct Plot<'a> {
    /// Its title.
    pub(crate) title: &'a str,
    /// What the horizontal axis counts.
    pub(crate) x: &'a str,
    /// The measured points.
    pub(crate) points: &'a [(f64, f64)],
    /// The line through them.
    pub(crate) line: Line,
}

/// Writes a plot as SVG.
///
/// # Errors
/// Fails if the file cannot be written.
pub(crate) fn write(file: &Path, plot: &Plot<'_>) -> Result<()> {
    draw(file, plot).map_err(|error| anyhow!("draw {}: {error}", file.display()))
}

fn draw(file: &Path, plot: &Plot<'_>) -> Result<(), Box<dyn std::error::Error>> {
    let most = |pick: fn(&(f64, f64)) -> f64| {
        let values = plot.points.iter().map(pick);
        values.fold(0.0_f64, f64::max) * HEADROOM
    };
    let (right, top) = (most(|point| point.0), most(|point| point.1).max(1e-9));
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(plot.x).draw()?;
    let ends = [0.0, right].map(|x| (x, plot.line.at(x).clamp(0.0, top)));
    chart.draw_series(LineSeries::new(ends, &RED))?;
    let dots = plot
        .points
        .iter()
        .map(|point| Circle::new(*point, 4, BLUE.filled()));
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}
