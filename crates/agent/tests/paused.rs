//! Two agents for one target: a VM was replaced by one of the same name, and the old one wakes.

mod common;

use async_trait::async_trait;
use bytes::Bytes;
use common::{World, engine_spec, settle};
use conf::Kind;
use fake::{MemoryEngine, MemoryLog, MemoryService};
use plat::{Batch, Log, Offset};
use serde_json::json;
use state::Appender;
use state::record::{Body as RecordBody, Claim, Order, OrderKind};
use std::sync::Arc;
use std::time::Duration;
use target::Engine;
use tokio::sync::watch;
use wire::{Body, Call, EventKind, Progress, Request, Submit, Work};

/// The log as a process sees it that is paused now and then: its calls go out when it wakes.
struct PausedLog {
    log: MemoryLog,
    awake: watch::Sender<bool>,
}

impl PausedLog {
    fn new(log: &MemoryLog) -> Arc<Self> {
        Arc::new(Self { log: log.clone(), awake: watch::Sender::new(true) })
    }

    async fn wake(&self) {
        let mut awake = self.awake.subscribe();
        let _ = awake.wait_for(|awake| *awake).await;
    }
}

#[async_trait]
impl Log for PausedLog {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> plat::Result<Offset> {
        self.wake().await;
        self.log.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> plat::Result<Batch> {
        self.wake().await;
        let batch = self.log.read(stream, from, limit, wait).await;
        self.wake().await;
        batch
    }
}

fn transfer(id: &str) -> Request {
    Request {
        id: id.into(),
        caller: "desk".into(),
        deadline_ms: 60_000,
        work: Some(Work::Call(Call {
            service: "ledger".into(),
            method: "POST".into(),
            path: "/transfers".into(),
            body: Bytes::from_static(b"5"),
            key: "t-1".into(),
            ..Call::default()
        })),
        ..Request::default()
    }
}

/// The progress of the refusal that ends an attempt, or none if it is answered.
async fn ending(entry: &mut common::Entry, attempt: u64) -> Option<Progress> {
    loop {
        let event = entry.event().await;
        match event.kind {
            Some(EventKind::End(_)) if event.attempt == attempt => return None,
            Some(EventKind::Refusal(refusal)) if event.attempt == attempt => {
                return Some(refusal.progress());
            }
            _ => {}
        }
    }
}

async fn submit(entry: &mut common::Entry, attempt: u64, request: Request) {
    let submit = Submit { attempt, request: Some(request), hold: false, credit: 100 };
    entry.send(Body::Submit(submit)).await;
}

// The old agent's VM is paused just as it appends the intent of a transfer. Its replacement takes
// the target over, and the caller's retry runs there. Then the old one wakes: its intent lands in
// the log, behind the claim of its successor. If it dispatched now, funds would move twice.
#[tokio::test(start_paused = true)]
async fn an_agent_that_wakes_while_appending_an_intent_does_not_dispatch() {
    let world = World::default();
    let service = MemoryService::default();
    let spec = json!({"service": "ledger", "domain": "sofia-1", "agent": "ledger-1:1"});
    world.publish(Kind::Target, "ledger-1", spec).await;
    let backend = || agent::Backend::Service(Arc::new(service.clone()));
    let paused = PausedLog::new(&world.log);
    let _old = world.start("ledger-1", "old:1", paused.clone(), backend());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut to_old = world.entry("entry-1", "old").await;
    paused.awake.send_replace(false);
    submit(&mut to_old, 1, transfer("r1")).await;
    settle().await;

    let _new = world.start("ledger-1", "new:1", Arc::new(world.log.clone()), backend());
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut to_new = world.entry("entry-2", "new").await;
    submit(&mut to_new, 1, transfer("r2")).await;
    assert_eq!(ending(&mut to_new, 1).await, None, "the successor runs it");

    paused.awake.send_replace(true);
    let progress = ending(&mut to_old, 1).await;
    assert!(progress.is_some(), "the old agent gives it up");
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(service.runs().values().sum::<u32>(), 1);
}

// The old agent's VM is paused and its replacement gets an order. The engine ignores fencing
// numbers, so nothing but the claim keeps the old one, when it wakes, from giving the order again.
#[tokio::test(start_paused = true)]
async fn an_agent_that_wakes_after_its_lease_gives_no_order() {
    let world = World::default();
    let engine = MemoryEngine::new(fake::EngineModel::default(), &[common::MODEL]);
    engine.change(|model| model.checks_fencing = false);
    world.publish(Kind::Model, common::MODEL, json!({})).await;
    world.publish(Kind::Target, "engine-1", engine_spec("engine-1", 4)).await;
    let backend = || agent::Backend::Engine(Arc::new(engine.clone()));
    let paused = PausedLog::new(&world.log);
    let _old = world.start("engine-1", "old:1", paused.clone(), backend());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let appender = Appender::new(Arc::new(world.log.clone()), "planner-1".into());
    let scope = "planner/test";
    let claim = Claim { scope: scope.into(), supersedes: None, incarnation: 1, lease_ms: 5_000 };
    let claim = appender.append(plat::SYSTEM_STREAM, RecordBody::Claim(claim)).await;
    let claim = claim.expect("the log is up").offset;
    let order = |role: &str| {
        let kind = Some(OrderKind::SetRole(role.into()));
        let order = Order { scope: scope.into(), claim, target: "engine-1".into(), kind };
        appender.append(plat::SYSTEM_STREAM, RecordBody::Order(order))
    };

    paused.awake.send_replace(false);
    let first = order("decode").await.expect("the log is up").offset;
    // The new agent waits until the old one's lease and its longest order are over.
    let _new = world.start("engine-1", "new:1", Arc::new(world.log.clone()), backend());
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert_eq!(engine.orders(), [], "nobody holds the target yet");
    tokio::time::sleep(Duration::from_secs(40)).await;
    let second = order("prefill").await.expect("the log is up").offset;
    tokio::time::sleep(Duration::from_secs(1)).await;
    paused.awake.send_replace(true);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let given: Vec<_> = engine.orders().into_iter().map(|(fence, _)| fence).collect();
    assert_eq!(given, [first, second]);
    assert_eq!(engine.conflicts(), 0);
    let role = engine.status().await.expect("up").role;
    assert_eq!(role, conf::resource::Role::Prefill);
}
