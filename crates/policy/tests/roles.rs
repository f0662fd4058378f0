//! Planning of role changes.

use conf::resource::Role;
use policy::estimate::Rates;
use policy::roles::{Change, Demand, Engine, Planner, RolePlanner, Settings};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

/// Far more prompt tokens than the prefill engine of [`fleet`] can compute, and little output.
const PROMPTS: Demand = Demand { prompt: 40_000.0, output: 500.0 };

/// One prefill engine and five decode engines, in three failure domains.
fn fleet() -> Vec<Engine> {
    let engine = |index: u64| Engine {
        name: format!("engine-{index}").into(),
        domain: index % 3,
        role: if index == 0 { Role::Prefill } else { Role::Decode },
        changing: false,
        usable: true,
        pinned: false,
        since: Duration::ZERO,
        rates: Rates { prefill: 8_000.0, decode: 1_000.0 },
    };
    (0..6).map(engine).collect()
}

fn settings() -> Settings {
    Settings { change_cost: 2_000, at_once: 2, ..Settings::default() }
}

fn decide(settings: Settings, demand: Demand, fleet: &[Engine]) -> Vec<Change> {
    let mut roles = RolePlanner::new(settings);
    roles.observe(demand, NOW);
    roles.decide(fleet, NOW)
}

// Demand turns from output to prompts, and one engine of six prefills. The others are idle while
// callers wait for their first tokens.
#[test]
fn idle_engines_of_different_domains_change_to_the_role_in_demand() {
    let changes = decide(settings(), PROMPTS, &fleet());
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.role != Role::Decode), "{changes:?}");
    let fleet = fleet();
    let domain = |change: &Change| fleet.iter().find(|e| e.name == change.target).unwrap().domain;
    assert_ne!(domain(&changes[0]), domain(&changes[1]));
}

#[test]
fn nothing_changes_if_demand_is_met_or_the_gain_is_below_the_cost() {
    let met = Demand { prompt: 6_000.0, output: 3_000.0 };
    assert_eq!(decide(settings(), met, &fleet()), []);
    let costly = Settings { change_cost: 10_000_000, ..settings() };
    assert_eq!(decide(costly, PROMPTS, &fleet()), []);
}

// A swing lasts a few seconds. An engine that followed it would be out of service for longer.
#[test]
fn change_that_takes_longer_than_the_horizon_is_not_ordered() {
    let short = Settings { horizon: Duration::from_secs(5), ..settings() };
    assert_eq!(decide(short, PROMPTS, &fleet()), []);
}

// The planner ordered a change whose outcome is unknown. A second order now might take the last
// engine of a role, or the same one twice.
#[test]
fn nothing_is_ordered_while_a_change_is_in_progress() {
    let mut fleet = fleet();
    fleet[4].changing = true;
    assert_eq!(decide(settings(), PROMPTS, &fleet), []);
}

// The log or the agents were unreachable for a while, so the demand that the planner knows is
// outdated.
#[test]
fn nothing_is_ordered_on_stale_reports() {
    let mut roles = RolePlanner::new(settings());
    assert_eq!(roles.decide(&fleet(), NOW), []);
    roles.observe(PROMPTS, NOW);
    assert_eq!(roles.decide(&fleet(), NOW + Duration::from_secs(11)), []);
}

#[test]
fn pinned_unusable_or_recently_changed_engines_keep_their_role() {
    let is_unchanged = |change: fn(&mut Engine)| {
        let mut fleet = fleet();
        fleet.iter_mut().for_each(change);
        decide(settings(), PROMPTS, &fleet).is_empty()
    };
    assert!(is_unchanged(|engine| engine.pinned = true));
    assert!(is_unchanged(|engine| engine.usable = false));
    assert!(is_unchanged(|engine| engine.since = NOW - Duration::from_secs(29)));
    assert!(!is_unchanged(|engine| engine.since = NOW - Duration::from_secs(31)));
}

// There is no demand for output at the moment, so by demand alone the last decode engine could
// change. The next response would then have no engine.
#[test]
fn no_stage_loses_its_last_engine() {
    let mut fleet = fleet();
    fleet.truncate(2);
    let prompts_only = Demand { prompt: 40_000.0, output: 0.0 };
    assert!(decide(settings(), prompts_only, &fleet).iter().all(|c| c.role == Role::Mixed));
    fleet[0].pinned = true;
    fleet.iter_mut().for_each(|engine| engine.domain = 0);
    let output_only = Demand { prompt: 0.0, output: 9_000.0 };
    assert_eq!(decide(settings(), output_only, &fleet), []);
}
