//! Whether a target can be reached, and whether it says anything.
//!
//! **Load pattern.** A target goes dark under load: its connections stay open and nothing answers,
//! or nobody accepts connections. **Without it** it keeps its share of the requests until its
//! record lapses, each of which waits for its deadline; and at the end of every pause all requests
//! of that moment go there at once and wait for a connection. **How.** A target that has had work
//! for a while and has not said a word counts as silent, and one that could not be reached is
//! paused; both get work only if all are like that. After a pause one probe is sent, and only its
//! success ends the pause.

use crate::Time;
use std::time::Duration;

/// The first pause after a target could not be reached; it doubles up to [`MOST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(250);

/// The longest pause: a target that is back is found within this time and the probe's.
const MOST_PAUSE: Duration = Duration::from_secs(1);

/// Whether one target can be reached.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    outstanding: u32,
    /// Since when it has had work without a word.
    quiet: Option<Time>,
    pause: Option<Pause>,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Time,
    length: Duration,
    probing: bool,
}

impl Reachability {
    /// Notes a request that is sent there.
    pub fn request_started(&mut self, now: Time) {
        self.outstanding += 1;
        self.quiet.get_or_insert(now);
    }

    /// Notes that a request there has ended, however it did.
    pub fn request_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding == 0 {
            self.quiet = None;
        }
    }

    /// Requests that are there.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Notes that it said something.
    pub fn response_received(&mut self, now: Time) {
        self.quiet = (self.outstanding > 0).then_some(now);
        self.pause = None;
    }

    /// Notes that it could not be reached.
    pub fn connection_failed(&mut self, now: Time) {
        let length = match self.pause {
            // Several attempts that end together are one piece of news.
            Some(pause) if !pause.probing => return,
            Some(pause) => (pause.length * 2).min(MOST_PAUSE),
            None => PAUSE,
        };
        self.pause = Some(Pause { until: now + length, length, probing: false });
    }

    /// Whether it could not be reached, and no probe has reached it since.
    pub fn is_backing_off(&self) -> bool {
        self.pause.is_some()
    }

    /// When the next probe is due, unless one is under way.
    pub fn probe_due(&self) -> Option<Time> {
        self.pause.filter(|pause| !pause.probing).map(|pause| pause.until)
    }

    /// Whether it is time for a probe; the caller sends one and tells of it by
    /// [`Reachability::response_received`] or [`Reachability::connection_failed`].
    #[must_use]
    pub fn begin_probe(&mut self, now: Time) -> bool {
        let Some(pause) = self.pause.as_mut().filter(|pause| !pause.probing && now >= pause.until)
        else {
            return false;
        };
        pause.probing = true;
        true
    }

    /// Whether it has had work for longer than `patience` without a word.
    pub fn is_unresponsive(&self, patience: Duration, now: Time) -> bool {
        self.quiet.is_some_and(|since| now.saturating_sub(since) > patience)
    }
}
