//! The page on capacity: its arithmetic on a small made-up set of data, and that it is what the data comes to.

use serde_json::{Value, json};
use spanspur_fleet_rig::capacity::row::{Limit, Mechanism, Row};
use spanspur_fleet_rig::capacity::{
    Assumptions, Book, PAGE, QUESTIONS, control, data, edges, figure, fill, run, tables, unasked,
};
use spanspur_fleet_rig::series::{MeasuredSeries, Series};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn given() -> Assumptions {
    let text = fs::read(root().join("docs/measured/assumptions.json")).expect("there");
    serde_json::from_slice(&text).expect("whole")
}

fn line(unit: &str, sizes: &[f64], base: f64, slope: f64) -> Series {
    Series {
        what: "made up".into(),
        command: "none".into(),
        size: "things".into(),
        unit: unit.into(),
        runs: 1,
        points: sizes.iter().map(|x| (*x, base + slope * x)).collect(),
    }
}

/// Made-up series: lines, so that what they come to is known.
fn made_up() -> BTreeMap<String, Series> {
    let steps = [100.0, 200.0, 300.0, 400.0, 500.0];
    let thousands = [1000.0, 2000.0, 3000.0, 4000.0, 5000.0];
    let all = [
        ("flat-bytes", line("B/s", &steps, 0.0, 1.0)),
        ("flat-memory", line("B", &steps, 1e6, 10_000.0)),
        ("flat-join", line("ms", &steps[..4], 0.0, 10.0)),
        (
            "follow-bytes",
            line("B/s", &[100.0, 500.0, 1000.0, 1500.0, 2100.0], 500.0, 0.0),
        ),
        ("standing, memory", line("B", &thousands, 7e6, 5000.0)),
        ("delivery, processor", line("us", &thousands, 100.0, 20.0)),
        (
            "placement, none cold",
            line("us", &[90.0, 1000.0, 5000.0, 10_000.0, 20_000.0], 0.0, 0.01),
        ),
        ("opening, processor", line("us", &steps, 0.0, 300.0)),
    ];
    all.map(|(name, series)| (name.to_owned(), series)).into()
}

fn book_of(series: BTreeMap<String, Series>) -> Book {
    Book::new(&root(), MeasuredSeries(series), Value::Null, given())
}

fn row<'a>(rows: &'a [Row], what: &str, when: &str) -> &'a Row {
    let mut found = rows
        .iter()
        .filter(|row| row.what == what && row.when == when);
    found
        .next()
        .unwrap_or_else(|| panic!("no row '{what}', {when}"))
}

fn value(row: &Row) -> f64 {
    row.comes
        .value()
        .unwrap_or_else(|| panic!("'{}' lacks {:?}", row.what, row.comes.lacks))
}

fn near(is: f64, wanted: f64) {
    assert!(
        (is - wanted).abs() <= wanted.abs() * 1e-6,
        "{is}, not {wanted}"
    );
}

#[test]
fn the_page_is_what_the_data_comes_to() {
    if let Err(what) = run(&root(), true) {
        panic!("{what}");
    }
}

