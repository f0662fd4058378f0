//! Determines how long an entry waits for a connection to open.
//!
//! **Load pattern.** Connections to targets open within a few milliseconds; some targets stop
//! responding and accept nothing until others have noticed. **Without this**, each first attempt at
//! such a target waits for a time-out that suits the slowest network, longer than a caller's
//! objective. **Approach.** The time-out is a multiple of the longest recent connect time to the
//! same failure domain. Where no connection has succeeded for a while, the network itself may have
//! become slow, and the initial time-out applies.

use crate::{Hash, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Time-out as a multiple of the longest recent connect time.
const FACTOR: u32 = 5;

/// Factor by which the longest connect time decays with each faster connection.
const DECAY: f64 = 0.98;

/// Shortest time-out: a busy process notices an open connection late.
const MIN_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time-out, and the initial one.
const MAX_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a successful connection after which earlier connect times no longer count.
const EXPIRY: Duration = Duration::from_secs(2);

/// Recent connect times by failure domain.
#[derive(Debug, Clone, Default)]
pub struct ConnectTimeouts {
    domains: HashMap<Hash, ConnectTime>,
}

#[derive(Debug, Clone, Copy)]
struct ConnectTime {
    longest: Duration,
    measured_at: Time,
}

impl ConnectTimeouts {
    /// Records how long it took to open a connection.
    pub fn sample(&mut self, domain: Hash, connect_time: Duration, now: Time) {
        let known = self
            .domains
            .entry(domain)
            .or_insert(ConnectTime { longest: connect_time, measured_at: now });
        *known = ConnectTime {
            longest: known.longest.mul_f64(DECAY).max(connect_time),
            measured_at: now,
        };
    }

    /// Returns the time-out of the next connection attempt.
    pub fn timeout(&self, domain: Hash, now: Time) -> Duration {
        let known = self.domains.get(&domain);
        let known = known.filter(|known| now.saturating_sub(known.measured_at) < EXPIRY);
        known.map_or(MAX_TIMEOUT, |known| (known.longest * FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT))
    }
}
