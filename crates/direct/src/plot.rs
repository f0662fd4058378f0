//! Draws counts over time.

use compact_str::CompactString;
use plotters::coord::ranged1d::{AsRangedCoord, ValueFormatter};
use plotters::prelude::*;
use std::error::Error;

/// The result of drawing.
pub type Result<T, E = Box<dyn Error + Send + Sync>> = std::result::Result<T, E>;

/// Width and height of the picture in pixels.
const SIZE: (u32, u32) = (900, 420);

/// One line of the picture.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Series {
    /// Its name in the legend.
    pub label: CompactString,
    /// The count in each second, in order.
    pub points: Vec<(u32, u64)>,
}

/// The scale of the counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scale {
    /// For counts of similar size.
    Linear,
    /// For counts of different orders of magnitude. It has no zero, which is drawn as 1.
    Logarithmic,
}

/// Draws the series, as SVG.
pub fn draw(series: &[Series], scale: Scale) -> Result<String> {
    let points = || series.iter().flat_map(|series| &series.points);
    let most = points().map(|(_, count)| *count).max().unwrap_or(1).max(1);
    match scale {
        Scale::Linear => draw_on(series, 0..most + 1, 0),
        Scale::Logarithmic => draw_on(series, (1..most + 1).log_scale(), 1),
    }
}

/// Draws on a scale of counts that begins at `least`.
fn draw_on<Y>(series: &[Series], counts: Y, least: u64) -> Result<String>
where
    Y: AsRangedCoord<Value = u64>,
    Y::CoordDescType: ValueFormatter<u64>,
{
    let points = series.iter().flat_map(|series| &series.points);
    let last = points.map(|(second, _)| *second + 1).max().unwrap_or(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plain)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(0..last, counts)
            .map_err(plain)?;
        chart.configure_mesh().x_desc("seconds").y_desc("a second").draw().map_err(plain)?;
        for (number, Series { label, points }) in series.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let points = points.iter().map(|(second, count)| (*second, (*count).max(least)));
            chart
                .draw_series(LineSeries::new(points, &color))
                .map_err(plain)?
                .label(label.as_str())
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
