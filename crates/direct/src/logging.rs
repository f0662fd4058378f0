//! Logging to standard output that never blocks: a bounded queue, a writer thread, and a rate limit
//! for each event.

use logforth::append::Append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{Layout, LogfmtLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};
use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines in the queue at most. At 300 bytes a line this is 300 KB.
const QUEUE_CAPACITY: usize = 1_024;

/// Lines per second of one event that are written. Further ones are counted and dropped.
const LINES_PER_SECOND: u32 = 150;

/// Lines per second of a warning, which reports a request that was not served.
const WARNINGS_PER_SECOND: u32 = 300;

/// The window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How long lines are collected before they are written. A process that is killed loses at most the
/// lines of this time; one that stops waits for it.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes log lines through a bounded queue.
#[derive(Debug)]
pub struct QueuedAppender {
    layout: LogfmtLayout,
    queue: SyncSender<Vec<u8>>,
    window: Mutex<WindowCounts>,
}

#[derive(Debug)]
struct WindowCounts {
    began: Instant,
    lines: HashMap<&'static str, u32>,
    dropped: u64,
}

/// Starts logging to standard output. `RUST_LOG` sets levels by module.
pub fn start(default: &str) {
    start_to(default, std::io::stdout());
}

/// Starts logging to `output`, see [`start`].
pub fn start_to(default: &str, output: impl Write + Send + 'static) {
    let filter = RustLogFilterBuilder::from_default_env_or(default);
    let appender = QueuedAppender::new(output);
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter.build()).append(appender))
        .apply();
}

impl QueuedAppender {
    /// Creates an appender that writes to `output` from a thread of its own.
    pub fn new(output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY);
        std::thread::spawn(move || write(lines, output));
        let layout = LogfmtLayout::default().timezone(jiff::tz::TimeZone::UTC);
        let window = WindowCounts { began: Instant::now(), lines: HashMap::new(), dropped: 0 };
        Self { layout, queue, window: Mutex::new(window) }
    }

    /// Returns whether the event may write another line now, and when a window ends, how many lines
    /// were dropped in it.
    fn admit(&self, event: &'static str, limit: u32) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if window.began.elapsed() >= WINDOW {
            window.began = Instant::now();
            window.lines.clear();
            dropped = std::mem::take(&mut window.dropped);
        }
        let lines = window.lines.entry(event).or_default();
        *lines += 1;
        let admitted = *lines <= limit;
        if !admitted {
            window.dropped += 1;
        }
        (admitted, dropped)
    }

    fn push(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.queue.try_send(line)
        {
            self.count_dropped();
        }
    }

    fn count_dropped(&self) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        self.window.lock().unwrap_or_else(PoisonError::into_inner).dropped += 1;
    }
}

/// Writes lines in batches with one call each, because a call and a wake-up cost more than a line.
fn write(lines: Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        std::thread::sleep(FLUSH_INTERVAL);
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        // If the reader is gone, it can't receive a line that reports this either.
        let _ = output.write_all(&batch);
        if let Err(error) = output.flush() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            if error.kind() == std::io::ErrorKind::BrokenPipe {
                return;
            }
        }
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let event = record.payload_static().unwrap_or("other");
        let warning = record.level() >= logforth::record::Level::Warn;
        let limit = if warning { WARNINGS_PER_SECOND } else { LINES_PER_SECOND };
        let (admitted, dropped) = self.admit(event, limit);
        if dropped > 0 {
            self.push(
                format!("level=WARN message=\"lines dropped\" count={dropped}\n").into_bytes(),
            );
        }
        if !admitted {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}
