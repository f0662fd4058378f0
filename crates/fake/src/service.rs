//! A plain service in memory that counts the runs of each call.

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use futures_util::stream;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use target::{Call, Error, Header, Response, Result, Service};

/// A service that echoes each call; clones share it.
#[derive(Clone, Default)]
pub struct MemoryService {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    down: bool,
    delay: Duration,
    lost_replies: u32,
    runs: HashMap<CompactString, u32>,
}

impl MemoryService {
    /// Makes all calls fail before they run, or succeed again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Delays the answer to each call by this time.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Breaks off the next `count` calls after they ran, without an answer.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// Number of runs of each call, by `METHOD path body`.
    pub fn runs(&self) -> HashMap<CompactString, u32> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, call: &Call) -> Result<(u32, bool, Duration)> {
        let mut inner = self.lock();
        if inner.down {
            return Err(not_reached());
        }
        let text = String::from_utf8_lossy(&call.body);
        let name = format_compact!("{} {} {text}", call.method, call.path);
        let runs = inner.runs.entry(name).or_default();
        *runs += 1;
        let runs = *runs;
        let lost = inner.lost_replies > 0;
        inner.lost_replies = inner.lost_replies.saturating_sub(1);
        Ok((runs, lost, inner.delay))
    }
}

const PEER: CompactString = CompactString::const_new("memory-service");

fn not_reached() -> Error {
    let detail = CompactString::const_new("set down");
    Error::NotReached { step: "call", peer: PEER, detail }
}

#[async_trait]
impl Service for MemoryService {
    async fn call(&self, call: Call) -> Result<Response> {
        let (runs, lost, delay) = self.begin(&call)?;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if lost {
            let detail = CompactString::const_new("reply lost on purpose");
            return Err(Error::Broken { step: "call", peer: PEER, detail });
        }
        let text = String::from_utf8_lossy(&call.body);
        let (method, path) = (&call.method, &call.path);
        let body = serde_json::json!({"method": method, "path": path, "body": text, "run": runs});
        let body = Bytes::from(body.to_string());
        let header = Header {
            name: "content-type".to_compact_string(),
            value: Bytes::from_static(b"application/json"),
        };
        let body = Box::pin(stream::once(async move { Ok(body) }));
        Ok(Response { status: 200, headers: vec![header], body })
    }

    async fn probe(&self) -> Result<()> {
        if self.lock().down { Err(not_reached()) } else { Ok(()) }
    }
}
