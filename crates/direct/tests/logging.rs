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
