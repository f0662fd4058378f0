//! Makes the tables of `docs/DECISIONS.md`:
//! `cargo run --release -p policy --example decisions -- NAME`.

use policy::model::compare::{capacity_tokens, compare, setups};
use policy::model::late;
use policy::model::scenario::{self, ENGINES, Scale};
use policy::model::table::Table;

const FULL: Scale = Scale(1.0);

fn table(name: &str) -> Option<Table> {
    let late = late::Setup::default();
    let table = match name {
        "late-binding" => late::compare(&late),
        "late-binding-slots" => late::compare(&late::Setup { targets: ENGINES, slots: 16, ..late }),
        "late-binding-paper" => {
            late::compare(&late::Setup { lengths: late::Lengths::Paper, ..late })
        }
        "burst" => compare(&scenario::burst(FULL), &setups(), &["short", "urgent"]),
        "hot-caller" => compare(&scenario::hot_caller(FULL), &setups(), &["short", "hot"]),
        "hot-prefix" => compare(&scenario::hot_prefix(FULL), &setups(), &["hot-prefix", "prefix"]),
        "slow-target" => compare(&scenario::slow_target(FULL), &setups(), &["short", "urgent"]),
        "failing-target" => {
            compare(&scenario::failing_target(FULL), &setups(), &["short", "urgent"])
        }
        "long-among-short" => {
            compare(&scenario::long_among_short(FULL), &setups(), &["short", "long"])
        }
        "short-alone" => compare(&scenario::short_alone(FULL), &setups(), &["short"]),
        "overload-1.5" => compare(&scenario::overload(1.5, FULL), &setups(), &["short", "urgent"]),
        "overload-3" => compare(&scenario::overload(3.0, FULL), &setups(), &["short", "urgent"]),
        "poison" => compare(&scenario::poison(FULL), &setups(), &["short", "poison"]),
        "retry-storm" => compare(&scenario::retry_storm(FULL), &setups(), &["short"]),
        _ => return None,
    };
    Some(table)
}

fn main() -> std::process::ExitCode {
    for name in std::env::args().skip(1) {
        let Some(table) = table(&name) else {
            eprintln!("unknown table `{name}`");
            return std::process::ExitCode::FAILURE;
        };
        println!("{name} (capacity {:.0} output tokens/s)\n\n{table}", capacity_tokens(ENGINES));
    }
    std::process::ExitCode::SUCCESS
}
