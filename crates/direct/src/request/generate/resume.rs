//! Going on with a stream that broke.

use super::writer;
use crate::codec::AttemptHead;
use crate::request::context::Job;
use crate::request::dispatch;
use crate::request::permits::Permit;
use crate::request::relay::{Resume, Source};
use crate::targets::attempt::Outcome;
use crate::targets::target::Target;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::time::Instant;

/// Engines asked to go on, of which all but the last take in no more now.
const ENGINES: usize = 3;

/// Goes on with a stream that broke, at another engine.
pub(super) struct Continuation {
    job: Arc<Job>,
    /// Engines that the request was sent to so far.
    sent: u32,
}

impl Continuation {
    /// For a request that was sent to so many engines.
    pub(super) fn boxed(job: &Arc<Job>, sent: u32) -> Box<dyn Resume> {
        Box::new(Self { job: job.clone(), sent })
    }
}

impl Resume for Continuation {
    fn resume(
        &self,
        after: Option<u64>,
        failed: &Arc<Target>,
    ) -> Pin<Box<dyn Future<Output = Option<Source>> + Send>> {
        let (job, failed) = (self.job.clone(), failed.clone());
        let allowed = self.sent < job.route.max_attempts;
        Box::pin(async move {
            job.suspect(&failed);
            if !allowed || !job.shared.try_book_extra(&job.service.name) {
                return None;
            }
            let mut tried = vec![failed.clone()];
            while tried.len() <= ENGINES {
                let engine = writer(&job, &tried, &failed.domain)?;
                let booking = dispatch::book(&engine, Some(engine.engine.begin_stream()));
                let outcome = resume(&job, &engine, after).await;
                match outcome {
                    Outcome::Answered(answered) if answered.response.status().is_success() => {
                        return Some(Source { answered, booking });
                    }
                    Outcome::Closed(_) => tried.push(engine),
                    _ => return None,
                }
            }
            None
        })
    }
}

/// Has an engine go on after an event.
async fn resume(job: &Job, engine: &Arc<Target>, after: Option<u64>) -> Outcome {
    let sending = AttemptHead { last_event_id: after, ..job.sending(engine) };
    let began = Instant::now();
    let outcome = dispatch::send(job, engine, &sending, Permit::Wanted).await;
    let name = outcome.name();
    job.shared.metrics.attempt("resume", &engine.id, name, began.elapsed());
    log::info!(target: "request", id = job.id(), target_id = engine.id.as_str(),
        after:? = after, went = name; "stream resumed");
    outcome
}
