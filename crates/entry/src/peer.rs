//! One agent as the entry knows it: its connection, kept up by a task, and its load.

use crate::peers::PeerContext;
use crate::session::Session;
use compact_str::CompactString;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use wire::Load;

/// The first wait after a failed dial; it doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// The longest wait after a failed dial, so that a mended partition is noticed within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// How long a connection outside the entry's subset is kept without work.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// One agent.
pub(crate) struct Peer {
    address: CompactString,
    session: watch::Sender<Option<Arc<Session>>>,
    last_load: Mutex<Option<LoadVersion>>,
    /// Whether the connection is kept without work.
    persistent: AtomicBool,
    last_used: Mutex<Instant>,
    wake_up: Notify,
}

/// Which load of which process was heard last.
struct LoadVersion {
    sequence: u64,
    incarnation: u64,
}

impl Peer {
    /// Makes an agent that is not connected yet; [`Peer::run`] is its task.
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

    /// Says whether the connection is kept without work.
    pub(crate) fn set_persistent(&self, persistent: bool) {
        self.persistent.store(persistent, Ordering::Relaxed);
        if persistent {
            self.wake_up.notify_one();
        }
    }

    /// Whether a connection stands.
    pub(crate) fn is_connected(&self) -> bool {
        self.session.borrow().is_some()
    }

    /// The connection, waiting up to `patience` for one.
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

    /// Takes a load in unless a newer one of the same process was heard.
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

    /// Whether a connection may be closed because nothing needs it.
    pub(crate) fn is_idle(&self, session: &Session) -> bool {
        let last_used = *self.last_used.lock().unwrap_or_else(PoisonError::into_inner);
        let persistent = self.persistent.load(Ordering::Relaxed);
        !persistent && session.open_attempts() == 0 && last_used.elapsed() > IDLE_LIMIT
    }

    fn report_connected(&self, context: &PeerContext, connected: bool) {
        context.decisions.targets.set_connected(&self.address, connected, context.decisions.now());
    }

    /// Keeps the agent connected while it is wanted.
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
