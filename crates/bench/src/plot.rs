//! Plots as SVG.

use eyre::{eyre, Result};
use plotters::prelude::*;
use std::path::Path;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 400;

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points, by rising x.
    pub points: Vec<(f64, f64)>,
}

/// Draws lines over a common x axis.
///
/// # Errors
/// If the file can't be written.
pub fn plot(path: &Path, title: &str, x_name: &str, lines: &[Line]) -> Result<()> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let most = |value: fn(&(f64, f64)) -> f64| points().map(value).fold(0.0, f64::max).max(1e-9);
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    let fault = |fault: &dyn std::fmt::Display| eyre!("{}: {fault}", path.display());
    root.fill(&WHITE).map_err(|f| fault(&f))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..most(|point| point.0) * 1.05, 0.0..most(|point| point.1) * 1.1)
        .map_err(|f| fault(&f))?;
    chart.configure_mesh().x_desc(x_name).draw().map_err(|f| fault(&f))?;
    for (number, line) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &color))
            .map_err(|f| fault(&f))?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        chart
            .draw_series(line.points.iter().map(|point| Circle::new(*point, 3, color.filled())))
            .map_err(|f| fault(&f))?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw().map_err(|f| fault(&f))?;
    root.present().map_err(|f| fault(&f))
}
