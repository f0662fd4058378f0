//! Maintains the connection to one agent and receives its load.

use crate::peers::PeerContext;
use crate::session::Session;
use compact_str::CompactString;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use wire::Load;

/// Backoff after the first failed connection attempt; it doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff, so that the end of a partition is detected within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Idle time after which a connection outside the entry's subset is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// An agent.
pub(crate) struct Peer {
    address: CompactString,
    session: watch::Sender<Option<Arc<Session>>>,
    last_load: Mutex<Option<LoadVersion>>,
    /// Whether the connection is kept open while idle.
    persistent: AtomicBool,
    last_used: Mutex<Instant>,
    wake_up: Notify,
}

/// Identifies the last load report that was applied.
struct LoadVersion {
    sequence: u64,
    incarnation: u64,
}

impl Peer {
    /// Creates an agent that is not connected yet; [`Peer::run`] connects it.
    pub(crate) fn new(address: CompactString, persistent: bool) -> Self {
        Self {
            address,
            session: watch::Sender::new(None),
            last_load: Mutex::default(),
            persistent: AtomicBool::new(persistent),
            last_used: Mutex::new(Instant::now()),
            wake_up: Notify::new(),
        }
    }

    /// Sets whether the connection is kept open while idle.
    pub(crate) fn set_persistent(&self, persistent: bool) {
        self.persistent.store(persistent, Ordering::Relaxed);
        if persistent {
            self.wake_up.notify_one();
        }
    }

    /// Returns whether the agent is connected.
    pub(crate) fn is_connected(&self) -> bool {
        self.session.borrow().is_some()
    }

    /// Returns the connection, waiting up to `timeout` for one.
    pub(crate) async fn session(&self, timeout: Duration) -> Option<Arc<Session>> {
        *self.last_used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        if let Some(session) = self.session.borrow().clone() {
            return Some(session);
        }
        self.wake_up.notify_one();
        let mut sessions = self.session.subscribe();
        let connected = tokio::time::timeout(timeout, sessions.wait_for(Option::is_some)).await;
        connected.ok()?.ok()?.clone()
    }

    /// Applies a load report unless a newer one of the same incarnation was applied.
    pub(crate) fn observe_load(&self, context: &PeerContext, load: &Load, incarnation: u64) {
        let mut last_load = self.last_load.lock().unwrap_or_else(PoisonError::into_inner);
        let outdated = last_load.as_ref().is_some_and(|last_load| {
            last_load.incarnation == incarnation && last_load.sequence >= load.sequence
        });
        if !outdated {
            *last_load = Some(LoadVersion { sequence: load.sequence, incarnation });
            drop(last_load);
            context.processes.observe_agent(&self.address, load);
            context.decisions.targets.update_load(&self.address, load, context.decisions.now());
        }
    }

    /// Returns whether the connection may be closed because it is idle and not persistent.
    pub(crate) fn is_idle(&self, session: &Session) -> bool {
        let last_used = *self.last_used.lock().unwrap_or_else(PoisonError::into_inner);
        let persistent = self.persistent.load(Ordering::Relaxed);
        !persistent && session.open_attempts() == 0 && last_used.elapsed() > IDLE_LIMIT
    }

    fn report_connected(&self, context: &PeerContext, connected: bool) {
        context.decisions.targets.set_connected(&self.address, connected, context.decisions.now());
    }

    /// Connects to the agent whenever a connection is needed, until the task is dropped.
    pub(crate) async fn run(self: Arc<Self>, context: Arc<PeerContext>) {
        let mut backoff = FIRST_BACKOFF;
        loop {
            if !self.persistent.load(Ordering::Relaxed) {
                self.wake_up.notified().await;
            }
            match Session::connect(&context, &self.address).await {
                Ok((session, reader, frames, writer)) => {
                    backoff = FIRST_BACKOFF;
                    self.session.send_replace(Some(session.clone()));
                    self.report_connected(&context, true);
                    session.run(&context, &self, reader, frames, writer).await;
                    self.session.send_replace(None);
                    self.report_connected(&context, false);
                }
                Err(error) => {
                    log::warn!(peer = self.address.as_str(), error:% = error; "peer-unreachable");
                }
            }
            tokio::time::sleep(context.random.jitter(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}
