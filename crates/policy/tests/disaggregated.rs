//! Decisions about prompts, writers and the split under a load that swings, on a model of engines
//! that read for others that write.

use policy::simulation::disaggregated::{Figures, Options, Outcome, run, swinging};
use policy::{prefill, split};
use std::time::Duration;

fn play(options: Options) -> Outcome {
    run(&Figures::default(), &swinging(), &options)
}

fn with_prompts(prompts: prefill::Settings) -> Outcome {
    play(Options { prompts, ..Options::default() })
}

fn with_readers(readers: f64) -> Outcome {
    play(Options {
        split: split::Settings { fixed_share: Some(readers), ..split::Settings::default() },
        ..Options::default()
    })
}

/// The model is there to choose by, so it has to come out near what was measured: on a day with this
/// load 85% of the long prompts and 73% of the outputs were in time.
#[test]
fn the_model_comes_out_near_a_day_that_was_measured() {
    let outcome = play(Options::default());
    let share = |part: u64, all: u64| part as f64 / all as f64;
    let long = share(outcome.long.in_time, outcome.long.asked);
    let short = share(outcome.short.in_time, outcome.short.asked);
    assert!((0.80..0.94).contains(&long), "{outcome:?}");
    assert!((0.58..0.80).contains(&short), "{outcome:?}");
    assert_eq!(outcome, play(Options::default()), "the same in every run");
}

/// Shared parts stand at engines that write as well, and prompts that overflow from their home leave
/// them at others. Read again instead of copied, they take the room of other prompts.
#[test]
fn copies_from_any_holder_save_reading() {
    let settings = prefill::Settings::default();
    let copies = with_prompts(settings.clone());
    let none = with_prompts(prefill::Settings { min_copy_tokens: u64::MAX / 2, ..settings });
    assert!(copies.read_again * 5 < none.read_again * 4, "{copies:?} {none:?}");
    assert!(copies.long.in_time > none.long.in_time + 150, "{copies:?} {none:?}");
}

/// Callers that were refused come back in the same burst. Let in like fresh ones, they make others
/// late as they are.
#[test]
fn latecomers_behind_fresh_ones_bring_more_in_time() {
    let settings = prefill::Settings::default();
    let behind = with_prompts(settings.clone());
    let equal = with_prompts(prefill::Settings { late_fraction: 1.0, ..settings });
    assert!(behind.long.in_time > equal.long.in_time + 100, "{behind:?} {equal:?}");
    assert!(behind.long.late < equal.long.late, "{behind:?} {equal:?}");
}

/// A queue that leaves less of the objective makes prompts late, a shorter one leaves engines idle.
#[test]
fn the_time_that_reading_leaves_is_the_right_one() {
    let at = |reserve| {
        with_prompts(prefill::Settings { reserve, ..prefill::Settings::default() }).long.in_time
    };
    let chosen = at(prefill::Settings::default().reserve);
    let (shorter, longer) = (at(Duration::from_millis(105)), at(Duration::from_millis(20)));
    assert!(chosen > shorter + 100 && chosen > longer, "{shorter} {chosen} {longer}");
}

/// With too many engines reading, streams wait for slots and are put back; with too few, prompts
/// are refused in bursts. Two thirds lie between.
#[test]
fn the_split_trades_outputs_for_prompts() {
    let (few, chosen, many) = (with_readers(0.5), with_readers(0.68), with_readers(0.85));
    assert!(few.long.in_time + 200 < chosen.long.in_time, "{few:?} {chosen:?}");
    assert!(many.short.in_time * 2 < chosen.short.in_time, "{many:?} {chosen:?}");
    assert!(few.put_back < chosen.put_back && chosen.put_back < many.put_back);
}

/// Each of many entries tells all others what it has at engines, and the more they are the more
/// seldom. By then engines have read what was told and got what was not: prompts go late to full
/// queues. Known by one coordinator, a queue is as exact for 68 entries as for 12.
#[test]
fn what_one_coordinator_knows_does_not_age_with_the_number_of_entries() {
    let play = |entries: usize, coordinated| {
        let news = 0.005 * (entries as f64 / 4.0);
        let options = Options { entries, engines: 28, news, coordinated, ..Options::default() };
        run(&Figures::default(), &swinging().times(28, 14), &options).long
    };
    let told = [12, 68].map(|entries| play(entries, false).worth());
    let known = [12, 68].map(|entries| play(entries, true).worth());
    assert!(told[1] < told[0] - 0.10, "{told:?} {known:?}");
    assert!(known[1] > known[0] - 0.03, "{told:?} {known:?}");
    assert!(known[0] > told[0], "{told:?} {known:?}");
}
