//! The open connections of callers to this entry, and those among them without a request.

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

/// Identifies a time in which a connection is idle; later ones have higher ids.
type IdleId = u64;

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
    silent: BTreeMap<ConnectionId, Unused>,
    /// Connections whose last response has ended, in this order.
    idle: BTreeMap<IdleId, Unused>,
    next_idle: IdleId,
}

/// A connection without a request.
#[derive(Debug)]
struct Unused {
    since: Instant,
    evicted: CancellationToken,
}

/// A request in progress on a connection, until the end of its response. The connection is idle once
/// this is dropped.
#[derive(Debug)]
pub struct ActiveRequest(Arc<Connection>);

/// A connection. It counts as open until this is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    id: ConnectionId,
    /// Its entry among the idle ones.
    idle: Mutex<Option<IdleId>>,
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
        inner.silent.insert(id, Unused { since: now, evicted: evicted.clone() });
        Connection { connections: self.clone(), id, idle: Mutex::default(), evicted }
    }

    /// Closes the connection that has been open for longest without a request, if it should have
    /// sent one by now. Returns whether there was one.
    pub fn evict_silent(&self, now: Instant) -> bool {
        evict_oldest(&mut self.lock().silent, now)
    }

    /// Closes the connection that has been idle for longest since a response ended. Returns whether
    /// there was one.
    pub fn evict_idle(&self, now: Instant) -> bool {
        evict_oldest(&mut self.lock().idle, now)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn evict_oldest<Id: Ord>(unused: &mut BTreeMap<Id, Unused>, now: Instant) -> bool {
    let Some(oldest) = unused.first_entry() else { return false };
    if now.duration_since(oldest.get().since) < MIN_SILENCE {
        return false;
    }
    oldest.remove().evicted.cancel();
    true
}

impl Connection {
    /// Records that a request has arrived on it.
    pub fn begin_request(self: &Arc<Self>) -> ActiveRequest {
        let mut inner = self.connections.lock();
        inner.silent.remove(&self.id);
        self.leave_idle(&mut inner);
        ActiveRequest(self.clone())
    }

    fn leave_idle(&self, inner: &mut Inner) {
        if let Some(id) = self.idle().take() {
            inner.idle.remove(&id);
        }
    }

    fn idle(&self) -> MutexGuard<'_, Option<IdleId>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until it is to be closed for lack of a request.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut inner = self.0.connections.lock();
        self.0.leave_idle(&mut inner);
        let id = inner.next_idle;
        inner.next_idle += 1;
        let evicted = self.0.evicted.clone();
        inner.idle.insert(id, Unused { since: Instant::now(), evicted });
        *self.0.idle() = Some(id);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut inner = self.connections.lock();
        inner.open -= 1;
        inner.silent.remove(&self.id);
        self.leave_idle(&mut inner);
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
