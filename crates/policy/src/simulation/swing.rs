//! Compares planners of roles while the balance of prompts and outputs swings.

use super::compare::percent;
use super::engine::mixing;
use super::oracle::Oracle;
use super::pool::{self, Scenario};
use super::results::Results;
use super::scenario::{Scale, build};
use super::setup::{Setup, engines};
use super::table::Table;
use super::workload::{Arrival, ArrivalStream};
use crate::estimate::{Cost, Rates};
use crate::number::float;
use crate::roles::Settings;
use conf::resource::{Policy, Role};

/// Prompt and output tokens of a prefill-heavy request, such as the classification of a document.
const PREFILL_HEAVY: (f64, f64) = (4_000.0, 40.0);

/// Prompt and output tokens of a decode-heavy request, such as the draft of a reply.
const DECODE_HEAVY: (f64, f64) = (200.0, 300.0);

/// The load, relative to the capacity of the engines if prefill and decode never mixed.
const LOAD: f64 = 0.9;

/// The share of prefill in the work: outside the swing, and at its peak.
const PREFILL_SHARES: (f64, f64) = (0.2, 0.7);

/// Returns the seconds of engine time that a request needs, for prefill and for decode.
fn engine_seconds((prompt, output): (f64, f64)) -> (f64, f64) {
    let Rates { prefill, decode } = Rates::default();
    (prompt / prefill, output / decode)
}

/// Returns the share of prefill-heavy requests in the work that results in this share of prefill.
fn prefill_heavy_share(share: f64) -> f64 {
    let prefill_share = |(prefill, decode): (f64, f64)| prefill / (prefill + decode);
    let (high, low) =
        (prefill_share(engine_seconds(PREFILL_HEAVY)), prefill_share(engine_seconds(DECODE_HEAVY)));
    (share - low) / (high - low)
}

/// The pool under the swinging load.
#[derive(Debug, Clone, Copy)]
pub struct Pool {
    /// The number of engines, all mixed at the start.
    pub engines: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The fraction of its rates that an engine keeps while it prefills and decodes at once.
    pub efficiency: f64,
}

/// Returns the scenario: the share of prefill in the work is 0.2, rises to 0.7 within a minute,
/// stays there for a minute, and falls back.
pub fn swing(scale: Scale, pool: &Pool) -> Scenario {
    let minute = 60.0 * scale.0;
    let share = |at: f64| {
        let up = ((at - minute) / minute).clamp(0.0, 1.0);
        let down = ((at - 3.0 * minute) / minute).clamp(0.0, 1.0);
        PREFILL_SHARES.0 + (PREFILL_SHARES.1 - PREFILL_SHARES.0) * (up - down)
    };
    let work = LOAD * float(u64::try_from(pool.engines).unwrap_or(0));
    let rate = |at: f64, prefill_heavy: bool| {
        let part = prefill_heavy_share(share(at));
        let (size, part) =
            if prefill_heavy { (PREFILL_HEAVY, part) } else { (DECODE_HEAVY, 1.0 - part) };
        let (prefill, decode) = engine_seconds(size);
        work * part / (prefill + decode)
    };
    let rates = |prefill_heavy| {
        let steps = (0..60u32).map(f64::from).map(|step| step * 5.0 * scale.0);
        steps.map(|at| (at, rate(at, prefill_heavy))).collect()
    };
    let stream = |class, (prompt, output), prefill_heavy| ArrivalStream {
        class,
        prompt,
        output,
        sigma: 0.6,
        rate: rates(prefill_heavy),
        ..ArrivalStream::default()
    };
    let streams = [stream("reading", PREFILL_HEAVY, true), stream("writing", DECODE_HEAVY, false)];
    let mut engines = engines(pool.engines, pool.domains);
    for engine in &mut engines {
        engine.mixed_efficiency = pool.efficiency;
    }
    build(&streams, engines, 5.0 * minute)
}

