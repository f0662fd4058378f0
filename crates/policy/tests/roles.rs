//! Which engines change their role.

use conf::resource::Role;
use policy::estimate::Rates;
use policy::roles::{Change, Demand, Engine, Planner, RolePlanner, Settings};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_000);

/// Far more prompts than the prefill engine of [`fleet`] can read, and little to write.
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

// The crowd turns from writing to reading, and one engine of six reads. The others stand idle
// while callers wait for their first tokens.
#[test]
fn idle_engines_change_to_the_role_in_demand_in_different_domains() {
    let changes = decide(settings(), PROMPTS, &fleet());
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.role != Role::Decode), "{changes:?}");
    let fleet = fleet();
    let domain = |change: &Change| fleet.iter().find(|e| e.name == change.target).unwrap().domain;
    assert_ne!(domain(&changes[0]), domain(&changes[1]));
}

#[test]
fn nothing_changes_when_all_demand_is_met_or_the_win_is_under_the_weight() {
    let met = Demand { prompt: 6_000.0, output: 3_000.0 };
    assert_eq!(decide(settings(), met, &fleet()), []);
    let weighty = Settings { change_cost: 10_000_000, ..settings() };
    assert_eq!(decide(weighty, PROMPTS, &fleet()), []);
}

// A swing lasts a few seconds. Each engine that followed it would be out of service for longer.
#[test]
fn a_change_that_lasts_longer_than_the_horizon_is_not_ordered() {
    let short = Settings { horizon: Duration::from_secs(5), ..settings() };
    assert_eq!(decide(short, PROMPTS, &fleet()), []);
}

// The planner ordered a change and has not heard how it ended. A second order now might take the
// last engine of a role, or the same one twice.
#[test]
fn nothing_is_ordered_while_a_change_is_under_way() {
    let mut fleet = fleet();
    fleet[4].changing = true;
    assert_eq!(decide(settings(), PROMPTS, &fleet), []);
}

// The log or the agents were cut off for a while; the demand that the planner remembers is gone.
#[test]
fn nothing_is_ordered_on_old_reports() {
    let mut roles = RolePlanner::new(settings());
    assert_eq!(roles.decide(&fleet(), NOW), []);
    roles.observe(PROMPTS, NOW);
    assert_eq!(roles.decide(&fleet(), NOW + Duration::from_secs(11)), []);
}

#[test]
fn engines_that_are_pinned_unusable_or_newly_changed_stay() {
    let stays = |change: fn(&mut Engine)| {
        let mut fleet = fleet();
        fleet.iter_mut().for_each(change);
        decide(settings(), PROMPTS, &fleet).is_empty()
    };
    assert!(stays(|engine| engine.pinned = true));
    assert!(stays(|engine| engine.usable = false));
    assert!(stays(|engine| engine.since = NOW - Duration::from_secs(29)));
    assert!(!stays(|engine| engine.since = NOW - Duration::from_secs(31)));
}

// No output is asked for just now, so by demand alone the last engine that writes could go. The
// next reply would then find nobody.
#[test]
fn no_stage_loses_its_last_engine() {
    let mut fleet = fleet();
    fleet.truncate(2);
    let reading_only = Demand { prompt: 40_000.0, output: 0.0 };
    assert!(decide(settings(), reading_only, &fleet).iter().all(|c| c.role == Role::Mixed));
    fleet[0].pinned = true;
    fleet.iter_mut().for_each(|engine| engine.domain = 0);
    let writing_only = Demand { prompt: 0.0, output: 9_000.0 };
    assert_eq!(decide(settings(), writing_only, &fleet), []);
}
