//! KV cache that is held for the engine that will decode.

use crate::codec::KvHandle;
use crate::request::context::RequestContext;
use crate::targets::attempt;
use crate::targets::target::Target;
use http::Method;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long freeing a KV cache may take.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

/// After this time an engine has most likely dropped a KV cache that no engine took.
const HANDLE_TTL: Duration = Duration::from_secs(10);

/// KV cache that an engine holds for another. It is freed on drop: until it expires it would
/// displace what others need.
pub(super) struct HeldCache {
    engine: Arc<Target>,
    handle: Option<KvHandle>,
    request: Arc<RequestContext>,
}

impl HeldCache {
    /// The cache that `engine` holds under `handle`.
    pub(super) fn new(
        request: &Arc<RequestContext>,
        engine: &Arc<Target>,
        handle: KvHandle,
    ) -> Self {
        Self { engine: engine.clone(), handle: Some(handle), request: request.clone() }
    }

    /// The engine that holds it.
    pub(super) fn holder(&self) -> &Arc<Target> {
        &self.engine
    }

    /// Its handle, unless it was taken.
    pub(super) fn handle(&self) -> Option<&KvHandle> {
        self.handle.as_ref()
    }

    /// Records that an engine has taken it.
    pub(super) fn mark_taken(&mut self) {
        self.handle = None;
    }
}

impl Drop for HeldCache {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let tokens = self.request.head.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens);
        self.request.shared.metrics.wasted_prefill(tokens.into());
        let engine = self.engine.clone();
        let codec = self.request.shared.codec.clone();
        let path = codec.free_path(&handle.id);
        tokio::spawn(async move {
            if let Some(pause) =
                engine.pause_remaining(Instant::now()).filter(|pause| *pause < HANDLE_TTL)
            {
                tokio::time::sleep(pause).await;
            }
            let freed =
                attempt::call(&*codec, &engine, Method::DELETE, &path, Vec::new(), FREE_TIMEOUT)
                    .await;
            if let Err(detail) = freed {
                log::info!(target: "request", target_id = engine.id.as_str(),
                    detail = detail.as_str(); "cache not freed");
            }
        });
    }
}
