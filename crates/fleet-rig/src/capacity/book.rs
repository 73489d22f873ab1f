//! What the tables are worked out from: series that were measured, the letter's figures, assumptions, and the bounds
//! in the code itself.

use super::figure::{Figure, Unit, digits};
use crate::series::{FAR_EXTRAPOLATION, MIN_SIZES, MeasuredSeries, Series};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Past this share of the largest value off the line, a series is said to bend.
const BENT: f64 = 0.1;

/// One figure that is not measured here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {
    /// The value.
    pub value: f64,
    /// What it counts.
    pub unit: String,
    /// Where the letter says it, or why it is assumed so.
    pub why: String,
    /// The heading in docs/QUESTIONS.md that asks for it; none for the letter's own figures.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub asked: Option<String>,
}

/// All figures that are not measured here, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// The letter's own.
    pub letter: BTreeMap<String, Given>,
    /// What it does not say.
    pub assumed: BTreeMap<String, Given>,
}

/// All that the tables are worked out from.
pub struct Book {
    /// The folder of the workspace, whose code is looked into.
    pub root: PathBuf,
    /// What was measured.
    pub measured: MeasuredSeries,
    /// Single plays at the whole size, of `docs/measured/distribution.json`.
    pub plays: serde_json::Value,
    /// What was not.
    pub given: Assumptions,
    used: RefCell<BTreeSet<String>>,
    faults: RefCell<BTreeSet<String>>,
}

impl Book {
    /// Works with these, and with the code under a folder.
    pub fn new(
        root: &Path,
        measured: MeasuredSeries,
        plays: serde_json::Value,
        given: Assumptions,
    ) -> Self {
        Self {
            root: root.to_owned(),
            measured,
            plays,
            given,
            used: RefCell::default(),
            faults: RefCell::default(),
        }
    }

    /// Reads the files under a workspace; nothing measured where one of those is not there.
    pub fn read(root: &Path) -> Result<Self, String> {
        let measured = MeasuredSeries::read(&root.join("docs/measured/scale.json"))?;
        let given = read(&root.join("docs/measured/assumptions.json"))?;
        let file = root.join("docs/measured/distribution.json");
        let plays = match file.exists() {
            true => read(&file)?,
            false => serde_json::Value::Null,
        };
        Ok(Self::new(root, measured, plays, given))
    }

    /// Something that is wrong with the data: the tables are not made.
    pub fn fault(&self, what: String) {
        self.faults.borrow_mut().insert(what);
    }

