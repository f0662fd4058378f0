//! Appends records in batches within a rate limit, and settles lost replies by reading.

use crate::rate_limit::RateLimit;
use crate::record::Body;
use crate::{Error, Record, Result, batching};
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
    /// Appends per second on average.
    pub per_second: u32,
    /// Appends without a wait after an idle period.
    pub burst: u32,
    /// How long a record may wait for its append before it is rejected.
    pub max_wait: Duration,
    /// How long to search for a record whose reply was lost.
    pub settle: Duration,
}

impl Default for AppenderSettings {
    fn default() -> Self {
        Self {
            // 17 ledger and tile workers at this limit make 170 of the several hundred appends per
            // second that the log accepts; 700 agents that renew every 7 s make 100; the rest is
            // for operators.
            per_second: 10,
            // The first calls after an idle period do not wait.
            burst: 20,
            // Longer than an append to a slow log, shorter than callers wait.
            max_wait: Duration::from_secs(5),
            // An append that took effect before its reply was lost shows in the next read.
            settle: Duration::from_secs(3),
        }
    }
}

/// Appends records in the name of one process; clones share batches and rate limit.
#[derive(Clone)]
pub struct Appender {
    shared: Arc<Shared>,
}

/// The offset and id of an appended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Its offset.
    pub offset: Offset,
    /// Its id.
    pub id: u64,
}

/// The state shared by all clones of an appender and its tasks.
pub(crate) struct Shared {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) settings: AppenderSettings,
    pub(crate) rate_limit: RateLimit,
    pub(crate) counts: Counts,
    author: CompactString,
    queues: Mutex<HashMap<StreamName, mpsc::Sender<Pending>>>,
}

/// Counters since the process started.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) appends: AtomicU64,
    pub(crate) records: AtomicU64,
    pub(crate) bytes: AtomicU64,
    pub(crate) lost_replies: AtomicU64,
    pub(crate) unsettled: AtomicU64,
}

/// A queued record.
pub(crate) struct Pending {
    pub(crate) record: Record,
    pub(crate) queued_at: Instant,
    pub(crate) reply: oneshot::Sender<Result<Appended>>,
}

/// The most queued records of one stream; more are rejected, since they would wait too long.
const QUEUE_RECORDS: usize = 4_096;

impl Appender {
    /// Makes an appender for the process or operator `author`, with default settings.
    pub fn new(log: Arc<dyn Log>, author: CompactString) -> Self {
        Self::with(log, author, AppenderSettings::default())
    }

    /// Makes an appender with the given settings.
    pub fn with(log: Arc<dyn Log>, author: CompactString, settings: AppenderSettings) -> Self {
        let rate_limit = RateLimit::new(settings.per_second, settings.burst);
        let counts = Counts::default();
        let queues = Mutex::default();
        Self { shared: Arc::new(Shared { log, settings, rate_limit, counts, author, queues }) }
    }

    /// Appends one record in this process's name.
    ///
    /// After [`Error::Log`] the record is not in the log and never will be. After
    /// [`Error::Unsettled`], or if the future is dropped, it may still appear at any later time:
    /// the caller must allow for both cases.
    pub async fn append(&self, stream: &str, body: Body) -> Result<Appended> {
        let author = self.shared.author.clone();
        self.append_as(&author, stream, body).await
    }

    /// Appends one record in another name, such as that of an operator.
    pub async fn append_as(&self, author: &str, stream: &str, body: Body) -> Result<Appended> {
        let record = Record::new(rand::random(), author, now_ms(), body);
        let (reply, result) = oneshot::channel();
        let pending = Pending { record, queued_at: Instant::now(), reply };
        self.queue(stream).try_send(pending).map_err(|_| rejected("too many records wait"))?;
        result.await.unwrap_or_else(|_| Err(rejected("the process stops")))
    }

    /// The name that the records carry as their author.
    pub fn author(&self) -> &str {
        &self.shared.author
    }

    /// The number of appends that succeeded with a reply.
    pub fn appends(&self) -> u64 {
        self.shared.counts.appends.load(Ordering::Relaxed)
    }

    /// The number of records in these appends.
    pub fn appended_records(&self) -> u64 {
        self.shared.counts.records.load(Ordering::Relaxed)
    }

    /// The total size of these records, in bytes.
    pub fn appended_bytes(&self) -> u64 {
        self.shared.counts.bytes.load(Ordering::Relaxed)
    }

    /// The number of appends whose reply was lost.
    pub fn lost_replies(&self) -> u64 {
        self.shared.counts.lost_replies.load(Ordering::Relaxed)
    }

    /// The number of records with a lost reply that were not found in time.
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
        tokio::spawn(batching::run(shared, stream.to_compact_string(), pending));
        queue
    }
}

impl Pending {
    /// Sends the result to the writer, if it still waits.
    pub(crate) fn resolve(self, result: Result<Appended>) {
        // A writer that has gone does not need the result.
        let _ = self.reply.send(result);
    }
}

/// The error of a record that was rejected before its append.
pub(crate) fn rejected(detail: &'static str) -> Error {
    let peer = CompactString::const_new("appender");
    let detail = CompactString::const_new(detail);
    Error::Log(plat::Error::Unavailable { step: "append", peer, detail })
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
