//! The lines through measured points, and the file that keeps them.

use spanspur_fleet_rig::series::{MeasuredSeries, Series};

fn series(points: &[(f64, f64)]) -> Series {
    Series {
        what: "a test".into(),
        command: "none".into(),
        size: "things".into(),
        unit: "us".into(),
        runs: 1,
        points: points.to_vec(),
    }
}

#[test]
fn a_line_is_found_with_its_spread() {
    let exact = series(&[
        (1.0, 5.0),
        (2.0, 7.0),
        (4.0, 11.0),
        (8.0, 19.0),
        (16.0, 35.0),
    ]);
    let fit = exact.fit().expect("five points");
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9);
    assert!(fit.slope_error < 1e-9 && fit.max_residual < 1e-9);
    assert_eq!(exact.predict(100.0).map(f64::round), Some(203.0));
    assert_eq!(
        (exact.extrapolation(8.0), exact.extrapolation(160.0)),
        (1.0, 10.0)
    );

    let bent = series(&[
        (1.0, 5.0),
        (2.0, 7.0),
        (4.0, 14.0),
        (8.0, 19.0),
        (16.0, 35.0),
    ]);
    let fit = bent.fit().expect("five points");
    // The standard error by hand: residuals of the least-squares line over 3 degrees of freedom.
    assert!((fit.slope_error - 0.1244).abs() < 1e-3, "{fit:?}");
    assert!(fit.max_residual > 0.05 && fit.max_residual < 0.1, "{fit:?}");

    assert_eq!(series(&[(3.0, 1.0)]).fit(), None);
    assert_eq!(series(&[(3.0, 1.0), (3.0, 2.0)]).fit(), None);
}

#[test]
fn a_series_is_put_beside_the_others() {
    let file = std::env::temp_dir().join(format!("spanspur-series-{}.json", std::process::id()));
    let put = |name: &str, y: f64| {
        MeasuredSeries::update(&file, [(name.to_owned(), series(&[(1.0, y)]))])
    };
    put("a", 1.0)
        .and(put("b", 2.0))
        .and(put("a", 3.0))
        .expect("written");
    let read = MeasuredSeries::read(&file).expect("read");
    std::fs::write(&file, "{\"a\": {\"odd\": 1}}").expect("written");
    let odd = MeasuredSeries::read(&file);
    std::fs::remove_file(&file).expect("removed");
    let values: Vec<f64> = read.0.values().map(|s| s.points[0].1).collect();
    assert_eq!(values, [3.0, 2.0]);
    assert!(odd.is_err_and(|what| what.contains("odd")));
}