#[test]
fn figures_are_worked_out_from_slopes() {
    let book = book_of(made_up());
    let flat = control::balancer_flat(&book);
    // 2,100 B/s sent and as much received, and 5,700 changes a day of 60 B in and out.
    let bytes = row(&flat, "bytes, both ways", "mean");
    near(value(bytes), 4200.0 + 5700.0 / 86_400.0 * 60.0 * 2.0);
    near(bytes.times().expect("a limit"), value(bytes) / 4000.0);
    assert!(matches!(bytes.limit, Limit::Letter(_)) && !bytes.cannot());
    near(
        value(row(&flat, "memory, 256 entries", "at rest")),
        1e6 + 10_000.0 * 2100.0,
    );
    // 2,100 ids less eight, an eighth of them in each of the first eight datagrams.
    let ids = row(
        &flat,
        "ids that the first datagrams of a change name, bytes",
        "each change",
    );
    near(value(ids), 2092.0 / 8.0 * 9.5);
    assert!(ids.cannot(), "past a bound of the code");

    let path = data::rows(&book);
    let stand = 120e6 / 2100.0;
    near(
        value(row(&path, "memory of the process for what stands", "all")),
        stand * 5000.0,
    );
    near(
        value(row(&path, "processor for deliveries alone", "mean")),
        16e6 / 2100.0 * 20e-6,
    );
    near(
        value(row(
            &path,
            "processor for deliveries alone",
            "busiest minute",
        )),
        16e6 / 2100.0 * 40e-6,
    );
    near(value(row(&path, "new connections", "mean")), stand / 600.0);
    // An opening of 300 us, and a placement of 200 us among 20,000 servers.
    let placed = row(&path, "processor for placements alone", "mean");
    near(value(placed), stand / 600.0 * 200e-6);
    let all = row(
        &path,
        "processor for openings, placements and deliveries",
        "mean",
    );
    near(value(all), 16e6 / 2100.0 * 20e-6 + stand / 600.0 * 500e-6);
    // Between two sizes measured: the straight line between them, not the fit.
    near(
        value(row(&path, "a placement at 5,000 servers, all warm", "each")),
        50e-6,
    );
    // A zone of thirteen is lost: its clients, and those of the other twelve at its servers, within 10 s.
    let lost = 120e6 / 13.0 * (1.0 + 12.0 / 13.0) / 10.0 / (2100.0 * 12.0 / 13.0);
    near(
        value(row(
            &path,
            "new connections",
            "zone lost, in the busiest minute",
        )),
        stand / 600.0 * 3.0 + lost,
    );

    let server = edges::server(&book);
    near(
        value(row(
            &server,
            "servers that the largest topic needs at least",
            "all",
        )),
        1e6 / (6000.0 / 0.7),
    );
    // So many topics are larger than a server's room that one more of them would be smaller.
    let over = value(row(&server, "topics larger than one server's room", "all"));
    let sizes = |power: f64| (1..=130_000).map(move |k| 1e6 * f64::from(k).powf(-power));
    let power = (1e6_f64 / (6000.0 / 0.7)).ln() / (over + 0.5).ln();
    let off = sizes(power).sum::<f64>() / 120e6;
    assert!(
        (off - 1.0).abs() < 0.01,
        "sizes add up to {off} of all connections"
    );

    let follow = control::balancer_follow(&book);
    near(
        value(row(&follow, "entries held", "all")),
        20_000.0 + 1000.0 + 490.0 * 0.5 * 30.0,
    );
    let zone = row(&follow, "bytes, both ways", "a zone, in a minute");
    near(value(zone), 500.0 + 20_000.0 / 13.0 * 2.0 / 60.0 * 120.0);
}

#[test]
fn each_assumption_and_each_figure_of_a_series_changes_the_tables() {
    let before = tables(&book_of(made_up())).expect("whole");
    for name in given().assumed.keys() {
        let mut changed = given();
        changed.assumed.get_mut(name).expect("there").value *= 1.5;
        let book = Book::new(&root(), MeasuredSeries(made_up()), Value::Null, changed);
        let after = tables(&book).expect("whole");
        let differ = before
            .iter()
            .filter(|(table, text)| after[*table] != **text);
        assert!(differ.count() > 1, "'{name}' changes no table but its own");
    }
    // A join that comes about at all sizes, or its values count for nothing.
    let mut whole = made_up();
    let steps = [100.0, 200.0, 300.0, 400.0, 500.0];
    whole.insert("flat-join".into(), line("ms", &steps, 0.0, 10.0));
    let before = tables(&book_of(whole.clone())).expect("whole");
    for name in whole.keys() {
        let mut series = whole.clone();
        let points = &mut series.get_mut(name).expect("there").points;
        points.iter_mut().for_each(|p| p.1 *= 1.5);
        let after = tables(&book_of(series)).expect("whole");
        let differ = before
            .iter()
            .filter(|(table, text)| after[*table] != **text);
        assert!(differ.count() > 1, "'{name}' changes no table but its own");
    }
}

