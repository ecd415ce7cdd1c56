//! Straight lines fitted to measured points.

use serde::{Deserialize, Serialize};

/// Straight line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Value of the line at size 0.
    pub base: f64,
    /// Growth for each unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a fraction of the largest value.
    pub residual: f64,
    /// Largest measured size.
    pub largest: f64,
}

impl Fit {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// Returns a size as a multiple of the largest measured size.
    pub fn extrapolation_ratio(&self, size: f64) -> f64 {
        size / self.largest
    }
}

/// Fits a line to points `(size, value)`; with fewer than two distinct sizes it is flat.
pub fn fit_line(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_xy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let base = mean_y - slope * mean_x;
    let distances = points.iter().map(|(x, y)| (y - base - slope * x).abs());
    let largest_y = points
        .iter()
        .map(|(_, y)| y.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let residual = distances.fold(0.0, f64::max) / largest_y;
    let largest = points.iter().map(|(x, _)| *x).fold(0.0, f64::max);
    Fit {
        base,
        slope,
        residual,
        largest,
    }
}
