//! One request on its way: what all steps know of it.

use crate::buffered_request::BufferedRequest;
use crate::cluster::messages::Requester;
use crate::cluster::suspects::{Fingerprint, fingerprint};
use crate::codec::{AttemptHead, RequestHead};
use crate::config::customers::Caller;
use crate::config::route::{RetryPolicy, Route, Service, Table};
use crate::request::response::{self, Body, Failure, Refusal};
use crate::request::trace::Trace;
use crate::shared::Shared;
use crate::targets::target::Target;
use compact_str::CompactString;
use http::Response;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// One request on its way.
pub struct Job {
    /// What all requests share.
    pub shared: Arc<Shared>,
    /// The request.
    pub content: BufferedRequest,
    /// What its headers say.
    pub ask: RequestHead,
    /// Whose it is.
    pub caller: Caller,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it was dealt to.
    pub service: Arc<Service>,
    /// When its target has to have answered.
    pub until: Instant,
    /// What it is known by, however often it is sent.
    pub fingerprint: Fingerprint,
    /// Whether it counts among what its customer used.
    counted: AtomicBool,
}

/// A target that is dark says nothing for longer than this many times what a first answer may take.
/// One that is merely full says something each time that it ends a request of others.
const SILENCE: u32 = 3;

/// The lowest urgency that engines know.
const LEAST_URGENT: u8 = 9;

/// When to come back after a target refused or could not be reached: by then others are chosen.
pub const SHORTLY: Duration = Duration::from_millis(100);

impl Job {
    /// A request on one of the table's routes, dealt to a service; none if the table doesn't have that.
    pub fn new(
        shared: Arc<Shared>,
        content: BufferedRequest,
        ask: RequestHead,
        caller: Caller,
        route: Arc<Route>,
        table: &Table,
        arrived: Instant,
    ) -> Option<Self> {
        let service = table.service(route.pick_service(shared.random()))?.clone();
        let patience = ask.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let fingerprint = fingerprint(&content, caller.customer());
        let until = arrived + patience;
        let counted = AtomicBool::new(false);
        Some(Self { shared, content, ask, caller, route, service, until, fingerprint, counted })
    }

    /// What a target is told if it is to do all of the request.
    pub fn sending(&self, target: &Target) -> AttemptHead {
        AttemptHead {
            attempt_id: self.ask.attempt_id.clone(),
            target: target.id.clone(),
            deadline: self.left(),
            // Plain services know no urgency, and their requests are as they came.
            priority: self.service.engine.as_ref().map(|_| self.rank().min(LEAST_URGENT)),
            caller: self.caller.clone(),
            ..AttemptHead::default()
        }
    }

    /// Counts it among what its customer used, once however often it runs; it began to at `began`.
    pub fn count_run(&self, began: Instant) {
        let Some(customer) = self.caller.customer() else { return };
        if !self.counted.swap(true, Ordering::Relaxed) {
            self.shared.usage.count(&customer.name, began.elapsed());
        }
    }

    /// How urgent it is: as its customer is, or else as its route.
    pub fn rank(&self) -> u8 {
        let own = self.caller.customer().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Who asks coordinators for it.
    pub fn asker(&self) -> Requester {
        Requester { entry: self.shared.key(), priority: self.rank().into() }
    }

    /// How long a target that works for others as well may say nothing before it counts as away.
    pub fn patience(&self) -> Duration {
        self.route.objective * SILENCE
    }

    /// How long the target may still work.
    pub fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Until when the head of an answer is waited for.
    pub fn last_word(&self) -> Instant {
        self.until + crate::request::relay::LAST_WORD
    }

    /// Whether the process ends before the request does: probably, or, once the balancer should
    /// have noticed, possibly. Begun all the same, its answer would be cut; refused, another entry
    /// serves it.
    pub fn ends_too_late(&self) -> bool {
        let Some(stop) = self.shared.stopping() else { return false };
        let now = Instant::now();
        if now >= stop.drain_at {
            return self.last_word() > stop.deadline;
        }
        now + self.shared.durations.expected(&self.route.name) > stop.deadline
    }

    /// Whether it may be sent again after a sending of which the outcome is unknown.
    pub fn may_repeat(&self) -> bool {
        match self.route.retry_policy {
            RetryPolicy::Idempotent | RetryPolicy::Resumable => true,
            RetryPolicy::Once => false,
        }
    }

    /// Finds out whether a target that broke off has crashed, and if so suspects the request.
    pub fn suspect(&self, target: &Arc<Target>) {
        let (shared, target) = (self.shared.clone(), target.clone());
        let (request, id) = (self.fingerprint, CompactString::from(self.id()));
        tokio::spawn(async move {
            if target.check_listening().await {
                return;
            }
            let crashes = shared.suspects.record_crash(request);
            log::info!(target: "request", id = id.as_str(), target_id = target.id.as_str(),
                crashes; "request suspected");
        });
    }

    /// The caller's id of this sending.
    pub fn id(&self) -> &str {
        self.ask.attempt_id.as_deref().unwrap_or_default()
    }

    /// Refuses it: it has not run.
    pub fn refuse(&self, trace: &mut Trace, refusal: Refusal, back: Duration) -> Response<Body> {
        trace.end(refusal.name());
        response::refuse(refusal, back)
    }

    /// Fails it: it may have run.
    pub fn fail(&self, trace: &mut Trace, failure: Failure) -> Response<Body> {
        trace.end(failure.name());
        response::fail(failure)
    }
}
