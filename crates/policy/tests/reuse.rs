//! Entries keep to targets that they are connected to, unless these are busy.

use policy::reuse::{Candidate, Rank, rank};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Ordering;
use std::collections::BTreeMap;

fn candidate(utilization: f64, is_connected: bool) -> Candidate {
    Candidate { unavailable: false, utilization, is_connected }
}

fn is_better(a: &Candidate, b: &Candidate) -> bool {
    rank(a, 3).compare(&rank(b, 3)) == Ordering::Less
}

#[test]
fn a_connected_target_is_preferred_until_it_is_busy() {
    assert!(is_better(&candidate(0.4, true), &candidate(0.0, false)));
    assert!(is_better(&candidate(0.1, false), &candidate(0.6, true)));
    assert!(is_better(&candidate(0.6, true), &candidate(0.7, false)));
    let failing = Candidate { unavailable: true, ..candidate(0.0, true) };
    assert!(is_better(&candidate(2.0, false), &failing));
}

/// A request of an entry, and until when it occupies a slot of a target.
#[derive(Debug, Clone, Copy)]
struct Running {
    target: usize,
    until: u64,
}

/// 520 entries send 9 requests in 10 s each to 25 targets with 6 slots, which close a connection
/// that was idle for 3 s. An entry knows the load of a target from the last response.
struct Model {
    opened: usize,
    received: Vec<usize>,
    most_running: usize,
}

fn play(choose: impl Fn(&Candidate, usize) -> Rank) -> Model {
    const ENTRIES: usize = 520;
    const TARGETS: usize = 25;
    const SLOTS: usize = 6;
    const STEP_MS: u64 = 2;
    const IDLE_MS: u64 = 3_000;
    const REPORT_MS: u64 = 1_000;
    const WORK_MS: u64 = 15;
    let mut random = ChaCha8Rng::seed_from_u64(4);
    let mut connected: BTreeMap<(usize, usize), u64> = BTreeMap::new();
    let mut reported: BTreeMap<(usize, usize), (usize, u64)> = BTreeMap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut model = Model { opened: 0, received: vec![0; TARGETS], most_running: 0 };
    for now in (0..20_000).step_by(2) {
        running.retain(|request| request.until > now);
        for entry in 0..ENTRIES {
            // Callers are spread unevenly over the five failure domains.
            let rate = 0.7 + 0.1 * (entry % 5) as f64;
            if !random.random_bool(rate * STEP_MS as f64 / 1_000.0) {
                continue;
            }
            let load = |target: usize| {
                let report = reported.get(&(entry, target)).filter(|(_, at)| at + REPORT_MS > now);
                report.map_or(0.0, |(load, _)| *load as f64 / SLOTS as f64)
            };
            let is_connected =
                |target: usize| connected.get(&(entry, target)).is_some_and(|until| *until > now);
            let kept = (0..TARGETS).filter(|target| is_connected(*target)).count();
            let best = (0..TARGETS)
                .map(|target| {
                    let candidate = candidate(load(target), is_connected(target));
                    (choose(&candidate, kept), random.random::<u32>(), target)
                })
                .min_by(|a, b| a.0.compare(&b.0).then(a.1.cmp(&b.1)));
            let (_, _, target) = best.expect("there are targets");
            model.opened += usize::from(!is_connected(target));
            model.received[target] += 1;
            running.push(Running { target, until: now + WORK_MS });
            let load = running.iter().filter(|request| request.target == target).count();
            model.most_running = model.most_running.max(load);
            connected.insert((entry, target), now + WORK_MS + IDLE_MS);
            reported.insert((entry, target), (load, now));
        }
    }
    model
}

/// Nearly each request of a large fleet opened a connection. Kept connections must not come at the
/// price of uneven load: no target gets more than now, and none has to queue.
#[test]
fn few_connections_are_opened_and_targets_stay_evenly_loaded() {
    let spread = play(|candidate, _| rank(&Candidate { is_connected: false, ..*candidate }, 0));
    let kept = play(rank);
    let busiest = |model: &Model| {
        let mean = model.received.iter().sum::<usize>() as f64 / model.received.len() as f64;
        model.received.iter().copied().max().unwrap_or(0) as f64 / mean
    };
    println!(
        "spread: {} opened, busiest {:.2}, {} at once; kept: {} opened, busiest {:.2}, {} at once",
        spread.opened,
        busiest(&spread),
        spread.most_running,
        kept.opened,
        busiest(&kept),
        kept.most_running
    );
    assert!(kept.opened * 2 < spread.opened);
    assert!(busiest(&kept) <= 1.21, "the users' bound for the fleet");
}
