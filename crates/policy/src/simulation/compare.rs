//! Runs a load pattern under several setups and makes a table of what callers received.

use super::figures::Figures;
use super::pool::{self, Plan};
use super::scenario::capacity;
use super::setup::Setup;
use super::table::Table;
use super::work::Stream;
use crate::number::float;

/// The setups that every pattern is compared under.
pub fn setups() -> Vec<Setup> {
    vec![
        Setup::all(),
        Setup::static_roles(),
        Setup::first_come(),
        Setup::round_robin(),
        Setup::least_connections(),
    ]
}

/// Compares setups under a plan; `classes` get columns of their own.
pub fn compare(plan: &Plan, setups: &[Setup], classes: &[&str]) -> Table {
    let mut head = vec!["way".to_owned(), "goodput, tokens/s".to_owned()];
    for class in classes {
        head.push(format!("{class}: in time"));
        head.push("worst caller".to_owned());
        head.push("first token p99".to_owned());
    }
    let rest = ["refused", "late", "failed", "retries", "crashes", "role changes"];
    head.extend(rest.map(str::to_owned));
    let head: Vec<&str> = head.iter().map(String::as_str).collect();
    let mut table = Table::new(&head);
    for setup in setups {
        let figures = pool::run(plan, setup);
        table.row(row(setup.name, &figures, classes));
    }
    table
}

/// The cells of one setup.
pub fn row(name: &str, figures: &Figures, classes: &[&str]) -> Vec<String> {
    let mut cells = vec![name.to_owned(), format!("{:.0}", figures.goodput())];
    for class in classes {
        let tally = figures.classes.get(class).cloned().unwrap_or_default();
        cells.push(percent(tally.hit_rate()));
        cells.push(percent(figures.worst_caller(class)));
        cells.push(format!("{:.2} s", figures.first_token_p99(class)));
    }
    let total = figures.total();
    let share = |part: u64| percent(float(part) / float(total.asked.max(1)));
    cells.extend([share(total.refused), share(total.late), share(total.failed)]);
    cells.push(share(figures.retries));
    cells.push(figures.crashes.to_string());
    cells.push(figures.role_changes.to_string());
    cells
}

/// A share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{:.1} %", share * 100.0)
}

/// Output tokens a second of usual short requests that mixed engines can write at most.
pub fn capacity_tokens(engines: usize) -> f64 {
    let Stream { prompt, output, .. } = Stream::default();
    capacity(engines, prompt, output) * output
}
