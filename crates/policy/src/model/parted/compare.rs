//! The table that compares ways of deciding.

use super::{Figures, Options, run, swinging};
use crate::model::table::Table;
use crate::{prompts, split};
use std::time::Duration;

/// Compares the shipped decisions with others, one changed at a time, under a load that swings.
pub fn compare() -> Table {
    let head = [
        "way",
        "long: in time",
        "late",
        "refused",
        "of the bound",
        "short: in time",
        "put back",
        "M tokens read again",
    ];
    let mut table = Table::new(&head);
    for (way, options) in ways() {
        let outcome = run(&Figures::default(), &swinging(), &options);
        table.row(vec![
            way.into(),
            format!("{} of {}", outcome.long.in_time, outcome.long.asked),
            outcome.long.late.to_string(),
            outcome.long.refused.to_string(),
            format!("{:.1} %", outcome.of_bound() * 100.0),
            format!("{} of {}", outcome.short.in_time, outcome.short.asked),
            outcome.put_back.to_string(),
            format!("{:.1}", crate::number::float(outcome.read_again) / 1e6),
        ]);
    }
    table
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ways() -> Vec<(&'static str, Options)> {
    let options = Options::default();
    let prompts = |prompts| Options { prompts, ..Options::default() };
    let settings = prompts::Settings::default();
    let readers = |readers| Options {
        split: split::Settings { fixed: Some(readers), ..split::Settings::default() },
        ..Options::default()
    };
    vec![
        ("lapismast", options.clone()),
        ("no copies", prompts(prompts::Settings { least_copy: u64::MAX / 2, ..settings.clone() })),
        (
            "latecomers like fresh ones",
            prompts(prompts::Settings { late_part: 1.0, ..settings.clone() }),
        ),
        ("writers anywhere", Options { near: false, ..options.clone() }),
        ("105 ms left", prompts(prompts::Settings { reserve: ms(105), ..settings.clone() })),
        ("20 ms left", prompts(prompts::Settings { reserve: ms(20), ..settings })),
        ("news after 100 ms", Options { news: 0.1, ..options }),
        ("0.50 read", readers(0.5)),
        ("0.57 read", readers(0.57)),
        ("0.64 read", readers(0.64)),
        ("0.78 read", readers(0.78)),
    ]
}
