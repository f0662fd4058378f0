//! Brings the engines' stages to the split that the load needs.
//!
//! Any entry may do it, one at a time. Who wants to appends its plan to the entries' stream on
//! condition that nothing was appended since it read: of several, one succeeds. The plan's offset
//! is the fence of its orders. It is also the announcement: all entries keep new work away from
//! the engines named, and only then are the orders given, see [`orders`].
//!
//! A plan names engines, and for a lease nobody but its holder may order those: another entry names
//! an engine again only when it has read no plan with it for [`QUIET`]. So a plan that can't wait,
//! because nobody is left who writes or nobody who reads, is made at once, with other engines than
//! the last one. Plans that can wait are [`QUIET`] apart, so that each shows its effect first.
//!
//! Where streams are about to fill all places while engines that read can be spared, these are lent to
//! them and come back later, see [`policy::balance`]. Such plans are announced by datagram, and one
//! holder may make the next after [`AGAIN`].

mod orders;

use crate::codec::TargetId;
use crate::config::route::{Service, ServiceName, Stage};
use crate::exchange::entry_stream::StreamView;
use crate::shared::Shared;
use crate::targets::target::Target;
use orders::{ANNOUNCED, Changes, TOLD};
use plat::KeyedLog;
use policy::balance;
use policy::demand::DemandTracker;
use policy::split::{self, Engine, EngineRole};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How often the split is looked at.
const TICK: Duration = Duration::from_millis(250);

/// Engines up to which it is looked at so often.
const ENGINES: u32 = 256;

/// It is looked at no less often than this.
const LONGEST_TICK: Duration = Duration::from_millis(1_500);

/// Entries that look at it at all: one plans, and the others stand by.
const PLANNERS: usize = 6;

/// How long the split of the same engines has to be wrong before it is changed: longer than a
/// heartbeat of an engine that has just changed, or of one that is not yet listed when the system
/// starts.
const LASTING: Duration = Duration::from_millis(1_500);

/// How long nobody may be seen to write, or to read, before that is changed: an engine that broke
/// off is asked once more within this time.
const LACKING: Duration = Duration::from_millis(500);

/// No engine is named earlier than this after another entry's plan with it was read: the end of that
/// one's orders, a read of the stream, and a lease of three seconds.
const QUIET: Duration = Duration::from_millis(10_000);

/// Each entry waits so much longer than the one before it in the order of their names, so that
/// they rarely race.
const TURN: Duration = Duration::from_millis(700);

/// The same for a plan that can't wait.
const SHORT_TURN: Duration = Duration::from_millis(250);

/// Between two plans of one holder that move engines to where the load is.
const AGAIN: Duration = Duration::from_millis(3_000);

/// From when a part is short until the engines that are ordered for it begin to change.
const NOTICED: Duration = Duration::from_millis(1_500);

/// How long after the first engines were lent more may be.
const EARLY: Duration = Duration::from_secs(5);

/// How long engines that were lent stay at least: longer than two waves.
const HELD: Duration = Duration::from_secs(6);

/// The shortest time after which engines are lent anew: phases last some ten seconds.
const PHASE: Duration = Duration::from_secs(20);

/// After engines were moved to where the load is, they are left there so long whatever is usual.
const CALM: Duration = Duration::from_secs(4);

/// Plans and orders for as long as the process lives.
pub async fn run(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    bulletin: watch::Receiver<StreamView>,
) {
    let mut planner = Planner { shared, log, bulletin, watched: HashMap::new() };
    loop {
        tokio::time::sleep(planner.pause()).await;
        if planner.may_plan() {
            planner.tick().await;
        } else {
            // What it has seen is old when its turn comes.
            planner.watched.clear();
        }
    }
}

struct Planner {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    bulletin: watch::Receiver<StreamView>,
    watched: HashMap<ServiceName, Watched>,
}

/// What this entry has seen of one service's load.
#[derive(Default)]
struct Watched {
    demand: DemandTracker,
    /// Tokens that had been asked for when the load was last looked at, and when that was.
    last: Option<(u64, Instant)>,
    /// Since when the split has been wrong, and how.
    wrong: Option<(Wrong, Instant)>,
    /// What was lent to the other part.
    lent: Option<Lent>,
}

/// Engines that read before and were lent to those that write.
#[derive(Debug, Clone, Copy)]
struct Lent {
    /// How many read before.
    readers: usize,
    /// When the first were lent.
    first: Instant,
    /// When engines last changed for this.
    last: Instant,
}

