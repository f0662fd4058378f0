//! Appends records in groups, within a budget, and settles lost replies by reading.

use crate::budget::Budget;
use crate::record::Body;
use crate::{Error, Record, Result, flight};
use compact_str::{CompactString, ToCompactString};
use plat::{Log, Offset, StreamName};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The settings of an appender.
#[derive(Debug, Clone, PartialEq)]
pub struct AppenderSettings {
    /// Appends a second on average.
    pub per_second: u32,
    /// Appends at once, after a quiet time.
    pub burst: u32,
    /// How long a record may wait for its append before it is given up, not appended.
    pub patience: Duration,
    /// How long to look for a record whose reply was lost.
    pub settle: Duration,
}

impl Default for AppenderSettings {
    fn default() -> Self {
        Self {
            // 17 ledger and tile workers at their limit are 170 of the log's several hundred;
            // 700 agents that renew every 7 s are 100; the rest stays for operators.
            per_second: 10,
            // A quiet target answers its next calls without a wait.
            burst: 20,
            // Longer than a slow log's append, shorter than callers wait.
            patience: Duration::from_secs(5),
            // A write that took effect before its reply was lost shows in the next read.
            settle: Duration::from_secs(3),
        }
    }
}

/// Appends records in one process's name; clones share its groups and budget.
#[derive(Clone)]
pub struct Appender {
    shared: Arc<Shared>,
}

/// Where a record stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Its offset.
    pub offset: Offset,
    /// Its id.
    pub id: u64,
}

/// What all clones and flights of an appender share.
pub(crate) struct Shared {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) settings: AppenderSettings,
    pub(crate) budget: Budget,
    pub(crate) counts: Counts,
    author: CompactString,
    queues: Mutex<HashMap<StreamName, mpsc::Sender<Pending>>>,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) appends: AtomicU64,
    pub(crate) records: AtomicU64,
    pub(crate) bytes: AtomicU64,
    pub(crate) lost_replies: AtomicU64,
    pub(crate) unsettled: AtomicU64,
}

/// A record that waits for its append.
pub(crate) struct Pending {
    pub(crate) record: Record,
    pub(crate) since: Instant,
    pub(crate) reply: oneshot::Sender<Result<Appended>>,
}

/// Records that may wait for the same stream; more are refused, since they would wait too long.
const QUEUE_RECORDS: usize = 4_096;

impl Appender {
    /// Makes an appender for the process or operator `author`, with the usual settings.
    pub fn new(log: Arc<dyn Log>, author: CompactString) -> Self {
        Self::with(log, author, AppenderSettings::default())
    }

    /// Makes an appender with settings of its own.
    pub fn with(log: Arc<dyn Log>, author: CompactString, settings: AppenderSettings) -> Self {
        let budget = Budget::new(settings.per_second, settings.burst);
        let counts = Counts::default();
        let queues = Mutex::default();
        Self { shared: Arc::new(Shared { log, settings, budget, counts, author, queues }) }
    }

    /// Appends one record in the process's own name.
    ///
    /// After [`Error::Log`] the record does not stand in the log and never will. After
    /// [`Error::Unsettled`] it may still appear, however late: the caller must act as if it could
    /// count, and as if it could be missing. Dropping the future has the same effect.
    pub async fn append(&self, stream: &str, body: Body) -> Result<Appended> {
        let author = self.shared.author.clone();
        self.append_as(&author, stream, body).await
    }

    /// Appends one record in another's name, such as an operator's.
    pub async fn append_as(&self, author: &str, stream: &str, body: Body) -> Result<Appended> {
        let record = Record::new(rand::random(), author, now_ms(), body);
        let (reply, answer) = oneshot::channel();
        let pending = Pending { record, since: Instant::now(), reply };
        self.queue(stream).try_send(pending).map_err(|_| not_taken("too many records wait"))?;
        answer.await.unwrap_or_else(|_| Err(not_taken("the process stops")))
    }

    /// Whose name the records bear.
    pub fn author(&self) -> &str {
        &self.shared.author
    }

    /// How many appends took effect, as far as their replies came.
    pub fn appends(&self) -> u64 {
        self.shared.counts.appends.load(Ordering::Relaxed)
    }

    /// How many records these appends carried.
    pub fn appended_records(&self) -> u64 {
        self.shared.counts.records.load(Ordering::Relaxed)
    }

    /// How many bytes these records had.
    pub fn appended_bytes(&self) -> u64 {
        self.shared.counts.bytes.load(Ordering::Relaxed)
    }

    /// How many appends lost their reply.
    pub fn lost_replies(&self) -> u64 {
        self.shared.counts.lost_replies.load(Ordering::Relaxed)
    }

    /// How many records could not be settled in time.
    pub fn unsettled(&self) -> u64 {
        self.shared.counts.unsettled.load(Ordering::Relaxed)
    }

    fn queue(&self, stream: &str) -> mpsc::Sender<Pending> {
        let mut queues = self.shared.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(stream).filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        let (queue, pending) = mpsc::channel(QUEUE_RECORDS);
        queues.insert(stream.to_compact_string(), queue.clone());
        let shared = Arc::downgrade(&self.shared);
        tokio::spawn(flight::run(shared, stream.to_compact_string(), pending));
        queue
    }
}

impl Pending {
    /// Answers whoever waits; nobody may.
    pub(crate) fn answer(self, result: Result<Appended>) {
        // A caller that has gone does not need the answer.
        let _ = self.reply.send(result);
    }
}

/// The error of a record that was given up before its append.
pub(crate) fn not_taken(detail: &'static str) -> Error {
    let peer = CompactString::const_new("appender");
    let detail = CompactString::const_new(detail);
    Error::Log(plat::Error::Unavailable { step: "append", peer, detail })
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
