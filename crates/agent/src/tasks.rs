//! The tasks of one agent. A graceful stop waits for jobs; all tasks end with the agent.

use std::future::Future;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// Spawns tasks that end with the agent.
#[derive(Clone)]
pub(crate) struct Tasks {
    /// The tasks that a graceful stop waits for.
    jobs: TaskTracker,
    closing: CancellationToken,
}

impl Tasks {
    /// Creates an empty set, and a guard that ends its tasks when dropped.
    pub(crate) fn new() -> (Self, DropGuard) {
        let (jobs, closing) = (TaskTracker::new(), CancellationToken::new());
        let guard = closing.clone().drop_guard();
        (Self { jobs, closing }, guard)
    }

    /// Spawns a task that a graceful stop waits for.
    pub(crate) fn spawn_job(&self, job: impl Future<Output = ()> + Send + 'static) {
        let closing = self.closing.clone();
        self.jobs.spawn(async move {
            closing.run_until_cancelled(job).await;
        });
    }

    /// Spawns a task that runs until the agent ends.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let closing = self.closing.clone();
        tokio::spawn(async move {
            closing.run_until_cancelled(task).await;
        })
    }

    /// Waits until all jobs have ended.
    pub(crate) async fn wait_for_jobs(&self) {
        self.jobs.close();
        self.jobs.wait().await;
    }
}
