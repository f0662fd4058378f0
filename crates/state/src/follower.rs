//! Follows one stream of the log and publishes its folded state.

use crate::health::{FollowError, Health};
use crate::record::Body;
use crate::snapshot::{Collector, Snapshot};
use crate::{Record, Result};
use bytes::Bytes;
use compact_str::CompactString;
use plat::{Batch, Log, Offset, StreamName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A state folded from the records of a stream.
pub trait Fold: Clone + Default + PartialEq + Send + Sync + 'static {
    /// The version of the encoded state's layout.
    const STATE_VERSION: u32;

    /// Applies the record at `offset`; offsets only increase.
    fn apply(&mut self, offset: Offset, record: &Record);

    /// The offset of the first record that is not applied.
    fn end(&self) -> Offset;

    /// Encodes the state; equal states have equal bytes.
    fn encode(&self) -> Bytes;

    /// Decodes a state; the error describes what is wrong with the bytes.
    fn decode(bytes: &[u8]) -> Result<Self, CompactString>;
}

/// Follows one stream of the log; [`Follower::run`] is its task.
pub struct Follower<F> {
    log: Arc<dyn Log>,
    stream: StreamName,
    state: watch::Sender<Arc<F>>,
    health: watch::Sender<Health>,
    peer_states: (mpsc::Sender<F>, mpsc::Receiver<F>),
    search: Option<CheckpointSearch>,
}

/// The search for a checkpoint, min_end when the next record cannot be read or has expired.
struct CheckpointSearch {
    /// The offset to read next.
    next: Offset,
    /// The lowest end offset of a checkpoint that closes the gap.
    min_end: Offset,
    collector: Collector,
}

/// The most records in one read.
const READ_LIMIT: usize = 1_000;

/// How long one read waits for a new record. Each read without records costs some 400 bytes of
/// HTTP. But agents rely on a state only if a read has ended in the last 5 s, so with waits of 5 s
/// they would refuse calls and postpone orders on idle streams.
const READ_WAIT: Duration = Duration::from_secs(2);

/// The wait after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// The most states of peers that are queued.
const PEER_STATES: usize = 4;

impl<F: Fold> Follower<F> {
    /// Makes a follower of `stream` that starts with an empty state.
    pub fn new(log: Arc<dyn Log>, stream: StreamName) -> Self {
        let (state, _) = watch::channel(Arc::new(F::default()));
        let (health, _) = watch::channel(Health::default());
        Self { log, stream, state, health, peer_states: mpsc::channel(PEER_STATES), search: None }
    }

    /// Starts from the state of a peer or a checkpoint instead.
    pub fn start_from(self, state: F) -> Self {
        self.adopt(state);
        self
    }

    /// The published state.
    pub fn state(&self) -> watch::Receiver<Arc<F>> {
        self.state.subscribe()
    }

