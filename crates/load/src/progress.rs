//! Progress line on a terminal while a mix is sent.

use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Counts shown in the progress line.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) sent: AtomicU64,
    pub(crate) ended: AtomicU64,
    pub(crate) complete: AtomicU64,
}

/// Starts a task that rewrites a line on standard error each second, if that is a terminal.
pub(crate) fn show(counts: Arc<Counts>) -> Option<JoinHandle<()>> {
    if !std::io::stderr().is_terminal() {
        return None;
    }
    Some(tokio::spawn(async move {
        loop {
            let count = |number: &AtomicU64| number.load(Ordering::Relaxed);
            let (sent, ended) = (count(&counts.sent), count(&counts.ended));
            let open = sent.saturating_sub(ended);
            let complete = count(&counts.complete);
            let mut terminal = std::io::stderr();
            // A failed write to the terminal must not stop the measurement.
            let _ = write!(terminal, "\r{sent} sent, {open} open, {complete} complete   ");
            let _ = terminal.flush();
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }))
}
