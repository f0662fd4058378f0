//! Changes the stages of engines to the split between prefill and decode that the load requires.
//!
//! Any entry may do so, one at a time. To change stages, an entry appends its plan to the entries'
//! stream on condition that nothing was appended since it last read: of several entries, one
//! succeeds. The plan's offset is the fencing token of its orders. It is also the announcement: all
//! entries stop sending new work to the engines in the plan, and only then are the orders sent, see
//! `orders`.
//!
//! A plan names engines, and its planner has a lease on them: another entry plans a change of an
//! engine again only when it has read no plan with that engine for `QUIET_PERIOD`. So an urgent
//! plan, made because no engine decodes or none prefills, is made at once, with other engines than
//! the last one. Plans that can wait are `QUIET_PERIOD` apart, so that the effect of each shows
//! first.
//!
//! The split that a plan decides outlasts its engines, see [`crate::cluster::splits`]: engines that
//! join in another role than it requires change as long as they have little work.
//!
//! Which split the load requires is decided by [`policy::split`]. Plans for it are announced by
//! datagram. The first entry in the order of planning makes them; the next one takes its place only
//! if the split stays wrong for `TAKEOVER_STAGGER`.

mod orders;

use crate::cluster::splits::SplitRow;
use crate::codec::TargetId;
use crate::config::route::{Service, ServiceName, Stage};
use crate::exchange::entry_stream::StreamView;
use crate::shared::Shared;
use crate::targets::target::Target;
use orders::{ANNOUNCEMENT_TIME, DATAGRAM_ANNOUNCEMENT_TIME, StageChanges};
use plat::KeyedLog;
use policy::demand::{DemandTracker, EngineProfile, PromptProfile};
use policy::pace::slow_engines;
use policy::split::{self, ChangeTime, Engine, EngineRole, History, Pool, Ratio};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How often the split is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Up to this many engines it is checked that often.
const ENGINES_PER_INTERVAL: u32 = 256;

/// The longest interval between two checks.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long the same number of engines must have the wrong split before it is changed: longer than
/// the heartbeat interval of an engine that has just changed, or of one that is not listed yet when
/// the system starts.
const REGULAR_DELAY: Duration = Duration::from_millis(1_500);

/// How long a pool may differ from its split before engines that have joined change. Those that they
/// replace leave meanwhile.
const JOIN_DELAY: Duration = Duration::from_millis(500);

/// For how long an engine that the split was not decided for counts as one that has just joined: an
/// entry that starts may not plan for the first third of it.
const JOIN_SPAN: Duration = Duration::from_secs(30);

/// How long no engine may be seen to decode, or to prefill, before that is changed: an engine that
/// broke a connection is tried once more within this time.
const URGENT_DELAY: Duration = Duration::from_millis(500);

/// An engine named in a plan of another entry is not planned again earlier than this after that
/// plan was read: the time until the other entry sends its last order, plus a read of the stream
/// and a lease of three seconds.
const QUIET_PERIOD: Duration = Duration::from_millis(10_000);

/// The shortest interval between two plans of one planner that follow the load: until then the
/// engines of the first have not changed.
const PLAN_INTERVAL: Duration = Duration::from_millis(5_000);

/// How much longer each entry waits with an urgent plan than the one before it in the order of
/// planning, so that they rarely race.
const URGENT_STAGGER: Duration = Duration::from_millis(250);

/// The same for a plan that follows the load: longer than the first entry needs to append one while
/// the log is slow. Two entries that plan at the same time lose the append to each other.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(1_500);

/// The time from when a stage is short of engines until the engines ordered for it begin to change.
const REACTION_TIME: Duration = Duration::from_millis(1_000);

/// The last of several streams ends after this many times the mean remaining time of one.
const LAST_STREAM_FACTOR: u32 = 2;

/// Plans and sends orders for as long as the process lives.
pub async fn run(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    stream_view: watch::Receiver<StreamView>,
) {
    let mut planner = Planner { shared, log, stream_view, services: HashMap::new() };
    loop {
        tokio::time::sleep(planner.check_interval()).await;
        if planner.shared.peers.directory.may_plan() {
            planner.tick().await;
        } else {
            // What it has observed is out of date by the time that it plans.
            planner.services.clear();
        }
    }
}

