//! Which kind of figure a backend's report on a connection is classified as.

use spanspur::api::*;
use spanspur::runtime::report_classifier::{Report, ReportClassifier};

const SERVER: ServerId = ServerId(1);

/// A server whose messages take longer and longer, as its connections hear it.
const GROWS: [(Time, f64, bool); 7] = [
    (0.0, 60_000.0, true),
    (0.5, 122.5, false),
    (1.5, 900.0, false),
    (2.5, 1_955.0, false),
    (3.0, 48_000.0, false),
    // An idle connection's load keeps no time.
    (3.2, 1_400.0, false),
    // Another connection there; the server's last word is a second old.
    (3.5, 2_004.0, false),
];

fn classify(figures: &[(Time, f64, bool)]) -> Vec<Report> {
    classify_at(1.0, figures)
}

/// At a site of another scale: its objective and all its loads are so many times the usual ones.
fn classify_at(scale: f64, figures: &[(Time, f64, bool)]) -> Vec<Report> {
    let class = RequestClass {
        message_latency_objective: Some(0.25 * scale),
        ..RequestClass::default()
    };
    let config = BalancerConfig {
        reports_latency: true,
        classes: vec![class],
        ..BalancerConfig::default()
    };
    let mut reports = ReportClassifier::new(&config);
    let one = |f: &(Time, f64, bool)| reports.classify(f.0, SERVER, f.1 * scale, f.2);
    figures.iter().map(one).collect()
}

#[test]
fn a_message_time_that_grows_past_the_least_load_stays_one_by_its_time() {
    let told = classify(&GROWS);
    let times: Vec<bool> = told
        .iter()
        .map(|r| matches!(r, Report::MessageTime(_)))
        .collect();
    assert_eq!(
        times,
        [false, true, true, true, false, false, true],
        "{told:?}"
    );
}

#[test]
fn a_small_figure_alone_is_neither_and_a_second_later_it_is_a_message_time() {
    let told = classify(&[
        (0.0, 3_600.0, true),
        (9.0, 1_700.0, false),
        (9.4, 1_650.0, false),
    ]);
    assert_eq!(
        told,
        [Report::Load(3_600.0), Report::Ambiguous, Report::Ambiguous]
    );
    let told = classify(&[(9.0, 1_700.0, false), (10.01, 1_850.0, false)]);
    assert_eq!(told, [Report::Ambiguous, Report::MessageTime(1.85)]);
}

#[test]
fn where_the_settings_name_no_message_times_all_figures_are_loads() {
    let mut reports = ReportClassifier::new(&BalancerConfig::default());
    assert_eq!(
        reports.classify(0.0, SERVER, 90.0, false),
        Report::Load(90.0)
    );
}

#[test]
fn a_site_of_another_scale_is_read_alike() {
    let figures = [&GROWS[..], &[(3.6, 2_600.0, false)]].concat();
    let kinds = |scale| {
        let told = classify_at(scale, &figures);
        let kind = |report: &Report| std::mem::discriminant(report);
        told.iter().map(kind).collect::<Vec<_>>()
    };
    let wanted = kinds(1.0);
    for scale in [0.05, 0.4, 3.0, 20.0] {
        assert_eq!(kinds(scale), wanted, "{scale}");
    }
}
