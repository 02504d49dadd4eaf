//! Least-squares linear regression.

use serde::Serialize;

/// A linear fit to measured points.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Line {
    pub mean: f64,
    /// Intercept.
    pub base: f64,
    /// Increase per unit.
    pub slope: f64,
    /// Standard error of the slope; `None` with fewer than three points.
    pub slope_error: Option<f64>,
    /// Number of points.
    pub points: usize,
}

impl Line {
    /// Fits a line; `None` with fewer than two distinct x values.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if sum_xx == 0.0 || points.is_empty() {
            return None;
        }
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let base = mean_y - slope * mean_x;
        let residual_ss: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        let slope_error = (points.len() > 2).then(|| (residual_ss / (count - 2.0) / sum_xx).sqrt());
        Some(Self { mean: mean_y, base, slope, slope_error, points: points.len() })
    }

    /// Returns the value at `x`, or the mean if the slope is smaller than twice its standard error
    /// and thus not significant.
    pub fn at(&self, x: f64) -> f64 {
        if self.slope_error.is_some_and(|error| self.slope.abs() < 2.0 * error) {
            return self.mean;
        }
        self.base + self.slope * x
    }
}
