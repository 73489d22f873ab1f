//! Inputs of the capacity tables: measured series, the customer's requirements, assumptions, and constants read from
//! the source code.

use super::figure::{Figure, Unit, format_number};
use crate::series::{FAR_EXTRAPOLATION, MIN_SIZES, MeasuredSeries, Series};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// A series is marked as non-linear ("bends") if a point is off the line by more than this share of the largest value.
const NONLINEARITY_THRESHOLD: f64 = 0.1;

/// A value that is given rather than measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// The value.
    pub value: f64,
    /// What the value counts.
    pub unit: String,
    /// Where the requirements state the value, or why it is assumed.
    #[serde(rename = "why")]
    pub reason: String,
    /// Heading in docs/QUESTIONS.md that asks for the value; none for a requirement.
    #[serde(rename = "asked", default, skip_serializing_if = "Option::is_none")]
    pub question: Option<String>,
}

/// All values that are given rather than measured, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameters {
    /// Values stated in the customer's requirements.
    #[serde(rename = "letter")]
    pub requirements: BTreeMap<String, Parameter>,
    /// Values the requirements do not state.
    #[serde(rename = "assumed")]
    pub assumptions: BTreeMap<String, Parameter>,
}

/// All inputs of the capacity tables. Records which parameters are used and which errors are found.
pub struct Inputs {
    /// Workspace root; constants are read from its source files.
    pub root: PathBuf,
    /// Measured series.
    pub measured: MeasuredSeries,
    /// Single simulation runs at full fleet size, from `docs/measured/distribution.json`.
    pub simulation_runs: serde_json::Value,
    /// Requirements and assumptions.
    pub parameters: Parameters,
    used_parameters: RefCell<BTreeSet<String>>,
    errors: RefCell<BTreeSet<String>>,
}

impl Inputs {
    /// Combines the given data with the source code under `root`.
    pub fn new(
        root: &Path,
        measured: MeasuredSeries,
        simulation_runs: serde_json::Value,
        parameters: Parameters,
    ) -> Self {
        Self {
            root: root.to_owned(),
            measured,
            simulation_runs,
            parameters,
            used_parameters: RefCell::default(),
            errors: RefCell::default(),
        }
    }

    /// Reads the data files under a workspace root. Measurement files may be absent. Fails if the file of assumptions
    /// is absent, or if a file cannot be read or parsed.
    pub fn read(root: &Path) -> Result<Self, String> {
        let measured = MeasuredSeries::read(&root.join("docs/measured/scale.json"))?;
        let parameters = read(&root.join("docs/measured/assumptions.json"))?;
        let file = root.join("docs/measured/distribution.json");
        let simulation_runs = match file.exists() {
            true => read(&file)?,
            false => serde_json::Value::Null,
        };
        Ok(Self::new(root, measured, simulation_runs, parameters))
    }

    /// Records an error in the data; [`super::tables`] then fails.
    pub fn report_error(&self, what: String) {
        self.errors.borrow_mut().insert(what);
    }

    /// All recorded errors, and one for each assumption that no figure uses.
    pub fn errors(&self) -> Vec<String> {
        let mut errors: Vec<String> = self.errors.borrow().iter().cloned().collect();
        let used_parameters = self.used_parameters.borrow();
        let unused = self
            .parameters
            .assumptions
            .keys()
            .filter(|name| !used_parameters.contains(*name));
        errors.extend(
            unused.map(|name| format!("the assumption '{name}' is not used by any figure")),
        );
        errors
    }

    /// The requirement or assumption of this name. Without either, reports an error and returns a missing figure.
    pub fn parameter(&self, name: &str) -> Figure {
        self.used_parameters.borrow_mut().insert(name.to_owned());
        if let Some(parameter) = self.parameters.requirements.get(name) {
            return Figure::new(parameter.value);
        }
        match self.parameters.assumptions.get(name) {
            Some(parameter) => {
                let mut figure = Figure::new(parameter.value);
                figure.assumptions.insert(name.to_owned());
                figure
            }
            None => {
                self.report_error(format!(
                    "'{name}' is neither a requirement nor an assumption"
                ));
                Figure::missing(name)
            }
        }
    }

