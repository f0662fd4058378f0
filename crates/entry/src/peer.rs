//! One agent as the entry knows it: its connection, kept up by a task, and its load.

use crate::peers::Link;
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
    heard: Mutex<Option<Heard>>,
    /// Whether the connection is kept without work.
    kept: AtomicBool,
    used: Mutex<Instant>,
    wake: Notify,
}

/// Which load of which process was heard last.
struct Heard {
    sequence: u64,
    incarnation: u64,
}

impl Peer {
    /// Makes an agent that is not connected yet; [`Peer::run`] is its task.
    pub(crate) fn new(address: CompactString, kept: bool) -> Self {
        Self {
            address,
            session: watch::Sender::new(None),
            heard: Mutex::default(),
            kept: AtomicBool::new(kept),
            used: Mutex::new(Instant::now()),
            wake: Notify::new(),
        }
    }

    /// Says whether the connection is kept without work.
    pub(crate) fn keep(&self, kept: bool) {
        self.kept.store(kept, Ordering::Relaxed);
        if kept {
            self.wake.notify_one();
        }
    }

    /// Whether a connection stands.
    pub(crate) fn is_up(&self) -> bool {
        self.session.borrow().is_some()
    }

    /// The connection, waiting up to `patience` for one.
    pub(crate) async fn session(&self, patience: Duration) -> Option<Arc<Session>> {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        if let Some(session) = self.session.borrow().clone() {
            return Some(session);
        }
        self.wake.notify_one();
        let mut sessions = self.session.subscribe();
        let up = tokio::time::timeout(patience, sessions.wait_for(Option::is_some)).await;
        up.ok()?.ok()?.clone()
    }

    /// Takes a load in unless a newer one of the same process was heard.
    pub(crate) fn hear(&self, link: &Link, load: &Load, incarnation: u64) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let late = heard.as_ref().is_some_and(|heard| {
            heard.incarnation == incarnation && heard.sequence >= load.sequence
        });
        if !late {
            *heard = Some(Heard { sequence: load.sequence, incarnation });
            drop(heard);
            link.processes.hear_agent(&self.address, load);
            link.decisions.board.hear(&self.address, load, link.decisions.now());
        }
    }

    /// Whether a connection may be closed because nothing needs it.
    pub(crate) fn is_idle(&self, session: &Session) -> bool {
        let used = *self.used.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = self.kept.load(Ordering::Relaxed);
        !kept && session.open_attempts() == 0 && used.elapsed() > IDLE_LIMIT
    }

    fn tell_board(&self, link: &Link, up: bool) {
        link.decisions.board.set_up(&self.address, up, link.decisions.now());
    }

    /// Keeps the agent connected while it is wanted.
    pub(crate) async fn run(self: Arc<Self>, link: Arc<Link>) {
        let mut backoff = FIRST_BACKOFF;
        loop {
            if !self.kept.load(Ordering::Relaxed) {
                self.wake.notified().await;
            }
            match Session::connect(&link, &self.address).await {
                Ok((session, reader, frames, writer)) => {
                    backoff = FIRST_BACKOFF;
                    self.session.send_replace(Some(session.clone()));
                    self.tell_board(&link, true);
                    session.run(&link, &self, reader, frames, writer).await;
                    self.session.send_replace(None);
                    self.tell_board(&link, false);
                }
                Err(error) => {
                    log::warn!(peer = self.address.as_str(), error:% = error; "peer-unreachable");
                }
            }
            tokio::time::sleep(link.random.jitter(backoff)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}
