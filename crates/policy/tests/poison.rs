//! What is found to crash targets, and what is not.

use policy::Time;
use policy::poison::completions::Completions;
use policy::poison::verdicts::{Verdict, Verdicts};
use policy::poison::{Crash, Culprit, Key, Knowledge, Ledger, Run, Settings};
use std::time::Duration;

const POISON: Key = 7;

#[derive(Default)]
struct Known {
    blocked: Vec<Key>,
    completions: Completions,
}

impl Knowledge for Known {
    fn is_blocked(&self, key: Key) -> bool {
        self.blocked.contains(&key)
    }

    fn completed_at(&self, key: Key) -> Option<Time> {
        self.completions.last(key)
    }
}

fn ms(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// Requests that began 20 ms before the crash of a target.
fn observe(ledger: &mut Ledger, known: &Known, target: u64, at: u64, keys: &[Key]) -> Vec<Culprit> {
    let run = |key: &Key| Run { request: *key, parts: Vec::new(), began: ms(at - 20) };
    let runs: Vec<_> = keys.iter().map(run).collect();
    ledger.observe(Crash { target, at: ms(at) }, &runs, known, ms(at))
}

#[test]
fn third_crash_one_after_the_other_makes_a_culprit() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    assert_eq!(observe(&mut ledger, &known, 1, 1_000, &[POISON, 1]), []);
    assert_eq!(observe(&mut ledger, &known, 2, 2_000, &[POISON, 2]), []);
    let culprit = Culprit { key: POISON, since: ms(1_000), crashes: 3 };
    assert_eq!(observe(&mut ledger, &known, 3, 3_000, &[POISON, 1]), [culprit]);
}

/// Two entries and ten copies see the same crash.
#[test]
fn one_crash_counts_once_for_all_who_saw_it() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    for delay in 0..10 {
        assert_eq!(observe(&mut ledger, &known, 1, 1_000 + delay, &[POISON]), []);
    }
    assert_eq!(observe(&mut ledger, &known, 2, 2_000, &[POISON]), []);
}

/// Both holders of the crashes are replaced before the third one. What the new ones are told must not
/// count again what has run to its end, nor make a part that others build on the last one.
#[test]
fn another_ledger_goes_on_counting_by_the_evidence() {
    let (mut ledger, mut known) = (Ledger::new(Settings::default()), Known::default());
    let run = |request, parts: &[Key], began| Run { request, parts: parts.to_vec(), began };
    let runs = [run(POISON, &[21, 22], ms(980)), run(1, &[21, 23], ms(980)), run(2, &[], ms(980))];
    ledger.observe(Crash { target: 1, at: ms(1_000) }, &runs, &known, ms(1_000));
    ledger.observe(Crash { target: 2, at: ms(2_000) }, &runs, &known, ms(2_000));
    ledger.clear(2, ms(2_500));
    known.completions.record(2, ms(2_500));
    ledger.clear(23, ms(2_500));
    let evidence = ledger.evidence(&known, ms(3_000));
    insta::assert_debug_snapshot!(evidence);
    assert_eq!(ledger.evidence(&known, ms(90_000)), []);

    let mut other = Ledger::new(Settings::default());
    for _ in 0..2 {
        for (crash, run) in &evidence {
            let culprits = other.observe(*crash, std::slice::from_ref(run), &known, ms(3_000));
            assert_eq!(culprits, []);
        }
    }
    let culprit = Culprit { key: POISON, since: ms(1_000), crashes: 3 };
    assert_eq!(observe(&mut other, &known, 3, 3_000, &[POISON, 2]), [culprit]);
}

/// A rack is lost while all its targets run requests that are alike.
#[test]
fn targets_that_crash_together_count_once() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    for target in 0..20 {
        assert_eq!(observe(&mut ledger, &known, target, 1_000 + target, &[POISON]), []);
    }
}

/// Requests wait at several targets at the same time, each of which crashes when their turn comes.
#[test]
fn crashes_at_different_moments_count_though_the_runs_overlap() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    let run = [Run { request: POISON, parts: Vec::new(), began: ms(900) }];
    let mut observe =
        |target, at| ledger.observe(Crash { target, at: ms(at) }, &run, &known, ms(at)).len();
    assert_eq!([observe(1, 1_000), observe(2, 1_150), observe(3, 1_200)], [0, 0, 0]);
    assert_eq!(observe(4, 1_300), 1);
}

