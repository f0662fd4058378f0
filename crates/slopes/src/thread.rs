//! Roles on threads of their own, so that the system counts each one's processor time.

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
    /// Starts a thread; it lives as long as the process.
    pub(crate) fn start() -> Result<Self> {
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            let thread = std::fs::read_link("/proc/thread-self");
            // The starter sees a closed channel if anything above failed.
            let _ = sender.send((runtime.handle().clone(), thread));
            runtime.block_on(std::future::pending::<()>());
        });
        let (handle, thread) = started.recv().wrap_err("start a thread")?;
        let thread = thread.wrap_err("find the thread's number")?;
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

    /// Processor time that the thread has used.
    pub(crate) fn cpu(&self) -> Result<Duration> {
        let text = std::fs::read_to_string(&self.schedstat).wrap_err("read processor time")?;
        let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
        nanos.map(Duration::from_nanos).ok_or_else(|| eyre!("no processor time in `{text}`"))
    }
}
