//! A load balancer that hands nine in ten new connections to one of 4, 30 or 300 entries, and ways to
//! meet it.

use policy::overload::{Capacity, Load};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

/// Requests that an entry serves per second.
const RATE: f64 = 100.0;

/// The share of that which callers need on average.
const UTILIZATION: f64 = 0.4;

/// The share of new connections that the crowded entry gets.
const CROWD: f64 = 0.9;

const OBJECTIVE: Duration = Duration::from_millis(300);

const STEP: Duration = Duration::from_millis(10);

const STEPS: u32 = 1_000;

/// The steps from one check of the load balancer to the next, and the failed ones that it needs.
const CHECK: (u32, u32) = (100, 2);

/// How old what entries know of each other is, in steps.
const NEWS_AGE: usize = 30;

/// How often a caller tries, each time at another entry.
const TRIES: u32 = 4;

/// How often a request waits for the process, as [`policy::overload`] assumes.
const TURNS: u32 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each entry reads whatever comes.
    ReadAll,
    /// A full entry tells the load balancer that it isn't ready.
    NotReady,
    /// A full entry closes new connections unread.
    CloseUnread,
    /// It does so only while the others are less full.
    CloseWhileOthersAreLessFull,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    /// The seconds of work that wait.
    backlog: f64,
    /// The failed checks in a row.
    missed: u32,
}

#[derive(Debug, Default)]
struct Result {
    read: f64,
    in_time_of_read: f64,
    in_time: f64,
    all: f64,
    tries: f64,
    crowded_entries: usize,
}

fn fullness(entry: &Entry) -> policy::overload::Fullness {
    let load = Load { delay: Duration::from_secs_f64(entry.backlog) / TURNS, ..Load::default() };
    load.fullness(&Capacity { connections: 1_000, objective: Some(OBJECTIVE) })
}

/// Whether the entry leaves a new connection to the others.
fn closes(way: Way, entry: &Entry, others: f64) -> bool {
    match way {
        Way::ReadAll | Way::NotReady => false,
        Way::CloseUnread => fullness(entry).leaves_to_others(Some(0.0)),
        Way::CloseWhileOthersAreLessFull => fullness(entry).leaves_to_others(Some(others)),
    }
}

fn run(way: Way, count: usize, utilization: f64) -> Result {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut entries = vec![Entry::default(); count];
    let mut known = VecDeque::from([0.0]);
    let (mut result, mut crowded, mut overfull) = (Result::default(), 0, vec![false; count]);
    let float = |count: usize| u32::try_from(count).map_or(f64::MAX, f64::from);
    let arrivals = float(count) * RATE * utilization * STEP.as_secs_f64();
    let mut due = 0.0;
    for step in 0..STEPS {
        due += arrivals;
        while due >= 1.0 {
            due -= 1.0;
            let mut at =
                if random.random_bool(CROWD) { crowded } else { random.random_range(0..count) };
            result.all += 1.0;
            for attempt in 0..TRIES {
                result.tries += 1.0;
                if !closes(way, &entries[at], known[0]) {
                    let entry = &mut entries[at];
                    entry.backlog += 1.0 / RATE;
                    let in_time = f64::from(u8::from(entry.backlog <= OBJECTIVE.as_secs_f64()));
                    result.in_time += in_time;
                    if attempt == 0 {
                        result.read += 1.0;
                        result.in_time_of_read += in_time;
                    }
                    break;
                }
                at = (at + random.random_range(1..count)) % count;
            }
        }
        for (entry, overfull) in entries.iter_mut().zip(&mut overfull) {
            entry.backlog = (entry.backlog - STEP.as_secs_f64()).max(0.0);
            *overfull |= entry.backlog > 2.0 * OBJECTIVE.as_secs_f64();
        }
        known.push_back(
            entries.iter().map(|entry| fullness(entry).share).sum::<f64>() / float(count),
        );
        if known.len() > NEWS_AGE {
            known.pop_front();
        }
        if way == Way::NotReady && step % CHECK.0 == 0 {
            for entry in &mut entries {
                let is_full = fullness(entry).share >= 1.0;
                entry.missed = if is_full { entry.missed + 1 } else { 0 };
            }
            if entries[crowded].missed >= CHECK.1 {
                let in_rotation = |entry: &Entry| entry.missed < CHECK.1;
                let next = (1..count).map(|step| (crowded + step) % count);
                crowded = next.clone().find(|at| in_rotation(&entries[*at])).unwrap_or(crowded);
            }
        }
    }
    result.crowded_entries = overfull.iter().filter(|overfull| **overfull).count();
    result
}

#[test]
fn ways_to_meet_a_crowd() {
    let mut table = String::from(
        "entries load way                         in time of read, of all  tries  entries late by 300 ms\n",
    );
    let ways = [Way::ReadAll, Way::NotReady, Way::CloseUnread, Way::CloseWhileOthersAreLessFull];
    for (count, utilization) in [(4, UTILIZATION), (30, UTILIZATION), (300, UTILIZATION), (30, 1.3)]
    {
        for way in ways {
            let Result { read, in_time_of_read, in_time, all, tries, crowded_entries } =
                run(way, count, utilization);
            let (of_read, of_all) = (in_time_of_read / read, in_time / all);
            let (tries, name) = (tries / all, format!("{way:?}"));
            writeln!(
                table,
                "{count:>7} {utilization:>4} {name:<27} {of_read:>15.3} {of_all:>8.3} {tries:>6.2} {crowded_entries:>7}"
            )
            .unwrap();
            if way == Way::CloseWhileOthersAreLessFull && utilization < 1.0 {
                assert!(
                    of_read >= 0.9 && of_all >= 0.9,
                    "{name} with {count} entries: {of_read}, {of_all}"
                );
            }
        }
    }
    insta::assert_snapshot!(table);
}
