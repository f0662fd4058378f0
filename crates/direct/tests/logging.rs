//! Writing log lines never delays the work.

use direct::logging::QueuedAppender;
use logforth::Append;
use logforth::record::Record;
use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A pipe whose reader has stopped reading: writes block until it is dropped.
struct BlockedPipe(Receiver<()>);

impl Write for BlockedPipe {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A log collector stops reading and the pipe fills: a process that wrote its log lines itself
/// would block, with all its callers.
#[test]
fn a_blocked_log_reader_delays_nothing() {
    let (_reader, pipe) = channel();
    let appender = QueuedAppender::new(BlockedPipe(pipe));
    let began = Instant::now();
    for _ in 0..100_000 {
        let record = Record::builder().payload(format_args!("request ended")).build();
        appender.append(&record, &[]).unwrap();
    }
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert!(direct::logging::dropped() > 90_000);
}

/// Collects what is written.
#[derive(Clone, Default)]
struct Collected(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

impl Write for Collected {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Text that others write: it ends a line or a string.
const FOREIGN: &str = "a\nb\" level=ERROR c\r\u{1}";

/// Guards against a key that forges a line of the log, or a field.
#[test]
fn text_of_others_stays_in_its_field() {
    let output = Collected::default();
    let appender = QueuedAppender::new(output.clone());
    appender
        .append(&Record::builder().payload(format_args!("key {FOREIGN}")).build(), &[])
        .unwrap();
    std::thread::sleep(direct::logging::FLUSH_INTERVAL * 4);
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(!text.contains("b\" level=ERROR"), "{text}");
}

/// Guards against a name that forges a line of the metrics, or a label.
#[test]
fn text_of_others_stays_in_its_label() {
    let metrics = direct::metrics::Metrics::default();
    metrics.piece_time(FOREIGN, Duration::from_millis(1), Duration::from_millis(2));
    let text = metrics.text();
    assert!(text.contains(r#"a\nb\" level=ERROR c"#), "{text}");
    assert!(!text.lines().any(|line| line.starts_with('b')), "{text}");
}
