//! Follows one stream of the log and publishes its folded state.

use crate::Record;
use plat::{Log, Offset, StreamName};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A state that is folded from records.
pub trait Fold: Clone + Default + Send + Sync + 'static {
    /// Applies the record at `offset`; offsets only rise.
    fn apply(&mut self, offset: Offset, record: &Record);

    /// The offset of the first record that is not applied.
    fn end(&self) -> Offset;
}

/// Follows one stream; [`Follower::run`] is its task.
pub struct Follower<F> {
    log: Arc<dyn Log>,
    stream: StreamName,
    state: watch::Sender<Arc<F>>,
}

/// How many records one read takes.
const READ_LIMIT: usize = 1_000;

/// How long one read waits for a new record.
const READ_WAIT: Duration = Duration::from_secs(2);

/// How long to wait after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(500);

impl<F: Fold> Follower<F> {
    /// Makes a follower of `stream` that begins with nothing.
    pub fn new(log: Arc<dyn Log>, stream: StreamName) -> Self {
        let (state, _) = watch::channel(Arc::new(F::default()));
        Self { log, stream, state }
    }

    /// The published state.
    pub fn state(&self) -> watch::Receiver<Arc<F>> {
        self.state.subscribe()
    }

    /// Reads and applies records until the task is dropped.
    pub async fn run(self) {
        loop {
            let from = self.state.borrow().end();
            match self.log.read(&self.stream, from, READ_LIMIT, READ_WAIT).await {
                Ok(batch) if batch.entries.is_empty() => {}
                Ok(batch) => self.apply(&batch),
                Err(error) => {
                    log::warn!(stream = self.stream.as_str(), error:% = error; "log-read-failed");
                    tokio::time::sleep(RETRY_WAIT).await;
                }
            }
        }
    }

    fn apply(&self, batch: &plat::Batch) {
        let mut state = F::clone(&self.state.borrow());
        for entry in &batch.entries {
            match Record::read(&self.stream, entry.offset, &entry.bytes) {
                Ok(record) => state.apply(entry.offset, &record),
                Err(error) => {
                    log::error!(stream = self.stream.as_str(), error:% = error; "record-unreadable");
                }
            }
        }
        self.state.send_replace(Arc::new(state));
    }
}
