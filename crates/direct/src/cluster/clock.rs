//! Clocks that the runtime doesn't provide: one that counts suspended time, and the cluster's time
//! of day.

use policy::clock::{Offset, median};
use rustix::time::{ClockId, clock_gettime};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

/// Returns the time since the VM started, including suspended time: the runtime's clock stands
/// still while the process or its VM is frozen, but a lease continues to run.
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or_default())
}

/// A clock that counts suspended time. Tests replace it to freeze an entry.
pub trait SuspendClock: std::fmt::Debug + Send + Sync {
    /// Returns the time since the VM started.
    fn now(&self) -> policy::Time;
}

/// The clock of this VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl SuspendClock for BootClock {
    fn now(&self) -> policy::Time {
        since_boot()
    }
}

/// Returns this VM's time of day in microseconds since the start of 1970. It may jump.
pub fn time_of_day() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// For how long the clock reading of another entry is valid: an entry that was killed sends no more
/// of them.
const READING_TTL: Duration = Duration::from_secs(30);

/// The cluster's time of day: the median of the entries' clocks.
#[derive(Debug, Default)]
pub struct ClusterClock {
    peers: Mutex<HashMap<u64, Reading>>,
}

/// How far another entry's clock is ahead of this VM's time since boot.
#[derive(Debug, Clone, Copy)]
struct Reading {
    offset: Offset,
    received_at: Duration,
}

impl ClusterClock {
    /// Records the clock reading of another entry; 0 if it sends none.
    pub fn observe(&self, entry: u64, micros: u64) {
        if micros == 0 {
            return;
        }
        let received_at = since_boot();
        self.peers().insert(entry, Reading { offset: ahead(micros, received_at), received_at });
    }

    /// Returns the cluster's time since the start of 1970.
    pub fn now(&self) -> Duration {
        let now = since_boot();
        let mut offsets = {
            let mut peers = self.peers();
            peers.retain(|_, reading| now.saturating_sub(reading.received_at) < READING_TTL);
            peers.values().map(|reading| reading.offset).collect::<Vec<_>>()
        };
        offsets.push(ahead(time_of_day(), now));
        let offset = median(&mut offsets).unwrap_or_default();
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(micros.saturating_add_signed(offset))
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<u64, Reading>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ahead(micros: u64, steady: Duration) -> Offset {
    let steady = u64::try_from(steady.as_micros()).unwrap_or(u64::MAX);
    micros.checked_signed_diff(steady).unwrap_or(Offset::MAX)
}
