//! Brings the engines' stages to the split that the load needs.
//!
//! Any entry may do it, one at a time. Who wants to appends its plan to the entries' stream on
//! condition that nothing was appended since it read: of several, one succeeds. The plan's offset
//! is the fence of its orders. It is also the announcement: all entries keep new work away from
//! the engines named, and only then are the orders given.
//!
//! An entry that was frozen, or whose append was answered late, gives no orders: [`ORDERS_END`]
//! is measured on a clock that also counts suspended time, from before the append. Another entry
//! plans only when it has read no plan for [`QUIET`], which is longer by a lease.

use crate::attempt;
use crate::border::{StageOrder, TargetId};
use crate::bulletin::{self, Bulletin};
use crate::notice::{self, Kind, Plan};
use crate::route::{ServiceName, Stage};
use crate::shared::Shared;
use crate::target::Target;
use http::{Method, StatusCode};
use plat::{KeyedLog, Offset};
use policy::split::{self, Engine, Part};
use rustix::time::{ClockId, clock_gettime};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How often the split is looked at.
const TICK: Duration = Duration::from_millis(500);

/// How long the split has to be wrong before it is changed: longer than a heartbeat of an engine
/// that has just changed.
const LASTING: Duration = Duration::from_millis(1_500);

/// Between the announcement and the orders: two reads of the entries' stream.
const ANNOUNCED: Duration = Duration::from_millis(2_200);

/// No orders are given later than this after the append began.
const ORDERS_END: Duration = Duration::from_millis(5_000);

/// No plan is made earlier than this after another was read: the orders' end, a read of the
/// stream, and a lease of three seconds.
const QUIET: Duration = Duration::from_millis(10_000);

/// Each entry waits so much longer than the one before it in the order of their names, so that
/// they rarely race.
const TURN: Duration = Duration::from_millis(700);

/// How long an engine may take for a report or an order.
const PATIENCE: Duration = Duration::from_millis(600);

/// Plans and orders for as long as the process lives.
pub async fn run(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, bulletin: watch::Receiver<Bulletin>) {
    let mut planner = Planner { shared, log, bulletin, wrong: HashMap::new() };
    loop {
        tokio::time::sleep(TICK).await;
        planner.tick().await;
    }
}

struct Planner {
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    bulletin: watch::Receiver<Bulletin>,
    /// Since when a service needs the same changes.
    wrong: HashMap<ServiceName, (Instant, Vec<TargetId>)>,
}

impl Planner {
    async fn tick(&mut self) {
        if self.shared.stopping().is_some() {
            return;
        }
        let Some(table) = self.shared.table.borrow().clone() else { return };
        let now = Instant::now();
        for service in table.services().filter(|service| service.engine.is_some()) {
            let changes = self.changes(&service.name);
            if changes.is_empty() {
                self.wrong.remove(&service.name);
                continue;
            }
            let ids: Vec<_> = changes.iter().map(|(target, _)| target.id.clone()).collect();
            let wrong = self.wrong.entry(service.name.clone()).or_insert((now, ids.clone()));
            if wrong.1 != ids {
                *wrong = (now, ids);
            }
            let since = wrong.0;
            if self.is_our_turn(since, now) {
                self.wrong.remove(&service.name);
                self.carry_out(changes).await;
                return;
            }
        }
    }

    /// The changes that the split needs.
    fn changes(&self, service: &str) -> Vec<(Arc<Target>, Stage)> {
        let targets = self.shared.usable(service);
        let staged: Vec<_> =
            targets.iter().filter_map(|target| Some((target, target.stage()?))).collect();
        let engines: Vec<Engine> = staged
            .iter()
            .map(|(target, stage)| Engine { part: part(*stage), work: target.in_flight() })
            .collect();
        let readers = split::readers(&self.shared.settings.split, engines.len());
        let changes = split::changes(&engines, readers);
        changes.into_iter().map(|at| (staged[at].0.clone(), other(staged[at].1))).collect()
    }

