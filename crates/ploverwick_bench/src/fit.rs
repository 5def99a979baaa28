//! Linear regression.

/// A line fitted to points, with the error of the fit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Line {
    /// The value at x = 0.
    pub(crate) intercept: f64,
    /// The increase of the value per unit of x.
    pub(crate) slope: f64,
    /// The root mean square of the vertical distances between the points and the line.
    pub(crate) residual: f64,
}

impl Line {
    /// Fits a line to the points by least squares.
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let x_variation: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariation: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if x_variation > 0.0 {
            covariation / x_variation
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let squares = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2));
        Self {
            intercept,
            slope,
            residual: (squares.sum::<f64>() / count).sqrt(),
        }
    }

    /// Returns the line's value at `x`.
    pub(crate) fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
