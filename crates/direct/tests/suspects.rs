//! What an entry does with the crashes and verdicts that others tell it.

use direct::cluster::messages::{CrashEvidence, VerdictRow};
use direct::cluster::suspects::Suspects;
use policy::Time;
use policy::poison::verdicts::Verdict;
use policy::poison::{Crash, Key, Run};
use std::time::Duration;

const KEY: Key = 7;
const PART: Key = 70;

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn run(request: Key, began: u64) -> Run {
    Run { request, parts: vec![PART], began: ms(began) }
}

/// Three crashes under one request.
fn block(suspects: &Suspects) -> Vec<Verdict> {
    let crashes = [1_000, 2_000, 3_000];
    let observed = crashes.map(|at| {
        let crash = Crash { target: at, at: ms(at) };
        suspects.observe_crash(crash, &[run(KEY, at - 50)], ms(at))
    });
    observed.concat()
}

#[test]
fn third_crash_blocks_the_request_and_a_run_to_its_end_clears_it() {
    let suspects = Suspects::default();
    let verdicts = block(&suspects);
    assert_eq!(verdicts.iter().map(|verdict| verdict.key).collect::<Vec<_>>(), [KEY]);
    assert!(suspects.is_any_blocked(&[1, KEY]) && !suspects.is_any_blocked(&[1, PART]));
    let refutation = suspects.record_completion(&[KEY, PART], ms(3_100));
    assert_eq!(refutation.suspected, [KEY, PART]);
    assert_eq!(refutation.cleared.len(), 1);
    assert!(!suspects.is_blocked(KEY));
}

/// Another entry refuses what has run to its end here since.
#[test]
fn verdict_is_refuted_by_a_run_to_the_end_after_the_first_crash() {
    let verdicts = block(&Suspects::default());
    let [early, late] = [900, 1_500].map(|completed| {
        let suspects = Suspects::default();
        suspects.record_completion(&[KEY], ms(completed));
        (suspects.merge(&verdicts, ms(3_100)), suspects.is_blocked(KEY))
    });
    assert_eq!(early, (Vec::new(), true));
    assert_eq!(late, (vec![(KEY, ms(1_500))], false));
}

/// The entry that counts hears of a run to the end elsewhere: all have to be told.
#[test]
fn run_to_the_end_at_another_entry_clears_the_verdict() {
    let suspects = Suspects::default();
    block(&suspects);
    assert!(suspects.observe_completions(&[(KEY, ms(900))], ms(3_200)).is_empty());
    let cleared = suspects.observe_completions(&[(KEY, ms(3_150))], ms(3_200));
    assert_eq!(cleared.len(), 1);
    assert!(!cleared[0].blocked && cleared[0].version == 2);
}

/// A target broke off and still accepted connections; another one turns out to stand in its place.
#[test]
fn break_is_confirmed_for_its_own_target_and_for_a_short_time() {
    let suspects = Suspects::default();
    for target in [1, 2] {
        let crash = Crash { target, at: ms(1_000) };
        suspects.record_unconfirmed(crash, run(KEY, 900));
    }
    assert_eq!(suspects.confirm(3, ms(1_500)), []);
    let confirmed = suspects.confirm(1, ms(1_500));
    assert_eq!(confirmed.iter().map(|(crash, _)| crash.target).collect::<Vec<_>>(), [1]);
    assert_eq!(suspects.confirm(1, ms(1_500)), []);
    assert_eq!(suspects.confirm(2, ms(4_100)), []);
}

/// Verdicts are told again with each state, up to 200 times a second.
#[test]
fn verdicts_are_told_again_after_a_pause() {
    let suspects = Suspects::default();
    block(&suspects);
    let told = |at| suspects.take_turn(8, ms(at)).len();
    assert_eq!([3_000, 3_050, 3_100].map(told), [1, 0, 1]);
}

/// Clocks of entries differ, so times are told as ages.
#[test]
fn times_survive_the_way_to_an_entry_with_another_clock() {
    let (there, here) = (ms(9_000), ms(500_000));
    let crash = Crash { target: 1, at: ms(8_900) };
    let evidence = CrashEvidence::new(crash, &[run(KEY, 8_800)], there);
    assert_eq!(evidence.crash(here), Crash { target: 1, at: ms(499_900) });
    assert_eq!(evidence.runs(here), [run(KEY, 499_800)]);
    let evidence = CrashEvidence::of_completions(&[(KEY, ms(8_990))], there);
    assert_eq!(evidence.completions(here), [(KEY, ms(499_990))]);
    let verdict = block(&Suspects::default())[0];
    let moved = VerdictRow::new(&verdict, ms(3_000)).verdict(here);
    assert_eq!((moved.since, moved.decided_at), (ms(498_000), here));
}