impl Watched {
    /// Notes that engines change because one part is short, while `reading` read.
    fn lend(&mut self, reading: usize, now: Instant) {
        let before = self.lent.filter(|lent| now.duration_since(lent.first) < PHASE);
        let new = Lent { readers: reading, first: now, last: now };
        let first = before.map_or(now, |lent| lent.first);
        let readers = self.lent.map_or(reading, |lent| lent.readers.max(reading));
        self.lent = Some(Lent { readers, first, ..new });
    }

    /// Whether engines have changed so lately that a wave may be all that has changed since.
    fn holds_on(&self, now: Instant) -> bool {
        self.lent.is_some_and(|lent| now.duration_since(lent.last) < HELD)
    }

    /// Whether engines may be lent: those that are lent late in a phase come when it is over, and are
    /// missing in the next.
    fn may_lend(&self, now: Instant) -> bool {
        let since = self.lent.map(|lent| now.duration_since(lent.first));
        since.is_none_or(|since| since < EARLY || since >= PHASE)
    }
}

/// What is wrong with a split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrong {
    /// No engine that can be reached does this part.
    Lacks(EngineRole),
    /// The load leaves one part short of engines that the other can spare.
    Short(EngineRole),
    /// Too few of so many engines do it for the load.
    TooFew { part: EngineRole, of: usize },
}

impl Planner {
    /// How long until the split is looked at again: each look takes as long as there are engines, and all
    /// together take no more of a VM in a large pool than in a small one.
    fn pause(&self) -> Duration {
        let engines = u32::try_from(self.shared.fleet().engines().len()).unwrap_or(u32::MAX);
        (TICK * (engines / ENGINES).max(1)).min(LONGEST_TICK)
    }

    /// Whether this entry is among the first in the order of names, of which one plans.
    fn may_plan(&self) -> bool {
        let bulletin = self.bulletin.borrow();
        let name = &self.shared.settings.name;
        let before = bulletin.entries.iter().take_while(|entry| *entry != name).count();
        before < PLANNERS
    }

    async fn tick(&mut self) {
        if self.shared.stopping().is_some() {
            return;
        }
        let Some(table) = self.shared.table.borrow().clone() else { return };
        let now = Instant::now();
        for service in table.services().filter(|service| service.engine.is_some()) {
            let mut watched = self.watched.remove(&service.name).unwrap_or_default();
            self.observe(service, &mut watched, now);
            let found = self.changes(service, &watched, now);
            watched.wrong = found.as_ref().map(|(wrong, _)| match watched.wrong {
                Some((before, since)) if before == *wrong => (before, since),
                _ => (*wrong, now),
            });
            let due =
                watched.wrong.is_some_and(|(wrong, since)| self.is_our_turn(wrong, since, now));
            let idle = watched.demand.is_idle();
            self.watched.insert(service.name.clone(), watched);
            if let Some((wrong, changes)) = found.filter(|_| due) {
                log::info!(target: "stages", service = service.name.as_str(), wrong:? = wrong;
                    "split to be changed");
                // Where nobody can be served, or nobody asks, no work has to be kept away first.
                let in_vain = idle || matches!(wrong, Wrong::Lacks(_));
                if let Wrong::Short(_) = wrong
                    && let Some(watched) = self.watched.get_mut(&service.name)
                {
                    watched.lend(reading(&self.shared, service, now), now);
                }
                let announced = match wrong {
                    _ if in_vain => Duration::ZERO,
                    Wrong::Short(_) => TOLD,
                    Wrong::Lacks(_) | Wrong::TooFew { .. } => ANNOUNCED,
                };
                self.carry_out(changes, announced).await;
                return;
            }
        }
    }

    /// Takes in what was asked for since the last look, and how many streams there are.
    fn observe(&self, service: &Service, watched: &mut Watched, now: Instant) {
        let asked = self.shared.loads.requested_tokens(&service.name);
        let Some((before, at)) = watched.last.replace((asked, now)) else { return };
        let engines = self.shared.usable(&service.name);
        let streams = engines
            .iter()
            .map(|engine| engine.engine.streams() + self.shared.peers.load_at(engine.key).streams);
        let elapsed = now.duration_since(at);
        watched.demand.observe(asked.saturating_sub(before), streams.sum(), elapsed);
    }

