//! Fetches a KV cache from the agent of the target where a stream ran before.
//!
//! Every failure on this way only costs time: the engine then reads prompt and text anew.

use crate::peer;
use crate::shared::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use conf::{Kind, Spec};
use std::time::Duration;
use wire::AskKind;

/// How long fetching a cache may take; reading even a long prompt anew takes a few seconds.
const FETCH_TIME: Duration = Duration::from_secs(3);

/// Fetches the KV cache of `request` from the target `source`; `None` if there is none.
pub(crate) async fn fetch(shared: &Shared, source: &str, request: &str) -> Option<Bytes> {
    let address = agent_of(shared, source)?;
    let question = Bytes::copy_from_slice(request.as_bytes());
    let asking = peer::ask(shared, &address, AskKind::KvCache, question);
    match tokio::time::timeout(FETCH_TIME, asking).await {
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

fn agent_of(shared: &Shared, target: &str) -> Option<CompactString> {
    let config = shared.config.borrow();
    match &config.get(Kind::Target, target)?.spec {
        Spec::Target(target) => Some(target.agent.clone()),
        _ => None,
    }
}
