//! Fetches a KV cache from the agent of the target where a stream ran before.
//!
//! A failure only costs time, since the engine can prefill the prompt and the generated text again.

use crate::peer;
use crate::shared::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use conf::{Kind, Spec};
use std::time::Duration;
use wire::QueryKind;

/// How long the fetch of a cache may take. A new prefill of even a long prompt takes a few seconds.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches the KV cache of `request` from the target `source`. Returns `None` if there is none or
/// the fetch fails.
pub(crate) async fn fetch(shared: &Shared, source: &str, request: &str) -> Option<Bytes> {
    let address = agent_address(shared, source)?;
    let body = Bytes::copy_from_slice(request.as_bytes());
    let query = peer::query(shared, &address, QueryKind::KvCache, body);
    match tokio::time::timeout(FETCH_TIMEOUT, query).await {
        Ok(Ok(cache)) if cache.is_empty() => None,
        Ok(Ok(cache)) => Some(cache),
        Ok(Err(error)) => {
            log::warn!(request = request, peer = address.as_str(), error:% = error; "kv-fetch-failed");
            None
        }
        Err(_) => {
            log::warn!(request = request, peer = address.as_str(); "kv-fetch-timeout");
            None
        }
    }
}

fn agent_address(shared: &Shared, target: &str) -> Option<CompactString> {
    let config = shared.config.borrow();
    match &config.get(Kind::Target, target)?.spec {
        Spec::Target(target) => Some(target.agent.clone()),
        _ => None,
    }
}
