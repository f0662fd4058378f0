//! Orders at the agent, and engines that crash.

mod common;

use common::{MODEL, World, prompt, settle};
use conf::Kind;
use conf::resource::Role;
use fake::{EngineModel, MemoryEngine};
use serde_json::json;
use state::Appender;
use state::record::{Body, Claim, Order, OrderKind};
use std::sync::Arc;
use std::time::Duration;
use target::{Engine, Order as EngineOrder};
use wire::Request;

/// Another pool than the engines', for which nobody else plans.
const SCOPE: &str = "planner/test";

/// A planner that holds its claim and gives orders.
struct Planner {
    appender: Appender,
    claim: u64,
}

impl Planner {
    async fn new(world: &World) -> Self {
        let appender = Appender::new(Arc::new(world.log.clone()), "planner-1".into());
        let claim =
            Claim { scope: SCOPE.into(), supersedes: None, incarnation: 1, lease_ms: 5_000 };
        let claim = appender.append(plat::SYSTEM_STREAM, Body::Claim(claim)).await;
        Self { appender, claim: claim.expect("the log is up").offset }
    }

    async fn order(&self, target: &str, role: &str) -> u64 {
        let order = Order {
            scope: SCOPE.into(),
            claim: self.claim,
            target: target.into(),
            kind: Some(OrderKind::SetRole(role.into())),
        };
        let appended = self.appender.append(plat::SYSTEM_STREAM, Body::Order(order)).await;
        appended.expect("the log is up").offset
    }
}

async fn role(engine: &MemoryEngine) -> Role {
    engine.status().await.expect("the engine is up").role
}

/// The outcome of an order as a reader of the log finds it: none while it is open.
async fn outcome(world: &World, order: u64) -> Option<String> {
    let log = Arc::new(world.log.clone());
    let follower = state::Follower::<state::System>::new(log, plat::SYSTEM_STREAM.into());
    let system = follower.state();
    let following = tokio::spawn(follower.run());
    settle().await;
    let outcome = system.borrow().order(order).and_then(|order| order.outcome.clone());
    following.abort();
    outcome.map(|outcome| outcome.failure.to_string())
}

// The planner changes an engine's role while it streams. The stream must end whole before the
// engine leaves service, and the order must take effect once.
#[tokio::test(start_paused = true)]
async fn a_role_change_lets_running_streams_finish_first() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 4).await;
    let planner = Planner::new(&world).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 1_000), 10_000).await;
    settle().await;
    let order = planner.order("engine-1", "prefill").await;
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (1_000, None));
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(role(&engine).await, Role::Prefill);
    assert_eq!(engine.orders(), [(order, EngineOrder::SetRole { role: Role::Prefill })]);
    assert_eq!(engine.conflicts(), 0);
    assert_eq!(outcome(&world, order).await.as_deref(), Some(""));
}

// A stream outlasts the time that a role change waits. It is told to go on elsewhere, with its KV
// cache kept here, instead of being cut without a word.
#[tokio::test(start_paused = true)]
async fn a_stream_that_outlasts_the_drain_is_told_to_move() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 4).await;
    let planner = Planner::new(&world).await;
    let mut entry = world.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 30_000), 100_000).await;
    settle().await;
    planner.order("engine-1", "prefill").await;
    let (_, tokens, refusal) = entry.finish(1).await;
    let refusal = refusal.expect("it moves");
    assert_eq!(
        (refusal.reason.as_str(), refusal.progress()),
        ("draining", wire::Progress::Started)
    );
    assert!(tokens > 1_000);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(role(&engine).await, Role::Prefill);
}

