//! Plot of the number of answers in each second, by outcome.

use std::collections::BTreeSet;
use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::summary::AnswerCounts;
use crate::error::CommandError;

/// Width and height of the plot.
const SIZE_PIXELS: (u32, u32) = (960, 480);
const TITLE_HEIGHT_PIXELS: u32 = 20;
/// Space for the labels of each axis.
const LABEL_SPACE_PIXELS: u32 = 44;
/// Length of the line beside an outcome in the legend.
const LEGEND_LINE_PIXELS: i32 = 18;
/// Least upper end of the axis of counts, so that logs without answers can be plotted.
const MIN_AXIS_COUNT: u64 = 1;

/// Writes an SVG file with a line for each outcome.
pub fn draw(path: &Path, counts_by_second: &AnswerCounts) -> Result<(), CommandError> {
    draw_chart(path, counts_by_second)
        .map_err(|error| CommandError::Draw { path: path.to_owned(), problem: error.to_string() })
}

fn draw_chart(path: &Path, counts_by_second: &AnswerCounts) -> Result<(), Box<dyn Error>> {
    let outcomes: BTreeSet<_> =
        counts_by_second.values().flat_map(|counts| counts.keys()).collect();
    let max_count = counts_by_second.values().flat_map(|counts| counts.values()).copied().max();
    let axis_end = max_count.unwrap_or_default().max(MIN_AXIS_COUNT) + 1;
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let first = counts_by_second.keys().next().map_or("no answers", String::as_str);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("Answers a second from {first}"), ("sans-serif", TITLE_HEIGHT_PIXELS))
        .set_all_label_area_size(LABEL_SPACE_PIXELS)
        .build_cartesian_2d(0..counts_by_second.len().max(1), 0..axis_end)?;
    chart.configure_mesh().x_desc("seconds with answers").y_desc("answers").draw()?;
    for (index, outcome) in outcomes.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let count = |counts: &std::collections::BTreeMap<String, u64>| {
            counts.get(outcome).copied().unwrap_or_default()
        };
        let points = counts_by_second.values().map(count).enumerate();
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(outcome)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PIXELS, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