struct Planner {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    stream_view: watch::Receiver<StreamView>,
    services: HashMap<ServiceName, ServiceState>,
}

/// What this entry has observed of one service's load.
#[derive(Default)]
struct ServiceState {
    demand: DemandTracker,
    /// The tokens requested up to the last check, and the time of that check.
    last_sample: Option<(u64, Instant)>,
    /// What has been wrong with the split, and since when.
    imbalance: Option<(Imbalance, Instant)>,
    /// How many engines there were by role at the last check.
    counts: Counts,
}

/// How many engines of a service there are by role; available ones can be reached and accept work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Counts {
    prefill: usize,
    available_prefill: usize,
    decode: usize,
    available_decode: usize,
}

/// What is wrong with a split; the names of the variants are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Imbalance {
    /// No available engine has this role.
    Lacks(EngineRole),
    /// The load requires more engines with this role.
    Short(EngineRole),
    /// A pool of so many engines that starts without load has too few with this role.
    Uneven { role: EngineRole, of: usize },
    /// Engines have joined, and the pool now has too few with this role for its split.
    Joined(EngineRole),
}

/// What is wrong with a split, and how to correct it.
struct Correction {
    imbalance: Imbalance,
    changes: StageChanges,
    /// The split that is decided; none if the present one is kept.
    ratio: Option<Ratio>,
}

impl Planner {
    /// How long until the split is checked again. The cost of a check grows with the number of
    /// engines; all checks together take no larger share of a VM in a large pool than in a small
    /// one.
    fn check_interval(&self) -> Duration {
        let engines = u32::try_from(self.shared.fleet().engines().len()).unwrap_or(u32::MAX);
        (CHECK_INTERVAL * (engines / ENGINES_PER_INTERVAL).max(1)).min(MAX_CHECK_INTERVAL)
    }

    async fn tick(&mut self) {
        if self.shared.stopping().is_some() || !self.shared.fleet().has_list() {
            return;
        }
        let Some(table) = self.shared.table.borrow().clone() else { return };
        let now = Instant::now();
        for service in table.services().filter(|service| service.engine.is_some()) {
            let mut state = self.services.remove(&service.name).unwrap_or_default();
            self.sample_demand(service, &mut state, now);
            let idle = state.demand.is_idle();
            let found = self.find_imbalance(service, &mut state, now);
            state.imbalance = found.as_ref().map(|found| match state.imbalance {
                Some((before, since)) if before == found.imbalance => (before, since),
                _ => (found.imbalance, now),
            });
            let due = state
                .imbalance
                .is_some_and(|(imbalance, since)| self.is_our_turn(imbalance, since, idle, now));
            self.services.insert(service.name.clone(), state);
            if found.is_none() && self.shared.splits.ratio(&service.name).is_none() {
                self.adopt_split(service, now);
            }
            if let Some(Correction { imbalance, changes, ratio }) = found.filter(|_| due) {
                let known = self.shared.splits.ratio(&service.name).map(|(ratio, _)| ratio);
                log::info!(target: "stages", service = service.name.as_str(), wrong:? = imbalance,
                    engines = changes.len(), known:? = known, decided:? = ratio;
                    "split to be changed");
                // Where no request can be served, or none is sent, no work has to be kept away from
                // the engines first.
                let skip_announcement = idle || matches!(imbalance, Imbalance::Lacks(_));
                let announcement_time = match imbalance {
                    _ if skip_announcement => Duration::ZERO,
                    Imbalance::Short(_) | Imbalance::Joined(_) => DATAGRAM_ANNOUNCEMENT_TIME,
                    Imbalance::Lacks(_) | Imbalance::Uneven { .. } => ANNOUNCEMENT_TIME,
                };
                let split = ratio.map(|Ratio { prefill, engines }| SplitRow {
                    service: service.name.to_string(),
                    prefill,
                    engines,
                    decided_at: 0,
                });
                self.execute(changes, split, announcement_time).await;
                return;
            }
        }
    }

