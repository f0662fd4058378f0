//! The tasks of one agent: a graceful stop waits for them, and the agent's end ends them.

use std::future::Future;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// Spawns tasks that end with the agent.
#[derive(Clone)]
pub(crate) struct Tasks {
    /// Those that a graceful stop waits for.
    jobs: TaskTracker,
    closing: CancellationToken,
}

impl Tasks {
    /// Makes an empty set, and the guard that ends its tasks when dropped.
    pub(crate) fn new() -> (Self, DropGuard) {
        let (jobs, closing) = (TaskTracker::new(), CancellationToken::new());
        let guard = closing.clone().drop_guard();
        (Self { jobs, closing }, guard)
    }

    /// Spawns a task that a graceful stop waits for.
    pub(crate) fn job(&self, job: impl Future<Output = ()> + Send + 'static) {
        let closing = self.closing.clone();
        self.jobs.spawn(async move {
            closing.run_until_cancelled(job).await;
        });
    }

    /// Spawns a task that goes on until the agent ends.
    pub(crate) fn duty(&self, duty: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let closing = self.closing.clone();
        tokio::spawn(async move {
            closing.run_until_cancelled(duty).await;
        })
    }

    /// Waits until all jobs have ended.
    pub(crate) async fn finish(&self) {
        self.jobs.close();
        self.jobs.wait().await;
    }
}