#[test]
fn what_is_not_measured_is_said_and_never_a_number() {
    let book = book_of(BTreeMap::new());
    let groups = [
        control::balancer_flat(&book),
        control::balancer_follow(&book),
        control::control_follow(&book),
        data::rows(&book),
        edges::server(&book),
    ];
    let rows: Vec<&Row> = groups.iter().flatten().collect();
    let lacking: Vec<&&Row> = rows
        .iter()
        .filter(|row| !row.comes.lacks.is_empty())
        .collect();
    assert!(lacking.len() > 20, "{}", lacking.len());
    for row in &lacking {
        let said = row.comes_to();
        assert!(
            said.starts_with("not measured (") || said.starts_with("not there ("),
            "{said}"
        );
        assert_eq!(
            (row.comes.value(), row.times()),
            (None, None),
            "{}",
            row.what
        );
        assert!(row.comes.series.is_empty(), "{}", row.what);
    }
    // One of two series is not enough.
    let mut one = made_up();
    one.remove("delivery, processor");
    let book = book_of(one);
    let path = data::rows(&book);
    let both = row(
        &path,
        "processor for openings, placements and deliveries",
        "busiest minute",
    );
    assert_eq!(both.comes_to(), "not measured (`delivery, processor`)");
    // Nor is a series without two sizes.
    let mut short = made_up();
    short.insert("flat-memory".into(), line("B", &[100.0], 0.0, 1.0));
    let book = book_of(short);
    let flat = control::balancer_flat(&book);
    assert_eq!(
        row(&flat, "memory, 256 entries", "at rest").comes_to(),
        "not measured (`flat-memory`)"
    );
}

#[test]
fn what_no_longer_comes_about_is_not_stretched() {
    let book = book_of(made_up());
    let flat = control::balancer_flat(&book);
    // Bytes were measured at 500 instances; all knew of all at 400, and at 500 never.
    let join = row(
        &flat,
        "until all know of all",
        "release of everything at once",
    );
    assert_eq!(join.comes_to(), "did not come about");
    // A change does not get to 2,100 at all, whatever was measured at fewer: its first datagrams do not fit.
    let news = "until a change is in force everywhere, by news alone";
    assert_eq!(row(&flat, news, "at rest").comes_to(), "did not come about");
    let ranking = tables(&book).expect("whole")["ranking"].clone();
    let first = ranking.lines().nth(2).expect("a first row");
    assert!(
        first.contains(news) && first.contains("did not come about"),
        "{first}"
    );
    // At a size that it fits at it is worked out.
    let mut small = given();
    small.letter.get_mut("balancers").expect("there").value = 300.0;
    let mut series = made_up();
    series.insert(
        "flat-news".into(),
        line("ms", &[100.0, 200.0, 400.0], 0.0, 10.0),
    );
    let book = Book::new(&root(), MeasuredSeries(series), Value::Null, small);
    let flat = control::balancer_flat(&book);
    near(value(row(&flat, news, "at rest")), 3.0);
}

#[test]
fn a_stretch_of_over_ten_times_is_marked() {
    for (most, wanted) in [(210.0, "stretched x10)"), (200.0, "**stretched x10.5**")] {
        let mut series = made_up();
        let sizes = [20.0, 50.0, 100.0, 150.0, most];
        series.insert("flat-memory".into(), line("B", &sizes, 0.0, 1.0));
        let book = book_of(series);
        let text = tables(&book).expect("whole")["balancer-flat"].clone();
        let cell = text
            .lines()
            .find(|line| line.contains("memory, 256 entries"))
            .expect("a row");
        assert!(cell.contains(wanted), "{cell}");
        assert_eq!(cell.contains("**stretched"), most < 210.0, "{cell}");
    }
    // Three sizes are too few to go beyond; a point off the line is said.
    let mut series = made_up();
    let mut few = line("B", &[100.0, 200.0, 300.0], 0.0, 1.0);
    few.points[1].1 = 260.0;
    series.insert("flat-memory".into(), few);
    let text = tables(&book_of(series)).expect("whole")["balancer-flat"].clone();
    assert!(
        text.contains("**too few sizes**") && text.contains("bends, off by"),
        "{text}"
    );
}