/// Simulates the swing with these settings of the planner and all other decisions.
pub fn run(scale: Scale, pool: &Pool, settings: Settings) -> Results {
    let roles = Settings { mixing: mixing(pool.efficiency), ..settings };
    pool::run(&swing(scale, pool), &Setup { roles, ..Setup::all() })
}

/// Simulates the swing with the planner that knows all arrivals.
pub fn bound(scale: Scale, pool: &Pool) -> Results {
    let scenario = swing(scale, pool);
    let mut all = Setup::all();
    all.roles.mixing = mixing(pool.efficiency);
    pool::run_with_planner(&scenario, &all, Box::new(Oracle::new(&scenario, &all.roles)))
}

/// Compares planners of roles under the swing.
pub fn compare(scale: Scale, pool: &Pool, policies: &[(&'static str, Policy)]) -> Table {
    let head = [
        "way",
        "goodput, tokens/s",
        "of the bound",
        "work/s",
        "of the bound",
        "reading in time",
        "writing in time",
        "refused",
        "late",
        "role changes",
        "for an engine",
    ];
    let mut table = Table::new(&head);
    let scenario = swing(scale, pool);
    let bound = bound(scale, pool);
    table.row(row("knows the future", &bound, &bound));
    table.row(offered(&scenario, &bound));
    for (name, policy) in policies {
        table.row(row(name, &run(scale, pool, Settings::from(policy)), &bound));
    }
    let mixed = Setup::static_roles();
    table.row(row("all mixed", &pool::run(&scenario, &mixed), &bound));
    let mut fixed = swing(scale, pool);
    let prefill = pool.engines * 3 / 7;
    for (index, engine) in fixed.engines.iter_mut().enumerate() {
        engine.role = if index < prefill { Role::Prefill } else { Role::Decode };
    }
    let name = format!("{prefill} prefill, {} decode", pool.engines - prefill);
    table.row(row(&name, &pool::run(&fixed, &mixed), &bound));
    table.row(row("round robin", &pool::run(&scenario, &Setup::round_robin()), &bound));
    table.row(row("least connections", &pool::run(&scenario, &Setup::least_connections()), &bound));
    table
}

/// Returns the row of the offered load, which no setup can exceed.
fn offered(scenario: &Scenario, bound: &Results) -> Vec<String> {
    let cost = |arrival: &Arrival| Cost::new(arrival.prompt, arrival.output);
    let offered =
        scenario.arrivals.iter().fold(Cost::default(), |sum, arrival| sum + cost(arrival));
    let (tokens, work) =
        (float(offered.decode) / scenario.end, float(offered.work()) / scenario.end);
    let bound_work = float(bound.work.work()) / bound.seconds;
    let mut cells = vec!["all that is asked for".to_owned(), format!("{tokens:.0}")];
    cells.push(percent(tokens / bound.goodput()));
    cells.extend([format!("{work:.0}"), percent(work / bound_work)]);
    cells.extend(["100.0 %", "100.0 %", "", "", "", ""].map(str::to_owned));
    cells
}

fn row(name: &str, results: &Results, bound: &Results) -> Vec<String> {
    let work = |results: &Results| float(results.work.work()) / results.seconds;
    let total = results.total();
    let share = |part: u64| percent(float(part) / float(total.calls.max(1)));
    let in_time = |class| percent(results.classes.get(class).map_or(0.0, |t| t.in_time_rate()));
    let engines = float(u64::try_from(results.engines).unwrap_or(1));
    vec![
        name.to_owned(),
        format!("{:.0}", results.goodput()),
        percent(results.goodput() / bound.goodput()),
        format!("{:.0}", work(results)),
        percent(work(results) / work(bound)),
        in_time("reading"),
        in_time("writing"),
        share(total.refused),
        share(total.late),
        results.role_changes.to_string(),
        format!("{:.1}", float(results.role_changes) / engines),
    ]
}
