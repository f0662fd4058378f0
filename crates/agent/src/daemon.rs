//! The agent's process: its tasks and how it stops.

use crate::load::Meter;
use crate::session::{self, Shared};
use crate::{Context, Result};
use state::{Config, Follower};
use std::sync::Arc;
use tokio_util::task::TaskTracker;
use wire::{Hello, Key};

/// The agent of one target.
pub struct Daemon {
    context: Context,
}

impl Daemon {
    /// Makes an agent that sees the world through `context`.
    pub fn new(context: Context) -> Self {
        Self { context }
    }

    /// Runs until the context's token is cancelled and the requests in flight are answered.
    pub async fn run(self) -> Result<()> {
        let Context { settings, log, backend, mut listener, stop } = self.context;
        let follower = Follower::<Config>::new(log, plat::CONFIG_STREAM.into());
        let _config = follower.state();
        let following = tokio::spawn(follower.run());
        let shared = Arc::new(Shared {
            name: settings.name.clone(),
            incarnation: rand::random(),
            key: Key::new(settings.peer_key.as_bytes().to_vec()),
            meter: Meter::new(settings.target.clone(), DEFAULT_SLOTS),
            backend,
        });
        let sessions = TaskTracker::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                accepted = listener.accept() => {
                    let (pipe, peer) = accepted?;
                    sessions.spawn(session::serve(shared.clone(), pipe, peer));
                }
            }
        }
        sessions.close();
        let _ = tokio::time::timeout(settings.drain, sessions.wait()).await;
        following.abort();
        Ok(())
    }
}

/// Requests that a target runs side by side until its resource says otherwise.
const DEFAULT_SLOTS: u32 = 16;

impl Shared {
    /// The greeting for a new connection.
    pub(crate) fn hello(&self) -> Hello {
        Hello::new(&self.name, self.incarnation, rand::random())
    }
}
