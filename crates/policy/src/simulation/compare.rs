//! Simulates a scenario under several setups and tabulates the results.

use super::pool::{self, Scenario};
use super::results::Results;
use super::scenario::capacity;
use super::setup::Setup;
use super::table::Table;
use super::workload::ArrivalStream;
use crate::number::float;

/// Returns the setups under which every scenario is compared.
pub fn setups() -> Vec<Setup> {
    vec![
        Setup::all(),
        Setup::static_roles(),
        Setup::first_come(),
        Setup::round_robin(),
        Setup::least_connections(),
    ]
}

/// Compares setups in a scenario; each of the `classes` gets its own columns.
pub fn compare(scenario: &Scenario, setups: &[Setup], classes: &[&str]) -> Table {
    let mut head = vec!["way".to_owned(), "goodput, tokens/s".to_owned()];
    for class in classes {
        head.push(format!("{class}: in time"));
        head.push("worst caller".to_owned());
        head.push("first token p99".to_owned());
    }
    let totals = ["refused", "late", "failed", "retries", "crashes", "role changes"];
    head.extend(totals.map(str::to_owned));
    let head: Vec<&str> = head.iter().map(String::as_str).collect();
    let mut table = Table::new(&head);
    for setup in setups {
        let results = pool::run(scenario, setup);
        table.row(row(setup.name, &results, classes));
    }
    table
}

/// Returns the table row of one setup.
pub fn row(name: &str, results: &Results, classes: &[&str]) -> Vec<String> {
    let mut cells = vec![name.to_owned(), format!("{:.0}", results.goodput())];
    for class in classes {
        let tally = results.classes.get(class).cloned().unwrap_or_default();
        cells.push(percent(tally.in_time_rate()));
        cells.push(percent(results.worst_caller(class)));
        cells.push(format!("{:.2} s", results.first_token_p99(class)));
    }
    let total = results.total();
    let share = |part: u64| percent(float(part) / float(total.calls.max(1)));
    cells.extend([share(total.refused), share(total.late), share(total.failed)]);
    cells.push(share(results.retries));
    cells.push(results.crashes.to_string());
    cells.push(results.role_changes.to_string());
    cells
}

/// Formats a fraction as a percentage.
pub fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

/// Returns the maximum output tokens per second of mixed engines under the default stream of
/// requests.
pub fn capacity_tokens(engines: usize) -> f64 {
    let ArrivalStream { prompt, output, .. } = ArrivalStream::default();
    capacity(engines, prompt, output) * output
}
