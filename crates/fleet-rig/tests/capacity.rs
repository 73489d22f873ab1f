//! The capacity page: its arithmetic on a small synthetic data set, and that the committed page matches the data.

use serde_json::{Value, json};
use spanspur_fleet_rig::capacity::row::{Limit, Mechanism, Row};
use spanspur_fleet_rig::capacity::{
    Inputs, PAGE, Parameters, QUESTIONS, assumptions_without_question, control, data_path,
    dependencies, figure, fill_page, run, tables,
};
use spanspur_fleet_rig::series::{MeasuredSeries, Series};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn parameters() -> Parameters {
    let text = fs::read(root().join("docs/measured/assumptions.json")).expect("present");
    serde_json::from_slice(&text).expect("valid data")
}

fn line(unit: &str, sizes: &[f64], base: f64, slope: f64) -> Series {
    Series {
        what: "synthetic".into(),
        command: "none".into(),
        size: "things".into(),
        unit: unit.into(),
        runs: 1,
        points: sizes.iter().map(|x| (*x, base + slope * x)).collect(),
    }
}

/// Synthetic series on straight lines, so that the expected values are known.
fn synthetic_series() -> BTreeMap<String, Series> {
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

fn inputs_of(series: BTreeMap<String, Series>) -> Inputs {
    Inputs::new(&root(), MeasuredSeries(series), Value::Null, parameters())
}

fn row<'a>(rows: &'a [Row], what: &str, when: &str) -> &'a Row {
    let mut found = rows
        .iter()
        .filter(|row| row.quantity == what && row.scenario == when);
    found
        .next()
        .unwrap_or_else(|| panic!("no row '{what}', {when}"))
}

fn value(row: &Row) -> f64 {
    row.estimate.value().unwrap_or_else(|| {
        panic!(
            "'{}' has no value; missing: {:?}",
            row.quantity, row.estimate.missing
        )
    })
}

fn assert_close(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() <= expected.abs() * 1e-6,
        "{actual}, expected {expected}"
    );
}

#[test]
fn page_matches_the_data() {
    if let Err(what) = run(&root(), true) {
        panic!("{what}");
    }
}

#[test]
fn figures_are_derived_from_slopes() {
    let inputs = inputs_of(synthetic_series());
    let flat = control::balancer_flat(&inputs);
    // 2,100 B/s sent and as much received, plus 5,700 changes per day of 60 B in each direction.
    let bytes = row(&flat, "bytes, both ways", "mean");
    assert_close(value(bytes), 4200.0 + 5700.0 / 86_400.0 * 60.0 * 2.0);
    assert_close(bytes.limit_ratio().expect("a limit"), value(bytes) / 4000.0);
    assert!(matches!(bytes.limit, Limit::Requirement(_)) && !bytes.exceeds_hard_limit());
    assert_close(
        value(row(&flat, "memory, 256 entries", "at rest")),
        1e6 + 10_000.0 * 2100.0,
    );
    // 2,092 ids (2,100 less eight), spread over the first eight datagrams.
    let ids = row(
        &flat,
        "ids that the first datagrams of a change name, bytes",
        "each change",
    );
    assert_close(value(ids), 2092.0 / 8.0 * 9.5);
    assert!(
        ids.exceeds_hard_limit(),
        "ids do not exceed the limit in the code"
    );

    let rows = data_path::rows(&inputs);
    let established = 120e6 / 2100.0;
    assert_close(
        value(row(&rows, "memory of the process for what stands", "all")),
        established * 5000.0,
    );
    assert_close(
        value(row(&rows, "processor for deliveries alone", "mean")),
        16e6 / 2100.0 * 20e-6,
    );
    assert_close(
        value(row(
            &rows,
            "processor for deliveries alone",
            "busiest minute",
        )),
        16e6 / 2100.0 * 40e-6,
    );
    assert_close(
        value(row(&rows, "new connections", "mean")),
        established / 600.0,
    );
    // 300 us per opening, and 200 us per placement among 20,000 servers.
    let placed = row(&rows, "processor for placements alone", "mean");
    assert_close(value(placed), established / 600.0 * 200e-6);
    let all = row(
        &rows,
        "processor for openings, placements and deliveries",
        "mean",
    );
    assert_close(
        value(all),
        16e6 / 2100.0 * 20e-6 + established / 600.0 * 500e-6,
    );
    // Between two measured sizes the value is interpolated and not taken from the fit.
    assert_close(
        value(row(&rows, "a placement at 5,000 servers, all warm", "each")),
        50e-6,
    );
    // One of thirteen zones is lost: its clients, and the other zones' clients on its servers, reconnect within 10 s.
    let lost = 120e6 / 13.0 * (1.0 + 12.0 / 13.0) / 10.0 / (2100.0 * 12.0 / 13.0);
    assert_close(
        value(row(
            &rows,
            "new connections",
            "zone lost, in the busiest minute",
        )),
        established / 600.0 * 3.0 + lost,
    );

    let server = dependencies::server(&inputs);
    assert_close(
        value(row(
            &server,
            "servers that the largest topic needs at least",
            "all",
        )),
        1e6 / (6000.0 / 0.7),
    );
    // The number of topics larger than a server's capacity must fit the power law whose sizes add up to all
    // connections.
    let over = value(row(&server, "topics larger than one server's room", "all"));
    let sizes = |power: f64| (1..=130_000).map(move |k| 1e6 * f64::from(k).powf(-power));
    let power = (1e6_f64 / (6000.0 / 0.7)).ln() / (over + 0.5).ln();
    let off = sizes(power).sum::<f64>() / 120e6;
    assert!(
        (off - 1.0).abs() < 0.01,
        "sizes add up to {off} of all connections"
    );

    let follow = control::balancer_follow(&inputs);
    assert_close(
        value(row(&follow, "entries held", "all")),
        20_000.0 + 1000.0 + 490.0 * 0.5 * 30.0,
    );
    let zone = row(&follow, "bytes, both ways", "a zone, in a minute");
    assert_close(value(zone), 500.0 + 20_000.0 / 13.0 * 2.0 / 60.0 * 120.0);
}

