//! The context of one request, which all steps of serving it share.

use crate::buffered_request::BufferedRequest;
use crate::cluster::messages::Requester;
use crate::cluster::suspects::{Fingerprint, fingerprint};
use crate::codec::{AttemptHead, RequestHead};
use crate::config::customers::Caller;
use crate::config::route::{RetryPolicy, Route, Service, Table};
use crate::request::quota::Charge;
use crate::request::response::{self, Body, Failure, Refusal};
use crate::request::subject::Subject;
use crate::request::take_up::Required;
use crate::request::trace::Trace;
use crate::shared::Shared;
use crate::targets::target::Target;
use http::Response;
use policy::retry_detection::Attempt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// One request that is being served.
pub struct RequestContext {
    /// The state of this entry.
    pub shared: Arc<Shared>,
    /// The request as received.
    pub buffered: BufferedRequest,
    /// Its decoded headers.
    pub head: RequestHead,
    /// Its caller, as authenticated.
    pub caller: Caller,
    /// The matched route.
    pub route: Arc<Route>,
    /// The service chosen among the route's weighted services.
    pub service: Arc<Service>,
    /// When its target must have responded.
    pub deadline: Instant,
    /// Identifies equal requests over all attempts.
    pub fingerprint: Fingerprint,
    /// The request as it is recognized when targets crash.
    pub subject: Subject,
    /// The software version at which it has to run.
    pub required: Required,
    /// What it takes from its customer's limit, if it has one.
    pub charge: Option<Charge>,
    /// Whether it has been counted in its customer's usage.
    usage_counted: AtomicBool,
    attempt: OnceLock<Attempt>,
}

/// A target with work counts as unresponsive after this many times the objective without a
/// response. A target that is merely full still responds whenever it ends a request, also of other
/// entries.
const UNRESPONSIVE_FACTOR: u32 = 3;

/// The lowest priority that engines accept.
const LOWEST_PRIORITY: u8 = 9;

/// `Retry-After` once targets refused or could not be reached: by then, others are chosen.
pub const TARGET_RETRY_AFTER: Duration = Duration::from_millis(100);

impl RequestContext {
    /// Creates the context of a request on one of the table's routes and picks a service; `None` if
    /// the table lacks that service.
    pub fn new(
        shared: Arc<Shared>,
        buffered: BufferedRequest,
        head: RequestHead,
        caller: Caller,
        route: Arc<Route>,
        table: &Table,
        arrived: Instant,
    ) -> Option<Self> {
        let service = table.service(route.pick_service(shared.random()))?.clone();
        let timeout = head.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let fingerprint = fingerprint(&buffered, caller.customer());
        let deadline = arrived + timeout;
        let usage_counted = AtomicBool::new(false);
        let attempt_id = head.attempt_id.as_deref().unwrap_or_default().into();
        let (service_name, prompt) = (&service.name, head.prompt.as_ref());
        let subject = Subject::new(shared.clone(), attempt_id, fingerprint, service_name, prompt);
        Some(Self {
            shared,
            buffered,
            head,
            caller,
            route,
            service,
            deadline,
            fingerprint,
            subject,
            required: Required::Any,
            charge: None,
            usage_counted,
            attempt: OnceLock::new(),
        })
    }

    /// The head of an attempt in which `target` does all of the request.
    pub fn attempt_head(&self, target: &Target) -> AttemptHead {
        AttemptHead {
            attempt_id: self.head.attempt_id.clone(),
            target: target.id.clone(),
            deadline: self.time_left(),
            // Plain services have no priorities, and their requests are forwarded unchanged.
            priority: self.service.engine.as_ref().map(|_| self.priority().min(LOWEST_PRIORITY)),
            caller: self.caller.clone(),
            ..AttemptHead::default()
        }
    }

    /// Counts the request, which began to run at `began`, in its customer's usage: once, however
    /// often it runs.
    pub fn count_usage(&self, began: Instant) {
        let Some(customer) = self.caller.customer() else { return };
        if !self.usage_counted.swap(true, Ordering::Relaxed) {
            self.shared.usage.count(&customer.name, began.elapsed());
        }
    }

    /// Its priority: that of its customer, or else that of its route.
    pub fn priority(&self) -> u8 {
        let own = self.caller.customer().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Whether its output is short, see [`policy::prefill::is_short_output`].
    pub fn has_short_output(&self) -> bool {
        let tokens = self.head.prompt.as_ref().map_or(0, |prompt| prompt.max_output_tokens);
        policy::prefill::is_short_output(tokens, self.piece_tokens())
    }

    /// Its priority at an engine that decodes it, after another one has prefilled the prompt if
    /// `transferred` is set. Where the size of pieces is unknown, no output counts as short.
    pub fn decode_priority(&self, transferred: bool) -> u8 {
        let priority = self.priority().min(LOWEST_PRIORITY);
        if self.piece_tokens().is_none() {
            return priority;
        }
        policy::decode::priority(transferred && self.has_short_output(), priority)
    }

    fn piece_tokens(&self) -> Option<u32> {
        self.service.engine.as_ref().and_then(|engine| engine.piece_tokens)
    }

    /// Which attempt of its caller this is, see [`Shared::detect_retry`].
    pub fn attempt(&self) -> Attempt {
        *self.attempt.get_or_init(|| self.shared.detect_retry(&self.route, self.head.deadline))
    }

    /// Whether its caller retries after its objective has passed.
    pub fn is_retry(&self) -> bool {
        self.attempt().is_late
    }

    /// The requester to name to coordinators.
    pub fn requester(&self) -> Requester {
        Requester { entry: self.shared.key(), priority: self.priority().into() }
    }

    /// How long a target that also serves others may send nothing before it counts as unresponsive.
    pub fn unresponsive_after(&self) -> Duration {
        self.route.objective * UNRESPONSIVE_FACTOR
    }

    /// How long the target may still work on it.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Until when the head of a response is waited for.
    pub fn response_deadline(&self) -> Instant {
        self.deadline + crate::request::relay::RESPONSE_GRACE
    }

    /// Whether the process is expected to stop before the request ends or, once the load balancer
    /// should have noticed the stop, might do so. If it were started all the same, its response
    /// would be cut; after a refusal, another entry serves it.
    pub fn outlives_process(&self) -> bool {
        let Some(stop) = self.shared.stopping() else { return false };
        let now = Instant::now();
        if now >= stop.drain_at {
            return self.response_deadline() > stop.deadline;
        }
        now + self.shared.durations.expected(&self.route.name) > stop.deadline
    }

    /// Whether it may be sent again after an attempt whose outcome is unknown.
    pub fn may_retry(&self) -> bool {
        match self.route.retry_policy {
            RetryPolicy::Idempotent | RetryPolicy::Resumable => true,
            RetryPolicy::Once => false,
        }
    }

    /// The caller's id of this attempt.
    pub fn attempt_id(&self) -> &str {
        self.head.attempt_id.as_deref().unwrap_or_default()
    }

    /// Refuses the request, which has not run.
    pub fn refuse(
        &self,
        trace: &mut Trace,
        refusal: Refusal,
        retry_after: Duration,
    ) -> Response<Body> {
        if let Some(charge) = &self.charge {
            charge.refund();
        }
        trace.end(refusal.name());
        response::refuse(refusal, retry_after)
    }

    /// Fails the request, which may have run.
    pub fn fail(&self, trace: &mut Trace, failure: Failure) -> Response<Body> {
        trace.end(failure.name());
        response::fail(failure)
    }
}
