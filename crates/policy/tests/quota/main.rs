//! Limits of customers hold over all entries, whatever happens to entries and datagrams.

mod model;

use model::{BOUNDS, Model, ms};
use policy::Time;
use policy::quota::{CustomerKey, Limit};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;

const SMALL: CustomerKey = 0x51;
const BIG: CustomerKey = 0xB16;
const START: Time = Duration::from_secs(6);
const END: Time = Duration::from_secs(45);

fn limit(rate: f64, version: u64) -> Limit {
    Limit { rate, burst: rate, version }
}

fn limits() -> BTreeMap<CustomerKey, Limit> {
    [(SMALL, limit(18_000.0, 1)), (BIG, limit(1_617_632.0, 1))].into()
}

/// Lets customers send several times their limits, in prompts of several sizes.
fn flood(model: &mut Model, factor: f64, end: Time) {
    for (customer, rate) in [(SMALL, 18_000.0), (BIG, 1_617_632.0)] {
        let mut at = ms(500);
        while at < end {
            let amount = match model.random.random_range(0..10) {
                0 => rate * 0.5,
                1 => rate + model.random.random_range(0.0..45_000.0),
                2..6 => rate * 0.1,
                _ => rate * 0.01,
            };
            let entry = model.random.random_range(0..model.len());
            model.arrive(entry, at, customer, amount);
            at += Duration::from_secs_f64(
                amount / rate / factor * model.random.random_range(0.2..1.8),
            );
        }
    }
}

fn assert_bounds(model: &Model, seed: u64) {
    for (customer, limit) in limits() {
        let most = model.largest_use(customer, &limit, (Time::ZERO, Time::MAX));
        assert!(most <= 1.0, "seed {seed}: customer {customer:x} used {most} of the bound");
    }
}

/// A fault that is drawn with the time of the next one.
fn draw_fault(model: &mut Model, down: &mut Vec<(Time, usize)>) {
    let count = model.len();
    let mut all: Vec<usize> = (0..count).collect();
    all.shuffle(&mut model.random);
    let some = model.random.random_range(1..=count);
    match model.random.random_range(0..9) {
        0 => {
            for at in &all[..some.div_ceil(4)] {
                model.kill(*at);
                down.push((model.now + ms(model.random.random_range(50..6_000)), *at));
            }
        }
        1 => {
            let customer = if model.random.random() { SMALL } else { BIG };
            let at = model.coordinator(customer).unwrap();
            model.kill(at);
            down.push((model.now + ms(model.random.random_range(50..6_000)), at));
        }
        2 => {
            let customer = if model.random.random() { SMALL } else { BIG };
            let at = model.coordinator(customer).unwrap();
            let span = ms(model.random.random_range(100..6_000));
            model.freeze(at, span);
        }
        3 => {
            let span = ms(model.random.random_range(100..5_000));
            all[..some].iter().for_each(|at| model.freeze(*at, span));
        }
        4 | 5 => {
            let sides = model.random.random_range(2..4);
            for at in &all[..some] {
                model.sides[*at] = model.random.random_range(0..sides);
            }
        }
        6 => model.sides.fill(0),
        7 => {
            model.loss = model.random.random_range(0.0..0.4);
            model.duplicates = model.random.random_range(0.0..0.4);
            model.late = model.random.random_range(0.0..0.2);
        }
        _ => (model.loss, model.duplicates, model.late) = (0.0, 0.0, 0.0),
    }
}

/// Faults come in orders that nobody thought of. Each run draws one.
fn run(seed: u64) -> Model {
    let mut draw = ChaCha8Rng::seed_from_u64(seed ^ 0xD1CE);
    let mut model = Model::new(draw.random_range(3..30), seed, limits());
    model.not_run = [0.0, 0.2, 0.6][draw.random_range(0..3)];
    flood(&mut model, draw.random_range(1.0..4.0), END);
    let mut down: Vec<(Time, usize)> = Vec::new();
    let mut next = ms(draw.random_range(0..8_000));
    let longest_gap = [1_000, 5_000, 20_000][draw.random_range(0..3)];
    while model.now < END {
        let until = down.iter().map(|(at, _)| *at).chain([next, END]).min().unwrap();
        model.run_until(until);
        for (_, at) in down.extract_if(.., |(at, _)| *at <= until) {
            model.start(at);
        }
        if until == next {
            draw_fault(&mut model, &mut down);
            next = model.now + ms(draw.random_range(10..longest_gap));
        }
    }
    model
}

/// Whatever is killed, frozen, partitioned, lost, late or duplicated, no window exceeds the bound.
#[test]
fn bound_holds_in_every_window_of_drawn_interleavings() {
    let seeds: u64 = std::env::var("QUOTA_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    let mut worst = Vec::new();
    for seed in 0..seeds {
        let model = run(seed);
        for (customer, limit) in limits() {
            let most = model.largest_use(customer, &limit, (Time::ZERO, Time::MAX));
            let total = model.used(customer, Time::ZERO) / (limit.rate * END.as_secs_f64());
            worst.push((most, seed, customer, total, model.len()));
        }
    }
    worst.sort_by(|a, b| b.0.total_cmp(&a.0));
    for w in &worst[..12] {
        println!("{w:?}");
    }
    assert!(worst[0].0 <= 1.0, "{worst:?}");
}

/// A customer that sends as much as its limit allows, in large prompts through all entries, loses at
/// most a twentieth of it. With a share of the limit for each entry, it would lose nearly all.
#[test]
fn customer_within_its_limit_is_hardly_held() {
    for (entries, span) in [(28, 120), (1_000, 30)] {
        for prompt in [0.5, 0.1, 0.01] {
            let mut model = Model::new(entries, 7, limits());
            let (from, end) = (Duration::from_secs(12), Duration::from_secs(12 + span));
            let rate = 18_000.0;
            let (mut at, mut sent) = (from, 0.0);
            while at < end {
                let entry = model.random.random_range(0..entries);
                model.arrive(entry, at, SMALL, rate * prompt);
                sent += rate * prompt;
                at += Duration::from_secs_f64(prompt * model.random.random_range(0.5..1.5));
            }
            model.run_until(end + Duration::from_secs(5));
            let used = model.used(SMALL, from);
            println!("{entries} {prompt}: used {} of sent {sent} rate {} refused {} dg {}", used / sent, sent / rate / span as f64, model.refused, model.datagrams);
        }
    }
}