#[test]
fn every_assumption_and_series_affects_the_tables() {
    let before = tables(&inputs_of(synthetic_series())).expect("valid data");
    for name in parameters().assumptions.keys() {
        let mut changed = parameters();
        changed.assumptions.get_mut(name).expect("present").value *= 1.5;
        let inputs = Inputs::new(
            &root(),
            MeasuredSeries(synthetic_series()),
            Value::Null,
            changed,
        );
        let after = tables(&inputs).expect("valid data");
        let differ = before
            .iter()
            .filter(|(table, text)| after[*table] != **text);
        assert!(differ.count() > 1, "'{name}' changes no table but its own");
    }
    // The join must complete at all sizes; otherwise its values do not affect the tables.
    let mut whole = synthetic_series();
    let steps = [100.0, 200.0, 300.0, 400.0, 500.0];
    whole.insert("flat-join".into(), line("ms", &steps, 0.0, 10.0));
    let before = tables(&inputs_of(whole.clone())).expect("valid data");
    for name in whole.keys() {
        let mut series = whole.clone();
        let points = &mut series.get_mut(name).expect("present").points;
        points.iter_mut().for_each(|p| p.1 *= 1.5);
        let after = tables(&inputs_of(series)).expect("valid data");
        let differ = before
            .iter()
            .filter(|(table, text)| after[*table] != **text);
        assert!(differ.count() > 1, "'{name}' changes no table but its own");
    }
}

#[test]
fn missing_measurements_are_reported_without_a_number() {
    let inputs = inputs_of(BTreeMap::new());
    let groups = [
        control::balancer_flat(&inputs),
        control::balancer_follow(&inputs),
        control::control_follow(&inputs),
        data_path::rows(&inputs),
        dependencies::server(&inputs),
    ];
    let rows: Vec<&Row> = groups.iter().flatten().collect();
    let missing: Vec<&&Row> = rows
        .iter()
        .filter(|row| !row.estimate.missing.is_empty())
        .collect();
    assert!(missing.len() > 20, "{}", missing.len());
    for row in &missing {
        let text = row.format_estimate();
        assert!(
            text.starts_with("not measured (") || text.starts_with("not there ("),
            "{text}"
        );
        assert_eq!(
            (row.estimate.value(), row.limit_ratio()),
            (None, None),
            "{}",
            row.quantity
        );
        assert!(row.estimate.series.is_empty(), "{}", row.quantity);
    }
    // A sum of two series needs both.
    let mut one = synthetic_series();
    one.remove("delivery, processor");
    let inputs = inputs_of(one);
    let rows = data_path::rows(&inputs);
    let both = row(
        &rows,
        "processor for openings, placements and deliveries",
        "busiest minute",
    );
    assert_eq!(
        both.format_estimate(),
        "not measured (`delivery, processor`)"
    );
    // A series needs at least two sizes.
    let mut short = synthetic_series();
    short.insert("flat-memory".into(), line("B", &[100.0], 0.0, 1.0));
    let inputs = inputs_of(short);
    let flat = control::balancer_flat(&inputs);
    assert_eq!(
        row(&flat, "memory, 256 entries", "at rest").format_estimate(),
        "not measured (`flat-memory`)"
    );
}

