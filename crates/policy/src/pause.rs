//! How long a target is left alone that asked for it, and how it gets its work back.
//!
//! **Load pattern.** A target under strain rejects all requests for some seconds, says for how long it
//! wants none, and may say so again when that is over. **Without it** the target draws even more
//! requests, since its rejections are quick and it looks idle; each of them costs a retry. At the end of
//! the pause all that waited for it come at once, and it rejects them again. **How.** Nothing is sent until
//! the pause ends. Then single requests are, [`TRIAL`] apart, until one is answered without another
//! pause. After that the requests that may be sent double in each [`STEP`], for [`RAMP`].

use crate::Time;
use std::time::Duration;

/// Between two requests to a target of which it isn't known whether it is well again.
const TRIAL: Duration = Duration::from_millis(500);

/// Requests that may be sent as soon as it is known.
const FIRST: f64 = 2.0;

/// The time in which the requests that may be sent double.
const STEP: Duration = Duration::from_millis(250);

/// After this time any number may be sent.
const RAMP: Duration = Duration::from_secs(2);

/// The pause of one target, as one entry knows it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pause {
    /// When it ends.
    until: Option<Time>,
    /// When the last request was sent of which it is to be seen whether the target is well.
    trial: Option<Time>,
    /// Since when it is known to be.
    well: Option<Time>,
    /// Requests sent since then.
    sent: u32,
}

impl Pause {
    /// One that ends at `until`.
    pub fn new(until: Time) -> Self {
        Self { until: Some(until), ..Self::default() }
    }

    /// Takes in that the target asked for a pause of `span` at `now`. Returns whether it ends later now.
    pub fn begin(&mut self, span: Duration, now: Time) -> bool {
        let until = now.saturating_add(span);
        if span.is_zero() || self.until.is_some_and(|known| until <= known) {
            return false;
        }
        *self = Self::new(until);
        true
    }

    /// Takes in an answer without a pause, to a request sent at `sent`. Returns whether it shows that the
    /// target is well again.
    pub fn answered(&mut self, sent: Time, now: Time) -> bool {
        let shows = self.until.is_some_and(|until| until <= sent) && self.well.is_none();
        if shows {
            (self.well, self.sent) = (Some(now), 0);
        }
        shows
    }

    /// Whether the target is to be left alone.
    pub fn lasts(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Whether a request may be sent, or how long until one may.
    pub fn look(&self, now: Time) -> Result<(), Duration> {
        let Some(until) = self.until else { return Ok(()) };
        let from = match (self.well, self.trial) {
            (Some(well), _) => well + self.next(),
            (None, Some(trial)) => until.max(trial + TRIAL),
            (None, None) => until,
        };
        if now < from { Err(from - now) } else { Ok(()) }
    }

    /// Counts a request that is sent, if one may be.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.look(now)?;
        match self.well {
            Some(well) if now.saturating_sub(well) >= RAMP => *self = Self::default(),
            Some(_) => self.sent = self.sent.saturating_add(1),
            None => self.trial = self.until.is_some().then_some(now),
        }
        Ok(())
    }

    /// How long after the target was known to be well the next request may be sent.
    fn next(&self) -> Duration {
        let doublings = ((f64::from(self.sent) + 1.0) / FIRST).log2().max(0.0);
        STEP.mul_f64(doublings).min(RAMP)
    }
}