    /// The series of this name and the factor from its unit to the base unit. Reports an error if it is not in `unit`.
    fn series(&self, name: &str, unit: Unit) -> Option<(&Series, f64)> {
        let series = self.measured.0.get(name)?;
        match Unit::parse(&series.unit) {
            Some((actual, factor)) if actual == unit => Some((series, factor)),
            _ => {
                self.report_error(format!("'{name}' is in '{}', not in {unit:?}", series.unit));
                None
            }
        }
    }

    /// The value of a series at a size: interpolated between measured sizes, extrapolated by the fitted line beyond
    /// them. Missing if the series is absent or has too few sizes; reports an error if it is not in `unit`.
    pub fn value_at(&self, name: &str, unit: Unit, size: Figure) -> Figure {
        let Some((series, factor)) = self.series(name, unit) else {
            return size * Figure::missing(name);
        };
        let Some(at) = size.value() else { return size };
        let Some(value) = interpolate(series, at) else {
            return size * Figure::missing(name);
        };
        let description = format!("`{name}` {}", describe(series, at));
        let mut figure = Figure::new(value * factor).derived_from(name, description);
        figure.assumptions = size.assumptions;
        figure
    }

    /// Like [`Self::value_at`], for an event that may not occur in large runs. The series `name` has only the sizes at
    /// which the event occurred, and `all_runs` every size that was run. The result is infinite from the first size of
    /// `all_runs` that is larger than all sizes of `name`.
    pub fn value_at_if_reached(
        &self,
        name: &str,
        all_runs: &str,
        unit: Unit,
        size: Figure,
    ) -> Figure {
        let (Some(series), Some(all), Some(at)) = (
            self.measured.0.get(name),
            self.measured.0.get(all_runs),
            size.value(),
        ) else {
            return self.value_at(name, unit, size);
        };
        let largest = series.points.iter().map(|p| p.0).fold(0.0, f64::max);
        let sizes_without = all
            .points
            .iter()
            .map(|p| p.0)
            .filter(|size| *size > largest);
        let first_missing = sizes_without.fold(f64::INFINITY, f64::min);
        if at < first_missing {
            return self.value_at(name, unit, size);
        }
        let description = format!(
            "`{name}` up to {}, never at {}",
            format_number(largest),
            format_number(first_missing)
        );
        Figure::new(f64::INFINITY).derived_from(name, description)
    }

    /// A result of a single simulation run at full fleet size. The run is the one in the array `list` whose `field`
    /// equals `value`; `pointer` is the JSON pointer to the result within the run, and `unit_factor` converts it to the
    /// base unit. A result of `null` is infinite; without the run or the result, the figure is missing.
    pub fn simulated(
        &self,
        list: &str,
        field: &str,
        value: serde_json::Value,
        pointer: &str,
        unit_factor: f64,
    ) -> Figure {
        let simulation_runs = self
            .simulation_runs
            .get(list)
            .and_then(|list| list.as_array());
        let run = simulation_runs.and_then(|simulation_runs| {
            simulation_runs
                .iter()
                .find(|run| run.get(field) == Some(&value))
        });
        let result = run.and_then(|run| match run.pointer(pointer)? {
            // The event did not occur within the run.
            serde_json::Value::Null => Some(f64::INFINITY),
            value => value.as_f64(),
        });
        let name = format!("distribution.json: {list}, {field} {value}").replace('"', "");
        let Some(result) = result else {
            return Figure::missing(name);
        };
        let description = format!(
            "`{name}`, {} (one play at the whole size)",
            pointer.trim_start_matches('/')
        );
        Figure::new(result * unit_factor).derived_from(&name, description)
    }

    /// The growth of a series per unit of size. `up_to` is the largest size the slope is used for; the description
    /// reports the extrapolation to it. Missing if the series is absent or has too few sizes.
    pub fn slope(&self, name: &str, unit: Unit, up_to: &Figure) -> Figure {
        let Some((series, factor)) = self.series(name, unit) else {
            return Figure::missing(name);
        };
        let Some(fit) = series.fit() else {
            return Figure::missing(name);
        };
        let to = up_to.value().unwrap_or(0.0);
        let description = format!("`{name}` {}", describe(series, to));
        Figure::new(fit.slope * factor).derived_from(name, description)
    }

