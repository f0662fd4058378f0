//! Tables that compare variants of the decisions.

use super::{EngineParameters, Options, run, swinging};
use crate::prefill;
use crate::simulation::table::Table;
use std::time::Duration;

/// Compares the default decisions with variants that change one of them, under a swinging load.
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
    for (name, options) in variants() {
        let results = run(&EngineParameters::default(), &swinging(), &options);
        table.row(vec![
            name.into(),
            format!("{} of {}", results.long.in_time, results.long.requests),
            results.long.late.to_string(),
            results.long.refused.to_string(),
            format!("{:.1} %", results.share_of_bound() * 100.0),
            format!("{} of {}", results.short.in_time, results.short.requests),
            results.preempted.to_string(),
            format!("{:.1}", crate::number::float(results.recomputed_tokens) / 1e6),
        ]);
    }
    table
}

/// Compares ways in which entries learn the length of engines' queues, with increasing numbers of
/// entries at the same load per engine: from updates by all others, or from one coordinator for
/// each engine.
pub fn compare_coordination() -> Table {
    let head = ["entries", "engines", "told each", "long: in time", "late", "refused", "worth"];
    let mut table = Table::new(&head);
    for (entries, engines) in [(5, 14), (12, 48), (27, 48), (68, 48), (390, 48)] {
        for coordinated in [false, true] {
            let options = Options { entries, engines, coordinated, ..with_entries(entries) };
            let results =
                run(&EngineParameters::default(), &swinging().scale_to(engines, 14), &options);
            let interval = format!("{:.0} ms", options.update_interval * 1e3);
            table.row(vec![
                entries.to_string(),
                engines.to_string(),
                if coordinated { "coordinated".into() } else { interval },
                format!("{} of {}", results.long.in_time, results.long.requests),
                results.long.late.to_string(),
                results.long.refused.to_string(),
                format!("{:.3}", results.long.utility()),
            ]);
        }
    }
    table
}

/// Options for a number of entries, each of which sends updates to all others: every 5 ms per four
/// entries, which takes 3% of a link of 200 Mbit/s at 68 entries.
pub(super) fn with_entries(entries: usize) -> Options {
    let intervals = u32::try_from((entries - 1).div_ceil(4)).unwrap_or(u32::MAX);
    Options {
        entries,
        update_interval: 0.005 * f64::from(intervals),
        domains: 6,
        ..Options::default()
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn variants() -> Vec<(&'static str, Options)> {
    let options = Options::default();
    let prefill = |prefill| Options { prefill, ..Options::default() };
    let settings = prefill::Settings::default();
    let prefill_share = |share| Options { prefill_share: share, ..Options::default() };
    vec![
        ("lapismast", options.clone()),
        (
            "no copies",
            prefill(prefill::Settings { min_copy_tokens: u64::MAX / 2, ..settings.clone() }),
        ),
        (
            "latecomers like fresh ones",
            prefill(prefill::Settings { late_fraction: 1.0, ..settings.clone() }),
        ),
        ("writers anywhere", Options { prefer_same_domain: false, ..options.clone() }),
        ("105 ms left", prefill(prefill::Settings { reserve: ms(105), ..settings.clone() })),
        ("20 ms left", prefill(prefill::Settings { reserve: ms(20), ..settings })),
        ("news after 100 ms", Options { update_interval: 0.1, ..options }),
        ("0.50 read", prefill_share(0.5)),
        ("0.57 read", prefill_share(0.57)),
        ("0.64 read", prefill_share(0.64)),
        ("0.78 read", prefill_share(0.78)),
    ]
}