#[test]
fn events_that_stop_occurring_are_not_extrapolated() {
    let inputs = inputs_of(synthetic_series());
    let flat = control::balancer_flat(&inputs);
    // Bytes were measured at up to 500 instances; the join completed at 400 and never at 500.
    let join = row(
        &flat,
        "until all know of all",
        "release of everything at once",
    );
    assert_eq!(join.format_estimate(), "did not come about");
    // A change cannot reach 2,100 instances, whatever was measured at fewer: its first datagrams exceed the maximum
    // size.
    let news = "until a change is in force everywhere, by news alone";
    assert_eq!(
        row(&flat, news, "at rest").format_estimate(),
        "did not come about"
    );
    let ranking = tables(&inputs).expect("valid data")["ranking"].clone();
    let first = ranking.lines().nth(2).expect("a first row");
    assert!(
        first.contains(news) && first.contains("did not come about"),
        "{first}"
    );
    // At a size whose datagrams fit, the time is derived from the series.
    let mut small = parameters();
    small
        .requirements
        .get_mut("balancers")
        .expect("present")
        .value = 300.0;
    let mut series = synthetic_series();
    series.insert(
        "flat-news".into(),
        line("ms", &[100.0, 200.0, 400.0], 0.0, 10.0),
    );
    let inputs = Inputs::new(&root(), MeasuredSeries(series), Value::Null, small);
    let flat = control::balancer_flat(&inputs);
    assert_close(value(row(&flat, news, "at rest")), 3.0);
}

#[test]
fn extrapolation_beyond_ten_times_is_marked() {
    for (most, expected) in [(210.0, "stretched x10)"), (200.0, "**stretched x10.5**")] {
        let mut series = synthetic_series();
        let sizes = [20.0, 50.0, 100.0, 150.0, most];
        series.insert("flat-memory".into(), line("B", &sizes, 0.0, 1.0));
        let inputs = inputs_of(series);
        let text = tables(&inputs).expect("valid data")["balancer-flat"].clone();
        let cell = text
            .lines()
            .find(|line| line.contains("memory, 256 entries"))
            .expect("a row");
        assert!(cell.contains(expected), "{cell}");
        assert_eq!(cell.contains("**stretched"), most < 210.0, "{cell}");
    }
    // Extrapolation from three sizes is marked, and so is a point off the line.
    let mut series = synthetic_series();
    let mut few = line("B", &[100.0, 200.0, 300.0], 0.0, 1.0);
    few.points[1].1 = 260.0;
    series.insert("flat-memory".into(), few);
    let text = tables(&inputs_of(series)).expect("valid data")["balancer-flat"].clone();
    assert!(
        text.contains("**too few sizes**") && text.contains("bends, off by"),
        "{text}"
    );
}

#[test]
fn invalid_data_is_rejected_by_name() {
    let errors_of = |inputs: &Inputs| tables(inputs).expect_err("invalid data").join("\n");
    let mut series = synthetic_series();
    series.insert("flat-bytes".into(), line("ms", &[1.0, 2.0], 0.0, 1.0));
    assert!(errors_of(&inputs_of(series)).contains("'flat-bytes' is in 'ms'"));

    let mut assumed = parameters();
    let one = assumed.assumptions["servers"].clone();
    assumed.assumptions.insert("odd".into(), one);
    assumed.assumptions.remove("warm-up");
    let inputs = Inputs::new(&root(), MeasuredSeries::default(), Value::Null, assumed);
    let what = errors_of(&inputs);
    assert!(
        what.contains("'odd'") && what.contains("'warm-up'"),
        "{what}"
    );

    let mut assumed = parameters();
    assumed
        .assumptions
        .get_mut("servers")
        .expect("present")
        .question = Some("Nowhere".into());
    assumed
        .assumptions
        .get_mut("settings")
        .expect("present")
        .question = None;
    let questions = fs::read_to_string(root().join(QUESTIONS)).expect("present");
    let what = assumptions_without_question(&assumed, &questions).join("\n");
    assert!(
        what.contains("'servers'") && what.contains("'settings'"),
        "{what}"
    );
    assert_eq!(
        assumptions_without_question(&parameters(), &questions),
        [""; 0]
    );
}