// The engine crashes in the middle of a role change, and comes back in its old role. The agent
// must not believe that the order took effect, and must carry it out again.
#[tokio::test(start_paused = true)]
async fn an_engine_that_crashes_during_a_role_change_ends_in_the_ordered_role() {
    let world = World::default();
    let (engine, _agent) = world.engine("engine-1", 4).await;
    let planner = Planner::new(&world).await;
    let order = planner.order("engine-1", "decode").await;
    tokio::time::sleep(Duration::from_secs(28)).await;
    if engine.orders().is_empty() {
        // The claim on the target took its time; the change has just begun.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let second = planner.order("engine-1", "prefill").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(engine.status().await.expect("up").busy, "the change is under way");
    engine.crash();
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(outcome(&world, second).await, None, "nothing is claimed while the engine is down");
    engine.start();
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(role(&engine).await, Role::Prefill);
    assert_eq!(outcome(&world, order).await.as_deref(), Some(""));
    assert_eq!(outcome(&world, second).await.as_deref(), Some(""));
    assert_eq!(engine.conflicts(), 0);
}

// The agent is killed in the middle of a role change and starts again. It must wait for the change
// under way instead of giving a second order beside it, and then report what the engine really is.
#[tokio::test(start_paused = true)]
async fn an_agent_that_restarts_during_a_role_change_gives_no_second_order() {
    let world = World::default();
    let model = EngineModel { role_change: Duration::from_secs(120), ..EngineModel::default() };
    let engine = MemoryEngine::new(model, &[MODEL]);
    world.publish(Kind::Model, MODEL, json!({})).await;
    let mut spec = common::engine_spec("engine-1", 4);
    spec["checks_fencing"] = true.into();
    world.publish(Kind::Target, "engine-1", spec).await;
    let backend = || agent::Backend::Engine(Arc::new(Detached(engine.clone())));
    let first = world.agent("engine-1", backend());
    settle().await;
    let planner = Planner::new(&world).await;
    let order = planner.order("engine-1", "decode").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(engine.status().await.expect("up").busy);
    first.kill();
    let _second = world.agent("engine-1", backend());
    tokio::time::sleep(Duration::from_secs(130)).await;
    assert_eq!(engine.conflicts(), 0);
    assert_eq!(engine.orders().len(), 1);
    assert_eq!(outcome(&world, order).await.as_deref(), Some(""));
}

/// An engine that goes on with an order whose sender has gone, as a real one does.
struct Detached(MemoryEngine);

#[async_trait::async_trait]
impl Engine for Detached {
    async fn generate(&self, job: target::Job) -> target::Result<target::Outputs> {
        self.0.generate(job).await
    }
    async fn cancel(&self, id: &str) -> target::Result<()> {
        self.0.cancel(id).await
    }
    async fn order(&self, fence: u64, order: &EngineOrder) -> target::Result<()> {
        let (engine, order) = (self.0.clone(), order.clone());
        tokio::spawn(async move { engine.order(fence, &order).await }).await.expect("it ends")
    }
    async fn status(&self) -> target::Result<target::Status> {
        self.0.status().await
    }
    async fn export_kv(&self, id: &str) -> target::Result<bytes::Bytes> {
        self.0.export_kv(id).await
    }
    async fn import_kv(&self, id: &str, cache: bytes::Bytes) -> target::Result<()> {
        self.0.import_kv(id, cache).await
    }
}

// A VM is replaced by one of the same name while the old one is only cut off from the log. Its
// engine ignores fencing numbers. An order that the new agent gets must not be carried out by the
// old one too when it comes back, and the old one must not act on its lapsed claim.
#[tokio::test(start_paused = true)]
async fn an_agent_that_lost_its_claim_gives_no_orders() {
    let world = World::default();
    let (engine, _old) = world.engine("engine-1", 4).await;
    engine.change(|model| model.checks_fencing = false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let _new = world.agent("engine-1", agent::Backend::Engine(Arc::new(engine.clone())));
    let planner = Planner::new(&world).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let order = planner.order("engine-1", "decode").await;
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(engine.orders(), [(order, EngineOrder::SetRole { role: Role::Decode })]);
    assert_eq!(engine.conflicts(), 0);
}

// Two orders for the same engine wait; the older one is pointless by now. One change instead of
// two saves seconds out of service, and both must be closed in the log.
#[tokio::test(start_paused = true)]
async fn an_order_that_a_later_one_replaces_is_skipped() {
    let world = World::default();
    let planner = Planner::new(&world).await;
    let first = planner.order("engine-1", "prefill").await;
    let second = planner.order("engine-1", "decode").await;
    let (engine, _agent) = world.engine("engine-1", 4).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.orders(), [(second, EngineOrder::SetRole { role: Role::Decode })]);
    let expected = format!("superseded by order {second}");
    assert_eq!(outcome(&world, first).await, Some(expected));
    assert_eq!(outcome(&world, second).await.as_deref(), Some(""));
}

// One request crashes each engine that runs it, and its caller sends it again and again, to any
// engine. It may take down two engines, and the requests that ran beside it must not be refused.
#[tokio::test(start_paused = true)]
async fn a_poison_request_takes_down_two_engines_at_most() {
    let world = World::default();
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for number in 1..=3 {
        let (engine, agent) = world.engine(&format!("engine-{number}"), 4).await;
        engine.change(|model| model.crash_on = Some("poison".into()));
        engines.push(engine);
        agents.push(agent);
    }
    let mut bystander = prompt("innocent", "desk", 200);
    bystander.fingerprint = 7;
    let mut crashes = 0;
    let mut refused = 0;
    for round in 0..9 {
        let target = format!("engine-{}", round % 3 + 1);
        let mut entry = world.entry("entry-1", &target).await;
        entry.submit(1, bystander.clone(), 1_000).await;
        settle().await;
        entry.submit(2, poison(), 1_000).await;
        let (_, _, refusal) = entry.finish(2).await;
        match refusal.expect("it never ends well").reason.as_str() {
            "quarantined" => refused += 1,
            "target-broken" => {
                crashes += 1;
                engines[round % 3].start();
            }
            other => panic!("unexpected {other}"),
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    assert_eq!((crashes, refused), (2, 7));

    let mut entry = world.entry("entry-1", "engine-3").await;
    entry.submit(3, bystander, 1_000).await;
    let (_, tokens, refusal) = entry.finish(3).await;
    assert_eq!((tokens, refusal), (200, None), "the innocent one is served");
}

fn poison() -> Request {
    let mut request = prompt("poison", "tiles", 50);
    request.fingerprint = 666;
    if let Some(wire::Work::Prompt(prompt)) = &mut request.work {
        prompt.text = "poison".into();
    }
    request
}