#[test]
fn wrong_data_is_refused_by_name() {
    let refused = |book: &Book| tables(book).expect_err("wrong").join("\n");
    let mut series = made_up();
    series.insert("flat-bytes".into(), line("ms", &[1.0, 2.0], 0.0, 1.0));
    assert!(refused(&book_of(series)).contains("'flat-bytes' is in 'ms'"));

    let mut assumed = given();
    let one = assumed.assumed["servers"].clone();
    assumed.assumed.insert("odd".into(), one);
    assumed.assumed.remove("warm-up");
    let book = Book::new(&root(), MeasuredSeries::default(), Value::Null, assumed);
    let what = refused(&book);
    assert!(
        what.contains("'odd'") && what.contains("'warm-up'"),
        "{what}"
    );

    let mut assumed = given();
    assumed.assumed.get_mut("servers").expect("there").asked = Some("Nowhere".into());
    assumed.assumed.get_mut("settings").expect("there").asked = None;
    let questions = fs::read_to_string(root().join(QUESTIONS)).expect("there");
    let what = unasked(&assumed, &questions).join("\n");
    assert!(
        what.contains("'servers'") && what.contains("'settings'"),
        "{what}"
    );
    assert_eq!(unasked(&given(), &questions), [""; 0]);
}

#[test]
fn a_mechanism_is_looked_up_in_the_workspace() {
    let row = |by| {
        Row::new(
            "a thing",
            "all",
            figure::Unit::Count,
            figure::Figure::of(1.0),
        )
        .by(by)
    };
    let book = book_of(BTreeMap::new());
    let there = row(Mechanism::Is(
        "crates/cluster/src/node.rs",
        "pub struct Node",
    ));
    assert!(!there.is_missing(&book) && !there.carried(&book).contains("missing"));
    for gone in [
        Mechanism::Is("crates/cluster/src/nowhere.rs", "pub struct Node"),
        Mechanism::Is("crates/cluster/src/node.rs", "pub struct Nowhere"),
        Mechanism::Missing("something"),
    ] {
        let gone = row(gone);
        assert!(gone.is_missing(&book) && gone.carried(&book).contains("**missing**"));
    }
    assert_eq!(
        book.code("crates/leases/src/gossip_store.rs", "FANOUT")
            .value(),
        Some(8.0)
    );
    assert_eq!(
        book.code("src/discovery/watcher.rs", "LONG_POLL_WAIT")
            .value(),
        Some(2.0)
    );
    assert_eq!(
        book.code("src/discovery/http.rs", "MAX_BODY").value(),
        Some(4.0 * 1024.0 * 1024.0)
    );
    assert_eq!(
        book.code("src/discovery/http.rs", "MAX_NOTHING").value(),
        None
    );
}

#[test]
fn a_play_at_the_whole_size_is_found_by_what_it_was() {
    let plays = json!({"delays": [
        {"what": "5% loss", "everywhere": {"last": 9000}},
        {"what": "1% loss", "everywhere": {"last": 13000}, "each": {"p99": 1500}},
    ], "cuts": [
        {"what": "a region for an hour", "control": null, "followers": 350, "bytes": 7e6, "all": 14e6},
    ]});
    let book = Book::new(&root(), MeasuredSeries::default(), plays, given());
    let rows = control::balancer_follow(&book);
    let when = "5,700 a day and a burst of 100 in a minute, 1% loss";
    let last = row(
        &rows,
        "until a change is in force everywhere, the last",
        when,
    );
    near(value(last), 13.0);
    near(last.times().expect("a limit"), 13.0 / 12.0);
    near(
        value(row(&rows, "until a change is in force, 99 in 100", when)),
        1.5,
    );
    // Played, and not come about while it was waited for: that is no lack, and no number.
    let healed = "a region healed after an hour, 240 changes, 630 entries";
    let held = row(
        &rows,
        "until the region's own control instances hold all",
        healed,
    );
    assert_eq!(held.comes_to(), "did not come about");
    let bytes = row(
        &rows,
        "bytes of a balancer in the minute after, over rest",
        healed,
    );
    near(value(bytes), 20_000.0);
    near(bytes.times().expect("a limit"), 0.5);
    let lost = row(
        &rows,
        "until a change is in force, 99 in 100",
        "the same, 5% loss",
    );
    assert!(
        lost.comes_to().starts_with("not measured"),
        "{}",
        lost.comes_to()
    );
}

