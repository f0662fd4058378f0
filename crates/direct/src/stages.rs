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

mod orders;

use crate::border::TargetId;
use crate::bulletin::Bulletin;
use crate::route::{Service, ServiceName, Stage};
use crate::shared::Shared;
use crate::target::Target;
use orders::{ANNOUNCED, Changes};
use plat::KeyedLog;
use policy::demand::Demand;
use policy::split::{self, Engine, Part};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How often the split is looked at.
const TICK: Duration = Duration::from_millis(250);

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

/// Entries that wait in turn; later ones wait as long as the last of these.
const MAX_TURNS: u32 = 8;

/// Plans and orders for as long as the process lives.
pub async fn run(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, bulletin: watch::Receiver<Bulletin>) {
    let mut planner = Planner { shared, log, bulletin, watched: HashMap::new() };
    loop {
        tokio::time::sleep(TICK).await;
        planner.tick().await;
    }
}

struct Planner {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    bulletin: watch::Receiver<Bulletin>,
    watched: HashMap<ServiceName, Watched>,
}

/// What this entry has seen of one service's load.
#[derive(Default)]
struct Watched {
    demand: Demand,
    /// Tokens that had been asked for when the load was last looked at, and when that was.
    last: Option<(u64, Instant)>,
    /// Since when the split has been wrong, and how.
    wrong: Option<(Wrong, Instant)>,
}

/// What is wrong with a split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrong {
    /// No engine that can be reached does this part.
    Lacks(Part),
    /// Too few of so many engines do it for the load.
    TooFew { part: Part, of: usize },
}

impl Planner {
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
                self.carry_out(changes, if in_vain { Duration::ZERO } else { ANNOUNCED }).await;
                return;
            }
        }
    }

    /// Takes in what was asked for since the last look, and how many streams there are.
    fn observe(&self, service: &Service, watched: &mut Watched, now: Instant) {
        let asked = self.shared.loads.asked(&service.name);
        let Some((before, at)) = watched.last.replace((asked, now)) else { return };
        let engines = self.shared.usable(&service.name);
        let streams = engines
            .iter()
            .map(|engine| engine.engine.streams() + self.shared.peers.others(engine.key).streams);
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
        let mut staged: Vec<_> =
            staged.map(|(target, stage)| (target, stage, engine(target, stage, now))).collect();
        let engines: Vec<Engine> = staged.iter().map(|(_, _, engine)| *engine).collect();
        let lacking = split::lacking(&engines);
        if lacking.is_some() {
            // What can be reached has to do both parts.
            staged.retain(|(_, _, engine)| engine.present);
        }
        let engines: Vec<Engine> = staged.iter().map(|(_, _, engine)| *engine).collect();
        let share = self.share(service, watched, lacking.is_some())?;
        let settings = &self.shared.settings.split;
        let reading = split::reading(&engines);
        let wanted = split::wanted(settings, share, engines.len(), reading);
        let changes = split::changes(&engines, wanted);
        let free = changes.into_iter().filter(|&at| self.may_name(&staged[at].0.id, now));
        let changes: Changes = free.map(|at| (staged[at].0.clone(), other(staged[at].1))).collect();
        let short = if wanted > reading { Part::Reads } else { Part::Writes };
        let wrong = lacking.map_or(Wrong::TooFew { part: short, of: engines.len() }, Wrong::Lacks);
        (!changes.is_empty()).then_some((wrong, changes))
    }

    /// The share of the service's engines that should read; `None` while too little is known and
    /// it does not have to be `now`.
    fn share(&self, service: &Service, watched: &Watched, now: bool) -> Option<f64> {
        let settings = &self.shared.settings.split;
        let places = service.engine.as_ref().map_or(1, |engine| engine.places);
        // A system that starts for the first time has served nobody who could have shown its pace.
        let first = self.shared.settings.first_start && !self.bulletin.borrow().any_plan;
        let guess = (now || first).then(|| split::assumed(places));
        let pace = self.shared.loads.pace(&service.name, places).or(guess)?;
        let need = watched.demand.need(&pace);
        Some(split::share(settings, &pace, &need))
    }

    /// Whether this entry may order an engine: no other has planned to lately.
    fn may_name(&self, engine: &TargetId, now: Instant) -> bool {
        let bulletin = self.bulletin.borrow();
        let mut plans = bulletin.named.iter().filter(|named| named.engine == *engine);
        plans.all(|named| {
            named.holder == self.shared.settings.name || now.duration_since(named.at) >= QUIET
        })
    }

    /// Whether this entry may plan to mend what has been wrong since `since`.
    fn is_our_turn(&self, wrong: Wrong, since: Instant, now: Instant) -> bool {
        let bulletin = self.bulletin.borrow();
        let (Some(planned), Some(complete)) = (bulletin.planned, bulletin.complete) else {
            return false;
        };
        let name = &self.shared.settings.name;
        let before = bulletin.entries.iter().take_while(|entry| *entry != name).count();
        let turns = u32::try_from(before).unwrap_or(u32::MAX).min(MAX_TURNS);
        // At the first start nobody can have planned before what stands in the stream.
        let first = self.shared.settings.first_start && !bulletin.any_plan;
        let knows_all = first || now.duration_since(complete) >= QUIET;
        let wrong_for = now.duration_since(since);
        match wrong {
            Wrong::Lacks(_) => knows_all && wrong_for >= LACKING + SHORT_TURN * turns,
            Wrong::TooFew { .. } => {
                let quiet = first || now.duration_since(planned) >= QUIET;
                knows_all && quiet && wrong_for >= LASTING + TURN * turns
            }
        }
    }
}

fn engine(target: &Target, stage: Stage, now: Instant) -> Engine {
    Engine {
        part: part(stage),
        work: target.in_flight(),
        domain: target.domain_key,
        present: !target.is_away(silent(stage), now)
            && (stage == Stage::Prefill || !target.is_choked(now)),
    }
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

fn part(stage: Stage) -> Part {
    match stage {
        Stage::Prefill => Part::Reads,
        Stage::Decode => Part::Writes,
    }
}

fn other(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}
