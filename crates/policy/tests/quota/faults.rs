//! Drawn faults and load.

use super::model::{Model, ms};
use super::{BIG, SMALL, limits};
use policy::Time;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const END: Time = Duration::from_secs(45);

/// Entries that are apart for longer than dead ones are remembered count as two sets.
const LONGEST_PARTITION: Duration = Duration::from_secs(12);

/// Lets customers send a multiple of their limits, in requests of several sizes. The pauses let
/// buckets fill.
pub fn flood(model: &mut Model, factor: f64, end: Time) {
    for (customer, limit) in limits() {
        let (mut at, mut pause_at) = (ms(500), ms(2_000));
        while at < end {
            let part = match model.random.random_range(0..20) {
                0 => 0.5,
                1 if customer == SMALL => 1.0 + model.between(0.0, 2.5),
                2..8 => 0.1,
                8..14 => 0.002,
                _ => 0.02,
            };
            let entry = model.any_entry();
            model.arrive(entry, at, customer, limit.rate * part);
            at += Duration::from_secs_f64(part / factor * model.between(0.2, 1.8));
            if at >= pause_at {
                at += ms(model.random.random_range(0..3_000));
                pause_at = at + ms(model.random.random_range(300..8_000));
            }
        }
    }
}

/// A run with drawn faults. In every second one, an entry that starts doesn't know how many there
/// are, and none starts while others are apart.
pub fn run(seed: u64) -> Model {
    let mut draw = ChaCha8Rng::seed_from_u64(seed ^ 0xD1CE);
    let size_is_known = seed.is_multiple_of(2);
    let sides = if size_is_known { draw.random_range(1..3) } else { 1 };
    let sides = (0..draw.random_range(3..30)).map(|_| draw.random_range(0..sides)).collect();
    let mut run = Run {
        model: Model::start_all(sides, seed, limits(), size_is_known),
        down: Vec::new(),
        heal_at: LONGEST_PARTITION,
        part_from: Time::ZERO,
        learning: Vec::new(),
        change_at: ms(draw.random_range(4_000..20_000)),
    };
    run.model.not_run = [0.0, 0.2, 0.6][draw.random_range(0..3)];
    flood(&mut run.model, draw.random_range(1.0..8.0), END);
    let longest_gap = [1_000, 5_000, 20_000][draw.random_range(0..3)];
    let mut next = ms(draw.random_range(0..8_000));
    while run.model.now < END {
        let starts = run.down.iter().chain(&run.learning).map(|(at, _)| *at);
        let others = [next, run.heal_at, run.change_at, END];
        run.model.run_until(starts.chain(others).min().unwrap_or(END));
        run.recover();
        run.change_limits(&mut draw);
        if run.model.now == next {
            run.draw_fault();
            next = run.model.now + ms(draw.random_range(10..longest_gap));
        }
    }
    run.model
}

struct Run {
    model: Model,
    /// Killed entries, with the times at which they start again.
    down: Vec<(Time, usize)>,
    heal_at: Time,
    /// The time from which entries may be partitioned.
    part_from: Time,
    /// When which entries learn of the changed limits.
    learning: Vec<(Time, usize)>,
    /// When a limit changes next.
    change_at: Time,
}

impl Run {
    fn recover(&mut self) {
        let now = self.model.now;
        if now >= self.heal_at {
            self.heal();
        }
        let starting: Vec<_> = self.down.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, at) in starting {
            if !self.model.size_is_known {
                self.heal();
                self.part_from = now + Duration::from_secs(4);
            }
            self.model.start(at);
        }
    }

    /// Lowers or raises a limit, which the entries learn one by one over up to 3 s.
    fn change_limits(&mut self, draw: &mut ChaCha8Rng) {
        let now = self.model.now;
        for (_, at) in self.learning.extract_if(.., |(at, _)| *at <= now) {
            self.model.learn(at);
        }
        if now < self.change_at {
            return;
        }
        self.change_at = now + ms(draw.random_range(3_100..20_000));
        let customer = if draw.random() { SMALL } else { BIG };
        let rate = limits()[&customer].rate * [0.02, 0.1, 0.5, 1.0, 2.0][draw.random_range(0..5)];
        let span = draw.random_range(1..=3_000);
        for at in 0..self.model.len() {
            self.learning.push((now + ms(draw.random_range(0..=span)), at));
        }
        let known = self.learning.iter().map(|(at, _)| *at).max().unwrap_or(now);
        self.model.change_limit(customer, rate, known);
    }

    fn heal(&mut self) {
        self.model.sides.fill(0);
        self.heal_at = Time::MAX;
    }

    fn kill(&mut self, at: usize) {
        self.model.kill(at);
        let start = self.model.now + ms(self.model.random.random_range(50..6_000));
        self.down.push((start, at));
    }

    fn draw_fault(&mut self) {
        let model = &mut self.model;
        let mut some: Vec<usize> = (0..model.len()).collect();
        some.shuffle(&mut model.random);
        some.truncate(model.random.random_range(1..=model.len()));
        let customer = if model.random.random() { SMALL } else { BIG };
        let span = ms(model.random.random_range(100..6_000));
        match model.random.random_range(0..9) {
            0 => some.iter().for_each(|at| self.kill(*at)),
            1 => model.coordinator(customer).into_iter().for_each(|at| self.kill(at)),
            2 => model.coordinator(customer).into_iter().for_each(|at| model.freeze(at, span)),
            3 => some.iter().for_each(|at| model.freeze(*at, span)),
            4 | 5 if model.now >= self.part_from => {
                let sides = model.random.random_range(2..4);
                for at in some {
                    model.sides[at] = model.random.random_range(0..sides);
                }
                self.heal_at = self.heal_at.min(model.now + LONGEST_PARTITION);
            }
            4..=6 => self.heal(),
            7 => {
                model.loss = model.between(0.0, 0.4);
                model.duplicates = model.between(0.0, 0.4);
                model.late = model.between(0.0, 0.2);
            }
            _ => (model.loss, model.duplicates, model.late) = (0.0, 0.0, 0.0),
        }
    }
}