    /// Keeps the split of a pool that needs no change, where no plan has decided one.
    fn adopt_split(&self, service: &Service, now: Instant) {
        if !self.has_all_plans(now) {
            return;
        }
        let targets = self.shared.usable(&service.name);
        let stages: Vec<Stage> =
            targets.iter().filter_map(|target| target.next_stage(now)).collect();
        let prefill = stages.iter().filter(|stage| **stage == Stage::Prefill).count();
        // More engines may be about to be listed.
        let is_settled = targets.iter().all(|target| target.known_for(now) >= REGULAR_DELAY);
        if is_settled
            && (1..stages.len()).contains(&prefill)
            && let Some(ratio) = Ratio::new(prefill, stages.len())
        {
            log::info!(target: "stages", service = service.name.as_str(), split:? = ratio;
                "split kept");
            self.shared.splits.record(&service.name, ratio, 0);
        }
    }

    /// Records the tokens requested since the last check, and the current number of streams.
    fn sample_demand(&self, service: &Service, state: &mut ServiceState, now: Instant) {
        let requested = self.shared.loads.requested_tokens(&service.name);
        let Some((before, at)) = state.last_sample.replace((requested, now)) else { return };
        let engines = self.shared.usable(&service.name);
        let streams = engines
            .iter()
            .map(|engine| engine.engine.streams() + self.shared.peers.load_at(engine.key).streams);
        // The work of only some of the other entries is known at a time.
        let streams = f64::from(streams.sum::<u32>()) * self.shared.load_scale();
        // Casting a positive float to an integer saturates.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let streams = streams.round() as u32;
        let elapsed = now.duration_since(at);
        state.demand.observe(requested.saturating_sub(before), streams, elapsed);
    }

    /// What is wrong with the split, and the changes that would correct it.
    fn find_imbalance(
        &self,
        service: &Service,
        state: &mut ServiceState,
        now: Instant,
    ) -> Option<Correction> {
        let targets = self.shared.usable(&service.name);
        let max_gap = self.shared.max_gap(&service.name);
        let staged = targets.iter().filter_map(|target| Some((target, target.next_stage(now)?)));
        let mut staged: Vec<_> = staged
            .map(|(target, stage)| (target, stage, self.engine(target, stage, now)))
            .collect();
        let paces: Vec<_> = staged.iter().map(|(target, ..)| target.pace()).collect();
        for ((.., engine), slow) in staged.iter_mut().zip(slow_engines(&paces, max_gap)) {
            engine.unfit = slow;
        }
        let engines: Vec<Engine> = staged.iter().map(|(_, _, engine)| *engine).collect();
        self.log_counts(service, state, &engines);
        let missing = split::missing_role(&engines);
        if missing.is_some() {
            // The available engines have to fill both roles.
            staged.retain(|(_, _, engine)| engine.available);
        }
        let engines: Vec<Engine> = staged.iter().map(|(_, _, engine)| *engine).collect();
        let prefill = split::count_prefill(&engines);
        let to_changes = |indexes: Vec<usize>| -> StageChanges {
            let allowed = indexes.into_iter().filter(|&at| self.may_order(&staged[at].0.id, now));
            allowed.map(|at| (staged[at].0.clone(), other_stage(staged[at].1))).collect()
        };
        let role_for =
            |desired| if desired > prefill { EngineRole::Prefill } else { EngineRole::Decode };
        let ages = staged.iter().map(|(target, ..)| target.known_for(now));
        if missing.is_none()
            && let Some((indexes, desired)) = self.restore_split(service, &engines, ages, now)
        {
            let (imbalance, changes) = (Imbalance::Joined(role_for(desired)), to_changes(indexes));
            return (!changes.is_empty()).then_some(Correction { imbalance, changes, ratio: None });
        }
        let history = self.history(service, state);
        let settings = &self.shared.settings.split;
        let desired = match missing {
            Some(_) => split::desired_prefill(settings, &history.recent, engines.len()),
            None if state.demand.is_idle() => self.first_prefill(&engines)?,
            None => self.required_prefill(service, &engines, &history)?,
        };
        let changes = to_changes(split::engines_to_change(&engines, desired));
        let role = role_for(desired);
        let ratio = Ratio::new(desired, engines.len()).filter(|_| missing.is_none());
        let imbalance = match missing {
            Some(missing) => Imbalance::Lacks(missing),
            None if state.demand.is_idle() => Imbalance::Uneven { role, of: engines.len() },
            None => Imbalance::Short(role),
        };
        (!changes.is_empty()).then_some(Correction { imbalance, changes, ratio })
    }