    /// The published health.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.health.subscribe()
    }

    /// The queue for states of peers; one with a higher end offset replaces the follower's state.
    pub fn peer_states(&self) -> mpsc::Sender<F> {
        self.peer_states.0.clone()
    }

    /// Reads and applies records until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let started = Instant::now();
            let from = self.search.as_ref().map_or_else(|| self.end(), |search| search.next);
            let read = tokio::select! {
                // Otherwise reads that fail immediately, every half second, could be selected again
                // and again before the state that a peer sent while the log is unavailable.
                biased;
                Some(state) = self.peer_states.1.recv() => {
                    self.adopt_if_newer(state);
                    continue;
                }
                read = self.log.read(&self.stream, from, READ_LIMIT, READ_WAIT) => read,
            };
            match read {
                Ok(batch) if self.search.is_some() => self.search_batch(&batch),
                Ok(batch) => self.apply(&batch, started),
                Err(plat::Error::Gone { oldest, .. }) => self.handle_gap(oldest),
                Err(error) => self.wait_after_error(error).await,
            }
        }
    }

    fn end(&self) -> Offset {
        self.state.borrow().end()
    }

    /// Applies a batch up to the first record that cannot be decoded.
    fn apply(&mut self, batch: &Batch, started: Instant) {
        let end = self.end();
        if batch.end < end {
            return self.report(FollowError::LogBehind { end: batch.end });
        }
        let mut unreadable = None;
        if !batch.entries.is_empty() {
            // Clones only what changes: the fold shares structure with states still in use.
            self.state.send_modify(|state| {
                unreadable = apply_all(Arc::make_mut(state), &self.stream, batch, &self.health);
            });
        }
        let end = self.end();
        self.health.send_modify(|health| {
            health.end = end;
            health.log_end = batch.end;
            health.error = None;
            if end == batch.end {
                health.complete_at = Some(started);
            }
        });
        if let Some((offset, error)) = unreadable {
            self.stop_at_unreadable(offset, error);
        }
    }

    /// Stops at a record that cannot be decoded instead of skipping it: a process without its
    /// content would judge later records differently from the others. To continue it needs a
    /// checkpoint, or the state of a peer, beyond that record from a process that could decode it.
    fn stop_at_unreadable(&mut self, offset: Offset, error: crate::Error) {
        log::error!(stream = self.stream.as_str(), error:% = error; "record-unreadable");
        let next = offset + 1;
        self.search =
            Some(CheckpointSearch { next, min_end: next, collector: Collector::default() });
        self.report(FollowError::Unreadable(error));
    }

    /// Handles a gap: records before `oldest` have expired and some of them were not applied. The
    /// follower continues from a checkpoint in the retained records and never skips any.
    fn handle_gap(&mut self, oldest: Offset) {
        let end = self.end();
        log::warn!(stream = self.stream.as_str(), end, oldest; "log-gap");
        self.search = Some(CheckpointSearch {
            next: oldest,
            min_end: oldest,
            collector: Collector::default(),
        });
        self.report(FollowError::Gap { end, oldest });
    }

    fn search_batch(&mut self, batch: &Batch) {
        for entry in &batch.entries {
            let Some(search) = &mut self.search else { return };
            search.next = entry.offset + 1;
            // A record that cannot be decoded is no checkpoint that this process could use.
            let Ok(record) = Record::read(&self.stream, entry.offset, &entry.bytes) else {
                continue;
            };
            let Some(Body::Checkpoint(checkpoint)) = &record.body else { continue };
            if let Some(snapshot) = search.collector.add(&self.stream, checkpoint) {
                self.adopt_snapshot(&snapshot);
            }
        }
        self.health.send_modify(|health| health.log_end = batch.end);
    }

    fn adopt_snapshot(&mut self, snapshot: &Snapshot) {
        match snapshot.open::<F>() {
            Ok(state) => self.adopt_if_newer(state),
            Err(error) => {
                log::error!(stream = self.stream.as_str(), error:% = error; "checkpoint-unreadable");
            }
        }
    }

    /// Adopts a state if its end offset is higher than that of the current one.
    fn adopt_if_newer(&mut self, state: F) {
        let end = state.end();
        let min_end = self.search.as_ref().map_or(0, |search| search.min_end);
        if end <= self.end() || end < min_end {
            return;
        }
        log::info!(stream = self.stream.as_str(), end; "state-rebased");
        self.search = None;
        self.adopt(state);
    }

    fn adopt(&self, state: F) {
        let end = state.end();
        self.state.send_replace(Arc::new(state));
        self.health.send_modify(|health| {
            health.end = end;
            health.error = None;
        });
    }

    fn report(&self, error: FollowError) {
        self.health.send_modify(|health| health.error = Some(error));
    }

    async fn wait_after_error(&self, error: plat::Error) {
        log::warn!(stream = self.stream.as_str(), error:% = error; "log-read-failed");
        // A gap or an unreadable record is more severe and stays reported.
        if self.search.is_none() {
            self.report(FollowError::Unavailable(error));
        }
        tokio::time::sleep(RETRY_WAIT).await;
    }
}

/// Applies records until one cannot be decoded; returns the offset of that one and the error.
fn apply_all<F: Fold>(
    state: &mut F,
    stream: &str,
    batch: &Batch,
    health: &watch::Sender<Health>,
) -> Option<(Offset, crate::Error)> {
    for entry in &batch.entries {
        let record = match Record::read(stream, entry.offset, &entry.bytes) {
            Ok(record) => record,
            Err(error) => return Some((entry.offset, error)),
        };
        state.apply(entry.offset, &record);
        if matches!(record.body, Some(Body::Checkpoint(_))) {
            health.send_modify(|health| health.checkpoint = Some((entry.offset, Instant::now())));
        }
    }
    None
}
