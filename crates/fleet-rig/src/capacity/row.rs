//! Rows of the page's tables.

use super::book::Book;
use super::figure::{Figure, Unit, digits};
use std::collections::BTreeSet;
use std::fmt::Write;

/// What is said of something that did not come about at all, as far as it was waited for.
pub const NOT: &str = "did not come about";

/// What a figure may come to.
#[derive(Clone, Debug)]
pub enum Limit {
    /// The letter says it.
    Letter(Figure),
    /// This project's own, or an assumption: the words say whose.
    Own(Figure, &'static str),
    /// A bound in the code, by its name: past it, it cannot be done at all.
    Code(Figure, &'static str),
    /// Nobody has told one.
    Untold,
}

impl Limit {
    fn figure(&self) -> Option<&Figure> {
        match self {
            Self::Letter(figure) | Self::Own(figure, _) | Self::Code(figure, _) => Some(figure),
            Self::Untold => None,
        }
    }
}

/// What carries a row.
#[derive(Clone, Copy, Debug)]
pub enum Mechanism {
    /// A file, and what it has to name.
    Is(&'static str, &'static str),
    /// Nothing does, by what it would have to do.
    Missing(&'static str),
    /// Nothing is needed beyond arithmetic, or it is not this program's.
    Outside(&'static str),
}

/// One row.
#[derive(Clone, Debug)]
pub struct Row {
    /// What is counted.
    pub what: String,
    /// In which situations.
    pub when: &'static str,
    /// Its unit.
    pub unit: Unit,
    /// What it may come to.
    pub limit: Limit,
    /// What it comes to.
    pub comes: Figure,
    /// What carries it.
    pub by: Mechanism,
    /// What would put it right where it is over; empty where that is `by` itself.
    pub answer: &'static str,
}

impl Row {
    /// A row without a limit.
    pub fn new(what: impl Into<String>, when: &'static str, unit: Unit, comes: Figure) -> Self {
        Self {
            what: what.into(),
            when,
            unit,
            limit: Limit::Untold,
            comes,
            by: Mechanism::Outside("arithmetic"),
            answer: "",
        }
    }

    /// Its limit.
    pub fn limit(mut self, limit: Limit) -> Self {
        self.limit = limit;
        self
    }

    /// What carries it.
    pub fn by(mut self, by: Mechanism) -> Self {
        self.by = by;
        self
    }

    /// What would put it right where it is over.
    pub fn answer(mut self, answer: &'static str) -> Self {
        self.answer = answer;
        self
    }

    /// How many times the limit it comes to; `None` without both.
    pub fn times(&self) -> Option<f64> {
        let limit = self.limit.figure()?.value()?;
        Some(self.comes.value()? / limit)
    }

    /// Past a bound of the code.
    pub fn cannot(&self) -> bool {
        matches!(self.limit, Limit::Code(..)) && self.times().is_some_and(|times| times > 1.0)
    }

    /// What is lacking for what it comes to, or for its limit.
    pub fn lacks(&self) -> BTreeSet<String> {
        let mut lacks = self.comes.lacks.clone();
        lacks.extend(
            self.limit
                .figure()
                .into_iter()
                .flat_map(|limit| limit.lacks.clone()),
        );
        lacks
    }

    /// What the row comes to, or what is lacking.
    pub fn comes_to(&self) -> String {
        show(self.unit, &self.comes)
    }

    fn limit_said(&self) -> String {
        match &self.limit {
            Limit::Letter(figure) => format!("{}, the letter", show(self.unit, figure)),
            Limit::Own(figure, whose) => format!("{}, {whose}", show(self.unit, figure)),
            Limit::Code(figure, name) => format!("{}, `{name}`", show(self.unit, figure)),
            Limit::Untold => "none told".to_owned(),
        }
    }

    fn margin(&self) -> String {
        match self.times() {
            None => "-".to_owned(),
            Some(times) if times.is_infinite() => format!("**{NOT}**"),
            Some(times) if times > 1.0 && self.cannot() => {
                format!("**cannot be done**, over x{}", digits(times))
            }
            Some(times) if times > 1.0 => format!("**over x{}**", digits(times)),
            Some(times) if times <= 0.0 => "-".to_owned(),
            Some(times) => format!("room x{}", digits(1.0 / times)),
        }
    }

    fn from(&self) -> String {
        let mut said: Vec<String> = self.comes.series.values().cloned().collect();
        let mut assumed = self.comes.assumed.clone();
        if let Some(limit) = self.limit.figure() {
            assumed.extend(limit.assumed.iter().cloned());
        }
        if !assumed.is_empty() {
            let names: Vec<&str> = assumed.iter().map(String::as_str).collect();
            said.push(format!("assumed: {}", names.join(", ")));
        }
        match said.is_empty() {
            true if self.comes.lacks.is_empty() => "the letter, the code".to_owned(),
            true => "-".to_owned(),
            false => said.join("; "),
        }
    }

    /// What carries it, as far as the workspace has it.
    pub fn carried(&self, book: &Book) -> String {
        match self.by {
            Mechanism::Is(file, what) if book.has(file, what) => format!("`{file}`, `{what}`"),
            Mechanism::Is(file, what) => format!("**missing** (`{file}`, `{what}`)"),
            Mechanism::Missing(what) => format!("**missing**: {what}"),
            Mechanism::Outside(what) => what.to_owned(),
        }
    }

    /// Nothing carries it.
    pub fn is_missing(&self, book: &Book) -> bool {
        match self.by {
            Mechanism::Is(file, what) => !book.has(file, what),
            Mechanism::Missing(_) => true,
            Mechanism::Outside(_) => false,
        }
    }
}

fn show(unit: Unit, figure: &Figure) -> String {
    match figure.value() {
        Some(value) if value.is_infinite() => NOT.to_owned(),
        Some(value) => unit.show(value),
        None => {
            let lacks: Vec<String> = figure.lacks.iter().map(|l| format!("`{l}`")).collect();
            // A bound is not measured but read from the code.
            let what = match figure.lacks.iter().all(|l| l.contains(".rs: ")) {
                true => "not there",
                false => "not measured",
            };
            format!("{what} ({})", lacks.join(", "))
        }
    }
}

/// The rows as a table.
pub fn table(book: &Book, rows: &[Row]) -> String {
    let mut text = String::from(
        "| what | when | limit | comes to | margin | from | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} |",
            row.what,
            row.when,
            row.limit_said(),
            row.comes_to(),
            row.margin(),
            row.from(),
            row.carried(book)
        );
    }
    text
}
