//! Whether the target is up, and what its engine really is: its role, its models, its incarnation.

use crate::Backend;
use compact_str::CompactString;
use conf::resource::Role;
use std::time::Duration;
use target::Status;
use tokio::sync::{Notify, watch};

/// The target's state as last seen.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) enum State {
    /// Not looked yet.
    #[default]
    Unknown,
    /// It does not answer.
    Down,
    /// An engine that answers.
    Engine(Status),
    /// A service that answers.
    Service,
}

/// Watches the target.
#[derive(Default)]
pub(crate) struct Health {
    state: watch::Sender<State>,
    look: Notify,
}

/// How often the target is asked: a crash is noticed well within the 2 s after which no new work
/// may reach a target that is gone.
const EVERY: Duration = Duration::from_millis(500);

/// How long an answer may take; a target that is slower is as good as down.
const TIMEOUT: Duration = Duration::from_secs(2);

impl Health {
    /// Asks the target again and again until the task is dropped.
    pub(crate) async fn watch(&self, backend: &Backend, target: &CompactString) {
        loop {
            self.refresh(backend, target).await;
            tokio::select! {
                () = tokio::time::sleep(EVERY) => {}
                () = self.look.notified() => {}
            }
        }
    }

    /// Asks the target now.
    pub(crate) async fn refresh(&self, backend: &Backend, target: &CompactString) -> State {
        let state = ask(backend).await;
        let before = self.state.send_replace(state.clone());
        let (was_down, is_down) = (before == State::Down, state == State::Down);
        if is_down && !was_down {
            log::warn!(target_name = target.as_str(); "target-down");
        }
        if was_down && !is_down {
            log::info!(target_name = target.as_str(); "target-up");
        }
        state
    }

    /// Has the target asked again soon, because something was seen that may have changed it.
    pub(crate) fn look(&self) {
        self.look.notify_one();
    }

    /// The state as last seen.
    pub(crate) fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Hears of each change of the state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// The engine's role as last seen; mixed if it is not known.
    pub(crate) fn role(&self) -> Role {
        match &*self.state.borrow() {
            State::Engine(status) => status.role,
            State::Unknown | State::Down | State::Service => Role::Mixed,
        }
    }

    /// The engine's incarnation as last seen.
    pub(crate) fn incarnation(&self) -> Option<u64> {
        match &*self.state.borrow() {
            State::Engine(status) => Some(status.incarnation),
            State::Unknown | State::Down | State::Service => None,
        }
    }
}

async fn ask(backend: &Backend) -> State {
    let asking = async {
        match backend {
            Backend::Engine(engine) => engine.status().await.map(State::Engine),
            Backend::Service(service) => service.probe().await.map(|()| State::Service),
        }
    };
    match tokio::time::timeout(TIMEOUT, asking).await {
        Ok(Ok(state)) => state,
        Ok(Err(_)) | Err(_) => State::Down,
    }
}
