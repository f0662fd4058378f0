//! When a connection to an agent is pinged, and when its silence means that it is lost.
//!
//! What could go wrong: an agent's VM freezes or is cut off, the connection looks open for many
//! minutes, and its requests wait for ever. Each connection could be pinged every second, but to
//! the many agents of a large fleet that alone costs more than the 7 KB/s that control may take:
//! 9.4 KB/s were measured for 32 agents. So heartbeats ride on traffic: a connection from which
//! something was heard needs no ping, one with requests is looked after every second, and one
//! without is left alone for longer.

use std::time::Duration;
use tokio::time::Instant;

/// How often a connection with open requests is looked after.
const BUSY_INTERVAL: Duration = Duration::from_secs(1);

/// How often an agent is told about this entry (demand, configuration in force), traffic or not.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// After how many intervals without an answer to a ping the agent counts as silent: an answer
/// that is late by half an interval does not end the connection.
const TIMEOUT_INTERVALS: f64 = 1.5;

/// What to do about a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatAction {
    /// Nothing: it was heard from.
    Wait,
    /// Ping the agent.
    Ping,
    /// Give the connection up.
    TimedOut,
}

/// The heartbeat of one connection.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    /// When it was last looked after.
    last_check: Instant,
    /// Whether anything was heard since.
    received: bool,
    /// When the first ping was sent that nothing was heard after.
    unanswered_since: Option<Instant>,
    /// When the agent was last told about this entry.
    last_report: Option<Instant>,
}

impl Heartbeat {
    /// Begins at the connection's start.
    pub(crate) fn new() -> Self {
        Self {
            last_check: Instant::now(),
            received: false,
            unanswered_since: None,
            last_report: None,
        }
    }

    /// When to look after the connection next; `idle` is the interval without open requests.
    pub(crate) fn next_check(&self, busy: bool, idle: Duration) -> Instant {
        match self.last_report {
            Some(_) => self.last_check + interval(busy, idle),
            None => self.last_check,
        }
    }

    /// Notes that a frame came.
    pub(crate) fn record_frame(&mut self) {
        self.received = true;
        self.unanswered_since = None;
    }

    /// Looks after the connection.
    pub(crate) fn check(&mut self, busy: bool, idle: Duration) -> HeartbeatAction {
        let now = Instant::now();
        self.last_check = now;
        let received = std::mem::take(&mut self.received);
        let timeout = interval(busy, idle).mul_f64(TIMEOUT_INTERVALS);
        if self.unanswered_since.is_some_and(|ping| now - ping >= timeout) {
            return HeartbeatAction::TimedOut;
        }
        let is_reported =
            self.last_report.is_some_and(|last_report| now - last_report < REPORT_INTERVAL);
        if received && is_reported {
            return HeartbeatAction::Wait;
        }
        self.last_report = Some(now);
        self.unanswered_since.get_or_insert(now);
        HeartbeatAction::Ping
    }
}

fn interval(busy: bool, idle: Duration) -> Duration {
    if busy { BUSY_INTERVAL.min(idle) } else { idle }
}
