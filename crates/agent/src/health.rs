//! Health checks of the target. For an engine they also return its role, models and incarnation.

use crate::Backend;
use compact_str::CompactString;
use conf::resource::Role;
use std::time::Duration;
use target::Status;
use tokio::sync::{Notify, watch};

/// The target's state at the last check.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) enum State {
    /// Not checked yet.
    #[default]
    Unknown,
    /// The target does not respond.
    Down,
    /// An engine that responds.
    Engine(Status),
    /// A service that responds.
    Service,
}

/// Checks the target and publishes its state.
#[derive(Default)]
pub(crate) struct Health {
    state: watch::Sender<State>,
    check_requested: Notify,
}

/// Interval between checks. It detects a crash well within the 2 s after which no new work may
/// reach a target that has failed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a check may take. A slower target counts as down.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

impl Health {
    /// Checks the target periodically until the task is dropped.
    pub(crate) async fn watch(&self, backend: &Backend, target: &CompactString) {
        loop {
            self.refresh(backend, target).await;
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.check_requested.notified() => {}
            }
        }
    }

    /// Checks the target now and returns its state.
    pub(crate) async fn refresh(&self, backend: &Backend, target: &CompactString) -> State {
        let state = probe(backend).await;
        let previous = self.state.send_replace(state.clone());
        let (was_down, is_down) = (previous == State::Down, state == State::Down);
        if is_down && !was_down {
            log::warn!(target_name = target.as_str(); "target-down");
        }
        if was_down && !is_down {
            log::info!(target_name = target.as_str(); "target-up");
        }
        state
    }

    /// Requests a check as soon as possible, because the state may have changed.
    pub(crate) fn request_check(&self) {
        self.check_requested.notify_one();
    }

    /// Returns the state at the last check.
    pub(crate) fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Subscribes to the state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// Returns the engine's role at the last check; mixed if it is unknown.
    pub(crate) fn role(&self) -> Role {
        match &*self.state.borrow() {
            State::Engine(status) => status.role,
            State::Unknown | State::Down | State::Service => Role::Mixed,
        }
    }

    /// Returns the engine's incarnation at the last check.
    pub(crate) fn incarnation(&self) -> Option<u64> {
        match &*self.state.borrow() {
            State::Engine(status) => Some(status.incarnation),
            State::Unknown | State::Down | State::Service => None,
        }
    }
}

async fn probe(backend: &Backend) -> State {
    let probe = async {
        match backend {
            Backend::Engine(engine) => engine.status().await.map(State::Engine),
            Backend::Service(service) => service.probe().await.map(|()| State::Service),
        }
    };
    match tokio::time::timeout(CHECK_TIMEOUT, probe).await {
        Ok(Ok(state)) => state,
        Ok(Err(_)) | Err(_) => State::Down,
    }
}
