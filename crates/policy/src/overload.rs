//! Decides whether an entry reads a new connection or leaves its request to the other entries.
//!
//! **Load pattern.** For some seconds a load balancer hands most new connections of a region to one
//! of tens or hundreds of entries, and then to another. **Without this**, that entry reads more than
//! it has processor time, link or memory for: what it has read is late, together with the requests
//! on its older connections, while the others are idle. **Approach.** A full entry closes new
//! connections unread, which their callers notice at once and which promises that nothing has run;
//! they come back to another entry. It does so only while the others are less full: where all are
//! equally full, a truthful refusal with a time to come back serves callers better than being sent
//! around. It stays ready all the while, since a load balancer would hand the whole crowd to the next
//! entry.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// What an entry observes of its own load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Open connections of callers.
    pub connections: u32,
    /// How much later than due the process's tasks run.
    pub delay: Duration,
    /// For how long the network link is occupied.
    pub link_wait: Duration,
}

/// What an entry can bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Connections of callers.
    pub connections: u32,
    /// The shortest latency objective of its routes; `None` while there are none.
    pub objective: Option<Duration>,
}

/// What fills an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Connections of callers, each with a descriptor and memory.
    Connections,
    /// Processor time.
    Processor,
    /// The network link.
    Link,
    /// Memory that callers make it hold.
    Memory,
}

/// How full an entry is, as the share of what it can bear of the scarcest resource.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fullness {
    /// The share; from 1 on, what is read misses its objective.
    pub share: f64,
    /// The resource; the connections once there are none left.
    pub resource: Resource,
}

/// How often a request waits for the process until it is served: to be accepted, read, sent to a
/// target, and at each piece of the way back.
const TURNS: u32 = 6;

/// The share of the objective that a request may spend waiting for the process.
const PROCESSOR_SHARE: f64 = 0.5;

/// The share of the objective that a request may wait for the link.
const LINK_SHARE: f64 = 0.3;

/// Delays below this are those of timers.
const MIN_DELAY: Duration = Duration::from_millis(5);

/// The other entries have room for what this one leaves to them while they are at most this full in
/// relation to it.
const ROOM: f64 = 0.7;

impl Load {
    /// Returns how full the entry is.
    pub fn fullness(&self, capacity: &Capacity) -> Fullness {
        let connections = f64::from(self.connections) / f64::from(capacity.connections.max(1));
        let share = |wait: Duration, part: f64| match capacity.objective {
            Some(objective) if !objective.is_zero() => {
                wait.as_secs_f64() / (objective.as_secs_f64() * part)
            }
            Some(_) | None => 0.0,
        };
        let delay = if self.delay < MIN_DELAY { Duration::ZERO } else { self.delay };
        let shares = [
            (connections, Resource::Connections),
            (share(delay * TURNS, PROCESSOR_SHARE), Resource::Processor),
            (share(self.link_wait, LINK_SHARE), Resource::Link),
        ];
        let [first, rest @ ..] = shares;
        let (share, resource) =
            rest.into_iter().fold(first, |most, next| if next.0 > most.0 { next } else { most });
        // The bound on connections holds whatever else is short.
        let resource = if connections >= 1.0 { Resource::Connections } else { resource };
        Fullness { share, resource }
    }
}

impl Fullness {
    /// Whether a new connection is to be closed unread. `others` is how full the other entries are
    /// on average, as far as known.
    pub fn leaves_to_others(&self, others: Option<f64>) -> bool {
        // Beyond its connections, an entry has no descriptor to serve a request with.
        let is_out_of_descriptors = self.resource == Resource::Connections;
        self.share >= 1.0
            && (is_out_of_descriptors || others.is_some_and(|others| others < self.share * ROOM))
    }
}

impl Resource {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Processor => "processor",
            Self::Link => "link",
            Self::Memory => "memory",
        }
    }
}

/// Measures how much later than due the process's tasks run.
#[derive(Debug, Clone, Default)]
pub struct DelayMeter {
    samples: VecDeque<Duration>,
}

/// A process that was frozen or held up once has no crowd: the least of so many delays counts.
const SAMPLES: usize = 3;

impl DelayMeter {
    /// Records that a task which was due at `due` ran at `now`.
    pub fn record(&mut self, due: Time, now: Time) {
        self.samples.push_back(now.saturating_sub(due));
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the delay.
    pub fn delay(&self) -> Duration {
        if self.samples.len() < SAMPLES {
            return Duration::ZERO;
        }
        self.samples.iter().copied().min().unwrap_or_default()
    }
}