    /// What is wrong with the split, and what would mend it.
    fn changes(
        &self,
        service: &Service,
        watched: &Watched,
        now: Instant,
    ) -> Option<(Wrong, Changes)> {
        let targets = self.shared.usable(&service.name);
        let staged = targets.iter().filter_map(|target| Some((target, target.next_stage(now)?)));
        let mut staged: Vec<_> = staged
            .map(|(target, stage)| (target, stage, self.engine(target, stage, now)))
            .collect();
        let engines: Vec<Engine> = staged.iter().map(|(_, _, engine)| *engine).collect();
        let lacking = split::missing_role(&engines);
        if lacking.is_some() {
            // What can be reached has to do both parts.
            staged.retain(|(_, _, engine)| engine.available);
        }
        let engines: Vec<Engine> = staged.iter().map(|(_, _, engine)| *engine).collect();
        let reading = split::count_prefill(&engines);
        let short = self.short(service, watched, &engines, now).filter(|_| lacking.is_none());
        let wanted = match short {
            Some(wanted) => wanted,
            None => self.usual(service, watched, &engines, lacking.is_some(), now)?,
        };
        let changes = split::engines_to_change(&engines, wanted);
        let free = changes.into_iter().filter(|&at| self.may_name(&staged[at].0.id, now));
        let changes: Changes = free.map(|at| (staged[at].0.clone(), other(staged[at].1))).collect();
        let part = if wanted > reading { EngineRole::Reads } else { EngineRole::Writes };
        let wrong = match (lacking, short) {
            (Some(lacking), _) => Wrong::Lacks(lacking),
            (None, Some(_)) => Wrong::Short(part),
            (None, None) => Wrong::TooFew { part, of: engines.len() },
        };
        (!changes.is_empty()).then_some((wrong, changes))
    }

    /// How many engines should read if the load leaves one part short.
    fn short(
        &self,
        service: &Service,
        watched: &Watched,
        engines: &[Engine],
        now: Instant,
    ) -> Option<usize> {
        let settings = &self.shared.settings;
        if settings.split.fixed_share.is_some() {
            return None;
        }
        let (load, pool) = self.load(service, watched, engines)?;
        // An engine that writes is missing for as long as its last stream takes. So none is taken from them
        // for a burst of prompts, which is over by then, but those that were lent to them.
        let lent = watched.lent.map_or(0, |lent| lent.readers.saturating_sub(pool.prefill));
        let wanted = match balance::rebalance(&settings.balance, &load, pool) {
            Some(wanted) if wanted < pool.prefill && !watched.may_lend(now) => return None,
            Some(wanted) => wanted.min(pool.prefill + lent),
            None if watched.holds_on(now) => return None,
            None => balance::restore(&settings.balance, &load, pool, lent)?,
        };
        if wanted == pool.prefill {
            return None;
        }
        // Those that can't be reached are left as they are.
        let away = split::count_prefill(engines).saturating_sub(pool.prefill);
        split::clamp_prefill(engines.len(), wanted + away)
    }

    /// What the load keeps busy until a change would take effect, and the engines that are there for it.
    fn load(
        &self,
        service: &Service,
        watched: &Watched,
        engines: &[Engine],
    ) -> Option<(balance::ProjectedLoad, balance::Pool)> {
        let spec = service.engine.as_ref()?;
        let pace = self.shared.loads.engine_profile(&service.name, spec.max_streams)?;
        let load = watched.demand.projected_load(&pace, spec.stage_change_time + NOTICED);
        let here = |part| engines.iter().filter(|e| e.available && e.role == part).count();
        let pool =
            balance::Pool { prefill: here(EngineRole::Reads), decode: here(EngineRole::Writes) };
        Some((load, pool))
    }

    /// How many engines should read as long as no part is short.
    fn usual(
        &self,
        service: &Service,
        watched: &Watched,
        engines: &[Engine],
        now_or_never: bool,
        now: Instant,
    ) -> Option<usize> {
        let share = self.share(service, watched, now_or_never)?;
        let settings = &self.shared.settings;
        let reading = split::count_prefill(engines);
        let wanted = split::desired_prefill(&settings.split, share, engines.len(), reading);
        if now_or_never {
            return Some(wanted);
        }
        let lately = |at: Instant| now.duration_since(at) < CALM;
        if watched.lent.is_some_and(|lent| lately(lent.last)) {
            return None;
        }
        let Some((load, _)) = self.load(service, watched, engines) else { return Some(wanted) };
        let pool = balance::Pool { prefill: wanted, decode: engines.len().saturating_sub(wanted) };
        // Engines that the load keeps busy stay where they are.
        balance::is_sufficient(&settings.balance, &load, pool).then_some(wanted)
    }

