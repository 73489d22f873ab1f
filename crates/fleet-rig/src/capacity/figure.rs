//! A figure with what it rests on: arithmetic keeps the sources, and what lacks one of them has no value.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Add, Div, Mul, Sub};

/// What a figure counts, in base units: bytes, seconds, cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Things.
    Count,
    /// Things a second.
    Rate,
    /// Bytes.
    Bytes,
    /// Bytes a second.
    ByteRate,
    /// Seconds of processor time a second.
    Cores,
    /// Seconds.
    Seconds,
}

impl Unit {
    /// A unit as a series names it: what it counts, and how many base units it is.
    pub fn read(name: &str) -> Option<(Self, f64)> {
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

    /// A value with its unit, to three digits.
    pub fn show(self, value: f64) -> String {
        match self {
            Self::Count => count(value),
            Self::Rate => format!("{}/s", count(value)),
            Self::Bytes => scaled(
                value,
                &[(1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "kB")],
                "B",
            ),
            Self::ByteRate => format!("{}/s", Self::Bytes.show(value)),
            Self::Cores if value == 1.0 => "1 core".to_owned(),
            Self::Cores if value.abs() >= 1.0 => format!("{} cores", digits(value)),
            Self::Cores => format!("{}% of a core", digits(value * 100.0)),
            Self::Seconds if value.abs() >= 3600.0 => format!("{} h", digits(value / 3600.0)),
            Self::Seconds if value.abs() >= 120.0 => format!("{} min", digits(value / 60.0)),
            Self::Seconds if value.abs() >= 1.0 || value == 0.0 => format!("{} s", digits(value)),
            Self::Seconds => scaled(value * 1e6, &[(1e3, "ms")], "us"),
        }
    }
}

fn scaled(value: f64, units: &[(f64, &str)], least: &str) -> String {
    let unit = units.iter().find(|unit| value.abs() >= unit.0);
    let (by, name) = unit.copied().unwrap_or((1.0, least));
    format!("{} {name}", digits(value / by))
}

fn count(value: f64) -> String {
    match value.abs() >= 1e6 {
        true => format!("{} million", digits(value / 1e6)),
        false => digits(value),
    }
}

/// Three digits at least, all before the point, and commas between thousands.
pub fn digits(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let before = value.abs().log10().floor() as i32 + 1;
    let after = (3 - before).clamp(0, 9) as usize;
    let text = format!("{value:.after$}");
    if after > 0 {
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

/// A figure: no value where something that it rests on is not measured, or not there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figure {
    value: f64,
    /// What is lacking.
    pub lacks: BTreeSet<String>,
    /// The series that it rests on, each with what the page says of it.
    pub series: BTreeMap<String, String>,
    /// The assumptions that it rests on.
    pub assumed: BTreeSet<String>,
}

impl Figure {
    /// A number of arithmetic alone.
    pub fn of(value: f64) -> Self {
        Self {
            value,
            ..Self::default()
        }
    }

    /// No value, for want of this.
    pub fn lacking(what: impl Into<String>) -> Self {
        Self {
            lacks: [what.into()].into(),
            ..Self::default()
        }
    }

    /// Rests on this, of which the page says so.
    pub fn resting_on(mut self, name: &str, said: String) -> Self {
        self.series.insert(name.to_owned(), said);
        self
    }

    /// The value; `None` where something is lacking.
    pub fn value(&self) -> Option<f64> {
        self.lacks.is_empty().then_some(self.value)
    }

    fn with(mut self, other: Self, of: fn(f64, f64) -> f64) -> Self {
        self.value = of(self.value, other.value);
        self.lacks.extend(other.lacks);
        self.series.extend(other.series);
        self.assumed.extend(other.assumed);
        self
    }

    /// The greater of two.
    pub fn max(self, other: Self) -> Self {
        self.with(other, f64::max)
    }
}

macro_rules! arithmetic {
    ($($trait:ident $method:ident $of:expr;)*) => {$(
        impl $trait for Figure {
            type Output = Self;
            fn $method(self, other: Self) -> Self {
                self.with(other, $of)
            }
        }
        impl $trait<f64> for Figure {
            type Output = Self;
            fn $method(self, other: f64) -> Self {
                self.with(Self::of(other), $of)
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
