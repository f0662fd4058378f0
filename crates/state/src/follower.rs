//! Follows one stream of the log and publishes its folded state.

use crate::health::{Health, Trouble};
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

/// A state that is folded from records.
pub trait Fold: Clone + Default + PartialEq + Send + Sync + 'static {
    /// The version of the encoded state's layout.
    const STATE_VERSION: u32;

    /// Applies the record at `offset`; offsets only rise.
    fn apply(&mut self, offset: Offset, record: &Record);

    /// The offset of the first record that is not applied.
    fn end(&self) -> Offset;

    /// Encodes the state; equal states have equal bytes.
    fn encode(&self) -> Bytes;

    /// Decodes a state, or says why it can't.
    fn decode(bytes: &[u8]) -> Result<Self, CompactString>;
}

/// Follows one stream; [`Follower::run`] is its task.
pub struct Follower<F> {
    log: Arc<dyn Log>,
    stream: StreamName,
    state: watch::Sender<Arc<F>>,
    health: watch::Sender<Health>,
    offers: (mpsc::Sender<F>, mpsc::Receiver<F>),
    seeking: Option<Seeking>,
}

/// Looks for a checkpoint, since the state cannot go on record by record.
struct Seeking {
    /// Where to read on.
    at: Offset,
    /// The least end of a checkpoint that helps.
    least: Offset,
    collector: Collector,
}

/// How many records one read takes.
const READ_LIMIT: usize = 1_000;

/// How long one read waits for a new record. Each that ends empty costs some 400 bytes of HTTP; but
/// agents trust a state only if a read has ended in the last 5 s, so waits of 5 s would have them
/// refuse calls and put orders off on quiet streams.
const READ_WAIT: Duration = Duration::from_secs(2);

/// How long to wait after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// States from peers that wait to be taken in.
const OFFERS: usize = 4;

impl<F: Fold> Follower<F> {
    /// Makes a follower of `stream` that begins with nothing.
    pub fn new(log: Arc<dyn Log>, stream: StreamName) -> Self {
        let (state, _) = watch::channel(Arc::new(F::default()));
        let (health, _) = watch::channel(Health::default());
        Self { log, stream, state, health, offers: mpsc::channel(OFFERS), seeking: None }
    }

    /// Makes it begin with a state from a peer or a checkpoint instead.
    pub fn start_from(self, state: F) -> Self {
        self.adopt(state);
        self
    }

    /// The published state.
    pub fn state(&self) -> watch::Receiver<Arc<F>> {
        self.state.subscribe()
    }

    /// How well the follower follows.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.health.subscribe()
    }

    /// Takes states from peers while it runs; the one that goes furthest wins.
    pub fn peer_states(&self) -> mpsc::Sender<F> {
        self.offers.0.clone()
    }

    /// Reads and applies records until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let started = Instant::now();
            let from = self.seeking.as_ref().map_or_else(|| self.end(), |seeking| seeking.at);
            let read = tokio::select! {
                // A read that fails at once would otherwise win again and again, half a second
                // each, over a state that a peer has sent while the log is out.
                biased;
                Some(offer) = self.offers.1.recv() => {
                    self.take(offer);
                    continue;
                }
                read = self.log.read(&self.stream, from, READ_LIMIT, READ_WAIT) => read,
            };
            match read {
                Ok(batch) if self.seeking.is_some() => self.seek(&batch),
                Ok(batch) => self.apply(&batch, started),
                Err(plat::Error::Gone { oldest, .. }) => self.miss(oldest),
                Err(error) => self.wait(error).await,
            }
        }
    }

    fn end(&self) -> Offset {
        self.state.borrow().end()
    }

    /// Applies a batch up to the first record that cannot be read.
    fn apply(&mut self, batch: &Batch, started: Instant) {
        let end = self.end();
        if batch.end < end {
            return self.trouble(Trouble::Behind { end: batch.end });
        }
        let mut broken = None;
        if !batch.entries.is_empty() {
            // Clones only what changes: the folds share structure with states still in use.
            self.state.send_modify(|state| {
                broken = apply_all(Arc::make_mut(state), &self.stream, batch, &self.health);
            });
        }
        let end = self.end();
        self.health.send_modify(|health| {
            health.end = end;
            health.log_end = batch.end;
            health.trouble = None;
            if end == batch.end {
                health.fresh = Some(started);
            }
        });
        if let Some((offset, error)) = broken {
            self.stop_at(offset, error);
        }
    }

    /// Stops at a record that cannot be read rather than skip it: what it says could matter, and
    /// a process that does not know it would judge later records otherwise than the others. Only
    /// a checkpoint or a peer's state that goes beyond it, by someone who could read it, helps.
    fn stop_at(&mut self, offset: Offset, error: crate::Error) {
        log::error!(stream = self.stream.as_str(), error:% = error; "record-unreadable");
        let at = offset + 1;
        self.seeking = Some(Seeking { at, least: at, collector: Collector::default() });
        self.trouble(Trouble::Unreadable(error));
    }

    /// Records before `oldest` are gone and some of them were not applied: goes on from a
    /// checkpoint in the part that is kept, never by skipping them.
    fn miss(&mut self, oldest: Offset) {
        let end = self.end();
        log::warn!(stream = self.stream.as_str(), end, oldest; "log-gap");
        self.seeking = Some(Seeking { at: oldest, least: oldest, collector: Collector::default() });
        self.trouble(Trouble::Gap { end, oldest });
    }

    fn seek(&mut self, batch: &Batch) {
        for entry in &batch.entries {
            let Some(seeking) = &mut self.seeking else { return };
            seeking.at = entry.offset + 1;
            // What cannot be read is no checkpoint that this process could use.
            let Ok(record) = Record::read(&self.stream, entry.offset, &entry.bytes) else {
                continue;
            };
            let Some(Body::Checkpoint(checkpoint)) = &record.body else { continue };
            if let Some(snapshot) = seeking.collector.add(&self.stream, checkpoint) {
                self.rebase(&snapshot);
            }
        }
        self.health.send_modify(|health| health.log_end = batch.end);
    }

    fn rebase(&mut self, snapshot: &Snapshot) {
        match snapshot.open::<F>() {
            Ok(state) => self.take(state),
            Err(error) => {
                log::error!(stream = self.stream.as_str(), error:% = error; "checkpoint-unreadable");
            }
        }
    }

    /// Takes a state in if it goes further than the own one.
    fn take(&mut self, state: F) {
        let end = state.end();
        let needed = self.seeking.as_ref().map_or(0, |seeking| seeking.least);
        if end <= self.end() || end < needed {
            return;
        }
        log::info!(stream = self.stream.as_str(), end; "state-rebased");
        self.seeking = None;
        self.adopt(state);
    }

    fn adopt(&self, state: F) {
        let end = state.end();
        self.state.send_replace(Arc::new(state));
        self.health.send_modify(|health| {
            health.end = end;
            health.trouble = None;
        });
    }

    fn trouble(&self, trouble: Trouble) {
        self.health.send_modify(|health| health.trouble = Some(trouble));
    }

    async fn wait(&self, error: plat::Error) {
        log::warn!(stream = self.stream.as_str(), error:% = error; "log-read-failed");
        // A gap or an unreadable record stays the graver trouble.
        if self.seeking.is_none() {
            self.trouble(Trouble::Unavailable(error));
        }
        tokio::time::sleep(RETRY_WAIT).await;
    }
}

/// Applies records until one cannot be read, and returns that one's offset and error.
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
