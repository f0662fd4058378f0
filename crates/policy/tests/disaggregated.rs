//! Placement of prefill and decode and the split of engines, under a swinging load in the
//! simulation of disaggregated engines.

use policy::prefill;
use policy::simulation::disaggregated::{
    EngineParameters, Options, Results, Traffic, run, swinging,
};
use std::time::Duration;

fn simulate(options: Options) -> Results {
    run(&EngineParameters::default(), &swinging(), &options)
}

fn with_prefill(prefill: prefill::Settings) -> Results {
    simulate(Options { prefill, ..Options::default() })
}

fn with_prefill_share(share: f64) -> Results {
    simulate(Options { prefill_share: share, ..Options::default() })
}

/// Decisions are chosen by this simulation, so it has to be close to reality: on a measured day
/// with this load, 85% of the long prompts and 73% of the outputs were in time.
#[test]
fn the_simulation_reproduces_a_measured_day() {
    let results = simulate(Options::default());
    let share = |part: u64, all: u64| part as f64 / all as f64;
    let long = share(results.long.in_time, results.long.requests);
    let short = share(results.short.in_time, results.short.requests);
    assert!((0.80..0.94).contains(&long), "{results:?}");
    assert!((0.58..0.80).contains(&short), "{results:?}");
    assert_eq!(results, simulate(Options::default()), "the same in every run");
}

/// Decode engines have shared parts cached as well, and prompts that overflow from their preferred
/// engine leave them at others. If they are prefilled again instead of copied, they take capacity
/// from other prompts.
#[test]
fn copies_of_cached_prefixes_save_prefill() {
    let settings = prefill::Settings::default();
    let copies = with_prefill(settings.clone());
    let none = with_prefill(prefill::Settings { min_copy_tokens: u64::MAX / 2, ..settings });
    assert!(copies.recomputed_tokens * 5 < none.recomputed_tokens * 4, "{copies:?} {none:?}");
    assert!(copies.long.in_time > none.long.in_time + 150, "{copies:?} {none:?}");
}

/// Refused callers retry within the same burst. If their requests, which are late already, are
/// admitted like first attempts, they make first attempts late.
#[test]
fn late_retries_behind_fresh_requests_bring_more_in_time() {
    let settings = prefill::Settings::default();
    let behind = with_prefill(settings.clone());
    let equal = with_prefill(prefill::Settings { late_fraction: 1.0, ..settings });
    assert!(behind.long.in_time > equal.long.in_time + 100, "{behind:?} {equal:?}");
    assert!(behind.long.late < equal.long.late, "{behind:?} {equal:?}");
}

/// A smaller reserve allows queues that make prompts late; a larger one leaves engines idle.
#[test]
fn the_default_reserve_is_better_than_smaller_and_larger_ones() {
    let at = |reserve| {
        with_prefill(prefill::Settings { reserve, ..prefill::Settings::default() }).long.in_time
    };
    let chosen = at(prefill::Settings::default().reserve);
    let (larger, smaller) = (at(Duration::from_millis(105)), at(Duration::from_millis(20)));
    assert!(chosen > larger + 100 && chosen > smaller, "{larger} {chosen} {smaller}");
}

/// Prompts arrive at twice their mean rate, at times at six times. Where engines are slower than
/// assumed, what a prompt takes beyond its promise grows with the queue, and the longer objectives
/// allow long queues.
#[test]
fn learned_reserve_keeps_nine_of_ten_promises_in_a_surge() {
    let results = |long_objective, learn_reserve| {
        let traffic = Traffic { long: swinging().long * 2.0, long_objective, ..swinging() };
        let options = Options { learn_reserve, coordinated: true, ..Options::default() };
        run(&EngineParameters::default(), &traffic, &options)
    };
    let kept = |results: &Results| results.kept as f64 / results.promised as f64;
    let (fixed, learned) = (results(0.5, false), results(0.5, true));
    assert!(kept(&fixed) < 0.7 && kept(&learned) > 0.9, "{fixed:?} {learned:?}");
    assert!(learned.long.in_time > fixed.long.in_time + 2_000, "{fixed:?} {learned:?}");
    // What is in time is not made worse.
    assert_eq!(results(0.15, false), results(0.15, true));
}

/// Callers of both kinds are as urgent. Outputs of two pieces waited for slots behind streams that
/// last seconds, and nearly half of what was promised in time was late.
#[test]
fn short_outputs_do_not_wait_behind_streams_that_are_as_urgent() {
    let results = |short_priority| {
        simulate(Options { short_priority, coordinated: true, ..Options::default() })
    };
    let equal = results(0);
    assert!(equal.kept * 100 > equal.promised * 95, "{equal:?}");
    assert_eq!(equal.long.in_time, results(1).long.in_time);
}

/// Refused callers retry within 40 ms, while their objective has not passed. Taken for first
/// attempts, they got the full time for prefill, were late, and made others late.
#[test]
fn soon_retries_get_the_rest_of_their_objective() {
    let results = |max_retry_share| {
        let prefill = prefill::Settings { max_retry_share, ..prefill::Settings::default() };
        let traffic = Traffic { long: swinging().long * 2.0, ..swinging() };
        let options = Options { prefill, coordinated: true, ..Options::default() };
        run(&EngineParameters::default(), &traffic, &options)
    };
    let (soon, late) = (results(0.02), results(1.0 / 3.0));
    assert!(soon.kept * 100 > soon.promised * 98, "{soon:?}");
    assert!(soon.long.in_time * 100 > late.long.in_time * 99, "{soon:?} {late:?}");
}

/// With too many prefill engines, streams wait for slots and are preempted; with too few, prompts
/// are refused in bursts. A share of two thirds balances both.
#[test]
fn the_split_trades_outputs_for_prompts() {
    let (few, chosen, many) =
        (with_prefill_share(0.5), with_prefill_share(0.68), with_prefill_share(0.85));
    assert!(few.long.in_time + 200 < chosen.long.in_time, "{few:?} {chosen:?}");
    assert!(many.short.in_time * 2 < chosen.short.in_time, "{many:?} {chosen:?}");
    assert!(few.preempted < chosen.preempted && chosen.preempted < many.preempted);
}

/// Entries that send each other their work at engines do so less often the more of them there are.
/// In the meantime engines finish known prompts and receive unknown ones, so prompts are placed in
/// full queues and are late. A coordinator's view of a queue is as exact for 68 entries as for 12.
#[test]
fn a_coordinator_stays_exact_with_many_entries() {
    let run_with = |entries: usize, coordinated| {
        let update_interval = 0.005 * (entries as f64 / 4.0);
        let options =
            Options { entries, engines: 28, update_interval, coordinated, ..Options::default() };
        run(&EngineParameters::default(), &swinging().scale_to(28, 14), &options).long
    };
    let updates = [12, 68].map(|entries| run_with(entries, false).utility());
    let coordinated = [12, 68].map(|entries| run_with(entries, true).utility());
    assert!(updates[1] < updates[0] - 0.10, "{updates:?} {coordinated:?}");
    assert!(coordinated[1] > coordinated[0] - 0.03, "{updates:?} {coordinated:?}");
    assert!(coordinated[0] > updates[0], "{updates:?} {coordinated:?}");
}
