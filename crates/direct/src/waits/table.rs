//! Prints a summary, as text or JSON.

use super::Second;
use super::summary::{Samples, Summary, Tally, TargetTally};
use compact_str::{CompactString, format_compact};
use jiff::Timestamp;
use serde_json::{Map, Value, json};
use std::cmp::Ordering;
use std::fmt::Write;

/// What the sums of a table are by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// The second of arrival, and the route.
    Second,
    /// The route.
    Route,
    /// The outcome of requests that were not served.
    Outcome,
    /// The target of the longest pause.
    Target,
}

/// A row: its cells with the names of their columns.
type Row = Vec<(&'static str, Value)>;

/// The width of columns with text; those with numbers are as wide as their names, and at least
/// [`NUMBER_WIDTH`].
const TEXT_WIDTH: usize = 20;

/// The least width of columns with numbers.
const NUMBER_WIDTH: usize = 8;

impl Table {
    /// All tables, in the order in which they are printed.
    pub const ALL: [Self; 4] = [Self::Second, Self::Route, Self::Outcome, Self::Target];

    /// The table of this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|table| table.name() == name)
    }

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Second => "second",
            Self::Route => "route",
            Self::Outcome => "outcome",
            Self::Target => "target",
        }
    }

    fn rows(self, summary: &Summary) -> Vec<Row> {
        match self {
            Self::Second => {
                let seconds = summary.seconds.iter().map(|((second, route), tally)| {
                    let second = time(*second);
                    row(
                        [("second", json!(second.as_str())), ("route", json!(route.as_str()))],
                        tally,
                    )
                });
                seconds.collect()
            }
            Self::Route => {
                let routes = summary.routes();
                routes.iter().map(|(route, tally)| row([("route", json!(route))], tally)).collect()
            }
            Self::Outcome => {
                let outcomes = summary.outcomes.iter().map(|((kind, outcome), count)| {
                    vec![
                        ("kind", json!(kind)),
                        ("outcome", json!(outcome.as_str())),
                        ("requests", json!(count)),
                    ]
                });
                outcomes.collect()
            }
            Self::Target => {
                let mut targets: Vec<_> = summary.targets.iter().collect();
                targets.sort_by(|(_, a), (_, b)| {
                    let by_pause = || b.pauses.mean().partial_cmp(&a.pauses.mean());
                    let by_late = b.late_pause.cmp(&a.late_pause);
                    by_late.then_with(|| by_pause().unwrap_or(Ordering::Equal))
                });
                targets.into_iter().map(|(target, tally)| target_row(target, tally)).collect()
            }
        }
    }
}

/// Returns the tables as text.
pub fn text(summary: &Summary, tables: &[Table]) -> String {
    let mut text = String::new();
    for table in tables {
        let rows = table.rows(summary);
        if let Some(first) = rows.first() {
            let names = first.iter().map(|(name, value)| cell(name, value, (*name).into()));
            push_line(&mut text, names);
        }
        for row in &rows {
            push_line(&mut text, row.iter().map(|(name, value)| cell(name, value, plain(value))));
        }
        if !rows.is_empty() {
            text.push('\n');
        }
    }
    let Summary { unreadable, dropped, .. } = summary;
    if *unreadable > 0 || *dropped > 0 {
        // Writing to a string doesn't fail.
        let _ = writeln!(text, "lines not readable: {unreadable}, dropped by processes: {dropped}");
    }
    text
}

/// Returns the tables as JSON, each as an array of objects under the plural of its name.
pub fn json(summary: &Summary, tables: &[Table]) -> Value {
    let mut all = Map::new();
    for table in tables {
        let rows = table.rows(summary).into_iter();
        let objects = rows.map(|row| row.into_iter().map(|(name, value)| (name.to_owned(), value)));
        let objects = objects.map(|object| Value::Object(object.collect()));
        all.insert(format!("{}s", table.name()), objects.collect());
    }
    all.insert("unreadable_lines".into(), json!(summary.unreadable));
    all.insert("dropped_lines".into(), json!(summary.dropped));
    Value::Object(all)
}

fn row<const N: usize>(keys: [(&'static str, Value); N], tally: &Tally) -> Row {
    let counts = tally.counts.columns().into_iter().map(|(name, count)| (name, json!(count)));
    let mut row: Row = keys.into_iter().chain(counts).collect();
    row.push(("prefill_ms", number(tally.prefill.mean())));
    row.push(("prefill_p90", number(tally.prefill.p90())));
    row.push(("slot_ms", number(tally.slot.mean())));
    row.push(("slot_p90", number(tally.slot.p90())));
    row.push(("network_ms", number(tally.network.mean())));
    row.push(("network_p90", number(tally.network.p90())));
    row.push(("transfer_ms", number(tally.transfer.mean())));
    row.push(("promised_ms", number(tally.promise.mean())));
    row
}

fn target_row(target: &CompactString, tally: &TargetTally) -> Row {
    let mean = |samples: &Samples| number(samples.mean());
    vec![
        ("target", json!(target.as_str())),
        ("streams", json!(tally.streams)),
        ("late_pause", json!(tally.late_pause)),
        ("gap_ms", mean(&tally.pauses)),
        ("gap_p90", number(tally.pauses.p90())),
        ("running", mean(&tally.running)),
        ("prompts", mean(&tally.prompts)),
    ]
}

/// A mean or percentile to one decimal.
fn number(value: Option<f64>) -> Value {
    value.map_or(Value::Null, |value| json!((value * 10.0).round() / 10.0))
}

fn time(second: Second) -> CompactString {
    let time = Timestamp::from_second(second).unwrap_or(Timestamp::UNIX_EPOCH);
    format_compact!("{}", time.strftime("%Y-%m-%dT%H:%M:%S"))
}

fn push_line(text: &mut String, cells: impl Iterator<Item = CompactString>) {
    let line: Vec<CompactString> = cells.collect();
    text.push_str(line.join(" ").trim_end());
    text.push('\n');
}

/// Pads a cell: text to the right, numbers to the left.
fn cell(name: &str, value: &Value, content: CompactString) -> CompactString {
    if value.is_string() {
        return format_compact!("{content:<TEXT_WIDTH$}");
    }
    let width = name.len().max(NUMBER_WIDTH);
    format_compact!("{content:>width$}")
}

fn plain(value: &Value) -> CompactString {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.into(),
        other => format_compact!("{other}"),
    }
}