    /// The share of the service's engines that should read; `None` while too little is known and
    /// it does not have to be `now`.
    fn share(&self, service: &Service, watched: &Watched, now: bool) -> Option<f64> {
        let settings = &self.shared.settings.split;
        let places = service.engine.as_ref().map_or(1, |engine| engine.max_streams);
        // A system that starts for the first time has served nobody who could have shown its pace.
        let first = self.shared.settings.first_start && !self.bulletin.borrow().has_plan;
        let guess = (now || first).then(|| split::default_profile(places));
        let pace = self.shared.loads.engine_profile(&service.name, places).or(guess)?;
        let need = watched.demand.peak_load(&pace);
        Some(split::prefill_share(settings, &pace, &need))
    }

    fn engine(&self, target: &Target, stage: Stage, now: Instant) -> Engine {
        let others = self.shared.peers.load_at(target.key);
        Engine {
            role: part(stage),
            // One that writes changes once its last stream has ended.
            work: target.in_flight().max(target.engine.streams() + others.streams),
            domain: target.domain_key,
            available: !target.is_unavailable(silent(stage), now)
                && !target.is_limit_exhausted(now)
                && (stage == Stage::Prefill || !target.has_transfer_backlog(now)),
        }
    }

    /// Whether this entry may order an engine: no other has planned to lately.
    fn may_name(&self, engine: &TargetId, now: Instant) -> bool {
        let bulletin = self.bulletin.borrow();
        let mut plans = bulletin.planned_engines.iter().filter(|named| named.engine == *engine);
        plans.all(|named| {
            named.planner == self.shared.settings.name || now.duration_since(named.read_at) >= QUIET
        })
    }

    /// Whether this entry may plan to mend what has been wrong since `since`.
    fn is_our_turn(&self, wrong: Wrong, since: Instant, now: Instant) -> bool {
        let bulletin = self.bulletin.borrow();
        let (Some(planned), Some(complete)) = (bulletin.last_plan_at, bulletin.complete_since)
        else {
            return false;
        };
        let name = &self.shared.settings.name;
        let before = bulletin.entries.iter().take_while(|entry| *entry != name).count();
        let turns = u32::try_from(before).unwrap_or(u32::MAX);
        // At the first start nobody can have planned before what stands in the stream.
        let first = self.shared.settings.first_start && !bulletin.has_plan;
        let knows_all = first || now.duration_since(complete) >= QUIET;
        let wrong_for = now.duration_since(since);
        match wrong {
            Wrong::Lacks(_) => knows_all && wrong_for >= LACKING + SHORT_TURN * turns,
            Wrong::Short(_) => {
                let own = bulletin.planned_engines.iter().all(|named| named.planner == *name);
                let quiet = first || now.duration_since(planned) >= if own { AGAIN } else { QUIET };
                knows_all && quiet && wrong_for >= LACKING + SHORT_TURN * turns
            }
            Wrong::TooFew { .. } => {
                let quiet = first || now.duration_since(planned) >= QUIET;
                knows_all && quiet && wrong_for >= LASTING + TURN * turns
            }
        }
    }
}

/// How many engines of a service read, or are about to.
fn reading(shared: &Shared, service: &Service, now: Instant) -> usize {
    let engines = shared.usable(&service.name);
    engines.iter().filter(|engine| engine.next_stage(now) == Some(Stage::Prefill)).count()
}

/// An engine that has work and has said nothing for this long can't be counted on. One that writes
/// makes a piece of each stream every few steps; one that reads says nothing until it has read all
/// of a prompt, the longest of which take a second.
fn silent(stage: Stage) -> Duration {
    match stage {
        Stage::Prefill => Duration::from_millis(1_500),
        Stage::Decode => Duration::from_millis(1_000),
    }
}

fn part(stage: Stage) -> EngineRole {
    match stage {
        Stage::Prefill => EngineRole::Reads,
        Stage::Decode => EngineRole::Writes,
    }
}

fn other(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}
