//! Ways to find a part of prompts that crashes engines, compared on a model of 4, 30 and 390
//! entries.

use policy::Time;
use policy::poison::completions::Completions;
use policy::poison::{Crash, Key, Knowledge, Ledger, Run, Settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;

const BAD: Key = 1 << 40;
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(12);

const BAD_PER_SECOND: f64 = 8.0;

/// Engines that crash by themselves a second.
const OWN_CRASHES_PER_SECOND: f64 = 2.0;

/// How long an answer takes to begin, and what goes on after that.
const TO_BEGIN: Duration = Duration::from_millis(60);

/// How long an engine is away after a crash.
const DOWN: Duration = Duration::from_secs(3);

/// How long a report takes to its holder, and a verdict to all entries.
const SPREAD: Duration = Duration::from_millis(20);

struct Known {
    blocked: HashMap<Key, Time>,
    completions: Completions,
}

impl Knowledge for Known {
    fn is_blocked(&self, key: Key) -> bool {
        self.blocked.contains_key(&key)
    }

    fn completed_at(&self, key: Key) -> Option<Time> {
        self.completions.last(key)
    }
}

struct Running {
    run: Run,
    ends: Time,
    engine: usize,
    entry: usize,
    /// Whether its engine crashes by itself as it ends.
    crashes: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Result {
    crashes: u32,
    /// Crashes before the culprit was refused.
    until_blocked: u32,
    sound: u32,
    /// Sound requests that were refused because of a part of theirs.
    refused: u32,
    /// Rows of reports that holders received.
    rows: u32,
}

/// Eight bad requests a second, and as many sound ones as the entries serve. The first entry counts,
/// and knows what ran to its end there; a verdict is refuted by a completion at any other.
fn play(entries: usize, settings: Settings, seed: u64) -> Result {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let engines = entries * 2;
    let mut known = Known { blocked: HashMap::new(), completions: Completions::default() };
    let mut completed: HashMap<Key, Time> = HashMap::new();
    let mut ledger = Ledger::new(settings);
    let mut up_at = vec![Duration::ZERO; engines];
    let mut running: Vec<Running> = Vec::new();
    let mut result = Result::default();
    let (mut request, mut all_crashes) = (0, 0);
    let mut now = Duration::from_secs(1);
    while now < LENGTH {
        now += STEP;
        let bad = usize::from(random.random_bool(BAD_PER_SECOND * STEP.as_secs_f64()));
        for number in 0..bad + random.random_range(0..=entries / 2 + 1) {
            request += 1;
            let is_bad = number < bad;
            let first = random.random_range(1..=4);
            let second = if is_bad { BAD } else { 100 + random.random_range(0..976) };
            let first = if is_bad { 1 } else { first };
            let parts = vec![first, second];
            result.sound += u32::from(!is_bad);
            if parts.iter().any(|part| known.blocked.get(part).is_some_and(|at| *at <= now)) {
                result.refused += u32::from(!is_bad);
                continue;
            }
            let up: Vec<usize> = (0..engines).filter(|engine| up_at[*engine] <= now).collect();
            if up.is_empty() {
                continue;
            }
            let engine = up[random.random_range(0..up.len())];
            let run = Run { request: 1_000_000 + request, parts, began: now };
            let entry = random.random_range(0..entries);
            let crashes = run.parts.contains(&BAD);
            running.push(Running { run, ends: now + TO_BEGIN, engine, entry, crashes });
        }
        if random.random_bool(OWN_CRASHES_PER_SECOND * STEP.as_secs_f64())
            && let Some(running) = running.last_mut()
            && !running.run.parts.contains(&BAD)
        {
            (running.ends, running.crashes) = (now, true);
        }
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|running| running.ends <= now);
        running = rest;
        for Running { run, engine, entry, crashes, .. } in ended {
            if up_at[engine] > now {
                continue;
            }
            if !crashes {
                for part in &run.parts {
                    completed.insert(*part, now);
                    if entry == 0 {
                        known.completions.record(*part, now);
                    }
                    known.blocked.remove(part);
                }
                continue;
            }
            result.crashes += u32::from(run.parts.contains(&BAD));
            all_crashes += 1;
            up_at[engine] = now + DOWN;
            let (beside, rest): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|running| running.engine == engine);
            running = rest;
            let mut runs: Vec<Run> = beside.into_iter().map(|running| running.run).collect();
            runs.push(run);
            result.rows += u32::try_from(runs.len()).unwrap_or_default();
            let crash = Crash { target: all_crashes, at: now };
            for culprit in ledger.observe(crash, &runs, &known, now) {
                let refuted = completed.get(&culprit.key).is_some_and(|at| *at > culprit.since);
                if refuted {
                    ledger.clear(culprit.key, now);
                    continue;
                }
                if culprit.key == BAD {
                    result.until_blocked = result.crashes;
                }
                known.blocked.insert(culprit.key, now + SPREAD);
            }
        }
    }
    result
}

/// Mean crashes until the culprit is refused and in all, sound requests refused in a million, and rows
/// of reports for each crash.
fn summary(results: &[Result]) -> String {
    let sum = |of: fn(&Result) -> u32| f64::from(results.iter().map(of).sum::<u32>());
    let plays = f64::from(u32::try_from(results.len()).unwrap_or(u32::MAX));
    let [crashes, sound] = [sum(|result| result.crashes), sum(|result| result.sound)];
    format!(
        "{:.1} crashes until refused, {:.1} in all, {:.0} refused in a million, {:.1} rows a crash",
        sum(|result| result.until_blocked) / plays,
        crashes / plays,
        sum(|result| result.refused) / sound * 1e6,
        sum(|result| result.rows) / crashes
    )
}

/// A culprit is found within a few crashes at any number of entries, and what shares its first part
/// is served. Fewer crashes refuse sound parts; more, or more requests, let more engines crash.
#[test]
fn culprit_is_found_within_a_few_crashes_at_any_number_of_entries() {
    let ways = [
        ("three crashes", Settings::default()),
        ("two crashes", Settings { crashes: 2, ..Settings::default() }),
        ("three crashes, three requests", Settings { requests: 3, ..Settings::default() }),
        ("five crashes", Settings { crashes: 5, requests: 3, ..Settings::default() }),
        ("earlier parts alike", Settings { earlier_part_crashes: 3, ..Settings::default() }),
    ];
    for (name, settings) in ways {
        for (entries, plays) in [(4, 5), (30, 3), (390, 1)] {
            let results: Vec<_> =
                (0..plays).map(|seed| play(entries, settings.clone(), seed)).collect();
            println!("{name}, {entries} entries: {}", summary(&results));
            if name != "three crashes" {
                continue;
            }
            for result in results {
                assert!((1..=8).contains(&result.until_blocked), "{result:?}");
                assert!(result.refused * 100 <= result.sound, "{result:?}");
            }
        }
    }
}
