//! Requests that were running when the engine crashed, told to the whole fleet through the log.
//!
//! Without this a request that crashes each engine that runs it walks through the fleet, since
//! its caller sends it again. After one crash it runs alone; after the second the fleet refuses it.

use crate::shared::Shared;
use policy::quarantine::{CrashHistory, CrashRecords, Quarantine, Verdict};
use state::record::{Body, Suspicion};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What this agent has seen itself; the log's records come on top.
#[derive(Default)]
pub(crate) struct Suspects {
    seen: Mutex<HashMap<u64, Seen>>,
    /// How many records the last crash has cost.
    crash: Mutex<(u64, usize)>,
}

/// Crashes seen here of one fingerprint.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    crashes: u32,
    alone: u32,
    /// The engine's incarnation that crashed last, so that one crash counts once.
    incarnation: u64,
}

/// How many of the requests that ran when an engine crashed are recorded. Engines read a prompt
/// before they fail on it, so the culprit is among the latest; a batch of hundreds of bystanders
/// would swamp the log.
const MAX_PER_CRASH: usize = 64;

/// How many fingerprints are remembered here.
const MAX_SEEN: usize = 4_096;

/// How long a refusal waits for its record: a retry elsewhere must find it in the log. An outage
/// must not hold the caller up for longer.
const RECORD_TIME: Duration = Duration::from_secs(1);

/// The log's records and what was seen here.
struct View<'a> {
    shared: &'a Shared,
}

impl CrashRecords for View<'_> {
    fn history(&self, fingerprint: u64) -> CrashHistory {
        let seen = self.shared.suspects.lock().get(&fingerprint).copied().unwrap_or_default();
        let system = self.shared.system.borrow();
        let suspect = system.suspect(fingerprint);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let crashes = suspect.map_or(0, |suspect| count(suspect.crashes().count()));
        let alone = suspect.map_or(0, |s| count(s.crashes().filter(|c| c.alone).count()));
        CrashHistory {
            crashes: crashes.max(seen.crashes),
            alone: alone.max(seen.alone),
            running_alone: false,
        }
    }
}

/// How the request with this fingerprint may run; 0 stands for none.
pub(crate) fn verdict(shared: &Shared, fingerprint: u64) -> Verdict {
    if fingerprint == 0 {
        return Verdict::Normal;
    }
    Quarantine::default().decide(&View { shared }, fingerprint)
}

/// Records that the request ran when the engine's `incarnation` crashed, and waits a bounded time
/// for it to stand in the log.
pub(crate) async fn accuse(shared: &Shared, fingerprint: u64, incarnation: u64, alone: bool) {
    if fingerprint == 0 || !shared.suspects.note(fingerprint, incarnation, alone) {
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

/// Records that a suspect ran to its end.
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
    tasks.job(async move { record(&shared, suspicion).await });
}

async fn record(shared: &Shared, suspicion: Suspicion) {
    let fingerprint = suspicion.fingerprint;
    // The appender puts all records of one crash into one append.
    let appending = shared.appender.append(plat::SYSTEM_STREAM, Body::Suspicion(suspicion));
    match tokio::time::timeout(RECORD_TIME, appending).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            log::warn!(fingerprint = fingerprint, error:% = error; "suspicion-not-recorded");
        }
        Err(_) => log::warn!(fingerprint = fingerprint; "suspicion-not-recorded"),
    }
}

impl Suspects {
    /// Notes a crash; tells whether it is to be recorded.
    fn note(&self, fingerprint: u64, incarnation: u64, alone: bool) -> bool {
        let known = self.lock().get(&fingerprint).copied().unwrap_or_default();
        if known.crashes > 0 && known.incarnation == incarnation {
            return false;
        }
        {
            let mut crash = self.crash.lock().unwrap_or_else(PoisonError::into_inner);
            if crash.0 != incarnation {
                *crash = (incarnation, 0);
            }
            crash.1 += 1;
            if crash.1 > MAX_PER_CRASH {
                return false;
            }
        }
        let mut seen = self.lock();
        if seen.len() < MAX_SEEN || seen.contains_key(&fingerprint) {
            let known = seen.entry(fingerprint).or_default();
            known.crashes += 1;
            known.alone += u32::from(alone);
            known.incarnation = incarnation;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
