//! Series of measurements at several sizes, and the straight line fitted to each. The figures in docs/CAPACITY.md are
//! derived from them. A command of the rig replaces its own series in the file and keeps all others.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The least number of sizes for a trustworthy slope. Figures from fewer are marked when they are extrapolated.
pub const MIN_SIZES: usize = 5;
/// A figure is marked as strongly extrapolated beyond this many times the largest measured size.
pub const FAR_EXTRAPOLATION: f64 = 10.0;

/// One quantity that was measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// What was measured and under which conditions: loss, delays, what the instances lack, what was subtracted.
    pub what: String,
    /// The command that measures it.
    pub command: String,
    /// What the sizes count.
    pub size: String,
    /// The unit of the values.
    pub unit: String,
    /// Runs at each size. A point is their median.
    pub runs: u32,
    /// Pairs of size and value, ordered by size.
    pub points: Vec<(f64, f64)>,
}

/// A straight line fitted to points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The growth of the value for each unit of size.
    pub slope: f64,
    /// The value at size 0.
    pub intercept: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The largest distance of a point from the line, as a share of the largest absolute value.
    pub max_residual: f64,
}

impl Series {
    /// Fits a line to the points; `None` for fewer than two distinct sizes.
    pub fn fit(&self) -> Option<Fit> {
        let n = self.points.len() as f64;
        let mean = |field: fn(&(f64, f64)) -> f64| self.points.iter().map(field).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let sum = |term: &dyn Fn(&(f64, f64)) -> f64| self.points.iter().map(term).sum::<f64>();
        let xx = sum(&|p| (p.0 - mean_x).powi(2));
        if self.points.len() < 2 || xx == 0.0 {
            return None;
        }
        let slope = sum(&|p| (p.0 - mean_x) * (p.1 - mean_y)) / xx;
        let intercept = mean_y - slope * mean_x;
        let residual = |p: &(f64, f64)| p.1 - intercept - slope * p.0;
        let squares = sum(&|p| residual(p).powi(2));
        let slope_error = (squares / (n - 2.0).max(1.0) / xx).sqrt();
        let max_value = self.points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let max_residual = self
            .points
            .iter()
            .map(|p| residual(p).abs())
            .fold(0.0, f64::max);
        Some(Fit {
            slope,
            intercept,
            slope_error,
            max_residual: if max_value == 0.0 {
                0.0
            } else {
                max_residual / max_value
            },
        })
    }

    /// The value of the fitted line at a size; `None` for fewer than two distinct sizes.
    pub fn predict(&self, size: f64) -> Option<f64> {
        self.fit().map(|fit| fit.intercept + fit.slope * size)
    }

    /// The ratio of a size to the largest measured size; 1 for sizes within the measured range, and infinite if
    /// no size above 0 was measured.
    pub fn extrapolation(&self, size: f64) -> f64 {
        let max_size = self.points.iter().map(|p| p.0).fold(0.0, f64::max);
        if max_size == 0.0 {
            return f64::INFINITY;
        }
        (size / max_size).max(1.0)
    }
}

/// All series, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MeasuredSeries(pub BTreeMap<String, Series>);

impl MeasuredSeries {
    /// Reads the series of a file; none if the file does not exist. Fails if the file cannot be read or parsed.
    pub fn read(file: &Path) -> Result<Self, String> {
        let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
        match std::fs::read(file) {
            Ok(text) => serde_json::from_slice(&text).map_err(|e| failed(&e)),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Self::default()),
            Err(e) => Err(failed(&e)),
        }
    }

    /// Writes series into the file in place of those with the same names, and keeps all others. Fails if the file
    /// cannot be read, parsed or written.
    pub fn update(
        file: &Path,
        series: impl IntoIterator<Item = (String, Series)>,
    ) -> Result<(), String> {
        let mut all = Self::read(file)?;
        all.0.extend(series);
        let text = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
        std::fs::write(file, text + "\n").map_err(|e| format!("{}: {e}", file.display()))
    }
}
