//! The balance of prompt and output swings: planners of roles against each other.

use super::compare::percent;
use super::engine::mixing;
use super::figures::Figures;
use super::oracle::Oracle;
use super::pool::{self, Plan};
use super::scenario::{Scale, plan};
use super::setup::{Setup, engines};
use super::table::Table;
use super::work::{Arrival, Stream};
use crate::estimate::{Cost, Rates};
use crate::number::float;
use crate::roles::Settings;
use conf::resource::{Policy, Role};

/// Prompt and output tokens of a request that mostly reads: a verdict on a long document.
const READING: (f64, f64) = (4_000.0, 40.0);

/// Prompt and output tokens of a request that mostly writes: a drafted reply.
const WRITING: (f64, f64) = (200.0, 300.0);

/// The whole load as a part of what the engines could do if none ever mixed.
const LOAD: f64 = 0.9;

/// The part of the work that is reading prompts, before and after, and at its height.
const SHARES: (f64, f64) = (0.2, 0.7);

/// Seconds of engine time that a request needs: reading and writing.
fn seconds((prompt, output): (f64, f64)) -> (f64, f64) {
    let Rates { prefill, decode } = Rates::default();
    (prompt / prefill, output / decode)
}

/// The part of the work that requests that mostly read must be for this share of reading.
fn reading_part(share: f64) -> f64 {
    let part = |(read, write): (f64, f64)| read / (read + write);
    let (most, least) = (part(seconds(READING)), part(seconds(WRITING)));
    (share - least) / (most - least)
}

/// The pool that swings.
#[derive(Debug, Clone, Copy)]
pub struct Pool {
    /// Engines, all mixed at the start.
    pub engines: usize,
    /// Failure domains.
    pub domains: usize,
    /// The part of its rates that an engine keeps while it reads and writes at the same time.
    pub efficiency: f64,
}

/// Reading is 0.2 of the work, rises to 0.7 within a minute, stays for one, and falls back.
pub fn swing(scale: Scale, pool: &Pool) -> Plan {
    let minute = 60.0 * scale.0;
    let share = |at: f64| {
        let up = ((at - minute) / minute).clamp(0.0, 1.0);
        let down = ((at - 3.0 * minute) / minute).clamp(0.0, 1.0);
        SHARES.0 + (SHARES.1 - SHARES.0) * (up - down)
    };
    let work = LOAD * float(u64::try_from(pool.engines).unwrap_or(0));
    let rate = |at: f64, reading: bool| {
        let part = reading_part(share(at));
        let (size, part) = if reading { (READING, part) } else { (WRITING, 1.0 - part) };
        let (read, write) = seconds(size);
        work * part / (read + write)
    };
    let pieces = |reading| {
        let steps = (0..60u32).map(f64::from).map(|step| step * 5.0 * scale.0);
        steps.map(|at| (at, rate(at, reading))).collect()
    };
    let stream = |class, (prompt, output), reading| Stream {
        class,
        prompt,
        output,
        sigma: 0.6,
        rate: pieces(reading),
        ..Stream::default()
    };
    let streams = [stream("reading", READING, true), stream("writing", WRITING, false)];
    let mut engines = engines(pool.engines, pool.domains);
    for engine in &mut engines {
        engine.mixed_efficiency = pool.efficiency;
    }
    plan(&streams, engines, 5.0 * minute)
}

/// Runs the swing with this planner's settings and all other decisions.
pub fn run(scale: Scale, pool: &Pool, settings: Settings) -> Figures {
    let roles = Settings { mixing: mixing(pool.efficiency), ..settings };
    pool::run(&swing(scale, pool), &Setup { roles, ..Setup::all() })
}

/// Runs the swing with the planner that knows the future.
pub fn bound(scale: Scale, pool: &Pool) -> Figures {
    let plan = swing(scale, pool);
    let mut all = Setup::all();
    all.roles.mixing = mixing(pool.efficiency);
    pool::run_planned(&plan, &all, Box::new(Oracle::new(&plan, &all.roles)))
}

/// Compares planners of roles at the swing.
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
    let plan = swing(scale, pool);
    let bound = bound(scale, pool);
    table.row(row("knows the future", &bound, &bound));
    table.row(offered(&plan, &bound));
    for (name, policy) in policies {
        table.row(row(name, &run(scale, pool, Settings::from(policy)), &bound));
    }
    let mixed = Setup::static_roles();
    table.row(row("all mixed", &pool::run(&plan, &mixed), &bound));
    let mut fixed = swing(scale, pool);
    let readers = pool.engines * 3 / 7;
    for (index, engine) in fixed.engines.iter_mut().enumerate() {
        engine.role = if index < readers { Role::Prefill } else { Role::Decode };
    }
    let name = format!("{readers} prefill, {} decode", pool.engines - readers);
    table.row(row(&name, &pool::run(&fixed, &mixed), &bound));
    table.row(row("round robin", &pool::run(&plan, &Setup::round_robin()), &bound));
    table.row(row("least connections", &pool::run(&plan, &Setup::least_connections()), &bound));
    table
}

/// What is asked for, of which nobody can serve more.
fn offered(plan: &Plan, bound: &Figures) -> Vec<String> {
    let cost = |arrival: &Arrival| Cost::new(arrival.prompt, arrival.output);
    let asked = plan.arrivals.iter().fold(Cost::default(), |sum, arrival| sum + cost(arrival));
    let (tokens, work) = (float(asked.decode) / plan.end, float(asked.work()) / plan.end);
    let reached = float(bound.work.work()) / bound.seconds;
    let mut cells = vec!["all that is asked for".to_owned(), format!("{tokens:.0}")];
    cells.push(percent(tokens / bound.goodput()));
    cells.extend([format!("{work:.0}"), percent(work / reached)]);
    cells.extend(["100.0 %", "100.0 %", "", "", "", ""].map(str::to_owned));
    cells
}

fn row(name: &str, figures: &Figures, bound: &Figures) -> Vec<String> {
    let work = |figures: &Figures| float(figures.work.work()) / figures.seconds;
    let total = figures.total();
    let share = |part: u64| percent(float(part) / float(total.asked.max(1)));
    let in_time = |class| percent(figures.classes.get(class).map_or(0.0, |t| t.hit_rate()));
    let engines = float(u64::try_from(figures.engines).unwrap_or(1));
    vec![
        name.to_owned(),
        format!("{:.0}", figures.goodput()),
        percent(figures.goodput() / bound.goodput()),
        format!("{:.0}", work(figures)),
        percent(work(figures) / work(bound)),
        in_time("reading"),
        in_time("writing"),
        share(total.refused),
        share(total.late),
        figures.role_changes.to_string(),
        format!("{:.1}", float(figures.role_changes) / engines),
    ]
}
