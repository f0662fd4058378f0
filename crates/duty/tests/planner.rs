//! The planner over a log in memory and engines that carry out what they are told.

#[path = "../../state/tests/common/mod.rs"]
mod common;

use async_trait::async_trait;
use common::{Open, Process};
use conf::{Kind, Name};
use duty::reconcile::View;
use duty::{Agent, Context, Fleet, Followed, Observation, Planner, Roles, Seen, scope};
use fake::MemoryLog;
use plat::{CONFIG_STREAM, SYSTEM_STREAM};
use serde_json::{Value, json};
use state::record::{Body, Change, Load, OrderKind, OrderOutcome};
use state::{Config, System};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const POOL: &str = "main";

/// Engines in memory, as their agents report them.
#[derive(Clone, Default)]
struct Engines(Arc<Mutex<BTreeMap<Name, wire::Load>>>);

impl Engines {
    fn add(&self, name: &str, serves: &[&str]) {
        let serves = serves.iter().map(ToString::to_string).collect();
        let role = "mixed".into();
        let load = wire::Load { serves, role, accepting: true, ..wire::Load::default() };
        self.0.lock().expect("no test panicked").insert(name.into(), load);
    }

    fn get(&self, name: &str) -> wire::Load {
        self.0.lock().expect("no test panicked")[name].clone()
    }

    fn obey(&self, name: &str, kind: &OrderKind) {
        let mut engines = self.0.lock().expect("no test panicked");
        let engine = engines.get_mut(name).expect("it is there");
        match kind {
            OrderKind::SetRole(role) => engine.role = role.clone(),
            OrderKind::Load(load) => engine.serves.push(load.serve.clone()),
            OrderKind::Unload(serve) => engine.serves.retain(|name| name != serve),
        }
    }
}

#[async_trait]
impl Fleet for Engines {
    async fn observe(&self, agents: &[Agent]) -> Observation {
        let engines = self.0.lock().expect("no test panicked");
        let seen = agents.iter().filter_map(|agent| {
            let load = engines.get(&agent.target)?.clone();
            Some((agent.target.clone(), Seen { load, at: Instant::now() }))
        });
        Observation { targets: seen.collect(), ..Observation::default() }
    }
}