    /// Whether this entry may plan changes that are needed since `since`.
    fn is_our_turn(&self, since: Instant, now: Instant) -> bool {
        let bulletin = self.bulletin.borrow();
        let Some(planned) = bulletin.planned else { return false };
        let name = &self.shared.settings.name;
        let before = bulletin.entries.iter().take_while(|entry| *entry != name).count();
        let turn = TURN * u32::try_from(before).unwrap_or(u32::MAX).min(MAX_TURNS);
        // At the first start nobody can have planned before what stands in the stream.
        let first = self.shared.settings.first_start && !bulletin.any_plan;
        let quiet = if first { Duration::ZERO } else { QUIET };
        now.duration_since(planned) >= quiet && now.duration_since(since) >= LASTING + turn
    }

    async fn carry_out(&self, changes: Vec<(Arc<Target>, Stage)>) {
        let Some(end) = self.bulletin.borrow().end else { return };
        let of = |wanted: Stage| {
            let ids = changes.iter().filter(|(_, stage)| *stage == wanted);
            ids.map(|(target, _)| target.id.to_string()).collect()
        };
        let plan = Plan {
            holder: self.shared.settings.name.to_string(),
            readers: of(Stage::Prefill),
            writers: of(Stage::Decode),
        };
        let began = since_boot();
        let record = notice::record(Kind::Plan(plan.clone()));
        let fence = match self.log.append_at(bulletin::STREAM, end, record).await {
            Ok(offset) => offset,
            Err(error) => {
                // Moved: somebody wrote meanwhile. Otherwise it may stand in the stream or not;
                // either way no order is given under it.
                log::info!(target: "stages", error:% = error; "plan not made");
                return;
            }
        };
        bulletin::announce(&self.shared, &plan, Instant::now());
        tokio::time::sleep(ANNOUNCED).await;
        let orders = changes.into_iter().map(|(target, stage)| async move {
            if since_boot().saturating_sub(began) > ORDERS_END {
                log::warn!(target: "stages", target_id = target.id.as_str(), fence;
                    "order not given: the plan is too old");
                return;
            }
            self.order(&target, stage, fence).await;
        });
        futures_util::future::join_all(orders).await;
    }

    /// Orders one engine to change, if it still has to.
    async fn order(&self, engine: &Arc<Target>, stage: Stage, fence: Offset) {
        let border = &*self.shared.border;
        let path = border.report_path();
        let report = attempt::call(engine, Method::GET, path, Vec::new(), PATIENCE).await;
        let report = report.and_then(|(_, _, body)| {
            border.report(&body).map_err(|error| compact_str::format_compact!("{error}"))
        });
        let report = match report {
            Ok(report) if report.stage != Some(stage) && !report.busy => report,
            Ok(report) => {
                log::info!(target: "stages", target_id = engine.id.as_str(), busy = report.busy;
                    "order not needed");
                return;
            }
            Err(detail) => {
                log::info!(target: "stages", target_id = engine.id.as_str(),
                    detail = detail.as_str(); "no report, no order");
                return;
            }
        };
        let holder = self.shared.settings.name.clone();
        // Offsets count from 0, and a fence of 0 could mean none.
        let order = StageOrder { stage, holder, fence: fence + 1, expected: report.orders };
        let (path, body) = border.order(&order);
        let answer = attempt::order(border, engine, path, body, PATIENCE).await;
        let went = match &answer {
            Ok(StatusCode::ACCEPTED) => "accepted",
            Ok(StatusCode::OK) => "holds already",
            Ok(StatusCode::CONFLICT) => "another is under way",
            Ok(StatusCode::PRECONDITION_FAILED) => "superseded",
            Ok(_) => "refused",
            // It may be carried out, now or later; `expected` guards against it coming late.
            Err(_) => "unknown",
        };
        self.shared.metrics.order(went);
        log::info!(target: "stages", target_id = engine.id.as_str(), stage:? = stage,
            fence = order.fence, expected = order.expected, went, answer:? = answer;
            "order given");
    }
}

/// Entries that wait in turn; later ones wait as long as the last of these.
const MAX_TURNS: u32 = 8;

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

/// Time since the VM started, suspended time included: the runtime's clock stands still while a
/// process or its VM is frozen, and a lease does not.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or_default())
}
