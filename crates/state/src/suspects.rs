//! Requests that were running when their target crashed.
//!
//! One request can crash each target that runs it, and its caller sends it again. After one
//! crash the request is a suspect, after two at different targets or incarnations it is refused
//! by the whole fleet. One that was only near is cleared by running to its end.

use crate::record::Suspicion;
use compact_str::CompactString;
use imbl::OrdMap;
use plat::Offset;

/// How many crashes refuse a request fleet-wide: one can be bad luck, two on two incarnations
/// while others ran on are not.
pub const CRASHES_TO_REFUSE: usize = 2;

/// Fingerprints kept; beyond it the one with the oldest news is forgotten. Even with 17 crashes
/// on an ordinary day of 64 requests each that is over a week.
pub const SUSPECTS_KEPT: usize = 8_192;

/// A fingerprint that was running when a target crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspect {
    pub(crate) crashes: Vec<Crash>,
    pub(crate) last: Offset,
}

/// One crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The target.
    pub target: CompactString,
    /// Its incarnation that crashed.
    pub incarnation: u64,
    /// Whether the request ran alone there.
    pub alone: bool,
    /// Whether the request has since run to its end.
    pub cleared: bool,
}

impl Suspect {
    /// Whether it must run alone, on one target.
    pub fn is_suspect(&self) -> bool {
        self.crashes().next().is_some()
    }

    /// Whether it is refused by the whole fleet.
    pub fn is_refused(&self) -> bool {
        self.crashes().count() >= CRASHES_TO_REFUSE
    }

    /// Whether it has run to its end since its last crash.
    pub fn is_cleared(&self) -> bool {
        !self.is_suspect()
    }

    /// The crashes that count.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.cleared)
    }
}

/// All suspects.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Suspects {
    pub(crate) by_fingerprint: OrdMap<u64, Suspect>,
}

impl Suspects {
    pub(crate) fn get(&self, fingerprint: u64) -> Option<&Suspect> {
        self.by_fingerprint.get(&fingerprint)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Suspect)> {
        let all = self.by_fingerprint.iter().map(|(fingerprint, suspect)| (*fingerprint, suspect));
        all.filter(|(_, suspect)| suspect.is_suspect())
    }

    pub(crate) fn apply(&mut self, offset: Offset, suspicion: &Suspicion) {
        if suspicion.cleared {
            if let Some(suspect) = self.by_fingerprint.get_mut(&suspicion.fingerprint) {
                suspect.last = offset;
                suspect.crashes.iter_mut().for_each(|crash| crash.cleared = true);
            }
            return;
        }
        let suspect = self.by_fingerprint.entry(suspicion.fingerprint).or_default();
        suspect.last = offset;
        suspect.add(suspicion);
        self.bound();
    }

    fn bound(&mut self) {
        if self.by_fingerprint.len() <= SUSPECTS_KEPT {
            return;
        }
        let oldest = self.by_fingerprint.iter().min_by_key(|(_, suspect)| suspect.last);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}

impl Suspect {
    /// Adds a crash once: its record may stand twice after a lost reply, and late.
    fn add(&mut self, suspicion: &Suspicion) {
        let Suspicion { target, incarnation, alone, .. } = suspicion;
        if self.crashes.iter().any(|c| c.target == *target && c.incarnation == *incarnation) {
            return;
        }
        let target = target.as_str().into();
        let crash = Crash { target, incarnation: *incarnation, alone: *alone, cleared: false };
        self.crashes.push(crash);
        if self.crashes.len() > CRASHES_KEPT {
            self.crashes.remove(0);
        }
    }
}

/// Crashes kept of one fingerprint: more than refuse it, so that repetitions are still known.
const CRASHES_KEPT: usize = 8;
