//! How long a connection that is being opened is waited for.
//!
//! **Load pattern.** Connections to targets are answered within a few milliseconds; some targets go dark,
//! and answer nothing until others have noticed. **Without it** each first try at a dark target waits for
//! a time that suits the slowest network, longer than a caller's objective. **How.** The longest that
//! connections to one failure domain took lately, several times over, is waited for; where they take longer,
//! more. Where none has succeeded for a while the network itself may have turned slow, and it is waited as
//! long as at first.

use crate::{Hash, Time};
use std::collections::HashMap;
use std::time::Duration;

/// How many times the longest of late is waited for.
const TIMES: u32 = 5;

/// How much of the longest is left when another connection was faster.
const KEPT: f64 = 0.98;

/// At least so long: a busy process sees an answer late.
const LEAST: Duration = Duration::from_millis(60);

/// At most so long, and where nothing is known.
const MOST: Duration = Duration::from_millis(400);

/// After this time without a connection that succeeded nothing is known any more.
const FORGOTTEN: Duration = Duration::from_secs(2);

/// What connections to each failure domain took lately.
#[derive(Debug, Clone, Default)]
pub struct ConnectTimeouts {
    domains: HashMap<Hash, Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    longest: Duration,
    last: Time,
}

impl ConnectTimeouts {
    /// Takes in how long it took to open one.
    pub fn sample(&mut self, domain: Hash, took: Duration, now: Time) {
        let seen = self.domains.entry(domain).or_insert(Seen { longest: took, last: now });
        *seen = Seen { longest: seen.longest.mul_f64(KEPT).max(took), last: now };
    }

    /// How long the next one is waited for.
    pub fn timeout(&self, domain: Hash, now: Time) -> Duration {
        let seen = self.domains.get(&domain);
        let seen = seen.filter(|seen| now.saturating_sub(seen.last) < FORGOTTEN);
        seen.map_or(MOST, |seen| (seen.longest * TIMES).clamp(LEAST, MOST))
    }
}
