//! Attainment over time, as a picture.

use super::summary::Summary;
use plotters::prelude::*;

const SIZE: (u32, u32) = (960, 480);
/// Seconds over which a line is averaged.
const WINDOW: usize = 5;

/// One policy's line.
#[derive(Debug, Clone)]
pub struct Line {
    name: String,
    /// Time in seconds and attainment.
    points: Vec<(f64, f64)>,
}

impl Line {
    /// The mean over seeds, second by second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn new(name: &str, summaries: &[Summary]) -> Self {
        let seconds = summaries
            .iter()
            .map(|summary| summary.by_second.len())
            .min()
            .unwrap_or(0);
        let mean = |second: usize| {
            let window = second..(second + WINDOW).min(seconds);
            let values = summaries
                .iter()
                .flat_map(|summary| &summary.by_second[window.clone()]);
            let values: Vec<f64> = values.copied().collect();
            (
                second as f64,
                values.iter().sum::<f64>() / values.len().max(1) as f64,
            )
        };
        Self {
            name: name.into(),
            points: (0..seconds).map(mean).collect(),
        }
    }
}

/// Draws lines into an SVG file.
///
/// # Errors
/// When the file can't be written.
pub fn draw(file: &str, title: &str, lines: &[Line]) -> Result<(), String> {
    let file = file.replace(".svg", &format!("-{title}.svg"));
    let text = |error: &dyn std::fmt::Display| format!("cannot draw {file}: {error}");
    let area = SVGBackend::new(&file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| text(&error))?;
    let end = lines
        .iter()
        .flat_map(|line| &line.points)
        .map(|point| point.0)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..1.05)
        .map_err(|error| text(&error))?;
    chart
        .configure_mesh()
        .x_desc("s")
        .draw()
        .map_err(|error| text(&error))?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.clone(), colour))
            .map_err(|error| text(&error))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|error| text(&error))?;
    area.present().map_err(|error| text(&error))
}