    /// The engines that have joined, by how long they are known, and have to change for the split that
    /// was decided; and how many then prefill.
    fn restore_split(
        &self,
        service: &Service,
        engines: &[Engine],
        ages: impl Iterator<Item = Duration>,
        now: Instant,
    ) -> Option<(Vec<usize>, usize)> {
        let (ratio, since) = self.shared.splits.ratio(&service.name)?;
        let span = now.saturating_duration_since(since).min(JOIN_SPAN);
        let joined: Vec<bool> = ages.map(|age| age < span).collect();
        split::joined_to_change(engines, &joined, ratio)
    }

    /// Logs how the pool is divided, when that changes.
    fn log_counts(&self, service: &Service, state: &mut ServiceState, engines: &[Engine]) {
        let mut counts = Counts::default();
        for engine in engines {
            let (all, available) = match engine.role {
                EngineRole::Prefill => (&mut counts.prefill, &mut counts.available_prefill),
                EngineRole::Decode => (&mut counts.decode, &mut counts.available_decode),
            };
            *all += 1;
            *available += usize::from(engine.available);
        }
        if std::mem::replace(&mut state.counts, counts) != counts {
            let Counts { prefill, available_prefill, decode, available_decode } = counts;
            let split = self.shared.splits.ratio(&service.name).map(|(ratio, _)| ratio);
            log::info!(target: "stages", service = service.name.as_str(), prefill,
                available_prefill, decode, available_decode, split:? = split;
                "engines by stage");
        }
    }

    /// How many engines should prefill in a system that starts for the first time, if that many
    /// don't yet.
    fn first_prefill(&self, engines: &[Engine]) -> Option<usize> {
        let first = self.is_first_start(&self.stream_view.borrow());
        let unbalanced = split::is_unbalanced(engines.len(), split::count_prefill(engines));
        (first && unbalanced).then(|| split::initial_prefill(engines.len()))
    }

    /// How many engines should prefill, if the load requires a change.
    fn required_prefill(
        &self,
        service: &Service,
        engines: &[Engine],
        history: &History,
    ) -> Option<usize> {
        let count_available =
            |role| engines.iter().filter(|engine| engine.available && engine.role == role).count();
        let unfit = engines
            .iter()
            .filter(|engine| engine.available && engine.unfit && engine.role == EngineRole::Decode);
        let pool = Pool {
            prefill: count_available(EngineRole::Prefill),
            decode: count_available(EngineRole::Decode),
            unfit: unfit.count(),
            colocated_share: self.colocated_share(service),
        };
        let change_time = self.change_time(service);
        let desired = split::choose(&self.shared.settings.split, history, pool, change_time)?;
        // Unavailable engines are left as they are.
        let unavailable = split::count_prefill(engines).saturating_sub(pool.prefill);
        split::clamp_prefill(engines.len(), desired + unavailable)
    }

    /// The demand observed so far; none until demand and the speed of the engines are known.
    fn history(&self, service: &Service, state: &ServiceState) -> History {
        let Some((profile, prompts)) = self.profiles(service) else { return History::default() };
        let change_time = self.change_time(service);
        let horizon = split::horizon(&self.shared.settings.split, change_time);
        let demands =
            |memory| state.demand.demands(&profile, &prompts, memory, change_time.to_decode);
        History {
            recent: demands(horizon),
            long: demands(horizon * split::LONG_HORIZONS),
            observed: state.demand.observed(),
        }
    }

    /// What a decode engine without streams can prefill, relative to a prefill engine.
    fn colocated_share(&self, service: &Service) -> f64 {
        let Some((engine, prompts)) = self.profiles(service) else { return 0.0 };
        let settings = self.shared.prefill_settings(&service.name);
        let (time, utilization) = (prompts.time(&engine), prompts.utilization(&engine));
        split::colocated_share(&settings, time, prompts.max_duration, utilization)
    }

    /// The speed of the service's engines and its prompts, once both are known.
    fn profiles(&self, service: &Service) -> Option<(EngineProfile, PromptProfile)> {
        let loads = &self.shared.loads;
        let slots = service.engine.as_ref().map_or(1, |engine| engine.max_streams);
        loads.engine_profile(&service.name, slots).zip(loads.prompt_profile(&service.name))
    }

