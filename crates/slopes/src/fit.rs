//! Linear least-squares fit.

/// One measurement: a size and the value measured at it.
pub(crate) type Point = (f64, f64);

/// A line fitted to measurements.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Line {
    /// Cost per unit of size.
    pub(crate) slope: f64,
    /// Cost at size 0.
    pub(crate) base: f64,
    /// Largest deviation of a point from the line, as a share of the largest measured value.
    pub(crate) residual: f64,
}

impl Line {
    /// Fits a line by least squares; `points` must contain at least two different sizes.
    pub(crate) fn through(points: &[Point]) -> Self {
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let shared = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let slope = shared / spread;
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let off = points.iter().map(|(x, y)| (y - base - slope * x).abs());
        let residual = off.fold(0.0, f64::max) / largest;
        Self { slope, base, residual }
    }
}
