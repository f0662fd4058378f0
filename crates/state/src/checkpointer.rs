//! Writes checkpoints well before the records that they replace expire.

use crate::appender::Appender;
use crate::health::Health;
use crate::lease::HeldClaim;
use crate::{Fold, Result, Snapshot};
use plat::{Offset, StreamName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// When a checkpoint is due.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckpointerSettings {
    /// The longest time since the last one. With a log that retains records for less than three
    /// times this, the last checkpoint can expire before the next one is written.
    pub age: Duration,
    /// The most records since the last one, which are what a starting process has to read.
    pub records: u64,
}

impl Default for CheckpointerSettings {
    fn default() -> Self {
        Self {
            // Four per hour, so that two can fail within a retention of one hour. Six per hour took
            // 2.7 of the 7 KB/s allowed for control traffic with 700 targets and 4,500 callers, and
            // left too little for the rest.
            age: Duration::from_secs(15 * 60),
            // Read and applied within a second.
            records: 20_000,
        }
    }
}

impl CheckpointerSettings {
    /// The settings for a `calls` stream, whose state is the largest: one checkpoint of all kept
    /// keys is about 10 MB, which twice an hour stays below 7 KB per second.
    pub fn calls() -> Self {
        Self { age: Duration::from_secs(30 * 60), records: 2 * crate::calls::KEYS_KEPT as u64 }
    }
}

/// Writes checkpoints of one stream; [`Checkpointer::run`] is its task.
pub struct Checkpointer<F> {
    settings: CheckpointerSettings,
    stream: StreamName,
    appender: Appender,
    state: watch::Receiver<Arc<F>>,
    health: watch::Receiver<Health>,
    held: watch::Receiver<Option<HeldClaim>>,
    last: Option<(Offset, Instant)>,
}

/// The interval at which it checks whether a checkpoint is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

impl<F: Fold> Checkpointer<F> {
    /// Makes a checkpointer for `stream` that writes while the lease is held.
    ///
    /// The lease only prevents several processes from writing the same checkpoint. One by a process
    /// that has just lost the lease is still correct, since the state depends on the records alone.
    pub fn new(
        stream: StreamName,
        appender: Appender,
        state: watch::Receiver<Arc<F>>,
        health: watch::Receiver<Health>,
        held: watch::Receiver<Option<HeldClaim>>,
    ) -> Self {
        let settings = CheckpointerSettings::default();
        Self { settings, stream, appender, state, health, held, last: None }
    }

    /// Sets when a checkpoint is due.
    pub fn settings(mut self, settings: CheckpointerSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Writes checkpoints until the task is dropped.
    pub async fn run(mut self) {
        loop {
            if self.is_held() && self.is_due() {
                self.write().await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn is_held(&self) -> bool {
        self.held.borrow().is_some_and(|held| held.is_valid())
    }

    fn is_due(&self) -> bool {
        let health = self.health.borrow();
        // A state that is behind or incomplete must not be published as the newest.
        if health.error.is_some() || !health.is_fresh(self.settings.age) || health.end == 0 {
            return false;
        }
        let last = self.last.into_iter().chain(health.checkpoint).max_by_key(|(at, _)| *at);
        last.is_none_or(|(offset, at)| {
            let records = health.end.saturating_sub(offset);
            records >= self.settings.records || at.elapsed() >= self.settings.age
        })
    }

    async fn write(&mut self) {
        let snapshot = Snapshot::of(&self.stream, &**self.state.borrow());
        let end = snapshot.end;
        let stream = self.stream.as_str();
        match self.append(&snapshot).await {
            Ok(offset) => {
                self.last = Some((offset, Instant::now()));
                log::info!(stream, end, offset, bytes = snapshot.state.len(); "checkpoint-written");
            }
            Err(error) => log::warn!(stream, error:% = error; "checkpoint-failed"),
        }
    }

    /// Appends all parts and returns the offset of the last one.
    async fn append(&self, snapshot: &Snapshot) -> Result<Offset> {
        let mut last = snapshot.end;
        for part in snapshot.checkpoint() {
            last = self.appender.append(&self.stream, part).await?.offset;
        }
        Ok(last)
    }
}