    /// Everything wrong that was met, and the assumptions that no figure rests on.
    pub fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = self.faults.borrow().iter().cloned().collect();
        let used = self.used.borrow();
        let idle = self
            .given
            .assumed
            .keys()
            .filter(|name| !used.contains(*name));
        faults.extend(idle.map(|name| format!("no figure rests on the assumption '{name}'")));
        faults
    }

    /// A figure of the letter, or an assumption.
    pub fn given(&self, name: &str) -> Figure {
        self.used.borrow_mut().insert(name.to_owned());
        if let Some(given) = self.given.letter.get(name) {
            return Figure::of(given.value);
        }
        match self.given.assumed.get(name) {
            Some(given) => {
                let mut figure = Figure::of(given.value);
                figure.assumed.insert(name.to_owned());
                figure
            }
            None => {
                self.fault(format!("neither the letter's nor an assumption: '{name}'"));
                Figure::lacking(name)
            }
        }
    }

    fn series(&self, name: &str, unit: Unit) -> Option<(&Series, f64)> {
        let series = self.measured.0.get(name)?;
        match Unit::read(&series.unit) {
            Some((is, by)) if is == unit => Some((series, by)),
            _ => {
                self.fault(format!("'{name}' is in '{}', no {unit:?}", series.unit));
                None
            }
        }
    }

    /// What a series comes to at a size: between the sizes measured by its neighbours, beyond them by the line.
    pub fn at(&self, name: &str, unit: Unit, size: Figure) -> Figure {
        let Some((series, by)) = self.series(name, unit) else {
            return size * Figure::lacking(name);
        };
        let Some(at) = size.value() else { return size };
        let Some(value) = value_at(series, at) else {
            return size * Figure::lacking(name);
        };
        let said = format!("`{name}` {}", describe(series, at));
        let mut figure = Figure::of(value * by).resting_on(name, said);
        figure.assumed = size.assumed;
        figure
    }

    /// The same for what does not come about at every size: never, from the smallest size on at which another series
    /// of the same runs has a value and this one has none any more.
    pub fn at_if_ever(&self, name: &str, runs: &str, unit: Unit, size: Figure) -> Figure {
        let (Some(series), Some(all), Some(at)) = (
            self.measured.0.get(name),
            self.measured.0.get(runs),
            size.value(),
        ) else {
            return self.at(name, unit, size);
        };
        let most = series.points.iter().map(|p| p.0).fold(0.0, f64::max);
        let without = all.points.iter().map(|p| p.0).filter(|size| *size > most);
        let never = without.fold(f64::INFINITY, f64::min);
        if at < never {
            return self.at(name, unit, size);
        }
        let said = format!(
            "`{name}` up to {}, never at {}",
            digits(most),
            digits(never)
        );
        Figure::of(f64::INFINITY).resting_on(name, said)
    }

    /// A figure of a single play at the whole size: the one of a list in which a field has this value.
    pub fn played(
        &self,
        list: &str,
        field: &str,
        value: serde_json::Value,
        pointer: &str,
        to_base: f64,
    ) -> Figure {
        let plays = self.plays.get(list).and_then(|list| list.as_array());
        let play =
            plays.and_then(|plays| plays.iter().find(|play| play.get(field) == Some(&value)));
        let found = play.and_then(|play| match play.pointer(pointer)? {
            // Played, and not come about while it was waited for.
            serde_json::Value::Null => Some(f64::INFINITY),
            value => value.as_f64(),
        });
        let name = format!("distribution.json: {list}, {field} {value}").replace('"', "");
        let Some(found) = found else {
            return Figure::lacking(name);
        };
        let said = format!(
            "`{name}`, {} (one play at the whole size)",
            pointer.trim_start_matches('/')
        );
        Figure::of(found * to_base).resting_on(&name, said)
    }

    /// How much a series grows with one more of its size, to be used up to a size.
    pub fn slope(&self, name: &str, unit: Unit, up_to: &Figure) -> Figure {
        let Some((series, by)) = self.series(name, unit) else {
            return Figure::lacking(name);
        };
        let Some(fit) = series.fit() else {
            return Figure::lacking(name);
        };
        let to = up_to.value().unwrap_or(0.0);
        let said = format!("`{name}` {}", describe(series, to));
        Figure::of(fit.slope * by).resting_on(name, said)
    }

    /// A bound that the code names: `const NAME: T = ...;` in a file, a product of whole numbers or a duration.
    pub fn code(&self, file: &str, name: &str) -> Figure {
        let text = std::fs::read_to_string(self.root.join(file)).unwrap_or_default();
        let Some(expression) = constant(&text, name) else {
            return Figure::lacking(format!("{file}: {name}"));
        };
        match number(&expression) {
            Some(value) => Figure::of(value),
            None => {
                self.fault(format!("{file}: {name} is '{expression}', no number"));
                Figure::lacking(name)
            }
        }
    }

    /// A bound that the code gives a field: `name: 123,` in a file.
    pub fn field(&self, file: &str, name: &str) -> Figure {
        let text = std::fs::read_to_string(self.root.join(file)).unwrap_or_default();
        let begin = format!("{name}: ");
        let mut values = text.split(&begin).skip(1).filter_map(|rest| {
            let (value, _) = rest.split_once(',')?;
            number(value)
        });
        match values.next() {
            Some(value) => Figure::of(value),
            None => Figure::lacking(format!("{file}: {name}")),
        }
    }

    /// Whether a file of the workspace is there and names this.
    pub fn has(&self, file: &str, what: &str) -> bool {
        std::fs::read_to_string(self.root.join(file)).is_ok_and(|text| text.contains(what))
    }
}

fn read<T: serde::de::DeserializeOwned>(file: &Path) -> Result<T, String> {
    let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", file.display()))
}

/// Between the sizes measured by the neighbours, beyond them by the line.
fn value_at(series: &Series, size: f64) -> Option<f64> {
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

/// The sizes, the fit with its spread, and how far it is stretched.
pub fn describe(series: &Series, size: f64) -> String {
    let sizes: Vec<f64> = series.points.iter().map(|p| p.0).collect();
    let least = sizes.iter().copied().fold(f64::INFINITY, f64::min);
    let most = sizes.iter().copied().fold(0.0, f64::max);
    let mut said = format!(
        "({} sizes, {} to {}",
        sizes.len(),
        digits(least),
        digits(most)
    );
    if let Some(fit) = series.fit() {
        said += &format!(
            "; {} ± {} {} each",
            digits(fit.slope),
            digits(fit.slope_error),
            series.unit
        );
        if fit.max_residual > BENT {
            said += &format!("; bends, off by {:.0}%", fit.max_residual * 100.0);
        }
    }
    let stretch = series.extrapolation(size);
    if stretch > FAR_EXTRAPOLATION {
        said += &format!("; **stretched x{}**", digits(stretch));
    } else if stretch > 1.0 {
        said += &format!("; stretched x{}", digits(stretch));
    }
    if sizes.len() < MIN_SIZES && stretch > 1.0 {
        said += "; **too few sizes**";
    }
    said + ")"
}

fn constant(text: &str, name: &str) -> Option<String> {
    let at = text.find(&format!("const {name}:"))?;
    let (_, rest) = text[at..].split_once('=')?;
    let (expression, _) = rest.split_once(';')?;
    Some(expression.trim().to_owned())
}

/// Products of whole numbers, and durations in seconds.
fn number(expression: &str) -> Option<f64> {
    if let Some(rest) = expression.strip_prefix("Duration::from_") {
        let (unit, rest) = rest.split_once('(')?;
        let value = number(rest.strip_suffix(')')?)?;
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
