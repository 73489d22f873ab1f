//! Classification of the values that backends report on connections.

use spanspur::api::*;
use spanspur::runtime::report_classifier::{Report, ReportClassifier};

const SERVER: ServerId = ServerId(1);

/// The reports of a server whose message times grow: time, value, and whether it is the first on its connection.
const GROWING_MESSAGE_TIMES: [(Time, f64, bool); 7] = [
    (0.0, 60_000.0, true),
    (0.5, 122.5, false),
    (1.5, 900.0, false),
    (2.5, 1_955.0, false),
    (3.0, 48_000.0, false),
    // The load of an idle connection is not reported at the interval.
    (3.2, 1_400.0, false),
    // On another connection, a second after the server's last message time.
    (3.5, 2_004.0, false),
];

fn classify(values: &[(Time, f64, bool)]) -> Vec<Report> {
    classify_scaled(1.0, values)
}

/// Classifies values with the latency objective and all values multiplied by `scale`.
fn classify_scaled(scale: f64, values: &[(Time, f64, bool)]) -> Vec<Report> {
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
    let classify = |&(now, value, is_first): &(Time, f64, bool)| {
        reports.classify(now, SERVER, value * scale, is_first)
    };
    values.iter().map(classify).collect()
}

#[test]
fn a_message_time_that_exceeds_the_smallest_load_is_recognized_by_its_interval() {
    let reports = classify(&GROWING_MESSAGE_TIMES);
    let message_times: Vec<bool> = reports
        .iter()
        .map(|r| matches!(r, Report::MessageTime(_)))
        .collect();
    assert_eq!(
        message_times,
        [false, true, true, true, false, false, true],
        "{reports:?}"
    );
}

#[test]
fn a_small_value_is_ambiguous_until_another_one_follows_at_the_interval() {
    let reports = classify(&[
        (0.0, 3_600.0, true),
        (9.0, 1_700.0, false),
        (9.4, 1_650.0, false),
    ]);
    assert_eq!(
        reports,
        [Report::Load(3_600.0), Report::Ambiguous, Report::Ambiguous]
    );
    let reports = classify(&[(9.0, 1_700.0, false), (10.01, 1_850.0, false)]);
    assert_eq!(reports, [Report::Ambiguous, Report::MessageTime(1.85)]);
}

#[test]
fn without_message_times_in_the_configuration_values_are_loads() {
    let mut reports = ReportClassifier::new(&BalancerConfig::default());
    assert_eq!(
        reports.classify(0.0, SERVER, 90.0, false),
        Report::Load(90.0)
    );
}

#[test]
fn classification_is_independent_of_scale() {
    let values = [&GROWING_MESSAGE_TIMES[..], &[(3.6, 2_600.0, false)]].concat();
    let kinds = |scale| {
        let reports = classify_scaled(scale, &values);
        let kind = |report: &Report| std::mem::discriminant(report);
        reports.iter().map(kind).collect::<Vec<_>>()
    };
    let expected = kinds(1.0);
    for scale in [0.05, 0.4, 3.0, 20.0] {
        assert_eq!(kinds(scale), expected, "{scale}");
    }
}
