//! Orders that an agent executes, and engines that crash.

mod common;

use common::{Harness, MODEL, prompt, settle};
use conf::Kind;
use conf::resource::Role;
use fake::{EngineParams, MemoryEngine};
use serde_json::json;
use state::Appender;
use state::record::{Body, Claim, Order, OrderKind};
use std::sync::Arc;
use std::time::Duration;
use target::{Engine, Order as EngineOrder};
use wire::Request;

/// A pool other than that of the engines, which has no other planner.
const SCOPE: &str = "planner/test";

/// A planner that holds its claim and appends orders.
struct Planner {
    appender: Appender,
    claim: u64,
}

impl Planner {
    async fn new(harness: &Harness) -> Self {
        let appender = Appender::new(Arc::new(harness.log.clone()), "planner-1".into());
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

/// Returns the outcome of an order according to the log, or `None` while it is open.
async fn outcome(harness: &Harness, order: u64) -> Option<String> {
    let log = Arc::new(harness.log.clone());
    let follower = state::Follower::<state::System>::new(log, plat::SYSTEM_STREAM.into());
    let system = follower.state();
    let following = tokio::spawn(follower.run());
    settle().await;
    let outcome = system.borrow().order(order).and_then(|order| order.outcome.clone());
    following.abort();
    outcome.map(|outcome| outcome.failure.to_string())
}

// The planner changes an engine's role while a stream runs. The stream must be completed before the
// role changes, and the order must be sent once.
#[tokio::test(start_paused = true)]
async fn role_change_waits_for_running_streams() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    let planner = Planner::new(&harness).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 1_000), 10_000).await;
    settle().await;
    let order = planner.order("engine-1", "prefill").await;
    let (_, tokens, refusal) = entry.finish(1).await;
    assert_eq!((tokens, refusal), (1_000, None));
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(role(&engine).await, Role::Prefill);
    assert_eq!(engine.orders(), [(order, EngineOrder::SetRole { role: Role::Prefill })]);
    assert_eq!(engine.conflicts(), 0);
    assert_eq!(outcome(&harness, order).await.as_deref(), Some(""));
}

// A stream takes longer than a role change waits. It must end with a refusal, so that it continues
// at another target, with its KV cache retained here, instead of being cut off.
#[tokio::test(start_paused = true)]
async fn stream_that_exceeds_the_drain_timeout_is_migrated() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    let planner = Planner::new(&harness).await;
    let mut entry = harness.entry("entry-1", "engine-1").await;
    entry.submit(1, prompt("r1", "desk", 30_000), 100_000).await;
    settle().await;
    planner.order("engine-1", "prefill").await;
    let (_, tokens, refusal) = entry.finish(1).await;
    let refusal = refusal.expect("the stream is migrated");
    assert_eq!(
        (refusal.reason.as_str(), refusal.progress()),
        ("draining", wire::Progress::Started)
    );
    assert!(tokens > 1_000);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(role(&engine).await, Role::Prefill);
}

