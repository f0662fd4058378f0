//! Draws costs over time.

use super::summary::Summary;
use compact_str::CompactString;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;

/// The result of drawing.
pub type Result<T, E = Box<dyn Error + Send + Sync>> = std::result::Result<T, E>;

/// Width and height of the picture in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws the count of each event in each second, as SVG.
pub fn draw(summary: &Summary) -> Result<String> {
    let seconds: BTreeSet<&CompactString> =
        summary.seconds.keys().map(|(second, _)| second).collect();
    let index: BTreeMap<&CompactString, u32> = seconds.into_iter().zip(0..).collect();
    let last = u32::try_from(index.len()).unwrap_or(u32::MAX).max(1);
    let most = summary.seconds.values().map(|amount| amount.count).max().unwrap_or(1).max(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plain)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(0..last, (1..most + 1).log_scale())
            .map_err(plain)?;
        chart.configure_mesh().x_desc("seconds").y_desc("a second").draw().map_err(plain)?;
        let events: BTreeSet<&CompactString> =
            summary.seconds.keys().map(|(_, event)| event).collect();
        for (number, event) in events.into_iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let points = summary.seconds.iter().filter(|((_, other), _)| other == event);
            let points = points.map(|((second, _), amount)| (index[second], amount.count.max(1)));
            chart
                .draw_series(LineSeries::new(points, &color))
                .map_err(plain)?
                .label(event.as_str())
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw().map_err(plain)?;
        area.present().map_err(plain)?;
    }
    Ok(svg)
}

/// Errors of the drawing library refer to the text that is being drawn.
fn plain<E: Error + Send + Sync>(error: DrawingAreaErrorKind<E>) -> Box<dyn Error + Send + Sync> {
    error.to_string().into()
}
