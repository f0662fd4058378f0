//! Copies of one request that are under way at the same time.
//!
//! What could go wrong: a request crashes each engine that runs it, and its caller sends a dozen
//! copies at once. By the time that the first crash stands in the log, each copy has taken down an
//! engine of its own. So while the first copy has brought no token yet, the others wait here: once
//! it has, they all go on, and if it fails, the next one is tried with what was learnt from it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The requests of one entry that are under way, by fingerprint.
#[derive(Default)]
pub(crate) struct Copies {
    flights: Mutex<HashMap<u64, Flight>>,
}

/// All copies of one request that have started.
#[derive(Default)]
struct Flight {
    started: usize,
    /// Whether a copy has started that has neither brought a token nor failed.
    on_trial: bool,
    /// Whether a copy has brought a token.
    trusted: bool,
    news: Arc<Notify>,
}

/// One copy that has started; dropping it ends it.
pub(crate) struct Copy {
    copies: Arc<Copies>,
    fingerprint: u64,
    on_trial: bool,
}

impl Copies {
    /// Waits until a copy with this fingerprint may start.
    pub(crate) async fn start(self: &Arc<Self>, fingerprint: u64) -> Copy {
        loop {
            let news = match self.try_start(fingerprint) {
                Ok(copy) => return copy,
                Err(news) => news,
            };
            let mut notified = std::pin::pin!(news.notified());
            notified.as_mut().enable();
            // What happened before the notification was enabled is seen by trying once more.
            if let Ok(copy) = self.try_start(fingerprint) {
                return copy;
            }
            notified.await;
        }
    }

    fn try_start(self: &Arc<Self>, fingerprint: u64) -> Result<Copy, Arc<Notify>> {
        let mut flights = self.lock();
        let flight = flights.entry(fingerprint).or_default();
        if flight.on_trial && !flight.trusted {
            return Err(flight.news.clone());
        }
        let on_trial = !flight.trusted;
        flight.started += 1;
        flight.on_trial |= on_trial;
        Ok(Copy { copies: self.clone(), fingerprint, on_trial })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Flight>> {
        self.flights.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Copy {
    /// Notes that the copy has brought a token, so that the others go on.
    pub(crate) fn trust(&mut self) {
        if std::mem::take(&mut self.on_trial)
            && let Some(flight) = self.copies.lock().get_mut(&self.fingerprint)
        {
            flight.trusted = true;
            flight.on_trial = false;
            flight.news.notify_waiters();
        }
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let mut flights = self.copies.lock();
        let Some(flight) = flights.get_mut(&self.fingerprint) else { return };
        flight.started -= 1;
        if self.on_trial {
            flight.on_trial = false;
            flight.news.notify_waiters();
        }
        if flight.started == 0 {
            flights.remove(&self.fingerprint);
        }
    }
}