    /// For how long an engine of the service is out of service when it changes.
    fn change_time(&self, service: &Service) -> ChangeTime {
        let spec = service.engine.as_ref();
        let change = spec.map_or(Duration::ZERO, |engine| engine.stage_change_time);
        let to_decode = change + REACTION_TIME;
        let streams = self.shared.loads.remaining_stream_time(&service.name);
        ChangeTime { to_decode, to_prefill: to_decode + streams * LAST_STREAM_FACTOR }
    }

    fn engine(&self, target: &Target, stage: Stage, now: Instant) -> Engine {
        let others = self.shared.peers.load_at(target.key);
        Engine {
            role: role_of(stage),
            // A decode engine changes once its last stream has ended.
            work: target.in_flight().max(target.engine.streams() + others.streams),
            domain: target.domain_key,
            unfit: false,
            software: target.software_key,
            available: !target.is_unavailable(unresponsive_after(stage), now)
                && !target.is_limit_exhausted(now)
                && (stage == Stage::Prefill || !target.has_transfer_backlog(now)),
        }
    }

    /// Whether this entry may order an engine to change: no other entry has recently planned to.
    fn may_order(&self, engine: &TargetId, now: Instant) -> bool {
        let view = self.stream_view.borrow();
        let mut plans = view.planned_engines.iter().filter(|planned| planned.engine == *engine);
        plans.all(|planned| {
            planned.planner == self.shared.settings.name
                || now.duration_since(planned.read_at) >= QUIET_PERIOD
        })
    }

    /// Whether no plan can be in force that this entry has not read.
    fn has_all_plans(&self, now: Instant) -> bool {
        let view = self.stream_view.borrow();
        view.complete_since.is_some_and(|complete| {
            self.is_first_start(&view)
                || view.is_whole
                || now.duration_since(complete) >= QUIET_PERIOD
        })
    }

    /// Whether the system starts for the first time: no plan is older than those in the stream.
    fn is_first_start(&self, view: &StreamView) -> bool {
        self.shared.settings.first_start && !view.may_have_plan
    }

    /// Whether it is this entry's turn to plan against an imbalance that has lasted since `since`.
    fn is_our_turn(&self, imbalance: Imbalance, since: Instant, idle: bool, now: Instant) -> bool {
        let view = self.stream_view.borrow();
        let Some(last_plan_at) = view.last_plan_at else { return false };
        let name = &self.shared.settings.name;
        let turns = self.shared.peers.directory.planning_rank();
        let first = self.is_first_start(&view);
        let has_all_plans = self.has_all_plans(now);
        let duration = now.duration_since(since);
        match imbalance {
            // While nothing is to be served, a missing role may be one whose engines are not listed
            // yet.
            Imbalance::Lacks(_) | Imbalance::Uneven { .. } if idle => {
                has_all_plans && duration >= REGULAR_DELAY + TAKEOVER_STAGGER * turns
            }
            Imbalance::Lacks(_) | Imbalance::Uneven { .. } => {
                has_all_plans && duration >= URGENT_DELAY + URGENT_STAGGER * turns
            }
            Imbalance::Joined(_) => {
                has_all_plans && duration >= JOIN_DELAY + TAKEOVER_STAGGER * turns
            }
            Imbalance::Short(_) => {
                let own = view.planned_engines.iter().all(|planned| planned.planner == *name);
                let quiet = first
                    || now.duration_since(last_plan_at)
                        >= if own { PLAN_INTERVAL } else { QUIET_PERIOD };
                has_all_plans && quiet && duration >= TAKEOVER_STAGGER * turns
            }
        }
    }
}

/// How long an engine that has work may send nothing before it counts as unresponsive. A decode
/// engine sends a piece of each stream every few steps; a prefill engine sends nothing until it has
/// finished a prompt, the longest of which take a second.
fn unresponsive_after(stage: Stage) -> Duration {
    match stage {
        Stage::Prefill => Duration::from_millis(1_500),
        Stage::Decode => Duration::from_millis(1_000),
    }
}

fn role_of(stage: Stage) -> EngineRole {
    match stage {
        Stage::Prefill => EngineRole::Prefill,
        Stage::Decode => EngineRole::Decode,
    }
}

fn other_stage(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}
