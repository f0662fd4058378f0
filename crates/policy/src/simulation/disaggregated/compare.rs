//! The table that compares ways of deciding.

use super::{Figures, Options, run, swinging};
use crate::simulation::table::Table;
use crate::{prefill, split};
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

/// Compares what entries know of engines' queues, for the same load an engine with more and more
/// entries: told by each to all others, or known by one coordinator an engine.
pub fn compare_coordination() -> Table {
    let head = ["entries", "engines", "told each", "long: in time", "late", "refused", "worth"];
    let mut table = Table::new(&head);
    for (entries, engines) in [(5, 14), (12, 48), (27, 48), (68, 48), (390, 48)] {
        for coordinated in [false, true] {
            let options = Options { entries, engines, coordinated, ..many(entries) };
            let outcome = run(&Figures::default(), &swinging().times(engines, 14), &options);
            let told = format!("{:.0} ms", options.news * 1e3);
            table.row(vec![
                entries.to_string(),
                engines.to_string(),
                if coordinated { "coordinated".into() } else { told },
                format!("{} of {}", outcome.long.in_time, outcome.long.asked),
                outcome.long.late.to_string(),
                outcome.long.refused.to_string(),
                format!("{:.3}", outcome.long.worth()),
            ]);
        }
    }
    table
}

/// So many entries, of which each tells all others: 5 ms apart for each four of them, which is 3% of
/// a link of 200 Mbit/s at 68.
pub(super) fn many(entries: usize) -> Options {
    let pauses = u32::try_from((entries - 1).div_ceil(4)).unwrap_or(u32::MAX);
    Options { entries, news: 0.005 * f64::from(pauses), domains: 6, ..Options::default() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ways() -> Vec<(&'static str, Options)> {
    let options = Options::default();
    let prompts = |prompts| Options { prompts, ..Options::default() };
    let settings = prefill::Settings::default();
    let readers = |readers| Options {
        split: split::Settings { fixed_share: Some(readers), ..split::Settings::default() },
        ..Options::default()
    };
    vec![
        ("lapismast", options.clone()),
        (
            "no copies",
            prompts(prefill::Settings { min_copy_tokens: u64::MAX / 2, ..settings.clone() }),
        ),
        (
            "latecomers like fresh ones",
            prompts(prefill::Settings { late_fraction: 1.0, ..settings.clone() }),
        ),
        ("writers anywhere", Options { near: false, ..options.clone() }),
        ("105 ms left", prompts(prefill::Settings { reserve: ms(105), ..settings.clone() })),
        ("20 ms left", prompts(prefill::Settings { reserve: ms(20), ..settings })),
        ("news after 100 ms", Options { news: 0.1, ..options }),
        ("0.50 read", readers(0.5)),
        ("0.57 read", readers(0.57)),
        ("0.64 read", readers(0.64)),
        ("0.78 read", readers(0.78)),
    ]
}
