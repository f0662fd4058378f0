//! Decides when to ping an agent and when its connection has timed out.
//!
//! If an agent's VM freezes or is partitioned, the connection can seem open for many minutes while
//! its requests wait. Pinging each agent of a large fleet every second would exceed the 7 KB/s
//! allowed for control traffic: 9.4 KB/s were measured for 32 agents. Any received frame therefore
//! replaces a ping, unless a report is due; connections with open requests are checked every
//! second, and others at a longer interval.

use std::time::Duration;
use tokio::time::Instant;

/// Interval between checks of a connection with open requests.
const BUSY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between reports of this entry's status (demand, configuration in force) to an agent,
/// independent of other traffic.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Number of intervals without a response to a ping after which the connection has timed out. A
/// response that is late by half an interval does not end it.
const TIMEOUT_INTERVALS: f64 = 1.5;

/// What to do after a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatAction {
    /// Nothing: a frame was received.
    Wait,
    /// Ping the agent.
    Ping,
    /// Close the connection.
    TimedOut,
}

/// Heartbeat state of one connection.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    /// When the connection was last checked.
    last_check: Instant,
    /// Whether a frame was received since.
    received: bool,
    /// When the first ping since the last received frame was sent.
    unanswered_since: Option<Instant>,
    /// When this entry's status was last sent.
    last_report: Option<Instant>,
}

impl Heartbeat {
    /// Creates the state of a new connection.
    pub(crate) fn new() -> Self {
        Self {
            last_check: Instant::now(),
            received: false,
            unanswered_since: None,
            last_report: None,
        }
    }

    /// Returns when to check the connection next; `idle` is the interval without open requests.
    pub(crate) fn next_check(&self, busy: bool, idle: Duration) -> Instant {
        match self.last_report {
            Some(_) => self.last_check + interval(busy, idle),
            None => self.last_check,
        }
    }

    /// Records a received frame.
    pub(crate) fn record_frame(&mut self) {
        self.received = true;
        self.unanswered_since = None;
    }

    /// Checks the connection and returns what to do.
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
