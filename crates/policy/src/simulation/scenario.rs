//! The load patterns that the decisions are measured under.

use super::engine::{EngineSetup, MIXED_EFFICIENCY, mixing};
use super::pool::Plan;
use super::setup::engines;
use super::work::{Stream, arrivals};
use crate::estimate::Rates;
use crate::number::float;

/// Engines of the model: as many as the larger of today's fleets has.
pub const ENGINES: usize = 14;

/// Failure domains of the model.
pub const DOMAINS: usize = 3;

/// Entries of the model.
pub const ENTRIES: usize = 3;

/// Seed of all arrivals.
const SEED: u64 = 20;

/// How long and how large runs are: 1 for the tables in the docs, less for tests.
#[derive(Debug, Clone, Copy)]
pub struct Scale(pub f64);

/// The requests a second that mixed engines can serve of this size, all slots full.
///
/// While an engine reads a prompt it writes at the rest of its speed, less what the mixing costs.
pub fn capacity(many: usize, prompt: f64, output: f64) -> f64 {
    let rates = Rates::default();
    let reading = prompt / rates.prefill * (1.0 + mixing(MIXED_EFFICIENCY));
    let seconds = output / rates.decode + reading;
    float(u64::try_from(many).unwrap_or(0)) / seconds
}

/// The stream of usual short requests at this part of the capacity, from second 0 on.
pub fn short(load: f64) -> Stream {
    let stream = Stream::default();
    let rate = load * capacity(ENGINES, stream.prompt, stream.output);
    Stream { rate: vec![(0.0, rate)], ..stream }
}

fn urgent(load: f64) -> Stream {
    Stream { class: "urgent", callers: 6, urgent: true, deadline: 3.0, ..short(load) }
}

pub(super) fn plan(streams: &[Stream], engines: Vec<EngineSetup>, end: f64) -> Plan {
    Plan {
        engines,
        entries: ENTRIES,
        arrivals: arrivals(streams, ENTRIES, end, SEED),
        crashes: Vec::new(),
        end,
    }
}

fn times(stream: Stream, factor: f64, from: f64, to: f64) -> Stream {
    let base = stream.rate_at(0.0);
    Stream { rate: vec![(0.0, base), (from, base * factor), (to, base)], ..stream }
}

/// A crowd of 20 times the usual load comes for a minute: from 0.1 to 2 times the capacity.
pub fn burst(scale: Scale) -> Plan {
    let minute = 60.0 * scale.0;
    let crowd = |stream| times(stream, 20.0, minute / 2.0, minute * 1.5);
    let streams = [crowd(short(0.095)), crowd(urgent(0.005))];
    plan(&streams, engines(ENGINES, DOMAINS), minute * 2.5)
}

/// One caller asks for the whole capacity while 40 others ask for 0.6 of it together.
pub fn hot_caller(scale: Scale) -> Plan {
    let hot = Stream { class: "hot", callers: 1, ..short(1.0) };
    let streams = [short(0.6), hot];
    plan(&streams, engines(ENGINES, DOMAINS), 120.0 * scale.0)
}

/// Half of the requests share one long prefix, the others 300 of them. Without any cache the load
/// is 2.4 times the capacity.
pub fn hot_prefix(scale: Scale) -> Plan {
    let shared = |class, prefixes, load: f64| {
        let (prompt, output) = (3_000.0, 100.0);
        let rate = load * capacity(ENGINES, prompt, output);
        let rate = vec![(0.0, rate)];
        let prefix_share = 0.9;
        Stream { class, prefixes, prefix_share, prompt, output, rate, sigma: 0.5, ..short(0.0) }
    };
    let streams = [shared("hot-prefix", 1, 1.2), shared("prefix", 300, 1.2)];
    plan(&streams, engines(ENGINES, DOMAINS), 120.0 * scale.0)
}

/// One engine is ten times slower than its peers.
pub fn slow_target(scale: Scale) -> Plan {
    let mut engines = engines(ENGINES, DOMAINS);
    engines[3].slowness = 10.0;
    plan(&[short(0.6), urgent(0.05)], engines, 120.0 * scale.0)
}

/// One engine fails all it gets at once, and so looks idle.
pub fn failing_target(scale: Scale) -> Plan {
    let mut engines = engines(ENGINES, DOMAINS);
    engines[3].failing = true;
    plan(&[short(0.6), urgent(0.05)], engines, 120.0 * scale.0)
}

/// Long jobs, 25 times as long, come in batches of more than all slots hold, and make 0.35 of
/// the capacity; the whole load is 0.8 of it.
pub fn long_among_short(scale: Scale) -> Plan {
    let (prompt, output) = (4_000.0, 4_000.0);
    let whole = capacity(ENGINES, prompt, output);
    // Some come all the time, so that their lengths are known; what else comes in a minute
    // and a half comes within 5 seconds of it.
    let (steady, period, within) = (0.05 * whole, 90.0, 5.0);
    let batch = steady + 0.3 * whole * period / within;
    let batches = [110.0, 200.0, 290.0].map(|at| [(at, batch), (at + within, steady)]);
    let rate = [(0.0, steady)].into_iter().chain(batches.into_iter().flatten());
    let rate = rate.map(|(at, rate)| (at * scale.0, rate)).collect();
    let long = Stream {
        class: "long",
        callers: 4,
        prompt,
        output,
        sigma: 0.4,
        deadline: 120.0,
        rate,
        ..short(0.0)
    };
    plan(&[short(0.45), long], engines(ENGINES, DOMAINS), 380.0 * scale.0)
}

/// The short ones alone at the same whole load, to compare with.
pub fn short_alone(scale: Scale) -> Plan {
    plan(&[short(0.8)], engines(ENGINES, DOMAINS), 380.0 * scale.0)
}

/// A steady load of a multiple of the capacity.
pub fn overload(factor: f64, scale: Scale) -> Plan {
    let streams = [short(factor * 0.95), urgent(factor * 0.05)];
    plan(&streams, engines(ENGINES, DOMAINS), 180.0 * scale.0)
}

/// One request crashes each engine that runs it, and its caller sends it again every 2 seconds.
pub fn poison(scale: Scale) -> Plan {
    let rate = vec![(0.0, 0.0), (20.0 * scale.0, 0.5)];
    let poison = Stream { class: "poison", callers: 1, poison: true, rate, ..short(0.0) };
    plan(&[short(0.5), poison], engines(ENGINES, DOMAINS), 180.0 * scale.0)
}

/// The same request is sent a dozen times within 0.2 seconds, through all entries.
pub fn poison_at_once(scale: Scale) -> Plan {
    let at = 20.0 * scale.0;
    let rate = vec![(0.0, 0.0), (at, 60.0), (at + 0.2, 0.0)];
    let poison = Stream { class: "poison", callers: 1, poison: true, rate, ..short(0.0) };
    plan(&[short(0.5), poison], engines(ENGINES, DOMAINS), 60.0 * scale.0)
}

/// Every 40 seconds a third of the engines crashes, one failure domain after the other.
pub fn retry_storm(scale: Scale) -> Plan {
    let mut plan = plan(&[short(0.5)], engines(ENGINES, DOMAINS), 120.0 * scale.0);
    let domain = |domain| (0..ENGINES).filter(move |engine| engine % DOMAINS == domain);
    for (at, failed) in [(20.0, 0), (60.0, 1), (100.0, 2)] {
        plan.crashes.extend(domain(failed).map(|engine| (at * scale.0, engine)));
    }
    plan
}
