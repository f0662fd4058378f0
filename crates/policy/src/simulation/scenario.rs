//! The scenarios under which the decisions are measured.

use super::engine::{EngineSetup, MIXED_EFFICIENCY, mixing};
use super::pool::Scenario;
use super::setup::engines;
use super::workload::{ArrivalStream, arrivals};
use crate::estimate::Rates;
use crate::number::float;

/// The number of engines: as many as the larger of today's deployments has.
pub const ENGINES: usize = 14;

/// The number of failure domains.
pub const DOMAINS: usize = 3;

/// The number of entries.
pub const ENTRIES: usize = 3;

/// The random seed of all arrivals.
const SEED: u64 = 20;

/// Scales the duration of scenarios: 1 for the tables in the docs, less for tests.
#[derive(Debug, Clone, Copy)]
pub struct Scale(pub f64);

/// Returns the requests per second of this size that mixed engines can serve with all slots full.
///
/// While an engine prefills, it decodes at the rest of its speed, less the cost of mixing.
pub fn capacity(engines: usize, prompt: f64, output: f64) -> f64 {
    let rates = Rates::default();
    let prefill = prompt / rates.prefill * (1.0 + mixing(MIXED_EFFICIENCY));
    let seconds = output / rates.decode + prefill;
    float(u64::try_from(engines).unwrap_or(0)) / seconds
}

/// Returns the default stream of short requests, at this fraction of the capacity.
pub fn short(load: f64) -> ArrivalStream {
    let stream = ArrivalStream::default();
    let rate = load * capacity(ENGINES, stream.prompt, stream.output);
    ArrivalStream { rate: vec![(0.0, rate)], ..stream }
}

fn urgent(load: f64) -> ArrivalStream {
    ArrivalStream { class: "urgent", callers: 6, urgent: true, deadline: 3.0, ..short(load) }
}

pub(super) fn build(streams: &[ArrivalStream], engines: Vec<EngineSetup>, end: f64) -> Scenario {
    Scenario {
        engines,
        entries: ENTRIES,
        arrivals: arrivals(streams, ENTRIES, end, SEED),
        crashes: Vec::new(),
        end,
    }
}

/// Multiplies the rate of a stream between two times.
fn surge(stream: ArrivalStream, factor: f64, from: f64, to: f64) -> ArrivalStream {
    let base = stream.rate_at(0.0);
    ArrivalStream { rate: vec![(0.0, base), (from, base * factor), (to, base)], ..stream }
}

/// The load rises 20-fold for a minute, from 0.1 to 2 times the capacity.
pub fn burst(scale: Scale) -> Scenario {
    let minute = 60.0 * scale.0;
    let burst = |stream| surge(stream, 20.0, minute / 2.0, minute * 1.5);
    let streams = [burst(short(0.095)), burst(urgent(0.005))];
    build(&streams, engines(ENGINES, DOMAINS), minute * 2.5)
}

/// One caller demands the whole capacity while 40 others together demand 0.6 of it.
pub fn hot_caller(scale: Scale) -> Scenario {
    let hot = ArrivalStream { class: "hot", callers: 1, ..short(1.0) };
    let streams = [short(0.6), hot];
    build(&streams, engines(ENGINES, DOMAINS), 120.0 * scale.0)
}

/// Half of the requests share one long prefix, the other half 300 prefixes. Without a prefix cache
/// the load is 2.4 times the capacity.
pub fn hot_prefix(scale: Scale) -> Scenario {
    let shared = |class, prefixes, load: f64| {
        let (prompt, output) = (3_000.0, 100.0);
        let rate = load * capacity(ENGINES, prompt, output);
        let rate = vec![(0.0, rate)];
        let prefix_share = 0.9;
        ArrivalStream {
            class,
            prefixes,
            prefix_share,
            prompt,
            output,
            rate,
            sigma: 0.5,
            ..short(0.0)
        }
    };
    let streams = [shared("hot-prefix", 1, 1.2), shared("prefix", 300, 1.2)];
    build(&streams, engines(ENGINES, DOMAINS), 120.0 * scale.0)
}

