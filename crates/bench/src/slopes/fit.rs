//! Least squares.

use serde::Serialize;
use snafu::{Snafu, ensure};

/// Sizes below which a line says nothing of its own fit.
const FEWEST_SIZES: usize = 3;

/// A line through measurements: `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// What one more costs.
    pub slope: f64,
    /// What none costs.
    pub intercept: f64,
    /// Root of the mean square of the distances from the line, in units of `y`.
    pub residual: f64,
    /// The residual divided by the span of the measured `y`; 0 is a perfect line.
    pub relative: f64,
    /// Measurements.
    pub count: usize,
}

/// No line can be drawn.
#[derive(Debug, Snafu)]
pub enum FitError {
    /// Too few sizes.
    #[snafu(display("a slope needs measurements at {FEWEST_SIZES} sizes; there are {sizes}"))]
    TooFew {
        /// Sizes that there are.
        sizes: usize,
    },
}

/// Draws the line with the least squares through `points`.
///
/// # Errors
///
/// Returns [`FitError::TooFew`] unless there are three different `x`.
pub fn fit_line(points: &[(f64, f64)]) -> Result<Fit, FitError> {
    let mut sizes: Vec<f64> = points.iter().map(|it| it.0).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let sizes = sizes.len();
    ensure!(sizes >= FEWEST_SIZES, TooFewSnafu { sizes });
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|it| it.0), mean(|it| it.1));
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    let intercept = mean_y - slope * mean_x;
    let misses = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2));
    let residual = (misses.sum::<f64>() / count).sqrt();
    let ys = || points.iter().map(|it| it.1);
    let span = ys().fold(f64::MIN, f64::max) - ys().fold(f64::MAX, f64::min);
    Ok(Fit {
        slope,
        intercept,
        residual,
        relative: if span > 0.0 { residual / span } else { 0.0 },
        count: points.len(),
    })
}
