//! KV cache that waits for the engine that writes.

use crate::codec::KvHandle;
use crate::request::context::Job;
use crate::targets::attempt;
use crate::targets::target::Target;
use http::Method;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long freeing a KV cache may take.
const FREE: Duration = Duration::from_millis(500);

/// After this time an engine has dropped what nobody took, most likely.
const KEPT: Duration = Duration::from_secs(10);

/// KV cache that an engine holds for another. Dropped, it is freed: it would push out what others
/// need until it lapses.
pub(super) struct Cache {
    engine: Arc<Target>,
    handle: Option<KvHandle>,
    job: Arc<Job>,
}

impl Cache {
    /// The cache that `engine` holds under `handle`.
    pub(super) fn new(job: &Arc<Job>, engine: &Arc<Target>, handle: KvHandle) -> Self {
        Self { engine: engine.clone(), handle: Some(handle), job: job.clone() }
    }

    /// The engine that holds it.
    pub(super) fn holder(&self) -> &Arc<Target> {
        &self.engine
    }

    /// Its handle, unless it was taken.
    pub(super) fn handle(&self) -> Option<&KvHandle> {
        self.handle.as_ref()
    }

    /// Notes that an engine has taken it.
    pub(super) fn taken(&mut self) {
        self.handle = None;
    }
}

impl Drop for Cache {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let tokens = self.job.ask.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens);
        self.job.shared.metrics.wasted_prefill(tokens.into());
        let engine = self.engine.clone();
        let codec = self.job.shared.codec.clone();
        let path = codec.free_path(&handle.id);
        tokio::spawn(async move {
            if let Some(pause) =
                engine.pause_remaining(Instant::now()).filter(|pause| *pause < KEPT)
            {
                tokio::time::sleep(pause).await;
            }
            let freed =
                attempt::call(&*codec, &engine, Method::DELETE, &path, Vec::new(), FREE).await;
            if let Err(detail) = freed {
                log::info!(target: "request", target_id = engine.id.as_str(),
                    detail = detail.as_str(); "cache not freed");
            }
        });
    }
}
