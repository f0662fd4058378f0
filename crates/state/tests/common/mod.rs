//! Shared by several tests: a process with its access to the log, its appender and its follower.

#![allow(dead_code, reason = "each test file uses a part of it")]

use async_trait::async_trait;
use bytes::Bytes;
use fake::MemoryLog;
use plat::{Batch, Log, Offset};
use state::record::{Body, Claim, Intent, Order, OrderKind, Renewal};
use state::{Appender, AppenderSettings, Fold, Follower, Health, Record};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A process's access to the log, which can be cut or blocked.
#[derive(Clone)]
pub struct Gate {
    log: MemoryLog,
    open: Arc<watch::Sender<Open>>,
}

/// The calls that the gate lets through.
#[derive(Clone, Copy, PartialEq)]
pub enum Open {
    /// All calls.
    All,
    /// None: calls fail.
    Cut,
    /// None for now: calls block until the gate opens, as in a paused process.
    Held,
}

impl Gate {
    pub fn new(log: &MemoryLog) -> Self {
        Self { log: log.clone(), open: Arc::new(watch::channel(Open::All).0) }
    }

    pub fn set(&self, open: Open) {
        self.open.send_replace(open);
    }

    async fn pass(&self, step: &'static str) -> plat::Result<()> {
        let mut open = self.open.subscribe();
        let open =
            *open.wait_for(|open| *open != Open::Held).await.expect("the gate holds the sender");
        if open == Open::Cut {
            let (peer, detail) = ("log".into(), "cut off".into());
            return Err(plat::Error::Unavailable { step, peer, detail });
        }
        Ok(())
    }
}

#[async_trait]
impl Log for Gate {
    async fn append(&self, stream: &str, records: Vec<Bytes>) -> plat::Result<Offset> {
        self.pass("append").await?;
        self.log.append(stream, records).await
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> plat::Result<Batch> {
        self.pass("read").await?;
        let batch = self.log.read(stream, from, limit, wait).await?;
        self.pass("read").await?;
        Ok(batch)
    }
}

/// A process: its appender, and a running follower of one stream.
pub struct Process<F> {
    pub gate: Gate,
    pub appender: Appender,
    pub state: watch::Receiver<Arc<F>>,
    pub health: watch::Receiver<Health>,
    pub peer_states: tokio::sync::mpsc::Sender<F>,
    task: tokio::task::JoinHandle<()>,
}

impl<F: Fold> Process<F> {
    pub fn start(log: &MemoryLog, name: &str, stream: &str) -> Self {
        Self::start_from(log, name, stream, F::default())
    }

    pub fn start_from(log: &MemoryLog, name: &str, stream: &str, state: F) -> Self {
        let gate = Gate::new(log);
        let settings = AppenderSettings::default();
        let appender = Appender::with(Arc::new(gate.clone()), name.into(), settings);
        let follower = Follower::new(Arc::new(gate.clone()), stream.into()).start_from(state);
        let (state, health) = (follower.state(), follower.health());
        let peer_states = follower.peer_states();
        let task = tokio::spawn(follower.run());
        Self { gate, appender, state, health, peer_states, task }
    }

    /// Waits until all records below `end` are applied.
    pub async fn read_to(&mut self, end: Offset) -> Arc<F> {
        let applied = self.state.wait_for(|state| state.end() >= end);
        let applied = tokio::time::timeout(Duration::from_secs(3_600), applied).await;
        applied.expect("the records are read in time").expect("the follower runs").clone()
    }
}

impl<F> Drop for Process<F> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Folds records from offset 0.
pub fn fold<F: Fold>(records: &[Record]) -> F {
    let mut state = F::default();
    for (offset, record) in (0..).zip(records) {
        state.apply(offset, record);
    }
    state
}

pub fn record(author: &str, body: Body) -> Record {
    Record::new(0, author, 0, body)
}

pub fn claim(scope: &str, supersedes: Option<Offset>, incarnation: u64) -> Body {
    Body::Claim(Claim { scope: scope.into(), supersedes, incarnation, lease_ms: 5_000 })
}

pub fn renewal(scope: &str, claim: Offset) -> Body {
    Body::Renewal(Renewal { scope: scope.into(), claim, release: false })
}

pub fn set_role(scope: &str, claim: Offset, target: &str, role: &str) -> Body {
    let kind = Some(OrderKind::SetRole(role.into()));
    Body::Order(Order { scope: scope.into(), claim, target: target.into(), kind })
}

pub fn intent(key: &'static str, claim: Offset) -> Body {
    let (key, digest) = (Bytes::from_static(key.as_bytes()), Bytes::from_static(b"digest"));
    Body::Intent(Intent { key, digest, scope: "target/ledger-1".into(), claim })
}
