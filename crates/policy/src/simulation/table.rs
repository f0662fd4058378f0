//! Markdown tables in the format of `docs/DECISIONS.md`.

use std::fmt;

/// A Markdown table.
#[derive(Debug, Clone, Default)]
pub struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headings and no rows.
    pub fn new(head: &[&str]) -> Self {
        Self { head: head.iter().map(ToString::to_string).collect(), rows: Vec::new() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().chain([&self.head]).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }

    fn line(&self, f: &mut fmt::Formatter<'_>, cells: &[String]) -> fmt::Result {
        for (column, cell) in cells.iter().enumerate() {
            let width = self.width(column);
            if column == 0 {
                write!(f, "| {cell:<width$} |")?
            } else {
                write!(f, " {cell:>width$} |")?
            }
        }
        writeln!(f)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.line(f, &self.head)?;
        let rule = |column: usize| "-".repeat(self.width(column).max(1));
        let rules: Vec<String> = (0..self.head.len()).map(rule).collect();
        self.line(f, &rules)?;
        self.rows.iter().try_for_each(|row| self.line(f, row))
    }
}
