//! Rows of the capacity tables, and their formatting.

use super::figure::{Figure, Unit, format_number};
use super::inputs::Inputs;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Text for an estimate that is infinite because the event never occurred within the observed time.
pub const NEVER_REACHED: &str = "did not come about";

/// The upper limit of a row's estimate.
#[derive(Clone, Debug)]
pub enum Limit {
    /// Stated by the customer's requirements.
    Requirement(Figure),
    /// Set by this project or assumed; the text names the origin.
    Internal(Figure, &'static str),
    /// A constant in the code, by name. Beyond it the operation is impossible.
    Hard(Figure, &'static str),
    /// No limit is known.
    Unspecified,
}

impl Limit {
    fn figure(&self) -> Option<&Figure> {
        match self {
            Self::Requirement(figure) | Self::Internal(figure, _) | Self::Hard(figure, _) => {
                Some(figure)
            }
            Self::Unspecified => None,
        }
    }
}

/// The mechanism that provides what a row describes.
#[derive(Clone, Copy, Debug)]
pub enum Mechanism {
    /// Implemented: a source file, and a text the file must contain.
    Implemented(&'static str, &'static str),
    /// Not implemented; the text says what is needed.
    Missing(&'static str),
    /// Nothing to implement: plain arithmetic, or outside this program.
    External(&'static str),
}

/// One row of a table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The quantity that is estimated.
    pub quantity: String,
    /// The scenario the estimate is for.
    pub scenario: &'static str,
    /// Unit of the estimate and the limit.
    pub unit: Unit,
    /// Upper limit of the estimate.
    pub limit: Limit,
    /// The estimated value, with its sources.
    pub estimate: Figure,
    /// The mechanism that provides the quantity.
    pub mechanism: Mechanism,
    /// The remedy if the limit is exceeded; empty if it is `mechanism` itself.
    pub remedy: &'static str,
}

impl Row {
    /// Creates a row without a limit, remedy or implemented mechanism.
    pub fn new(
        quantity: impl Into<String>,
        scenario: &'static str,
        unit: Unit,
        estimate: Figure,
    ) -> Self {
        Self {
            quantity: quantity.into(),
            scenario,
            unit,
            limit: Limit::Unspecified,
            estimate,
            mechanism: Mechanism::External("arithmetic"),
            remedy: "",
        }
    }

    /// Sets the limit.
    pub fn limit(mut self, limit: Limit) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the mechanism.
    pub fn provided_by(mut self, mechanism: Mechanism) -> Self {
        self.mechanism = mechanism;
        self
    }

    /// Sets the remedy.
    pub fn remedy(mut self, remedy: &'static str) -> Self {
        self.remedy = remedy;
        self
    }

    /// The estimate divided by the limit; `None` unless both have a value.
    pub fn limit_ratio(&self) -> Option<f64> {
        let limit = self.limit.figure()?.value()?;
        Some(self.estimate.value()? / limit)
    }

    /// Whether the estimate exceeds a limit in the code.
    pub fn exceeds_hard_limit(&self) -> bool {
        matches!(self.limit, Limit::Hard(..)) && self.limit_ratio().is_some_and(|ratio| ratio > 1.0)
    }

    /// Missing sources of the estimate and of the limit.
    pub fn missing(&self) -> BTreeSet<String> {
        let mut missing = self.estimate.missing.clone();
        missing.extend(
            self.limit
                .figure()
                .into_iter()
                .flat_map(|limit| limit.missing.clone()),
        );
        missing
    }

    /// The formatted estimate, or what is missing for it.
    pub fn format_estimate(&self) -> String {
        format_figure(self.unit, &self.estimate)
    }

    fn format_limit(&self) -> String {
        match &self.limit {
            Limit::Requirement(figure) => {
                format!("{}, the letter", format_figure(self.unit, figure))
            }
            Limit::Internal(figure, source) => {
                format!("{}, {source}", format_figure(self.unit, figure))
            }
            Limit::Hard(figure, name) => format!("{}, `{name}`", format_figure(self.unit, figure)),
            Limit::Unspecified => "none told".to_owned(),
        }
    }

    fn format_margin(&self) -> String {
        match self.limit_ratio() {
            None => "-".to_owned(),
            Some(ratio) if ratio.is_infinite() => format!("**{NEVER_REACHED}**"),
            Some(ratio) if ratio > 1.0 && self.exceeds_hard_limit() => {
                format!("**cannot be done**, over x{}", format_number(ratio))
            }
            Some(ratio) if ratio > 1.0 => format!("**over x{}**", format_number(ratio)),
            Some(ratio) if ratio <= 0.0 => "-".to_owned(),
            Some(ratio) => format!("room x{}", format_number(1.0 / ratio)),
        }
    }

    fn format_sources(&self) -> String {
        let mut sources: Vec<String> = self.estimate.series.values().cloned().collect();
        let mut assumed = self.estimate.assumptions.clone();
        if let Some(limit) = self.limit.figure() {
            assumed.extend(limit.assumptions.iter().cloned());
        }
        if !assumed.is_empty() {
            let names: Vec<&str> = assumed.iter().map(String::as_str).collect();
            sources.push(format!("assumed: {}", names.join(", ")));
        }
        match sources.is_empty() {
            true if self.estimate.missing.is_empty() => "the letter, the code".to_owned(),
            true => "-".to_owned(),
            false => sources.join("; "),
        }
    }

    /// The formatted mechanism, marked as missing if the workspace does not contain it.
    pub fn format_mechanism(&self, inputs: &Inputs) -> String {
        match self.mechanism {
            Mechanism::Implemented(file, what) if inputs.source_contains(file, what) => {
                format!("`{file}`, `{what}`")
            }
            Mechanism::Implemented(file, what) => format!("**missing** (`{file}`, `{what}`)"),
            Mechanism::Missing(what) => format!("**missing**: {what}"),
            Mechanism::External(what) => what.to_owned(),
        }
    }

    /// Whether the mechanism does not exist in the workspace.
    pub fn lacks_mechanism(&self, inputs: &Inputs) -> bool {
        match self.mechanism {
            Mechanism::Implemented(file, what) => !inputs.source_contains(file, what),
            Mechanism::Missing(_) => true,
            Mechanism::External(_) => false,
        }
    }
}

fn format_figure(unit: Unit, figure: &Figure) -> String {
    match figure.value() {
        Some(value) if value.is_infinite() => NEVER_REACHED.to_owned(),
        Some(value) => unit.format(value),
        None => {
            let missing: Vec<String> = figure
                .missing
                .iter()
                .map(|name| format!("`{name}`"))
                .collect();
            // Constants are read from source files rather than measured.
            let what = match figure.missing.iter().all(|name| name.contains(".rs: ")) {
                true => "not there",
                false => "not measured",
            };
            format!("{what} ({})", missing.join(", "))
        }
    }
}

/// Formats the rows as a Markdown table.
pub fn table(inputs: &Inputs, rows: &[Row]) -> String {
    let mut text = String::from(
        "| what | when | limit | comes to | margin | from | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} |",
            row.quantity,
            row.scenario,
            row.format_limit(),
            row.format_estimate(),
            row.format_margin(),
            row.format_sources(),
            row.format_mechanism(inputs)
        );
    }
    text
}
