//! Records in the log, for the whole fleet, which requests were running when the engine crashed.
//!
//! Without this, a request that crashes every engine that runs it takes down one engine after
//! another, since its caller retries it. After one crash it runs alone; after the second all agents
//! refuse it.

use crate::shared::Shared;
use policy::quarantine::{CrashHistory, CrashRecords, Quarantine, Verdict};
use state::record::{Body, Suspicion};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The crashes that this agent has observed itself, in addition to the records in the log.
#[derive(Default)]
pub(crate) struct Suspects {
    by_fingerprint: Mutex<HashMap<u64, LocalCrashes>>,
    /// The incarnation that crashed last, and the number of requests counted for that crash.
    last_crash: Mutex<(u64, usize)>,
}

/// Crashes observed by this agent while requests with one fingerprint were running.
#[derive(Debug, Clone, Copy, Default)]
struct LocalCrashes {
    crashes: u32,
    alone: u32,
    /// The incarnation of the engine that crashed last, so that each crash is counted once.
    incarnation: u64,
}

/// Maximum number of requests recorded for one crash. Engines prefill a prompt before they fail on
/// it, so the request that caused the crash is among the latest, and records of a batch of hundreds
/// of others would flood the log.
const MAX_PER_CRASH: usize = 64;

/// Maximum number of fingerprints tracked locally.
const MAX_FINGERPRINTS: usize = 4_096;

/// How long a refusal is delayed until its record is appended, so that a retry at another target
/// finds it in the log. The limit keeps an outage of the log from delaying the caller further.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// The records in the log combined with the crashes observed locally.
struct CombinedRecords<'a> {
    shared: &'a Shared,
}

impl CrashRecords for CombinedRecords<'_> {
    fn history(&self, fingerprint: u64) -> CrashHistory {
        let local = self.shared.suspects.lock().get(&fingerprint).copied().unwrap_or_default();
        let system = self.shared.system.borrow();
        let suspect = system.suspect(fingerprint);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let crashes = suspect.map_or(0, |suspect| count(suspect.crashes().count()));
        let alone = suspect.map_or(0, |s| count(s.crashes().filter(|c| c.alone).count()));
        CrashHistory {
            crashes: crashes.max(local.crashes),
            alone: alone.max(local.alone),
            running_alone: false,
        }
    }
}

/// Returns how a request with this fingerprint may run. 0 means that it has no fingerprint.
pub(crate) fn verdict(shared: &Shared, fingerprint: u64) -> Verdict {
    if fingerprint == 0 {
        return Verdict::Normal;
    }
    Quarantine::default().decide(&CombinedRecords { shared }, fingerprint)
}

/// Records that the request was running when the engine's `incarnation` crashed, and waits up to
/// [`RECORD_TIMEOUT`] for the append.
pub(crate) async fn record_crash(shared: &Shared, fingerprint: u64, incarnation: u64, alone: bool) {
    if fingerprint == 0 || !shared.suspects.count_crash(fingerprint, incarnation, alone) {
        return;
    }
    let suspicion = Suspicion {
        fingerprint,
        target: shared.target.to_string(),
        incarnation,
        alone,
        cleared: false,
    };
    log::warn!(fingerprint = fingerprint, incarnation = incarnation, alone = alone; "request-suspected");
    record(shared, suspicion).await;
}

/// Records that a suspect completed.
pub(crate) fn clear(shared: &Arc<Shared>, fingerprint: u64) {
    shared.suspects.lock().remove(&fingerprint);
    let suspicion = Suspicion {
        fingerprint,
        target: shared.target.to_string(),
        cleared: true,
        ..Suspicion::default()
    };
    let shared = shared.clone();
    let tasks = shared.tasks.clone();
    tasks.spawn_job(async move { record(&shared, suspicion).await });
}

async fn record(shared: &Shared, suspicion: Suspicion) {
    let fingerprint = suspicion.fingerprint;
    // The appender batches the records of one crash into a single append.
    let append = shared.appender.append(plat::SYSTEM_STREAM, Body::Suspicion(suspicion));
    match tokio::time::timeout(RECORD_TIMEOUT, append).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            log::warn!(fingerprint = fingerprint, error:% = error; "suspicion-not-recorded");
        }
        Err(_) => log::warn!(fingerprint = fingerprint; "suspicion-not-recorded"),
    }
}

impl Suspects {
    /// Counts a crash and returns whether it must be recorded in the log.
    fn count_crash(&self, fingerprint: u64, incarnation: u64, alone: bool) -> bool {
        let previous = self.lock().get(&fingerprint).copied().unwrap_or_default();
        if previous.crashes > 0 && previous.incarnation == incarnation {
            return false;
        }
        {
            let mut crash = self.last_crash.lock().unwrap_or_else(PoisonError::into_inner);
            if crash.0 != incarnation {
                *crash = (incarnation, 0);
            }
            crash.1 += 1;
            if crash.1 > MAX_PER_CRASH {
                return false;
            }
        }
        let mut local = self.lock();
        if local.len() < MAX_FINGERPRINTS || local.contains_key(&fingerprint) {
            let counts = local.entry(fingerprint).or_default();
            counts.crashes += 1;
            counts.alone += u32::from(alone);
            counts.incarnation = incarnation;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, LocalCrashes>> {
        self.by_fingerprint.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
