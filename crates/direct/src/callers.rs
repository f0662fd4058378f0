//! The open connections of callers to this entry, and those among them that have sent no request.

use std::collections::BTreeMap;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Identifies a connection; later ones have higher ids.
type ConnectionId = u64;

/// A caller sends its request together with the connection, or a round trip later.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// The open connections.
#[derive(Debug, Default)]
pub struct Connections {
    inner: Mutex<Inner>,
    closed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    open: u32,
    next: ConnectionId,
    /// Connections on which no request has arrived yet.
    silent: BTreeMap<ConnectionId, Silent>,
}

#[derive(Debug)]
struct Silent {
    since: Instant,
    evicted: CancellationToken,
}

/// A connection. It counts as open until this is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    id: ConnectionId,
    evicted: CancellationToken,
}

impl Connections {
    /// The number of open connections.
    pub fn count(&self) -> u32 {
        self.lock().open
    }

    /// Waits until fewer than `most` are open.
    pub async fn fewer_than(&self, most: u32) {
        loop {
            let mut closed = pin!(self.closed.notified());
            closed.as_mut().enable();
            if self.count() < most {
                return;
            }
            closed.await;
        }
    }

    /// Counts a new connection.
    pub fn open(self: &Arc<Self>, now: Instant) -> Connection {
        let mut inner = self.lock();
        let (id, evicted) = (inner.next, CancellationToken::new());
        inner.next += 1;
        inner.open += 1;
        inner.silent.insert(id, Silent { since: now, evicted: evicted.clone() });
        Connection { connections: self.clone(), id, evicted }
    }

    /// Closes the connection that has been open for longest without a request, if it should have
    /// sent one by now. Returns whether there was one.
    pub fn evict_silent(&self, now: Instant) -> bool {
        let mut inner = self.lock();
        let Some(oldest) = inner.silent.first_entry() else { return false };
        if now.duration_since(oldest.get().since) < MIN_SILENCE {
            return false;
        }
        oldest.remove().evicted.cancel();
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Records that a request has arrived on it.
    pub fn record_request(&self) {
        self.connections.lock().silent.remove(&self.id);
    }

    /// Waits until it is to be closed for lack of a request.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut inner = self.connections.lock();
        inner.open -= 1;
        inner.silent.remove(&self.id);
        drop(inner);
        self.connections.closed.notify_waiters();
    }
}

/// Bounds how many connections are in some state at a time.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    entered: Arc<AtomicU32>,
}

/// Counts one connection until dropped.
#[derive(Debug)]
pub struct GateGuard(Arc<AtomicU32>);

impl Gate {
    /// Lets one more in, unless `most` are in already.
    pub fn enter(&self, most: u32) -> Option<GateGuard> {
        let guard = GateGuard(self.entered.clone());
        (guard.0.fetch_add(1, Ordering::Relaxed) < most).then_some(guard)
    }
}

impl Drop for GateGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