/// A request that runs to its end anywhere crashes nothing.
#[test]
fn crashes_before_a_completion_do_not_count() {
    let (mut ledger, mut known) = (Ledger::new(Settings::default()), Known::default());
    observe(&mut ledger, &known, 1, 1_000, &[POISON]);
    observe(&mut ledger, &known, 2, 2_000, &[POISON]);
    known.completions.record(POISON, ms(2_500));
    assert!(ledger.clear(POISON, ms(2_500)));
    assert_eq!(observe(&mut ledger, &known, 3, 3_000, &[POISON]), []);
    // A report of an earlier crash that arrives late.
    assert_eq!(observe(&mut ledger, &known, 4, 2_100, &[POISON]), []);
    assert_eq!(observe(&mut ledger, &known, 5, 4_000, &[POISON]), []);
    assert_eq!(observe(&mut ledger, &known, 6, 5_000, &[POISON]).len(), 1);
}

/// A sound request that its caller repeats is there at two crashes of the culprit and at one more.
#[test]
fn crashes_of_a_culprit_do_not_count_against_others() {
    let (mut ledger, mut known) = (Ledger::new(Settings::default()), Known::default());
    observe(&mut ledger, &known, 1, 1_000, &[POISON, 1]);
    observe(&mut ledger, &known, 2, 2_000, &[POISON, 1]);
    assert_eq!(observe(&mut ledger, &known, 3, 3_000, &[POISON])[0].key, POISON);
    known.blocked.push(POISON);
    assert_eq!(observe(&mut ledger, &known, 4, 4_000, &[1]), []);
    assert_eq!(observe(&mut ledger, &known, 5, 5_000, &[1]), []);
    // Under the trial of a culprit, too.
    assert_eq!(observe(&mut ledger, &known, 6, 6_000, &[POISON, 1]), []);
    assert_eq!(observe(&mut ledger, &known, 7, 7_000, &[1]).len(), 1);
}

#[test]
fn crashes_that_are_too_old_do_not_count() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    observe(&mut ledger, &known, 1, 1_000, &[POISON]);
    observe(&mut ledger, &known, 2, 2_000, &[POISON]);
    assert_eq!(observe(&mut ledger, &known, 3, 62_000, &[POISON]), []);
}

/// Callers send ever new requests to targets that keep crashing.
#[test]
fn memory_is_bounded() {
    let settings = Settings { max_keys: 1_000, ..Settings::default() };
    let (mut ledger, known) = (Ledger::new(settings), Known::default());
    for number in 0..2_000 {
        let keys: Vec<Key> = (0..10).map(|key| 1_000 + number * 10 + key).collect();
        observe(&mut ledger, &known, number, 1_000 + number, &keys);
        assert!(ledger.len() <= 1_000);
    }
    let latest = 1_000 + 1_999 * 10;
    assert!(ledger.is_suspect(latest), "the latest crashes are kept");
}

fn blocked(key: Key) -> (Verdicts, Verdict) {
    let mut verdicts = Verdicts::default();
    let verdict = verdicts.block(key, ms(900), ms(1_000)).expect("the key is not refused");
    (verdicts, verdict)
}

/// Verdicts reach entries late, twice, and in any order.
#[test]
fn newer_version_of_a_verdict_replaces_an_older_one_in_any_order() {
    let (mut one, block) = blocked(POISON);
    let clear = one.clear(POISON, ms(2_000)).expect("the key is refused");
    for order in [[block, clear, block], [clear, block, clear]] {
        let mut other = Verdicts::default();
        for verdict in order {
            other.merge(verdict, ms(2_100));
        }
        assert!(!other.is_blocked(POISON));
        assert!(other.block(POISON, ms(3_000), ms(3_000)).is_some_and(|v| v.version == 3));
    }
}

#[test]
fn verdict_that_is_known_is_no_news() {
    let (_, block) = blocked(POISON);
    let mut other = Verdicts::default();
    assert!(other.merge(block, ms(1_100)));
    assert!(!other.merge(block, ms(1_200)));
}

#[test]
fn trials_come_ever_more_rarely() {
    let (mut verdicts, _) = blocked(POISON);
    let seconds = (1..=240).map(Duration::from_secs);
    let trials = seconds.filter(|now| verdicts.begin_trial(POISON, *now).is_some());
    let trials: Vec<u64> = trials.map(|at| at.as_secs()).collect();
    assert_eq!(trials, [11, 51, 211]);
    assert!(verdicts.is_blocked(POISON));
}

#[test]
fn verdicts_are_told_in_turn_and_forgotten_in_the_end() {
    let mut verdicts = Verdicts::default();
    for key in 0..5 {
        verdicts.block(key, ms(1), ms(2));
    }
    let mut told: Vec<Key> = Vec::new();
    for _ in 0..3 {
        told.extend(verdicts.take_turn(2, ms(3)).iter().map(|verdict| verdict.key));
    }
    assert_eq!(told, [0, 1, 2, 3, 4, 0]);
    assert_eq!(verdicts.take_turn(2, Duration::from_secs(601)), []);
}

