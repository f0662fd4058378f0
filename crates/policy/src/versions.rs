//! Which software versions the targets of a service had lately.
//!
//! What targets of two versions write doesn't fit together, so a stream may only go on at the
//! version that began it. Where all targets of a service have had one version for longer than a
//! stream can be taken up, that version began it, and nobody has to be asked. A process that has
//! just been started takes over what others know of the time before.

use crate::{Hash, Time};
use std::collections::HashMap;
use std::time::Duration;

/// The hash of a version, which is opaque and has no order.
pub type Version = Hash;

/// The versions of one service's targets.
#[derive(Debug, Clone)]
pub struct History {
    /// From when on all versions are known; none if there were no targets before.
    known_from: Option<Time>,
    versions: HashMap<Version, Presence>,
}

/// A version that targets had lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// The version.
    pub version: Version,
    /// How long ago its last target was removed; zero if one is listed.
    pub age: Duration,
    /// Whether streams may begin at it.
    pub settled: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Presence {
    /// Targets of the version that are listed.
    targets: u32,
    /// When the last one was removed.
    removed_at: Time,
    /// From when on streams may begin at it.
    settled_at: Time,
}

/// How long a further version is known before a stream may begin at it. A list of targets that is
/// younger than this, and has one version alone, shows that no stream can have begun at another.
pub const SETTLE_DELAY: Duration = Duration::from_millis(1_000);

/// The age up to which a list of targets counts as current, since the start of the read that brought
/// it. The rest of [`SETTLE_DELAY`] covers the transit of the datagrams that tell the age.
pub const MAX_CURRENT_AGE: Duration = Duration::from_millis(750);

/// For how long a version is remembered after its last target was removed: longer than a stream
/// lasts.
pub const MEMORY: Duration = Duration::from_secs(60);

impl History {
    /// Creates a history that knows nothing of the time before `known_from`, or everything if that is
    /// none.
    pub fn new(known_from: Option<Time>) -> Self {
        Self { known_from, versions: HashMap::new() }
    }

    /// Records that a target of a version is listed. Returns whether that is the first target of
    /// another version than all others.
    pub fn add(&mut self, version: Version, now: Time) -> bool {
        self.versions.retain(|_, seen| seen.targets > 0 || now < seen.removed_at + MEMORY);
        let is_new = !self.versions.contains_key(&version);
        let settled_at = if self.versions.is_empty() { now } else { now + SETTLE_DELAY };
        let new = Presence { settled_at, ..Presence::default() };
        self.versions.entry(version).or_insert(new).targets += 1;
        is_new && self.versions.len() > 1
    }

    /// Records that a target of a version is no longer listed.
    pub fn remove(&mut self, version: Version, now: Time) {
        if let Some(seen) = self.versions.get_mut(&version) {
            seen.targets = seen.targets.saturating_sub(1);
            seen.removed_at = now;
        }
    }

    /// Lets streams begin at all known versions from now on.
    pub fn settle(&mut self, now: Time) {
        for presence in self.versions.values_mut() {
            presence.settled_at = presence.settled_at.min(now);
        }
    }

    /// Returns for how much longer no stream may begin at a version; zero if one may.
    pub fn unsettled_for(&self, version: Version, now: Time) -> Duration {
        let known = self.versions.get(&version);
        known.map_or(SETTLE_DELAY, |presence| presence.settled_at.saturating_sub(now))
    }

    /// Returns whether targets of several versions were listed at some time in the last `span`.
    pub fn is_mixed(&self, span: Duration, now: Time) -> bool {
        self.present(span, now).nth(1).is_some()
    }

    /// Returns the only version that any target had in the last `span`, if it is known that there
    /// was no other.
    pub fn sole(&self, span: Duration, now: Time) -> Option<Version> {
        let is_known = span <= MEMORY && self.known_from.is_none_or(|from| from + span <= now);
        let mut present = self.present(span, now);
        let first = present.next().filter(|_| is_known)?;
        present.next().is_none().then_some(first)
    }

    /// Returns the versions that are remembered.
    pub fn seen(&self, now: Time) -> impl Iterator<Item = Seen> + '_ {
        let age = move |seen: &Presence| match seen.targets {
            0 => now.saturating_sub(seen.removed_at),
            _ => Duration::ZERO,
        };
        let all = self.versions.iter();
        all.map(move |(version, seen)| Seen {
            version: *version,
            age: age(seen),
            settled: seen.settled_at <= now,
        })
        .filter(|seen| seen.age < MEMORY)
    }

    /// Records a version that another history remembers. Returns whether it is another one than all
    /// that are known.
    pub fn inherit(&mut self, seen: Seen, now: Time) -> bool {
        let is_new = !self.versions.contains_key(&seen.version);
        let new = Presence { settled_at: now + SETTLE_DELAY, ..Presence::default() };
        let presence = self.versions.entry(seen.version).or_insert(new);
        presence.removed_at = presence.removed_at.max(now.saturating_sub(seen.age));
        if seen.settled {
            presence.settled_at = presence.settled_at.min(now);
        }
        is_new && self.versions.len() > 1
    }

    /// Sets from when on all versions are known.
    pub fn set_known_from(&mut self, known_from: Option<Time>) {
        self.known_from = known_from;
    }

    fn present(&self, span: Duration, now: Time) -> impl Iterator<Item = Version> + '_ {
        let is_present =
            move |seen: &Presence| seen.targets > 0 || now < seen.removed_at.saturating_add(span);
        self.versions.iter().filter(move |(_, seen)| is_present(seen)).map(|(version, _)| *version)
    }
}
