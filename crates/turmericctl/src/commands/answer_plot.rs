//! A picture of the answers by outcome and second.

use std::collections::BTreeSet;
use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::summary::AnswerCounts;
use crate::error::ControlError;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Height of the title, in pixels.
const TITLE_HEIGHT: u32 = 20;
/// Space for the labels of the axes, in pixels.
const LABEL_SPACE: u32 = 44;
/// Length of the line beside a name in the legend, in pixels.
const LEGEND_LINE: i32 = 18;
/// Lowest upper end of the axis of counts, so that logs without answers give a picture too.
const MIN_COUNT: u64 = 1;

/// Draws the answers into an SVG file: a line for each outcome.
pub fn draw(path: &Path, seconds: &AnswerCounts) -> Result<(), ControlError> {
    draw_lines(path, seconds)
        .map_err(|error| ControlError::Draw { path: path.to_owned(), problem: error.to_string() })
}

fn draw_lines(path: &Path, seconds: &AnswerCounts) -> Result<(), Box<dyn Error>> {
    let outcomes: BTreeSet<_> = seconds.values().flat_map(|counts| counts.keys()).collect();
    let highest = seconds.values().flat_map(|counts| counts.values()).copied().max();
    let count_end = highest.unwrap_or_default().max(MIN_COUNT) + 1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let first = seconds.keys().next().map_or("no answers", String::as_str);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("Answers a second from {first}"), ("sans-serif", TITLE_HEIGHT))
        .set_all_label_area_size(LABEL_SPACE)
        .build_cartesian_2d(0..seconds.len().max(1), 0..count_end)?;
    chart.configure_mesh().x_desc("seconds with answers").y_desc("answers").draw()?;
    for (index, outcome) in outcomes.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let count = |counts: &std::collections::BTreeMap<String, u64>| {
            counts.get(outcome).copied().unwrap_or_default()
        };
        let points = seconds.values().map(count).enumerate();
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(outcome)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
