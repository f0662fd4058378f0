//! Prints the table of slopes, in Markdown.

use crate::fit::{Line, Point};

/// One row: measurements of one cost at several sizes.
pub(crate) struct Row {
    /// Role that bears the cost, such as `entry` or `every process`.
    pub(crate) role: &'static str,
    /// Cost that is measured and its unit, such as `memory, bytes`.
    pub(crate) cost: &'static str,
    /// Unit of size, such as `caller`.
    pub(crate) per: &'static str,
    /// The measurements.
    pub(crate) points: Vec<Point>,
}

/// Prints the rows with the line fitted to each.
pub(crate) fn print(rows: &[Row]) {
    println!("| Role | Cost | Per | Slope | At size 0 | Residual | Sizes: measured |");
    println!("|---|---|---|---|---|---|---|");
    for row in rows {
        let line = Line::through(&row.points);
        let points = row.points.iter().map(|(x, y)| format!("{x:.0}: {y:.0}"));
        let points = points.collect::<Vec<_>>().join(", ");
        println!(
            "| {} | {} | {} | {:.1} | {:.0} | {:.1}% | {points} |",
            row.role,
            row.cost,
            row.per,
            line.slope,
            line.base,
            line.residual * 100.0
        );
    }
}
