//! Resumes a broken stream.

use super::choose_decode_engine;
use crate::codec::AttemptHead;
use crate::request::context::RequestContext;
use crate::request::dispatch;
use crate::request::permits::Permit;
use crate::request::relay::{Break, Resume, Source};
use crate::request::take_up::{self, Required};
use crate::targets::attempt::Outcome;
use crate::targets::target::Target;
use policy::versions::Version;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::time::Instant;

/// The maximum number of engines that are asked to resume one stream. The next one is asked only if
/// the one before it accepts no requests now.
const MAX_ENGINES: usize = 3;

/// Resumes a broken stream at another engine.
pub(super) struct StreamResumer {
    request: Arc<RequestContext>,
    /// Engines that the request was sent to before the first response.
    first_attempts: u32,
    /// Engines that it was sent to since the last event.
    attempts: u32,
    /// The last event when it was last resumed.
    resumed_after: Option<u64>,
    /// Engines that it was sent to and that have not crashed since, as far as known.
    live_engines: Arc<AtomicU32>,
}

impl StreamResumer {
    /// For a request that was sent to this many engines.
    pub(super) fn boxed(request: &Arc<RequestContext>, attempts: u32) -> Box<dyn Resume> {
        Box::new(Self {
            request: request.clone(),
            first_attempts: attempts,
            attempts,
            resumed_after: None,
            live_engines: Arc::new(AtomicU32::new(attempts)),
        })
    }
}

impl Resume for StreamResumer {
    fn record_origin(&self, target: &Target) {
        take_up::record_origin(&self.request, target);
    }

    fn resume(
        &mut self,
        last_event_id: Option<u64>,
        failed: &Arc<Target>,
        broken: Break,
        origin: Option<Version>,
    ) -> Pin<Box<dyn Future<Output = Option<Source>> + Send>> {
        let (request, failed) = (self.request.clone(), failed.clone());
        if last_event_id != self.resumed_after {
            self.attempts = self.first_attempts;
        }
        let allowed = self.attempts < request.route.max_attempts;
        self.attempts += 1;
        self.resumed_after = last_event_id;
        let required = origin.map_or(request.required, Required::Version);
        let live_engines = self.live_engines.clone();
        Box::pin(async move {
            if request.subject.record_break(&failed, broken.began, broken.progress).await {
                live_engines.fetch_sub(1, Ordering::Relaxed);
            }
            // An engine that lost only the connection may still work on the stream.
            let is_spent = live_engines.load(Ordering::Relaxed) >= request.route.max_attempts;
            if !allowed || is_spent {
                return None;
            }
            let mut tried = vec![failed.clone()];
            let mut is_paid = false;
            while tried.len() <= MAX_ENGINES {
                let engine = choose_decode_engine(&request, &tried, &failed.domain, required)?;
                is_paid = is_paid || request.shared.try_spend_extra(&request.service.name);
                if !is_paid {
                    return None;
                }
                let attempt = dispatch::begin(&engine, Some(engine.engine.begin_stream()));
                let outcome = resume(&request, &engine, last_event_id, &failed).await;
                if !matches!(outcome, Outcome::Closed(_)) {
                    live_engines.fetch_add(1, Ordering::Relaxed);
                }
                match outcome {
                    Outcome::Responded(responded) if responded.response.status().is_success() => {
                        return Some(Source { responded, attempt });
                    }
                    Outcome::Closed(_) => tried.push(engine),
                    _ => return None,
                }
            }
            None
        })
    }
}

/// Asks an engine to resume the stream after an event.
async fn resume(
    request: &RequestContext,
    engine: &Arc<Target>,
    last_event_id: Option<u64>,
    failed: &Target,
) -> Outcome {
    let mut head = AttemptHead { last_event_id, ..request.attempt_head(engine) };
    head.priority = head.priority.map(|_| request.decode_priority(false));
    let began = Instant::now();
    let outcome = dispatch::send(request, engine, &head, Permit::Required).await;
    let outcome_name = outcome.name();
    request.shared.metrics.attempt("resume", &engine.id, outcome_name, began.elapsed());
    log::info!(target: "request", id = request.attempt_id(), target_id = engine.id.as_str(),
        after:? = last_event_id, went = outcome_name,
        software = engine.software.as_deref().unwrap_or_default(),
        software_before = failed.software.as_deref().unwrap_or_default(); "stream resumed");
    outcome
}
