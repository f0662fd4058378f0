//! Log lines on standard output that never delay the work: a bounded queue, a writer of its own,
//! and a budget of lines a second for each event.

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

/// Lines that wait for the writer at most; at 300 bytes a line this is 300 KB.
const MAX_WAITING: usize = 1_024;

/// Lines a second of one event that are written in full; more are counted and dropped.
const LINES_A_SECOND: u32 = 150;

/// Lines a second of a warning, which tells of a request that was not served.
const WARNINGS_A_SECOND: u32 = 300;

/// The length of the span in which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// How long lines are gathered before they are written. A process that is killed loses no more than
/// the lines of this time; one that stops waits for it.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes lines through a bounded queue.
#[derive(Debug)]
pub struct QueuedAppender {
    layout: LogfmtLayout,
    queue: SyncSender<Vec<u8>>,
    spans: Mutex<Spans>,
}

#[derive(Debug)]
struct Spans {
    began: Instant,
    lines: HashMap<&'static str, u32>,
    dropped: u64,
}

/// Starts logging to standard output; `RUST_LOG` chooses levels by module.
pub fn start(default: &str) {
    let filter = RustLogFilterBuilder::from_default_env_or(default);
    let journal = QueuedAppender::new(std::io::stdout());
    logforth::starter_log::builder().dispatch(|d| d.filter(filter.build()).append(journal)).apply();
}

impl QueuedAppender {
    /// A journal that writes to `output` from a thread of its own.
    pub fn new(output: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(MAX_WAITING);
        std::thread::spawn(move || write(lines, output));
        let layout = LogfmtLayout::default().timezone(jiff::tz::TimeZone::UTC);
        let spans = Spans { began: Instant::now(), lines: HashMap::new(), dropped: 0 };
        Self { layout, queue, spans: Mutex::new(spans) }
    }

    /// Whether the event may write another line now; tells what was dropped as a span ends.
    fn admit(&self, event: &'static str, most: u32) -> (bool, u64) {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        let mut told = 0;
        if spans.began.elapsed() >= SPAN {
            spans.began = Instant::now();
            spans.lines.clear();
            told = std::mem::take(&mut spans.dropped);
        }
        let lines = spans.lines.entry(event).or_default();
        *lines += 1;
        let admitted = *lines <= most;
        if !admitted {
            spans.dropped += 1;
        }
        (admitted, told)
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
        self.spans.lock().unwrap_or_else(PoisonError::into_inner).dropped += 1;
    }
}

/// Writes lines in batches: one call a batch, because a call and a wake-up cost more than a line.
fn write(lines: Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        std::thread::sleep(FLUSH_INTERVAL);
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
        }
        // A reader that is gone takes no line that would tell of it.
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
        let most = if warning { WARNINGS_A_SECOND } else { LINES_A_SECOND };
        let (admitted, told) = self.admit(event, most);
        if told > 0 {
            self.push(format!("level=WARN message=\"lines dropped\" count={told}\n").into_bytes());
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