// The engine crashes during a role change and restarts in its old role. The agent must not report
// the order as successful and must send it again.
#[tokio::test(start_paused = true)]
async fn engine_that_crashes_during_a_role_change_ends_in_the_ordered_role() {
    let harness = Harness::default();
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    let planner = Planner::new(&harness).await;
    let order = planner.order("engine-1", "decode").await;
    tokio::time::sleep(Duration::from_secs(28)).await;
    if engine.orders().is_empty() {
        // The change starts only once the agent has its claim on the target, so it has just
        // started.
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let second = planner.order("engine-1", "prefill").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(engine.status().await.expect("up").busy, "the change is in progress");
    engine.crash();
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(
        outcome(&harness, second).await,
        None,
        "no outcome is reported while the engine is down"
    );
    engine.start();
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(role(&engine).await, Role::Prefill);
    assert_eq!(outcome(&harness, order).await.as_deref(), Some(""));
    assert_eq!(outcome(&harness, second).await.as_deref(), Some(""));
    assert_eq!(engine.conflicts(), 0);
}

// The agent is killed during a role change and restarts. It must wait for the change in progress
// instead of sending a second order, and then report the engine's actual state.
#[tokio::test(start_paused = true)]
async fn agent_that_restarts_during_a_role_change_sends_no_second_order() {
    let harness = Harness::default();
    let model = EngineParams { role_change: Duration::from_secs(120), ..EngineParams::default() };
    let engine = MemoryEngine::new(model, &[MODEL]);
    harness.publish(Kind::Model, MODEL, json!({})).await;
    let mut spec = common::engine_spec("engine-1", 4);
    spec["checks_fencing"] = true.into();
    harness.publish(Kind::Target, "engine-1", spec).await;
    let backend = || agent::Backend::Engine(Arc::new(Detached(engine.clone())));
    let first = harness.agent("engine-1", backend());
    settle().await;
    let planner = Planner::new(&harness).await;
    let order = planner.order("engine-1", "decode").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(engine.status().await.expect("up").busy);
    first.kill();
    let _second = harness.agent("engine-1", backend());
    tokio::time::sleep(Duration::from_secs(130)).await;
    assert_eq!(engine.conflicts(), 0);
    assert_eq!(engine.orders().len(), 1);
    assert_eq!(outcome(&harness, order).await.as_deref(), Some(""));
}

/// An engine that completes an order after its sender has disconnected, as real engines do.
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
        tokio::spawn(async move { engine.order(fence, &order).await })
            .await
            .expect("the order does not panic")
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

// A VM is replaced by one of the same name while the old agent still runs. The engine ignores
// fencing tokens. An order must be executed by one of the agents only, and an agent must not act on
// an expired claim.
#[tokio::test(start_paused = true)]
async fn agent_without_claim_sends_no_orders() {
    let harness = Harness::default();
    let (engine, _old) = harness.engine("engine-1", 4).await;
    engine.change(|model| model.checks_fencing = false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let _new = harness.agent("engine-1", agent::Backend::Engine(Arc::new(engine.clone())));
    let planner = Planner::new(&harness).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let order = planner.order("engine-1", "decode").await;
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(engine.orders(), [(order, EngineOrder::SetRole { role: Role::Decode })]);
    assert_eq!(engine.conflicts(), 0);
}

// Two orders for the same engine are open, and the later one supersedes the first. One change
// instead of two saves seconds out of service, and both orders must be closed in the log.
#[tokio::test(start_paused = true)]
async fn superseded_order_is_skipped() {
    let harness = Harness::default();
    let planner = Planner::new(&harness).await;
    let first = planner.order("engine-1", "prefill").await;
    let second = planner.order("engine-1", "decode").await;
    let (engine, _agent) = harness.engine("engine-1", 4).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(engine.orders(), [(second, EngineOrder::SetRole { role: Role::Decode })]);
    let expected = format!("superseded by order {second}");
    assert_eq!(outcome(&harness, first).await, Some(expected));
    assert_eq!(outcome(&harness, second).await.as_deref(), Some(""));
}

// A request crashes every engine that runs it, and its caller keeps retrying it at any engine. It
// may take down two engines, and requests that ran at the same time must not be refused.
#[tokio::test(start_paused = true)]
async fn crashing_request_takes_down_at_most_two_engines() {
    let harness = Harness::default();
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for number in 1..=3 {
        let (engine, agent) = harness.engine(&format!("engine-{number}"), 4).await;
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
        let mut entry = harness.entry("entry-1", &target).await;
        entry.submit(1, bystander.clone(), 1_000).await;
        settle().await;
        entry.submit(2, crashing_request(), 1_000).await;
        let (_, _, refusal) = entry.finish(2).await;
        match refusal.expect("the request is never answered").reason.as_str() {
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

    let mut entry = harness.entry("entry-1", "engine-3").await;
    entry.submit(3, bystander, 1_000).await;
    let (_, tokens, refusal) = entry.finish(3).await;
    assert_eq!((tokens, refusal), (200, None), "the other request is served");
}

fn crashing_request() -> Request {
    let mut request = prompt("poison", "tiles", 50);
    request.fingerprint = 666;
    if let Some(wire::Work::Prompt(prompt)) = &mut request.work {
        prompt.text = "poison".into();
    }
    request
}