#[test]
fn mechanisms_are_looked_up_in_the_workspace() {
    let row = |by| {
        Row::new(
            "a thing",
            "all",
            figure::Unit::Count,
            figure::Figure::new(1.0),
        )
        .provided_by(by)
    };
    let inputs = inputs_of(BTreeMap::new());
    let there = row(Mechanism::Implemented(
        "crates/cluster/src/node.rs",
        "pub struct Node",
    ));
    assert!(
        !there.lacks_mechanism(&inputs) && !there.format_mechanism(&inputs).contains("missing")
    );
    for gone in [
        Mechanism::Implemented("crates/cluster/src/nowhere.rs", "pub struct Node"),
        Mechanism::Implemented("crates/cluster/src/node.rs", "pub struct Nowhere"),
        Mechanism::Missing("something"),
    ] {
        let gone = row(gone);
        assert!(
            gone.lacks_mechanism(&inputs) && gone.format_mechanism(&inputs).contains("**missing**")
        );
    }
    assert_eq!(
        inputs
            .constant("crates/leases/src/gossip_store.rs", "FANOUT")
            .value(),
        Some(8.0)
    );
    assert_eq!(
        inputs
            .constant("src/discovery/watcher.rs", "LONG_POLL_WAIT")
            .value(),
        Some(2.0)
    );
    assert_eq!(
        inputs.constant("src/discovery/http.rs", "MAX_BODY").value(),
        Some(4.0 * 1024.0 * 1024.0)
    );
    assert_eq!(
        inputs
            .constant("src/discovery/http.rs", "MAX_NOTHING")
            .value(),
        None
    );
}

#[test]
fn simulation_runs_are_found_by_description() {
    let simulation_runs = json!({"delays": [
        {"what": "5% loss", "everywhere": {"last": 9000}},
        {"what": "1% loss", "everywhere": {"last": 13000}, "each": {"p99": 1500}},
    ], "cuts": [
        {"what": "a region for an hour", "control": null, "followers": 350, "bytes": 7e6, "all": 14e6},
    ]});
    let inputs = Inputs::new(
        &root(),
        MeasuredSeries::default(),
        simulation_runs,
        parameters(),
    );
    let rows = control::balancer_follow(&inputs);
    let when = "5,700 a day and a burst of 100 in a minute, 1% loss";
    let last = row(
        &rows,
        "until a change is in force everywhere, the last",
        when,
    );
    assert_close(value(last), 13.0);
    assert_close(last.limit_ratio().expect("a limit"), 13.0 / 12.0);
    assert_close(
        value(row(&rows, "until a change is in force, 99 in 100", when)),
        1.5,
    );
    // An event that did not occur within the run is neither a missing measurement nor a number.
    let healed = "a region healed after an hour, 240 changes, 630 entries";
    let held = row(
        &rows,
        "until the region's own control instances hold all",
        healed,
    );
    assert_eq!(held.format_estimate(), "did not come about");
    let bytes = row(
        &rows,
        "bytes of a balancer in the minute after, over rest",
        healed,
    );
    assert_close(value(bytes), 20_000.0);
    assert_close(bytes.limit_ratio().expect("a limit"), 0.5);
    let lost = row(
        &rows,
        "until a change is in force, 99 in 100",
        "the same, 5% loss",
    );
    assert!(
        lost.format_estimate().starts_with("not measured"),
        "{}",
        lost.format_estimate()
    );
}

#[test]
fn check_fails_if_page_and_data_differ() {
    let folder = std::env::temp_dir().join(format!("spanspur-capacity-{}", std::process::id()));
    fs::create_dir_all(folder.join("docs/measured")).expect("made");
    let files = ["docs/measured/assumptions.json", PAGE, QUESTIONS];
    for file in files {
        fs::copy(root().join(file), folder.join(file)).expect("copied");
    }
    // The folder holds no source code, so constants and mechanisms are missing and the page differs.
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
    assert_eq!(untouched, changed, "the check wrote the page");
}

#[test]
fn markers_and_tables_must_match() {
    let tables = BTreeMap::from([("a", "| new |\n".to_owned())]);
    let page = "before\n<!-- capacity:a -->\nold\n<!-- /capacity:a -->\nafter\n";
    let filled = fill_page(page, &tables).expect("filled");
    assert_eq!(
        filled,
        "before\n<!-- capacity:a -->\n\n| new |\n\n<!-- /capacity:a -->\nafter\n"
    );
    assert_eq!(
        fill_page(&filled, &tables),
        Ok(filled.clone()),
        "filling twice changed the page"
    );
    for wrong in [
        "none".to_owned(),
        page.replace("<!-- /capacity:a -->", ""),
        page.repeat(2),
        page.to_owned() + "<!-- capacity:b -->\n<!-- /capacity:b -->\n",
        "<!-- /capacity:a --><!-- capacity:a -->".to_owned(),
    ] {
        assert!(fill_page(&wrong, &tables).is_err(), "{wrong}");
    }
}

#[test]
fn figures_are_formatted_with_three_digits_and_a_unit() {
    use figure::Unit::*;
    for (unit, value, expected) in [
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
        assert_eq!(unit.format(value), expected, "{unit:?}");
    }
}
