//! Plots measured points with their fitted line.

use std::path::Path;

use anyhow::{Result, anyhow};
use plotters::prelude::*;

use crate::fit::Line;

const SIZE_PIXELS: (u32, u32) = (640, 400);
/// The factor by which the axes extend beyond the largest value.
const HEADROOM: f64 = 1.15;

/// The contents of a plot.
pub(crate) struct Plot<'a> {
    /// Its title.
    pub(crate) title: &'a str,
    /// The label of the horizontal axis.
    pub(crate) x_label: &'a str,
    /// The measured points.
    pub(crate) points: &'a [(f64, f64)],
    /// The line fitted to them.
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
    let axis_end = |coordinate: fn(&(f64, f64)) -> f64| {
        let values = plot.points.iter().map(coordinate);
        values.fold(0.0_f64, f64::max) * HEADROOM
    };
    let (right, top) = (
        axis_end(|point| point.0),
        axis_end(|point| point.1).max(1e-9),
    );
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(plot.x_label).draw()?;
    let ends = [0.0, right].map(|x| (x, plot.line.value_at(x).clamp(0.0, top)));
    chart.draw_series(LineSeries::new(ends, &RED))?;
    let dots = plot
        .points
        .iter()
        .map(|point| Circle::new(*point, 4, BLUE.filled()));
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}
