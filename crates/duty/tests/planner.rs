//! The planner with a log in memory and engines that execute its orders.

#[path = "../../state/tests/common/mod.rs"]
mod common;

use async_trait::async_trait;
use common::{Open, Process};
use conf::{Kind, Name};
use duty::reconcile::View;
use duty::{Agent, Context, Fleet, Followed, LoadReport, Observation, Planner, Roles, scope};
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

/// Engines in memory, with the loads that their agents report.
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

    fn execute(&self, name: &str, kind: &OrderKind) {
        let mut engines = self.0.lock().expect("no test panicked");
        let engine = engines.get_mut(name).expect("the engine exists");
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
        let observed = agents.iter().filter_map(|agent| {
            let load = engines.get(&agent.target)?.clone();
            Some((agent.target.clone(), LoadReport { load, received_at: Instant::now() }))
        });
        Observation { targets: observed.collect(), ..Observation::default() }
    }
}

/// A process that plans for the pool once it holds the lease.
struct Standby {
    system: Process<System>,
    config: Process<Config>,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Standby {
    fn start(log: &MemoryLog, name: &str, incarnation: u64, engines: &Engines) -> Self {
        Self::start_fallback(log, name, incarnation, engines, Duration::ZERO)
    }

    fn start_fallback(
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

    async fn wait_for_planner(&mut self, name: &str) {
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

/// Executes the open orders of all engines as their agents do; with `fail` they fail instead.
async fn execute(log: MemoryLog, engines: Engines, fail: bool) {
    let mut agents = Process::<System>::start(&log, "agents", SYSTEM_STREAM);
    loop {
        let system = agents.state.borrow_and_update().clone();
        let names = engines.0.lock().expect("no test panicked").keys().cloned().collect::<Vec<_>>();
        for name in names {
            for order in system.open_orders(&name) {
                tokio::time::sleep(Duration::from_secs(1)).await;
                let failure = if fail { "no such artifact".to_owned() } else { String::new() };
                if !fail {
                    engines.execute(&name, &order.kind);
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

/// All orders in the audit trail as text, with whether they are valid.
fn orders(standby: &Standby) -> Vec<String> {
    let system = standby.system.state.borrow();
    let orders = system.audit().filter(|act| act.what.starts_with("order"));
    orders.map(|act| format!("{} {}: {}", act.valid, act.subject, act.what)).collect()
}

// Operators publish an adapter for all engines, then a new version of the model, then a role. The
// planner has to bring all engines there. If an old version were unloaded before all engines serve
// the new one, callers would be refused.
#[tokio::test(start_paused = true)]
async fn engines_reach_the_desired_state() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    publish_fleet(&log, &engines, 2).await;
    let standby = Standby::start(&log, "a", 1, &engines);
    let agents = tokio::spawn(execute(log.clone(), engines.clone(), false));
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

// The planner's process is paused while it appends an order, and another process takes over. When
// the first one resumes, its order reaches the log. If that were valid, engines would get the
// orders of two planners.
#[tokio::test(start_paused = true)]
async fn late_orders_of_a_paused_planner_are_void() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    log.set_delay(Duration::from_millis(300));
    publish_fleet(&log, &engines, 1).await;
    engines.add("engine-1", &["m", "m+x"]);
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.wait_for_planner("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(10)).await;
    // Now an order is needed, and the planner blocks in its append.
    engines.add("engine-1", &["m"]);
    a.system.gate.set(Open::Held);
    let paused_at = Instant::now();
    b.wait_for_planner("b").await;
    let takeover_time = paused_at.elapsed();
    assert!(takeover_time < Duration::from_secs(10), "the takeover took {takeover_time:?}");
    tokio::time::sleep(Duration::from_secs(5)).await;
    a.set(Open::All);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let load = "engine-1: order: load m+x from x-1";
    assert_eq!(orders(&b), [format!("true {load}"), format!("false {load}")]);
    assert_eq!(b.planner().as_deref(), Some("b"));
}

// Two faults at the same time: the reply to an order is lost while the planner is killed, and its
// successor plans the same. The engine must not get two orders to load the same weights.
#[tokio::test(start_paused = true)]
async fn order_with_a_lost_reply_is_not_repeated_after_a_takeover() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    publish_fleet(&log, &engines, 1).await;
    engines.add("engine-1", &["m", "m+x"]);
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.wait_for_planner("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(5)).await;
    engines.add("engine-1", &["m"]);
    log.lose_replies(2);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    a.task.abort();
    b.wait_for_planner("b").await;
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(orders(&b), ["true engine-1: order: load m+x from x-1"]);
}

// An artifact is missing in the weight store, so each load of it fails immediately. Without backoff
// an order at each tick would fill the log.
#[tokio::test(start_paused = true)]
async fn failed_order_is_retried_with_backoff() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    publish_fleet(&log, &engines, 1).await;
    let standby = Standby::start(&log, "a", 1, &engines);
    let agents = tokio::spawn(execute(log.clone(), engines.clone(), true));
    tokio::time::sleep(Duration::from_secs(600)).await;
    let given = orders(&standby).len();
    assert!((5..=12).contains(&given), "{given} orders in ten minutes");
    agents.abort();
}

// A planner that shuts down gracefully releases the pool, so that its successor need not wait for
// the lease to expire.
#[tokio::test(start_paused = true)]
async fn stopped_planner_releases_the_pool() {
    let (log, engines) = (MemoryLog::new(), Engines::default());
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.wait_for_planner("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(3)).await;
    a.stop.cancel();
    let stopped_at = Instant::now();
    b.wait_for_planner("b").await;
    assert!(stopped_at.elapsed() < Duration::from_secs(2));
}

// One engine serves the new version before the other. Entries still route some callers to the old
// one; if the first engine unloaded it now, a single engine would have to serve all of them.
#[tokio::test(start_paused = true)]
async fn old_version_is_unloaded_once_all_engines_serve_the_new_one() {
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
        let (observed, system) = (engines.observe(&agents).await, System::default());
        View { config: &config, system: &system, observed: &observed, pool: POOL }.orders()
    };
    let new = ["m", "m@v1", "m@v2", "m@v2+x"];
    let load = Load { serve: "m@v2+x".into(), artifact: "x-1".into() };
    let load = ("engine-2".into(), OrderKind::Load(load));
    assert_eq!(next(&new, &["m", "m@v1", "m@v2"]).await, [load]);
    let unload = |name: &str| (name.into(), OrderKind::Unload("m@v1".into()));
    assert_eq!(next(&new, &new).await, [unload("engine-1"), unload("engine-2")]);
}

// All preferred planners of a pool are in one failure domain, which fails. The other processes are
// only a fallback: one of them has to take over, but not before the preferred ones.
#[tokio::test(start_paused = true)]
async fn fallback_plans_only_when_no_preferred_process_does() {
    const FALLBACK_DELAY: Duration = Duration::from_secs(30);
    let (log, engines) = (MemoryLog::new(), Engines::default());
    let mut fallback = Standby::start_fallback(&log, "r", 3, &engines, FALLBACK_DELAY);
    let mut a = Standby::start(&log, "a", 1, &engines);
    a.wait_for_planner("a").await;
    let mut b = Standby::start(&log, "b", 2, &engines);
    tokio::time::sleep(Duration::from_secs(5)).await;
    a.task.abort();
    b.wait_for_planner("b").await;
    b.task.abort();
    let failed_at = Instant::now();
    fallback.wait_for_planner("r").await;
    assert!(failed_at.elapsed() > FALLBACK_DELAY && failed_at.elapsed() < Duration::from_secs(70));
}