/// One engine is ten times slower than its peers.
pub fn slow_target(scale: Scale) -> Scenario {
    let mut engines = engines(ENGINES, DOMAINS);
    engines[3].slowdown = 10.0;
    build(&[short(0.6), urgent(0.05)], engines, 120.0 * scale.0)
}

/// One engine fails every request immediately, and so looks idle.
pub fn failing_target(scale: Scale) -> Scenario {
    let mut engines = engines(ENGINES, DOMAINS);
    engines[3].failing = true;
    build(&[short(0.6), urgent(0.05)], engines, 120.0 * scale.0)
}

/// Long jobs, 25 times as long, arrive in batches that exceed all slots and take 0.35 of the
/// capacity; the total load is 0.8 of it.
pub fn long_among_short(scale: Scale) -> Scenario {
    let (prompt, output) = (4_000.0, 4_000.0);
    let max_rate = capacity(ENGINES, prompt, output);
    // A steady rate lets the estimator learn their lengths; the rest of every 90 seconds arrives
    // within 5 seconds.
    let (steady, period, within) = (0.05 * max_rate, 90.0, 5.0);
    let batch = steady + 0.3 * max_rate * period / within;
    let batches = [110.0, 200.0, 290.0].map(|at| [(at, batch), (at + within, steady)]);
    let rate = [(0.0, steady)].into_iter().chain(batches.into_iter().flatten());
    let rate = rate.map(|(at, rate)| (at * scale.0, rate)).collect();
    let long = ArrivalStream {
        class: "long",
        callers: 4,
        prompt,
        output,
        sigma: 0.4,
        deadline: 120.0,
        rate,
        ..short(0.0)
    };
    build(&[short(0.45), long], engines(ENGINES, DOMAINS), 380.0 * scale.0)
}

/// Only short requests at the same total load, for comparison.
pub fn short_alone(scale: Scale) -> Scenario {
    build(&[short(0.8)], engines(ENGINES, DOMAINS), 380.0 * scale.0)
}

/// A steady load at a multiple of the capacity.
pub fn overload(factor: f64, scale: Scale) -> Scenario {
    let streams = [short(factor * 0.95), urgent(factor * 0.05)];
    build(&streams, engines(ENGINES, DOMAINS), 180.0 * scale.0)
}

/// One request crashes every engine that runs it, and its caller sends it every 2 seconds.
pub fn poison(scale: Scale) -> Scenario {
    let rate = vec![(0.0, 0.0), (20.0 * scale.0, 0.5)];
    let poison = ArrivalStream { class: "poison", callers: 1, poison: true, rate, ..short(0.0) };
    build(&[short(0.5), poison], engines(ENGINES, DOMAINS), 180.0 * scale.0)
}

/// A poison request is sent a dozen times within 0.2 seconds, through all entries.
pub fn poison_at_once(scale: Scale) -> Scenario {
    let at = 20.0 * scale.0;
    let rate = vec![(0.0, 0.0), (at, 60.0), (at + 0.2, 0.0)];
    let poison = ArrivalStream { class: "poison", callers: 1, poison: true, rate, ..short(0.0) };
    build(&[short(0.5), poison], engines(ENGINES, DOMAINS), 60.0 * scale.0)
}

/// Every 40 seconds another failure domain, a third of the engines, crashes.
pub fn retry_storm(scale: Scale) -> Scenario {
    let mut scenario = build(&[short(0.5)], engines(ENGINES, DOMAINS), 120.0 * scale.0);
    let domain = |domain| (0..ENGINES).filter(move |engine| engine % DOMAINS == domain);
    for (at, failed) in [(20.0, 0), (60.0, 1), (100.0, 2)] {
        scenario.crashes.extend(domain(failed).map(|engine| (at * scale.0, engine)));
    }
    scenario
}
