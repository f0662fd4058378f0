//! Tables of aligned columns.

/// Rows under a heading.
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading and no rows.
    pub(super) fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row with as many cells as the heading.
    pub(super) fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            writeln!(f, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        Ok(())
    }
}
