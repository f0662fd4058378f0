//! Prints the tables of `docs/DECISIONS.md`:
//! `cargo run --release -p policy --example decisions -- NAME`.

use policy::simulation::compare::{capacity_tokens, compare, setups};
use policy::simulation::scenario::{self, ENGINES, Scale};
use policy::simulation::setup::Setup;
use policy::simulation::table::Table;
use policy::simulation::{disaggregated, late_binding, swing};

const FULL: Scale = Scale(1.0);

/// Returns the policies that the project ships.
fn policies() -> Vec<(&'static str, conf::resource::Policy)> {
    let shipped = [
        ("sredets.yaml", include_str!("../policies/sredets.yaml")),
        ("relieve.yaml", include_str!("../policies/relieve.yaml")),
    ];
    shipped.map(|(name, text)| (name, policy(text))).into()
}

fn policy(text: &str) -> conf::resource::Policy {
    let resources = conf::Resource::parse_all(text).expect("a shipped policy is valid YAML");
    match resources.first().map(conf::Resource::check) {
        Some(Ok(conf::Spec::Policy(policy))) => policy,
        other => panic!("a shipped policy passes the check: {other:?}"),
    }
}

fn pool(engines: usize, domains: usize, efficiency: f64) -> swing::Pool {
    swing::Pool { engines, domains, efficiency }
}

fn table(name: &str) -> Option<Table> {
    let late = late_binding::Setup::default();
    let table = match name {
        "late-binding" => late_binding::compare(&late),
        "late-binding-slots" => {
            late_binding::compare(&late_binding::Setup { targets: ENGINES, slots: 16, ..late })
        }
        "late-binding-slow-link" => {
            late_binding::compare(&late_binding::Setup { round_trip: 0.05, ..late })
        }
        "late-binding-paper" => late_binding::compare(&late_binding::Setup {
            lengths: late_binding::Lengths::Paper,
            ..late
        }),
        "burst" => compare(&scenario::burst(FULL), &setups(), &["short", "urgent"]),
        "hot-caller" => compare(&scenario::hot_caller(FULL), &setups(), &["short", "hot"]),
        "hot-prefix" => compare(&scenario::hot_prefix(FULL), &setups(), &["hot-prefix", "prefix"]),
        "slow-target" => compare(&scenario::slow_target(FULL), &setups(), &["short", "urgent"]),
        "failing-target" => {
            compare(&scenario::failing_target(FULL), &setups(), &["short", "urgent"])
        }
        "long-among-short" => {
            let mut setups = setups();
            setups.insert(2, Setup::one_class());
            compare(&scenario::long_among_short(FULL), &setups, &["short", "long"])
        }
        "short-alone" => compare(&scenario::short_alone(FULL), &setups(), &["short"]),
        "overload-1.5" => compare(&scenario::overload(1.5, FULL), &setups(), &["short", "urgent"]),
        "overload-3" => compare(&scenario::overload(3.0, FULL), &setups(), &["short", "urgent"]),
        "poison" => compare(&scenario::poison(FULL), &setups(), &["short", "poison"]),
        "poison-at-once" => {
            compare(&scenario::poison_at_once(FULL), &setups(), &["short", "poison"])
        }
        "retry-storm" => compare(&scenario::retry_storm(FULL), &setups(), &["short"]),
        "parted" => disaggregated::compare(),
        "knowledge" => disaggregated::compare_coordination(),
        "swing" => swing::compare(FULL, &pool(14, 3, 0.85), &policies()),
        "swing-costly-mixing" => swing::compare(FULL, &pool(14, 3, 0.6), &policies()),
        "swing-small" => swing::compare(FULL, &pool(9, 4, 0.85), &policies()),
        "swing-small-costly-mixing" => swing::compare(FULL, &pool(9, 4, 0.6), &policies()),
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