    /// The value of `const NAME: T = ...;` in a source file: a product of numbers and shifts, or a `Duration`, in
    /// seconds. Missing if the file has no such constant; reports an error for any other expression.
    pub fn constant(&self, file: &str, name: &str) -> Figure {
        let text = std::fs::read_to_string(self.root.join(file)).unwrap_or_default();
        let Some(expression) = find_constant(&text, name) else {
            return Figure::missing(format!("{file}: {name}"));
        };
        match parse_number(&expression) {
            Some(value) => Figure::new(value),
            None => {
                self.report_error(format!("{file}: {name} is '{expression}', not a number"));
                Figure::missing(name)
            }
        }
    }

    /// The first numeric value of a struct field, `name: 123,`, in a source file; missing if there is none.
    pub fn struct_field(&self, file: &str, name: &str) -> Figure {
        let text = std::fs::read_to_string(self.root.join(file)).unwrap_or_default();
        let begin = format!("{name}: ");
        let mut values = text.split(&begin).skip(1).filter_map(|rest| {
            let (value, _) = rest.split_once(',')?;
            parse_number(value)
        });
        match values.next() {
            Some(value) => Figure::new(value),
            None => Figure::missing(format!("{file}: {name}")),
        }
    }

    /// Whether a file of the workspace exists and contains this text.
    pub fn source_contains(&self, file: &str, what: &str) -> bool {
        std::fs::read_to_string(self.root.join(file)).is_ok_and(|text| text.contains(what))
    }
}

fn read<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T, String> {
    let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Interpolates linearly between measured sizes; uses the fitted line outside them.
fn interpolate(series: &Series, size: f64) -> Option<f64> {
    let mut points = series.points.clone();
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let above = points.iter().position(|p| p.0 >= size);
    match above {
        Some(i) if points[i].0 == size => Some(points[i].1),
        Some(i) if i > 0 => {
            let (low, high) = (points[i - 1], points[i]);
            Some(low.1 + (high.1 - low.1) * (size - low.0) / (high.0 - low.0))
        }
        _ => series.predict(size),
    }
}

/// Describes the sizes of a series, its fit with the standard error, and the extrapolation to `size`.
pub fn describe(series: &Series, size: f64) -> String {
    let sizes: Vec<f64> = series.points.iter().map(|p| p.0).collect();
    let smallest = sizes.iter().copied().fold(f64::INFINITY, f64::min);
    let largest = sizes.iter().copied().fold(0.0, f64::max);
    let mut description = format!(
        "({} sizes, {} to {}",
        sizes.len(),
        format_number(smallest),
        format_number(largest)
    );
    if let Some(fit) = series.fit() {
        description += &format!(
            "; {} ± {} {} each",
            format_number(fit.slope),
            format_number(fit.slope_error),
            series.unit
        );
        if fit.max_residual > NONLINEARITY_THRESHOLD {
            description += &format!("; bends, off by {:.0}%", fit.max_residual * 100.0);
        }
    }
    let extrapolation = series.extrapolation(size);
    if extrapolation > FAR_EXTRAPOLATION {
        description += &format!("; **stretched x{}**", format_number(extrapolation));
    } else if extrapolation > 1.0 {
        description += &format!("; stretched x{}", format_number(extrapolation));
    }
    if sizes.len() < MIN_SIZES && extrapolation > 1.0 {
        description += "; **too few sizes**";
    }
    description + ")"
}

fn find_constant(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("const {name}:"))?;
    let (_, rest) = text[at..].split_once('=')?;
    let (expression, _) = rest.split_once(';')?;
    Some(expression.trim().to_owned())
}

/// Evaluates a product of numbers and shifts, or a `Duration`, which gives seconds.
fn parse_number(expression: &str) -> Option<f64> {
    if let Some(rest) = expression.strip_prefix("Duration::from_") {
        let (unit, rest) = rest.split_once('(')?;
        let value = parse_number(rest.strip_suffix(')')?)?;
        return match unit {
            "secs" => Some(value),
            "millis" => Some(value / 1000.0),
            _ => None,
        };
    }
    let factor = |text: &str| match text.trim().split_once("<<") {
        Some((a, b)) => {
            let (a, b) = (a.trim().parse::<f64>().ok()?, b.trim().parse::<i32>().ok()?);
            Some(a * 2f64.powi(b))
        }
        None => text.trim().replace('_', "").parse::<f64>().ok(),
    };
    expression.split('*').map(factor).product()
}
