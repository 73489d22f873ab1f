//! What the size of two years asks of each role, worked out from measured slopes, the letter's figures and named
//! assumptions, and written between marks in docs/CAPACITY.md. Start reading at [`tables`].

pub mod book;
pub mod control;
pub mod data;
pub mod edges;
pub mod figure;
pub mod rank;
pub mod row;

pub use book::{Assumptions, Book, Given};

use std::collections::BTreeMap;
use std::path::Path;

/// The page, under the workspace's folder.
pub const PAGE: &str = "docs/CAPACITY.md";
/// The questions, some of whose headings the assumptions name.
pub const QUESTIONS: &str = "docs/QUESTIONS.md";

/// All tables by name; or everything that is wrong with the data.
pub fn tables(book: &Book) -> Result<BTreeMap<&'static str, String>, Vec<String>> {
    let groups = [
        ("balancer-flat", control::balancer_flat(book)),
        ("balancer-follow", control::balancer_follow(book)),
        ("control-flat", control::control_flat(book)),
        ("control-follow", control::control_follow(book)),
        ("discovery", edges::discovery(book)),
        ("server", edges::server(book)),
        ("operator", edges::operator(book)),
        ("data-path", data::rows(book)),
    ];
    let mut tables = BTreeMap::from([
        ("letter", data::given_table(&book.given.letter, false)),
        ("assumptions", data::given_table(&book.given.assumed, true)),
        ("shared", edges::shared(book)),
        ("troubles", edges::troubles(book)),
        ("series", data::series_table(book)),
        ("ranking", rank::table(book, &groups, false)),
        ("ranking-built", rank::table(book, &groups, true)),
        ("left", rank::lacking(&groups)),
    ]);
    tables.extend(
        groups
            .iter()
            .map(|(name, rows)| (*name, row::table(book, rows))),
    );
    let faults = book.faults();
    match faults.is_empty() {
        true => Ok(tables),
        false => Err(faults),
    }
}

fn marks(name: &str) -> (String, String) {
    (
        format!("<!-- capacity:{name} -->"),
        format!("<!-- /capacity:{name} -->"),
    )
}

/// The page with each table between its marks. A table without marks, or marks without a table, is wrong.
pub fn fill(page: &str, tables: &BTreeMap<&'static str, String>) -> Result<String, String> {
    let mut page = page.to_owned();
    for (name, table) in tables {
        let (begin, end) = marks(name);
        if page.matches(&begin).count() != 1 || page.matches(&end).count() != 1 {
            return Err(format!(
                "{PAGE} needs the marks {begin} and {end} once each"
            ));
        }
        let from = page.find(&begin).unwrap_or(0) + begin.len();
        let to = page.find(&end).unwrap_or(0);
        if to < from {
            return Err(format!("{PAGE}: {end} comes before {begin}"));
        }
        page.replace_range(from..to, &format!("\n\n{table}\n"));
    }
    let known = page.matches("<!-- capacity:").count();
    match known == tables.len() {
        true => Ok(page),
        false => Err(format!("{PAGE} has marks that no table is for")),
    }
}

/// Each assumption has to be asked under a heading of the page of questions.
pub fn unasked(given: &Assumptions, questions: &str) -> Vec<String> {
    let headings: Vec<&str> = questions
        .lines()
        .filter_map(|line| line.strip_prefix("## "))
        .collect();
    let asked = |given: &Given| {
        given
            .asked
            .as_deref()
            .is_some_and(|a| headings.contains(&a))
    };
    let unasked = given.assumed.iter().filter(|(_, given)| !asked(given));
    unasked
        .map(|(name, _)| format!("the assumption '{name}' is not asked in {QUESTIONS}"))
        .collect()
}

/// Writes the page under a workspace's folder anew, or checks that it is what the data comes to.
pub fn run(root: &Path, check: bool) -> Result<(), String> {
    let read =
        |file: &str| std::fs::read_to_string(root.join(file)).map_err(|e| format!("{file}: {e}"));
    let book = Book::read(root)?;
    let tables = tables(&book).map_err(|faults| faults.join("\n"))?;
    let unasked = unasked(&book.given, &read(QUESTIONS)?);
    if !unasked.is_empty() {
        return Err(unasked.join("\n"));
    }
    let page = read(PAGE)?;
    let filled = fill(&page, &tables)?;
    if filled == page {
        return Ok(());
    }
    if check {
        let differs = page.lines().zip(filled.lines()).find(|(is, be)| is != be);
        let (is, be) = differs.unwrap_or(("its end", "another"));
        return Err(format!(
            "{PAGE} differs from the data (cargo run --release -p spanspur-fleet-rig -- capacity writes it):\n- {is}\n+ {be}"
        ));
    }
    std::fs::write(root.join(PAGE), filled).map_err(|e| format!("{PAGE}: {e}"))
}
