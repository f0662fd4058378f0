//! Log lines never delay the work.

use direct::logging::QueuedAppender;
use logforth::Append;
use logforth::record::Record;
use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A pipe whose reader has stopped reading: writes block until it is dropped.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Whoever collects the log stops reading, the pipe fills, and a process that writes its lines
/// itself stands still with all its callers.
#[test]
fn a_reader_that_stops_reading_delays_nothing() {
    let (_reader, stuck) = channel();
    let journal = QueuedAppender::new(Stuck(stuck));
    let began = Instant::now();
    for _ in 0..100_000 {
        let record = Record::builder().payload(format_args!("request ended")).build();
        journal.append(&record, &[]).unwrap();
    }
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert!(direct::logging::dropped() > 90_000);
}
