//! Two agents of one target: a VM was replaced by one of the same name, and the old one resumes
//! after a pause.

mod common;

use async_trait::async_trait;
use bytes::Bytes;
use common::{Harness, engine_spec, settle};
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

/// The log as used by a process that can be paused. Calls complete only while it runs.
struct PausableLog {
    log: MemoryLog,
    running: watch::Sender<bool>,
}

impl PausableLog {
    fn new(log: &MemoryLog) -> Arc<Self> {
        Arc::new(Self { log: log.clone(), running: watch::Sender::new(true) })
    }

    async fn wait_until_running(&self) {
        let mut running = self.running.subscribe();
        let _ = running.wait_for(|running| *running).await;
    }
}

#[async_trait]
impl Log for PausableLog {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> plat::Result<Offset> {
        self.wait_until_running().await;
        self.log.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> plat::Result<Batch> {
        self.wait_until_running().await;
        let batch = self.log.read(stream, from, limit, wait).await;
        self.wait_until_running().await;
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

/// Returns the progress in the refusal that ends an attempt, or `None` if it is answered.
async fn final_progress(entry: &mut common::Entry, attempt: u64) -> Option<Progress> {
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

// The old agent's VM is paused while it appends the intent of a transfer. Its replacement takes the
// claim, and the caller's retry runs there. Then the old agent resumes, and its intent is appended
// after the claim of its successor. If it dispatched the call now, funds would be moved twice.
#[tokio::test(start_paused = true)]
async fn agent_paused_while_appending_an_intent_does_not_dispatch() {
    let harness = Harness::default();
    let service = MemoryService::default();
    let spec = json!({"service": "ledger", "domain": "sofia-1", "agent": "ledger-1:1"});
    harness.publish(Kind::Target, "ledger-1", spec).await;
    let backend = || agent::Backend::Service(Arc::new(service.clone()));
    let paused = PausableLog::new(&harness.log);
    let _old = harness.start("ledger-1", "old:1", paused.clone(), backend());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut to_old = harness.entry("entry-1", "old").await;
    paused.running.send_replace(false);
    submit(&mut to_old, 1, transfer("r1")).await;
    settle().await;

    let _new = harness.start("ledger-1", "new:1", Arc::new(harness.log.clone()), backend());
    tokio::time::sleep(Duration::from_secs(8)).await;
    let mut to_new = harness.entry("entry-2", "new").await;
    submit(&mut to_new, 1, transfer("r2")).await;
    assert_eq!(final_progress(&mut to_new, 1).await, None, "the successor runs the call");

    paused.running.send_replace(true);
    let progress = final_progress(&mut to_old, 1).await;
    assert!(progress.is_some(), "the old agent refuses the call");
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(service.runs().values().sum::<u32>(), 1);
}

// The old agent's VM is paused, and its replacement executes an order. The engine ignores fencing
// tokens, so only the claim prevents the old agent from sending the order again when it resumes.
#[tokio::test(start_paused = true)]
async fn agent_paused_beyond_its_lease_sends_no_order() {
    let harness = Harness::default();
    let engine = MemoryEngine::new(fake::EngineParams::default(), &[common::MODEL]);
    engine.change(|model| model.checks_fencing = false);
    harness.publish(Kind::Model, common::MODEL, json!({})).await;
    harness.publish(Kind::Target, "engine-1", engine_spec("engine-1", 4)).await;
    let backend = || agent::Backend::Engine(Arc::new(engine.clone()));
    let paused = PausableLog::new(&harness.log);
    let _old = harness.start("engine-1", "old:1", paused.clone(), backend());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let appender = Appender::new(Arc::new(harness.log.clone()), "planner-1".into());
    let scope = "planner/test";
    let claim = Claim { scope: scope.into(), supersedes: None, incarnation: 1, lease_ms: 5_000 };
    let claim = appender.append(plat::SYSTEM_STREAM, RecordBody::Claim(claim)).await;
    let claim = claim.expect("the log is up").offset;
    let order = |role: &str| {
        let kind = Some(OrderKind::SetRole(role.into()));
        let order = Order { scope: scope.into(), claim, target: "engine-1".into(), kind };
        appender.append(plat::SYSTEM_STREAM, RecordBody::Order(order))
    };

    paused.running.send_replace(false);
    let first = order("decode").await.expect("the log is up").offset;
    // The new agent waits for the old one's lease and for the longest time that an order may take.
    let _new = harness.start("engine-1", "new:1", Arc::new(harness.log.clone()), backend());
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert_eq!(engine.orders(), [], "no agent holds the claim yet");
    tokio::time::sleep(Duration::from_secs(40)).await;
    let second = order("prefill").await.expect("the log is up").offset;
    tokio::time::sleep(Duration::from_secs(1)).await;
    paused.running.send_replace(true);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let fences: Vec<_> = engine.orders().into_iter().map(|(fence, _)| fence).collect();
    assert_eq!(fences, [first, second]);
    assert_eq!(engine.conflicts(), 0);
    let role = engine.status().await.expect("up").role;
    assert_eq!(role, conf::resource::Role::Prefill);
}