/// A process that stands ready to plan.
struct Standby {
    system: Process<System>,
    config: Process<Config>,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Standby {
    fn start(log: &MemoryLog, name: &str, incarnation: u64, engines: &Engines) -> Self {
        Self::start_patient(log, name, incarnation, engines, Duration::ZERO)
    }

    fn start_patient(
        log: &MemoryLog,
        name: &str,
        incarnation: u64,
        engines: &Engines,
        fallback_delay: Duration,
    ) -> Self {
        let system = Process::<System>::start(log, name, SYSTEM_STREAM);
        let config = Process::<Config>::start(log, name, CONFIG_STREAM);
        let planner = Planner::new(Context {
            pool: POOL.into(),
            incarnation,
            fallback_delay,
            appender: system.appender.clone(),
            config: Followed { state: config.state.clone(), health: config.health.clone() },
            system: Followed { state: system.state.clone(), health: system.health.clone() },
            fleet: Arc::new(engines.clone()),
            decide: Box::new(Roles::default()),
        });
        let stop = CancellationToken::new();
        let task = tokio::spawn(planner.run(stop.clone()));
        Self { system, config, stop, task }
    }

    fn set(&self, open: Open) {
        self.system.gate.set(open);
        self.config.gate.set(open);
    }

    fn planner(&self) -> Option<String> {
        let system = self.system.state.borrow();
        system.holder(&scope(POOL)).map(|holder| holder.process.to_string())
    }

    async fn planned_by(&mut self, name: &str) {
        let held =
            |system: &Arc<System>| system.holder(&scope(POOL)).is_some_and(|h| h.process == name);
        self.system.state.wait_for(held).await.expect("it runs");
    }
}

async fn publish(log: &MemoryLog, kind: Kind, name: &str, spec: Value) {
    let appender = state::Appender::new(Arc::new(log.clone()), "ana".into());
    let (kind, name) = (kind.name().to_owned(), name.to_owned());
    let change = Change { kind, name, spec: Some(spec.to_string()), expects: None };
    appender.append(CONFIG_STREAM, Body::Change(change)).await.expect("the log is up");
}

async fn publish_fleet(log: &MemoryLog, engines: &Engines, count: usize) {
    publish(log, Kind::Model, "m", json!({})).await;
    publish(log, Kind::Adapter, "x", json!({"model": "m", "artifact": "x-1"})).await;
    for number in 1..=count {
        let name = format!("engine-{number}");
        let agent = format!("{name}:1");
        let spec = json!({"domain": "d1", "agent": agent, "models": ["m"], "adapters": ["x"]});
        publish(log, Kind::Target, &name, spec).await;
        engines.add(&name, &["m"]);
    }
}

/// Carries out open orders of all engines, as their agents do; `fail` fails them instead.
async fn obey(log: MemoryLog, engines: Engines, fail: bool) {
    let mut agents = Process::<System>::start(&log, "agents", SYSTEM_STREAM);
    loop {
        let system = agents.state.borrow_and_update().clone();
        let names = engines.0.lock().expect("no test panicked").keys().cloned().collect::<Vec<_>>();
        for name in names {
            for order in system.open_orders(&name) {
                tokio::time::sleep(Duration::from_secs(1)).await;
                let failure = if fail { "no such artifact".to_owned() } else { String::new() };
                if !fail {
                    engines.obey(&name, &order.kind);
                }
                let target = name.to_string();
                let outcome = OrderOutcome { order: order.offset, target, failure };
                let appended = agents.appender.append(SYSTEM_STREAM, Body::OrderOutcome(outcome));
                let appended = appended.await.expect("the log is up");
                agents.read_to(appended.offset + 1).await;
            }
        }
        agents.state.changed().await.expect("it runs");
    }
}

/// All orders ever given and whether they counted, in words.
fn orders(standby: &Standby) -> Vec<String> {
    let system = standby.system.state.borrow();
    let orders = system.audit().filter(|act| act.what.starts_with("order"));
    orders.map(|act| format!("{} {}: {}", act.valid, act.subject, act.what)).collect()
}

// Operators want an adapter everywhere, then a new version of the model, then a role. Nobody
// tells the engines; an old version that went before all serve the new one would refuse callers.
#[tokio::test(start_paused = true)]
async fn engines_are_brought_to_what_operators_want() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    publish_fleet(&log, &engines, 2).await;
    let standby = Standby::start(&log, "a", 1, &engines);
    let agents = tokio::spawn(obey(log.clone(), engines.clone(), false));
    tokio::time::sleep(Duration::from_secs(30)).await;
    publish(&log, Kind::Version, "v2", json!({"model": "m", "artifact": "m-2"})).await;
    publish(&log, Kind::Model, "m", json!({"version": "v2"})).await;
    publish(&log, Kind::Policy, POOL, json!({"roles": {"engine-2": "decode"}})).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    let serves = ["engine-1", "engine-2"].map(|name| engines.get(name).serves);
    assert_eq!(serves[0], ["m", "m@v2", "m@v2+x"]);
    assert_eq!(serves[0], serves[1]);
    assert_eq!(engines.get("engine-2").role, "decode");
    insta::assert_snapshot!(orders(&standby).join("\n"));
    agents.abort();
}

// The planner's process is paused in the middle of its work and another takes over. When it wakes
// up it still means to give orders; were they to count, engines would get those of two planners.
#[tokio::test(start_paused = true)]
async fn a_paused_planner_is_succeeded_and_its_late_orders_are_void() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    log.set_delay(Duration::from_millis(300));
    publish_fleet(&log, &engines, 1).await;
    engines.add("engine-1", &["m", "m+x"]);
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.planned_by("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(10)).await;
    // Now there is something to order, and the planner hangs in that append.
    engines.add("engine-1", &["m"]);
    a.system.gate.set(Open::Held);
    let paused = Instant::now();
    b.planned_by("b").await;
    let took = paused.elapsed();
    assert!(took < Duration::from_secs(10), "the takeover took {took:?}");
    tokio::time::sleep(Duration::from_secs(5)).await;
    a.set(Open::All);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let load = "engine-1: order: load m+x from x-1";
    assert_eq!(orders(&b), [format!("true {load}"), format!("false {load}")]);
    assert_eq!(b.planner().as_deref(), Some("b"));
}

