//! Replies to queries of peers that belong to no attempt.

use crate::shared::Shared;
use crate::{Backend, bootstrap};
use bytes::Bytes;
use std::time::Duration;
use wire::{Query, QueryKind, Reply};

/// How long the export of a KV cache may take.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the reply to a query. Its body is empty if the requested data does not exist.
pub(crate) async fn answer(shared: &Shared, query: Query) -> Reply {
    let body = match QueryKind::try_from(query.kind) {
        Ok(QueryKind::Snapshot) => bootstrap::snapshot(shared),
        Ok(QueryKind::Explain) => explain(shared, &query.body),
        Ok(QueryKind::KvCache) => kv_cache(shared, &query.body).await.unwrap_or_default(),
        // A kind of a newer version, which is unknown here.
        Err(_) => Bytes::new(),
    };
    Reply { id: query.id, body }
}

async fn kv_cache(shared: &Shared, request: &[u8]) -> Option<Bytes> {
    let request = std::str::from_utf8(request).ok()?;
    let (job, cache) = shared.answers.job(request)?;
    if let Some(cache) = cache {
        return Some(cache);
    }
    let Backend::Engine(engine) = &shared.backend else { return None };
    let export = engine.export_kv(&job);
    match tokio::time::timeout(KV_TIMEOUT, export).await {
        Ok(Ok(cache)) => Some(cache),
        Ok(Err(error)) => {
            log::warn!(request = request, error:% = error; "kv-export-failed");
            None
        }
        Err(_) => None,
    }
}

fn explain(shared: &Shared, request: &[u8]) -> Bytes {
    let Ok(request) = std::str::from_utf8(request) else { return Bytes::new() };
    let Some((job, cache)) = shared.answers.job(request) else { return Bytes::new() };
    let cache = cache.map_or(0, |cache| cache.len());
    let target = &shared.target;
    Bytes::from(format!("target={target} job={job} kv_cache_bytes={cache}\n"))
}