#[test]
fn the_check_fails_where_page_and_data_differ() {
    let folder = std::env::temp_dir().join(format!("spanspur-capacity-{}", std::process::id()));
    fs::create_dir_all(folder.join("docs/measured")).expect("made");
    let files = ["docs/measured/assumptions.json", PAGE, QUESTIONS];
    for file in files {
        fs::copy(root().join(file), folder.join(file)).expect("copied");
    }
    // No code is there, so bounds are lacking and nothing carries a row: the page is another one.
    let differs = run(&folder, true);
    let wrote = run(&folder, false).and_then(|()| run(&folder, true));
    let page = fs::read_to_string(folder.join(PAGE)).expect("read");
    let changed = page.replacen("| 57,143 |", "| 57,144 |", 1);
    fs::write(folder.join(PAGE), &changed).expect("written");
    let off = run(&folder, true);
    let untouched = fs::read_to_string(folder.join(PAGE)).expect("read");
    fs::remove_dir_all(&folder).expect("removed");
    assert!(differs.is_err_and(|what| what.contains("differs from the data")));
    assert_eq!(wrote, Ok(()));
    assert!(page.contains("not there (") && changed != page);
    let named = off.expect_err("differs");
    assert!(
        named.contains("57,144") && named.contains("capacity writes it"),
        "{named}"
    );
    assert_eq!(untouched, changed, "a check writes nothing");
}

#[test]
fn marks_and_tables_have_to_match() {
    let tables = BTreeMap::from([("a", "| new |\n".to_owned())]);
    let page = "before\n<!-- capacity:a -->\nold\n<!-- /capacity:a -->\nafter\n";
    let filled = fill(page, &tables).expect("filled");
    assert_eq!(
        filled,
        "before\n<!-- capacity:a -->\n\n| new |\n\n<!-- /capacity:a -->\nafter\n"
    );
    assert_eq!(
        fill(&filled, &tables),
        Ok(filled.clone()),
        "once more changes nothing"
    );
    for wrong in [
        "none".to_owned(),
        page.replace("<!-- /capacity:a -->", ""),
        page.repeat(2),
        page.to_owned() + "<!-- capacity:b -->\n<!-- /capacity:b -->\n",
        "<!-- /capacity:a --><!-- capacity:a -->".to_owned(),
    ] {
        assert!(fill(&wrong, &tables).is_err(), "{wrong}");
    }
}

#[test]
fn figures_are_said_with_three_digits_and_their_unit() {
    use figure::Unit::*;
    for (unit, value, wanted) in [
        (Count, 2100.0, "2,100"),
        (Count, 120e6, "120 million"),
        (Count, 2.857, "2.86"),
        (Count, 0.0, "0"),
        (Count, 999.6, "1,000"),
        (Rate, 1188.54, "1,189/s"),
        (Bytes, 32e6, "32 MB"),
        (Bytes, 285.7e6, "286 MB"),
        (ByteRate, 359.0, "359 B/s"),
        (Cores, 0.017, "1.7% of a core"),
        (Cores, 1.0, "1 core"),
        (Cores, 3.456, "3.46 cores"),
        (Seconds, 55e-6, "55 us"),
        (Seconds, 0.21, "210 ms"),
        (Seconds, 12.0, "12 s"),
        (Seconds, 330.0, "5.5 min"),
        (Seconds, 7200.0, "2 h"),
    ] {
        assert_eq!(unit.show(value), wanted, "{unit:?}");
    }
}