// Two faults together: the reply to an order is lost while the planner dies, and its successor
// plans the same. The engine must not be told to load the same weights twice.
#[tokio::test(start_paused = true)]
async fn an_order_whose_reply_was_lost_in_a_takeover_is_not_given_again() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    publish_fleet(&log, &engines, 1).await;
    engines.add("engine-1", &["m", "m+x"]);
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.planned_by("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(5)).await;
    engines.add("engine-1", &["m"]);
    log.lose_replies(2);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    a.task.abort();
    b.planned_by("b").await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(orders(&b), ["true engine-1: order: load m+x from x-1"]);
}

// The weight store lacks an artifact, so each load of it fails at once. Ordered anew at each look
// it would fill the log.
#[tokio::test(start_paused = true)]
async fn an_order_that_fails_is_given_less_and_less_often() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    publish_fleet(&log, &engines, 1).await;
    let standby = Standby::start(&log, "a", 1, &engines);
    let agents = tokio::spawn(obey(log.clone(), engines.clone(), true));
    tokio::time::sleep(Duration::from_secs(600)).await;
    let given = orders(&standby).len();
    assert!((5..=12).contains(&given), "{given} orders in ten minutes");
    agents.abort();
}

// A graceful stop of the planner's process gives the pool up, so that no engine waits for a lease.
#[tokio::test(start_paused = true)]
async fn a_planner_that_stops_gives_the_pool_up() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.planned_by("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(3)).await;
    a.stop.cancel();
    let stopped = Instant::now();
    b.planned_by("b").await;
    assert!(stopped.elapsed() < Duration::from_secs(2));
}

// One engine has the new version before the other. Entries still route some callers by the old
// one; if it went from the first engine now, they would be left with one engine for all of them.
#[tokio::test(start_paused = true)]
async fn an_old_version_goes_only_once_all_engines_serve_the_new_one() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    publish_fleet(&log, &engines, 2).await;
    publish(&log, Kind::Version, "v2", json!({"model": "m", "artifact": "m-2"})).await;
    publish(&log, Kind::Model, "m", json!({"version": "v2"})).await;
    let mut reader = Process::<Config>::start(&log, "r", CONFIG_STREAM);
    let config = reader.read_to(6).await;
    let next = async |first: &[&str], second: &[&str]| {
        engines.add("engine-1", first);
        engines.add("engine-2", second);
        let agents = ["engine-1", "engine-2"]
            .map(|name| Agent { target: name.into(), address: name.into() });
        let (seen, system) = (engines.observe(&agents).await, System::default());
        View { config: &config, system: &system, seen: &seen, pool: POOL }.orders()
    };
    let new = ["m", "m@v1", "m@v2", "m@v2+x"];
    let load = Load { serve: "m@v2+x".into(), artifact: "x-1".into() };
    let load = ("engine-2".into(), OrderKind::Load(load));
    assert_eq!(next(&new, &["m", "m@v1", "m@v2"]).await, [load]);
    let unload = |name: &str| (name.into(), OrderKind::Unload("m@v1".into()));
    assert_eq!(next(&new, &new).await, [unload("engine-1"), unload("engine-2")]);
}

// All processes that are to plan for a pool are in one failure domain, and it fails. The rest only
// stand in reserve: the pool must not stay without a planner, nor may they come before the others.
#[tokio::test(start_paused = true)]
async fn a_reserve_plans_only_when_nobody_else_does() {
    const PATIENCE: Duration = Duration::from_secs(30);
    let (log, engines) = (MemoryLog::new(), Engines::default());
    let mut reserve = Standby::start_patient(&log, "r", 3, &engines, PATIENCE);
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.planned_by("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(5)).await;
    a.task.abort();
    b.planned_by("b").await;
    b.task.abort();
    let failed = Instant::now();
    reserve.planned_by("r").await;
    assert!(failed.elapsed() > PATIENCE && failed.elapsed() < Duration::from_secs(70));
}
