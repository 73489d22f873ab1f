//! A number together with its provenance: arithmetic merges the sources, and a result with a missing source has no
//! value.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Add, Div, Mul, Sub};

/// The unit of a figure. Values are in base units: bytes, seconds, cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// A number of items.
    Count,
    /// Items per second.
    Rate,
    /// Bytes.
    Bytes,
    /// Bytes per second.
    ByteRate,
    /// Seconds of CPU time per second.
    Cores,
    /// Seconds.
    Seconds,
}

impl Unit {
    /// Parses the unit name of a series; returns the unit and the factor to its base unit.
    pub fn parse(name: &str) -> Option<(Self, f64)> {
        Some(match name {
            "B" | "bytes" => (Self::Bytes, 1.0),
            "kB" => (Self::Bytes, 1e3),
            "KiB" => (Self::Bytes, 1024.0),
            "B/s" | "bytes/s" => (Self::ByteRate, 1.0),
            "us/s" => (Self::Cores, 1e-6),
            "ns" => (Self::Seconds, 1e-9),
            "us" => (Self::Seconds, 1e-6),
            "ms" => (Self::Seconds, 1e-3),
            "s" => (Self::Seconds, 1.0),
            _ if name.ends_with("/s") => (Self::Rate, 1.0),
            _ if name.chars().all(|c| c.is_ascii_lowercase() || c == ' ') => (Self::Count, 1.0),
            _ => return None,
        })
    }

    /// Formats a value in base units with a suitable unit, as [`format_number`] does.
    pub fn format(self, value: f64) -> String {
        match self {
            Self::Count => format_count(value),
            Self::Rate => format!("{}/s", format_count(value)),
            Self::Bytes => format_scaled(
                value,
                &[(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "kB")],
                "B",
            ),
            Self::ByteRate => format!("{}/s", Self::Bytes.format(value)),
            Self::Cores if value == 1.0 => "1 core".to_owned(),
            Self::Cores if value.abs() >= 1.0 => format!("{} cores", format_number(value)),
            Self::Cores => format!("{}% of a core", format_number(value * 100.0)),
            Self::Seconds if value.abs() >= 3600.0 => {
                format!("{} h", format_number(value / 3600.0))
            }
            Self::Seconds if value.abs() >= 120.0 => format!("{} min", format_number(value / 60.0)),
            Self::Seconds if value.abs() >= 1.0 || value == 0.0 => {
                format!("{} s", format_number(value))
            }
            Self::Seconds => format_scaled(value * 1e6, &[(1e3, "ms")], "us"),
        }
    }
}

fn format_scaled(value: f64, units: &[(f64, &str)], base_unit: &str) -> String {
    let unit = units.iter().find(|unit| value.abs() >= unit.0);
    let (factor, name) = unit.copied().unwrap_or((1.0, base_unit));
    format!("{} {name}", format_number(value / factor))
}

fn format_count(value: f64) -> String {
    match value.abs() >= 1e6 {
        true => format!("{} million", format_number(value / 1e6)),
        false => format_number(value),
    }
}

/// Formats a number with three significant digits, all integer digits, and commas between thousands.
pub fn format_number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let integer_digits = value.abs().log10().floor() as i32 + 1;
    let decimals = (3 - integer_digits).clamp(0, 9) as usize;
    let text = format!("{value:.decimals$}");
    if decimals > 0 {
        let text = text.trim_end_matches('0').trim_end_matches('.');
        return text.to_owned();
    }
    let (sign, text) = match text.strip_prefix('-') {
        Some(rest) => ("-", rest.to_owned()),
        None => ("", text),
    };
    let mut out = String::new();
    for (i, c) in text.chars().enumerate() {
        if i > 0 && (text.len() - i) % 3 == 0 {
            out.push(',');
        }
        out.push(c);
    }
    sign.to_owned() + &out
}

/// A number with its provenance. It has no value if one of its sources was not measured or does not exist; it is
/// infinite for an event that never occurred.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figure {
    value: f64,
    /// Sources that are missing.
    pub missing: BTreeSet<String>,
    /// Measured series, simulation runs and other rows the figure is derived from, each with its description on the
    /// page.
    pub series: BTreeMap<String, String>,
    /// Assumptions the figure is derived from.
    pub assumptions: BTreeSet<String>,
}

impl Figure {
    /// A plain number without sources.
    pub fn new(value: f64) -> Self {
        Self {
            value,
            ..Self::default()
        }
    }

    /// A figure without a value because `source` is missing.
    pub fn missing(source: impl Into<String>) -> Self {
        Self {
            missing: [source.into()].into(),
            ..Self::default()
        }
    }

    /// Adds the source `name`, with its description on the page.
    pub fn derived_from(mut self, name: &str, description: String) -> Self {
        self.series.insert(name.to_owned(), description);
        self
    }

    /// The value; `None` if a source is missing.
    pub fn value(&self) -> Option<f64> {
        self.missing.is_empty().then_some(self.value)
    }

    fn combine(mut self, other: Self, operation: fn(f64, f64) -> f64) -> Self {
        self.value = operation(self.value, other.value);
        self.missing.extend(other.missing);
        self.series.extend(other.series);
        self.assumptions.extend(other.assumptions);
        self
    }

    /// The greater of two figures, with the sources of both.
    pub fn max(self, other: Self) -> Self {
        self.combine(other, f64::max)
    }
}

macro_rules! arithmetic {
    ($($trait:ident $method:ident $operation:expr;)*) => {$(
        impl $trait for Figure {
            type Output = Self;
            fn $method(self, other: Self) -> Self {
                self.combine(other, $operation)
            }
        }
        impl $trait<f64> for Figure {
            type Output = Self;
            fn $method(self, other: f64) -> Self {
                self.combine(Self::new(other), $operation)
            }
        }
    )*};
}

arithmetic! {
    Add add |a, b| a + b;
    Sub sub |a, b| a - b;
    Mul mul |a, b| a * b;
    Div div |a, b| a / b;
}