#[test]
fn verdicts_are_bounded_and_the_latest_are_kept() {
    let mut verdicts = Verdicts::default();
    for key in 0..2_000 {
        verdicts.block(key, ms(key), ms(key));
    }
    assert_eq!(verdicts.blocked_count(), 1_024);
    assert!(verdicts.is_blocked(1_999) && !verdicts.is_blocked(0));
}

/// No culprit.
const NONE: [Key; 0] = [];

/// Requests with these parts that began 20 ms before the crash of a target.
fn observe_parts(
    ledger: &mut Ledger,
    known: &Known,
    (target, at): (u64, u64),
    runs: &[(Key, &[Key])],
) -> Vec<Key> {
    let run = |(request, parts): &(Key, &[Key])| Run {
        request: *request,
        parts: parts.to_vec(),
        began: ms(at - 20),
    };
    let runs: Vec<_> = runs.iter().map(run).collect();
    let culprits = ledger.observe(Crash { target, at: ms(at) }, &runs, known, ms(at));
    culprits.iter().map(|culprit| culprit.key).collect()
}

const FIRST: Key = 100;
const BAD: Key = 200;

/// No two requests are alike, and sound ones share the first part with them.
#[test]
fn part_is_a_culprit_and_the_part_before_it_is_not() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    for crash in 1..=2 {
        let runs: [(Key, &[Key]); 2] =
            [(crash, &[FIRST, BAD]), (50 + crash, &[FIRST, 300 + crash])];
        assert_eq!(observe_parts(&mut ledger, &known, (crash, crash * 1_000), &runs), NONE);
    }
    let runs: [(Key, &[Key]); 2] = [(3, &[FIRST, BAD]), (53, &[FIRST, 303])];
    assert_eq!(observe_parts(&mut ledger, &known, (3, 3_000), &runs), [BAD]);
}

/// One request crashes three targets: it may be by itself.
#[test]
fn part_is_a_culprit_only_under_different_requests() {
    let (mut ledger, mut known) = (Ledger::new(Settings::default()), Known::default());
    for crash in 1..=2 {
        observe_parts(&mut ledger, &known, (crash, crash * 1_000), &[(1, &[FIRST, BAD])]);
    }
    let culprits = observe_parts(&mut ledger, &known, (3, 3_000), &[(1, &[FIRST, BAD])]);
    assert_eq!(culprits, [1]);
    known.blocked.push(1);
    let culprits = observe_parts(&mut ledger, &known, (4, 4_000), &[(2, &[FIRST, BAD])]);
    assert_eq!(culprits, [BAD]);
}

/// The report that holds the culprit comes after one of sound requests that waited beside it.
#[test]
fn part_that_others_build_on_waits_for_more_crashes() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    for crash in 1..=3 {
        let at = (crash, crash * 1_000);
        let sound = observe_parts(&mut ledger, &known, at, &[(50 + crash, &[FIRST, 300 + crash])]);
        assert_eq!(sound, NONE);
        let culprits = observe_parts(&mut ledger, &known, at, &[(crash, &[FIRST, BAD])]);
        assert_eq!(culprits, if crash == 3 { vec![BAD] } else { vec![] });
    }
}

/// The first part crashes engines, whatever comes behind it.
#[test]
fn first_part_is_a_culprit_after_six_crashes_with_different_parts_behind_it() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    let crash = |number: u64, ledger: &mut Ledger| {
        let parts = [BAD, 300 + number];
        observe_parts(ledger, &known, (number, number * 1_000), &[(number, &parts)])
    };
    for number in 1..=5 {
        assert_eq!(crash(number, &mut ledger), NONE);
    }
    assert_eq!(crash(6, &mut ledger), [BAD]);
}

/// Two parts only come together, and the first of them is the culprit.
#[test]
fn of_two_parts_that_come_together_the_later_one_is_refused() {
    let (mut ledger, known) = (Ledger::new(Settings::default()), Known::default());
    for crash in 1..=2 {
        observe_parts(&mut ledger, &known, (crash, crash * 1_000), &[(crash, &[FIRST, BAD, 7])]);
    }
    let culprits = observe_parts(&mut ledger, &known, (3, 3_000), &[(3, &[FIRST, BAD, 7])]);
    assert_eq!(culprits, [7]);
}

/// Sound requests with the same first part go on between the crashes.
#[test]
fn part_of_requests_that_run_to_their_end_is_no_culprit() {
    let (mut ledger, mut known) = (Ledger::new(Settings::default()), Known::default());
    for crash in 1..=20 {
        let at = crash * 1_000;
        let runs: [(Key, &[Key]); 1] = [(crash, &[FIRST, 300 + crash])];
        assert_eq!(observe_parts(&mut ledger, &known, (crash, at), &runs), NONE);
        known.completions.record(FIRST, ms(at + 500));
        ledger.clear(FIRST, ms(at + 500));
    }
}
