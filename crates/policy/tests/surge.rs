//! Late retries while first attempts are refused.

use policy::prefill::{Prompt, Settings};
use policy::simulation::disaggregated::{EngineParameters, Options, Traffic, run, swinging};
use policy::surge::Detector;
use std::time::Duration;

fn prompt(late: bool) -> Prompt {
    let objective = Duration::from_millis(250);
    Prompt { prefix_hash: 1, tokens: 9_000, objective, late, short_output: false }
}

/// Records the outcomes of prompts that arrive 100 times per second, and returns the time of the
/// last one.
fn record(detector: &mut Detector, late: bool, placed: impl Fn(u32) -> bool) -> Duration {
    let at = |number| Duration::from_millis(10) * number;
    (1..=100).for_each(|number| detector.record(&prompt(late), placed(number), at(number)));
    at(100)
}

/// A late response earns its caller little, and takes the place of one in time. Once there is room
/// again, a caller that is refused a second time gets nothing at all.
#[test]
fn late_retries_give_way_only_while_first_attempts_are_refused() {
    let (mut detector, settings) = (Detector::default(), Settings::default());
    let end = record(&mut detector, false, |number| number % 3 != 0);
    let later = [0, 200, 1_000].map(|ms| end + Duration::from_millis(ms));
    let fractions = later.map(|time| detector.late_fraction(&settings, time));
    assert_eq!(fractions, [0.2, 0.2, 0.6]);
}

/// Refused retries would keep retries away from engines that first attempts no longer need, and so
/// would the few first attempts that are too long for any queue.
#[test]
fn refused_retries_and_few_refusals_are_no_surge() {
    let mut detector = Detector::default();
    let end = record(&mut detector, true, |_| false);
    assert!(!detector.is_surge(end));
    let end = record(&mut detector, false, |number| number % 10 != 0);
    assert!(!detector.is_surge(end));
    let mut quiet = Detector::default();
    quiet.record(&prompt(false), false, end);
    assert!(!quiet.is_surge(end));
}

/// Prompts arrive at six times their mean rate for three seconds. If retries that give way left
/// engines idle, fewer prompts would be in time, and many more callers would be refused for good.
#[test]
fn engines_stay_busy_while_late_retries_give_way() {
    let surge = |at: f64| (6.0..9.0).contains(&at) || (16.0..19.0).contains(&at);
    let swing = |at: f64| (at, if surge(at) { 6.0 } else { 0.8 }, 1.0);
    let swings = (0..24).map(|second| swing(f64::from(second))).collect();
    let traffic = Traffic { long_objective: 0.25, swings, end: 24.0, ..swinging() };
    let results = |defer_late| {
        let sums = (1..=8).map(|seed| {
            let options = Options {
                defer_late,
                learn_reserve: true,
                coordinated: true,
                seed,
                ..Options::default()
            };
            let long = run(&EngineParameters::default(), &traffic, &options).long;
            [long.in_time, long.late, long.refused]
        });
        sums.fold([0; 3], |a, b| std::array::from_fn(|at| a[at] + b[at]))
    };
    let (usual, deferred) = (results(false), results(true));
    let (in_time, late, refused) = (deferred[0], deferred[1], deferred[2]);
    assert!(in_time * 1_000 > usual[0] * 995, "{usual:?} {deferred:?}");
    assert!(late * 100 < usual[1] * 96, "{usual:?} {deferred:?}");
    assert!(refused * 100 < usual[2] * 104, "{usual:?} {deferred:?}");
}
