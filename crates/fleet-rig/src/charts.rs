//! Draws charts as SVG files.

use plotters::prelude::*;
use std::path::Path;

/// A named line of points.
pub type Line = (String, Vec<(f64, f64)>);

/// Draws a line chart into a file. Both axes start at 0, or are logarithmic if `log` is set. Fails if the file cannot
/// be written.
pub fn line_chart(
    file: &Path,
    title: &str,
    (x_name, y_name): (&str, &str),
    log: bool,
    lines: &[Line],
) -> Result<(), String> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter());
    let axis_end = |value: fn(&(f64, f64)) -> f64| points().map(value).fold(1.0, f64::max) * 1.1;
    let (x_end, y_end) = (axis_end(|p| p.0), axis_end(|p| p.1));
    let area = SVGBackend::new(file, (760, 460)).into_drawing_area();
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    area.fill(&WHITE).map_err(|e| failed(&e))?;
    let mut builder = ChartBuilder::on(&area);
    builder
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(64);
    macro_rules! draw {
        ($x:expr, $y:expr) => {{
            let mut chart = builder.build_cartesian_2d($x, $y).map_err(|e| failed(&e))?;
            chart
                .configure_mesh()
                .x_desc(x_name)
                .y_desc(y_name)
                .draw()
                .map_err(|e| failed(&e))?;
            for (n, (name, points)) in lines.iter().enumerate() {
                let color = Palette99::pick(n).to_rgba();
                chart
                    .draw_series(
                        LineSeries::new(points.clone(), color.stroke_width(2)).point_size(3),
                    )
                    .map_err(|e| failed(&e))?
                    .label(name.as_str())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
            }
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperLeft)
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()
                .map_err(|e| failed(&e))?;
        }};
    }
    if log {
        let y_start = points()
            .map(|p| p.1)
            .filter(|y| *y > 0.0)
            .fold(y_end, f64::min)
            * 0.8;
        draw!((1.0..x_end).log_scale(), (y_start..y_end).log_scale());
    } else {
        draw!(0.0..x_end, 0.0..y_end);
    }
    area.present().map_err(|e| failed(&e))
}
