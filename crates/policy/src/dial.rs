//! How long a connection that is being opened is waited for.
//!
//! **Load pattern.** Connections to targets are answered within a few milliseconds; some targets go dark,
//! and answer nothing until others have noticed. **Without it** each first try at a dark target waits for
//! a time that suits the slowest network, longer than a caller's objective. **How.** The longest that
//! connections took lately, several times over, is waited for; where they take longer, more.

use std::time::Duration;

/// How many times the longest of late is waited for.
const TIMES: u32 = 5;

/// How much of the longest is left when another connection was faster.
const KEPT: f64 = 0.98;

/// At least so long: a busy process sees an answer late.
const LEAST: Duration = Duration::from_millis(60);

/// At most so long, and until any connection was opened.
const MOST: Duration = Duration::from_millis(400);

/// What connections took lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Dial {
    longest: Option<Duration>,
}

impl Dial {
    /// Takes in how long it took to open one.
    pub fn sample(&mut self, took: Duration) {
        let faded = self.longest.map(|longest| longest.mul_f64(KEPT));
        self.longest = Some(faded.map_or(took, |faded| faded.max(took)));
    }

    /// How long the next one is waited for.
    pub fn patience(&self) -> Duration {
        self.longest.map_or(MOST, |longest| (longest * TIMES).clamp(LEAST, MOST))
    }
}
