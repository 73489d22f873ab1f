//! What was measured at stepped sizes, kept as data, and the straight line through it: what docs/CAPACITY.md works
//! its figures out from. A command of the rig puts its series into the file and leaves the others' as they are.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The fewest sizes that a slope is taken from.
pub const MIN_SIZES: usize = 5;
/// Past this many times the largest size measured, a figure is said to be stretched.
pub const FAR_EXTRAPOLATION: f64 = 10.0;

/// One quantity, measured at several sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Series {
    /// What was measured, and at what it was not: loss, delays, what is hollow in the instances, what was taken off.
    pub what: String,
    /// The command that makes it.
    pub command: String,
    /// What the size counts.
    pub size: String,
    /// The unit of the values.
    pub unit: String,
    /// Runs behind each point, which is their median.
    pub runs: u32,
    /// Sizes and values, by size.
    pub points: Vec<(f64, f64)>,
}

/// A straight line through points, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// By how much a value grows with one more of the size.
    pub slope: f64,
    /// The value at size 0.
    pub intercept: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The largest distance of a point from the line, as a share of the largest value.
    pub max_residual: f64,
}

impl Series {
    /// The line through the points; `None` for fewer than two sizes.
    pub fn fit(&self) -> Option<Fit> {
        let n = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let sum = |of: &dyn Fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>();
        let xx = sum(&|p| (p.0 - mx).powi(2));
        if self.points.len() < 2 || xx == 0.0 {
            return None;
        }
        let slope = sum(&|p| (p.0 - mx) * (p.1 - my)) / xx;
        let base = my - slope * mx;
        let error = |p: &(f64, f64)| p.1 - base - slope * p.0;
        let left = sum(&|p| error(p).powi(2));
        let spread = (left / (n - 2.0).max(1.0) / xx).sqrt();
        let most = self.points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        let off = self
            .points
            .iter()
            .map(|p| error(p).abs())
            .fold(0.0, f64::max);
        Some(Fit {
            slope,
            intercept: base,
            slope_error: spread,
            max_residual: if most == 0.0 { 0.0 } else { off / most },
        })
    }

    /// The line's value at a size.
    pub fn predict(&self, size: f64) -> Option<f64> {
        self.fit().map(|fit| fit.intercept + fit.slope * size)
    }

    /// How many times the largest size measured a size is; 1 within what was measured.
    pub fn extrapolation(&self, size: f64) -> f64 {
        let most = self.points.iter().map(|p| p.0).fold(0.0, f64::max);
        if most == 0.0 {
            return f64::INFINITY;
        }
        (size / most).max(1.0)
    }
}

/// All series, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MeasuredSeries(pub BTreeMap<String, Series>);

impl MeasuredSeries {
    /// Reads the file; nothing measured yet if there is none.
    pub fn read(file: &Path) -> Result<Self, String> {
        let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
        match std::fs::read(file) {
            Ok(text) => serde_json::from_slice(&text).map_err(|e| failed(&e)),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Self::default()),
            Err(e) => Err(failed(&e)),
        }
    }

    /// Puts series into the file, in place of those of the same names.
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
