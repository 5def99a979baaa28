//! Straight lines through measured points.

/// A straight line and how far points lie from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Line {
    /// The value at zero.
    pub(crate) at_zero: f64,
    /// The rise for one more.
    pub(crate) slope: f64,
    /// The root of the mean square distance of the points.
    pub(crate) residual: f64,
}

impl Line {
    /// Fits a line to points by least squares.
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let joint: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let at_zero = mean_y - slope * mean_x;
        let squares = points
            .iter()
            .map(|(x, y)| (y - at_zero - slope * x).powi(2));
        Self {
            at_zero,
            slope,
            residual: (squares.sum::<f64>() / count).sqrt(),
        }
    }

    /// Returns the line's value.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.at_zero + self.slope * x
    }
}
