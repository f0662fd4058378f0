//! Clocks that the runtime doesn't have: one that counts suspended time, and the true time of day.

use policy::clock::{Offset, median};
use rustix::time::{ClockId, clock_gettime};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

/// Time since the VM started, suspended time included: the runtime's clock stands still while a
/// process or its VM is frozen, and a lease does not.
pub fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or_default())
}

/// This VM's time of day in microseconds since the start of 1970. It may jump.
pub fn time_of_day() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// For how long what another entry's clock showed is believed: an entry that is killed doesn't tell of
/// its clock any more.
const BELIEVED: Duration = Duration::from_secs(30);

/// The true time of day, as the clocks of most entries have it.
#[derive(Debug, Default)]
pub struct Clock {
    others: Mutex<HashMap<u64, Seen>>,
}

/// How far another entry's clock is ahead of this VM's steady one.
#[derive(Debug, Clone, Copy)]
struct Seen {
    offset: Offset,
    at: Duration,
}

impl Clock {
    /// Takes in what another entry's clock shows; 0 from one that does not say.
    pub fn hear(&self, entry: u64, micros: u64) {
        if micros == 0 {
            return;
        }
        let at = since_boot();
        self.others().insert(entry, Seen { offset: ahead(micros, at), at });
    }

    /// The true time since the start of 1970.
    pub fn now(&self) -> Duration {
        let now = since_boot();
        let mut offsets = {
            let mut others = self.others();
            others.retain(|_, seen| now.saturating_sub(seen.at) < BELIEVED);
            others.values().map(|seen| seen.offset).collect::<Vec<_>>()
        };
        offsets.push(ahead(time_of_day(), now));
        let offset = median(&mut offsets).unwrap_or_default();
        let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(micros.saturating_add_signed(offset))
    }

    fn others(&self) -> MutexGuard<'_, HashMap<u64, Seen>> {
        self.others.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ahead(micros: u64, steady: Duration) -> Offset {
    let steady = u64::try_from(steady.as_micros()).unwrap_or(u64::MAX);
    micros.checked_signed_diff(steady).unwrap_or(Offset::MAX)
}
