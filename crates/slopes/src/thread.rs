//! Threads that run one role each, so that the operating system accounts its CPU time separately.

use eyre::{Result, WrapErr, eyre};
use std::future::Future;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;
use tokio::runtime::Builder;

/// A thread with a runtime of its own.
#[derive(Clone)]
pub(crate) struct Thread {
    handle: tokio::runtime::Handle,
    schedstat: PathBuf,
}

impl Thread {
    /// Starts a thread, which runs until the process ends.
    pub(crate) fn start() -> Result<Self> {
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            let thread = std::fs::read_link("/proc/thread-self");
            // If anything above failed, the channel is closed and `start` returns an error.
            let _ = sender.send((runtime.handle().clone(), thread));
            runtime.block_on(std::future::pending::<()>());
        });
        let (handle, thread) = started.recv().wrap_err("start a thread")?;
        let thread = thread.wrap_err("read the thread's id")?;
        Ok(Self { handle, schedstat: PathBuf::from("/proc").join(thread).join("schedstat") })
    }

    /// Runs a future on the thread and waits for its result from another runtime.
    pub(crate) async fn run<F>(&self, future: F) -> Result<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        self.handle.spawn(future).await.wrap_err("run on a thread")
    }

    /// CPU time that the thread has used.
    pub(crate) fn cpu(&self) -> Result<Duration> {
        let text =
            std::fs::read_to_string(&self.schedstat).wrap_err("read the thread's CPU time")?;
        let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
        nanos.map(Duration::from_nanos).ok_or_else(|| eyre!("no CPU time in `{text}`"))
    }
}
