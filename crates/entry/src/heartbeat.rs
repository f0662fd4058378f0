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
const BUSY: Duration = Duration::from_secs(1);

/// How often an agent is told about this entry (demand, configuration in force), traffic or not.
const TELL: Duration = Duration::from_secs(5);

/// After how many intervals without an answer to a ping the agent counts as silent: an answer
/// that is late by half an interval does not end the connection.
const SILENT_INTERVALS: f64 = 1.5;

/// What to do about a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Beat {
    /// Nothing: it was heard from.
    Rest,
    /// Ping the agent.
    Ping,
    /// Give the connection up.
    Silent,
}

/// The heartbeat of one connection.
#[derive(Debug)]
pub(crate) struct Heartbeat {
    /// When it was last looked after.
    looked: Instant,
    /// Whether anything was heard since.
    heard: bool,
    /// When the first ping was sent that nothing was heard after.
    unanswered: Option<Instant>,
    /// When the agent was last told about this entry.
    told: Option<Instant>,
}

impl Heartbeat {
    /// Begins at the connection's start.
    pub(crate) fn new() -> Self {
        Self { looked: Instant::now(), heard: false, unanswered: None, told: None }
    }

    /// When to look after the connection next; `idle` is the interval without open requests.
    pub(crate) fn next(&self, busy: bool, idle: Duration) -> Instant {
        match self.told {
            Some(_) => self.looked + interval(busy, idle),
            None => self.looked,
        }
    }

    /// Notes that a frame came.
    pub(crate) fn hear(&mut self) {
        self.heard = true;
        self.unanswered = None;
    }

    /// Looks after the connection.
    pub(crate) fn look(&mut self, busy: bool, idle: Duration) -> Beat {
        let now = Instant::now();
        self.looked = now;
        let heard = std::mem::take(&mut self.heard);
        let limit = interval(busy, idle).mul_f64(SILENT_INTERVALS);
        if self.unanswered.is_some_and(|ping| now - ping >= limit) {
            return Beat::Silent;
        }
        let is_told = self.told.is_some_and(|told| now - told < TELL);
        if heard && is_told {
            return Beat::Rest;
        }
        self.told = Some(now);
        self.unanswered.get_or_insert(now);
        Beat::Ping
    }
}

fn interval(busy: bool, idle: Duration) -> Duration {
    if busy { BUSY.min(idle) } else { idle }
}
