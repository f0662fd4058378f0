//! Log lines of what is paid for: calls to the log, connections to targets, datagrams. They are
//! summed up by the `costs` command, see [`summary`].

pub mod summary;

use std::time::Duration;

/// Logs a call to the log.
pub fn log_call(call: &'static str, stream: &str, outcome: &'static str, duration: Duration) {
    let ms = duration.as_millis();
    log::info!(target: "costs", call, stream, outcome, ms; "log called");
}

/// Logs the reason for the next read of a stream.
pub fn read_reason(stream: &'static str, reason: &'static str) {
    log::info!(target: "costs", stream, reason; "log read");
}

/// Logs a new connection to a target.
pub fn connection(service: &str, step: &'static str) {
    log::info!(target: "costs", service, step; "connection opened");
}

/// Logs the datagrams of one kind that were sent since the last line.
pub fn datagrams(kind: &'static str, count: u64, bytes: u64) {
    log::info!(target: "costs", kind, count, bytes; "datagrams sent");
}
