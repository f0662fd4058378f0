//! Requests that were running when their target crashed.
//!
//! A request can crash each target that runs it, and its caller retries it. After one crash the
//! request is a suspect, after two of different targets or incarnations the whole fleet refuses
//! it. A request that ran there by coincidence is cleared when it runs to completion.

use crate::record::Suspicion;
use compact_str::CompactString;
use imbl::OrdMap;
use plat::Offset;

/// The number of crashes after which the fleet refuses a request. One crash can be a coincidence;
/// two of different incarnations, while other targets keep running, are not.
pub const CRASHES_TO_REFUSE: usize = 2;

/// The most fingerprints kept; beyond it the one with the oldest last record is removed. With 17
/// crashes per day of targets with 64 requests each, that covers more than a week.
pub const SUSPECTS_KEPT: usize = 8_192;

/// A fingerprint that was running when a target crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspect {
    pub(crate) crashes: Vec<Crash>,
    pub(crate) last: Offset,
}

/// A crash of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The target that crashed.
    pub target: CompactString,
    /// The incarnation of the target.
    pub incarnation: u64,
    /// Whether the request ran alone on it.
    pub alone: bool,
    /// Whether the request has since run to completion.
    pub cleared: bool,
}

impl Suspect {
    /// Whether the request must run alone, on one target.
    pub fn is_suspect(&self) -> bool {
        self.crashes().next().is_some()
    }

    /// Whether the whole fleet refuses the request.
    pub fn is_refused(&self) -> bool {
        self.crashes().count() >= CRASHES_TO_REFUSE
    }

    /// Whether the request has run to completion since its last crash.
    pub fn is_cleared(&self) -> bool {
        !self.is_suspect()
    }

    /// The crashes that were not cleared.
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
        self.limit_count();
    }

    fn limit_count(&mut self) {
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
    /// Adds a crash once; its record can be duplicated after a lost reply, and late.
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

/// The most crashes kept for one fingerprint; more than [`CRASHES_TO_REFUSE`], so that duplicates
/// are detected.
const CRASHES_KEPT: usize = 8;
