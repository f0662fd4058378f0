//! The way of one request: route, quarantine, then the plain or the engines' way.

use crate::answer::{self, Body, Failure, Refusal};
use crate::attempt::{self, Outcome};
use crate::border::{Ask, Sending};
use crate::content::Content;
use crate::customers::Caller;
use crate::engine::Writing;
use crate::permits::Permit;
use crate::question::Asker;
use crate::relay::{Booking, Relay, Resume, Source};
use crate::route::{Repeat, Route, Service, Table};
use crate::shared::Shared;
use crate::suspects::{Fingerprint, fingerprint};
use crate::target::Target;
use crate::trace::Trace;
use crate::{generate, permits, plain};
use compact_str::CompactString;
use http::{Response, StatusCode};
use policy::signals::Closed;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// One request on its way.
pub struct Job {
    /// What all requests share.
    pub shared: Arc<Shared>,
    /// The request.
    pub content: Content,
    /// What its headers say.
    pub ask: Ask,
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

/// When to come back to a process that knows no configuration or target yet: a read of the log
/// takes less.
const SOON: Duration = Duration::from_millis(300);

/// When to come back to another entry, which can serve the request.
const AT_ONCE: Duration = Duration::from_millis(10);

/// A target that is dark says nothing for longer than this many times what a first answer may take.
/// One that is merely full says something each time that it ends a request of others.
const SILENCE: u32 = 3;

/// The lowest urgency that engines know.
const LEAST_URGENT: u8 = 9;

/// The outcome of a request without a key of a customer.
const UNAUTHORIZED: &str = "unauthorized";

/// When to come back after a target refused or could not be reached: by then others are chosen.
pub const SHORTLY: Duration = Duration::from_millis(100);

/// Serves a request whose body has been read.
pub async fn serve(shared: Arc<Shared>, content: Content, arrived: Instant) -> Response<Body> {
    let Some(table) = shared.table.borrow().clone() else {
        return answer::refuse(Refusal::NoConfiguration, SOON);
    };
    let host = content.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let Some(route) = table.find(host.unwrap_or_default(), content.path.path()).cloned() else {
        log::info!(target: "request", path = content.path.path(), version = table.version;
            "no route");
        return answer::own(StatusCode::NOT_FOUND, "no route");
    };
    let ask = shared.border.ask(&content.headers);
    let attempt = ask.attempt.clone().unwrap_or_default();
    let version = table.version;
    let mut trace = Trace::new(attempt, route.name.clone(), version, arrived, shared.clone());
    let Ok(caller) = table.caller(&route, ask.credential) else {
        trace.end(UNAUTHORIZED);
        return answer::unauthorized();
    };
    if matches!(caller, Caller::Customer(_)) && !shared.believes_keys(Instant::now()) {
        trace.end(Refusal::KeysUnsure.name());
        return answer::refuse(Refusal::KeysUnsure, AT_ONCE);
    }
    let Some(job) = job(shared, content, ask, caller, route, &table, arrived) else {
        trace.end(Refusal::NoTarget.name());
        return answer::refuse(Refusal::NoTarget, SOON);
    };
    if job.ends_too_late() {
        trace.end(Refusal::Stopping.name());
        return answer::refuse(Refusal::Stopping, AT_ONCE);
    }
    job.shared.book_request(&job.service.name);
    if job.shared.suspects.is_guilty(job.fingerprint) {
        trace.end(Refusal::Quarantined.name());
        return answer::refuse(Refusal::Quarantined, job.route.timeout);
    }
    let job = Arc::new(job);
    match (&job.service.engine, &job.ask.prompt) {
        (Some(_), Some(_)) => generate::run(job, trace).await,
        _ => plain::run(job, trace).await,
    }
}

fn job(
    shared: Arc<Shared>,
    content: Content,
    ask: Ask,
    caller: Caller,
    route: Arc<Route>,
    table: &Table,
    arrived: Instant,
) -> Option<Job> {
    let service = table.service(route.portion(shared.random()))?.clone();
    let patience = ask.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let fingerprint = fingerprint(&content, caller.customer());
    let until = arrived + patience;
    let counted = AtomicBool::new(false);
    Some(Job { shared, content, ask, caller, route, service, until, fingerprint, counted })
}

impl Job {
    /// What a target is told if it is to do all of the request.
    pub fn sending(&self, target: &Target) -> Sending {
        Sending {
            attempt: self.ask.attempt.clone(),
            target: target.id.clone(),
            deadline: self.left(),
            // Plain services know no urgency, and their requests are as they came.
            urgency: self.service.engine.as_ref().map(|_| self.rank().min(LEAST_URGENT)),
            caller: self.caller.clone(),
            ..Sending::default()
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
        let own = self.caller.customer().and_then(|customer| customer.rank);
        own.unwrap_or(self.route.rank)
    }

    /// Who asks coordinators for it.
    pub fn asker(&self) -> Asker {
        Asker { entry: self.shared.key(), rank: self.rank().into() }
    }

    /// Sends the request to a target, with a permit if it needs one.
    pub async fn send(&self, target: &Arc<Target>, sending: &Sending, permit: Permit) -> Outcome {
        if permit == Permit::Wanted && permits::take(self, target).await.is_err() {
            return Outcome::Closed(Closed::Limited);
        }
        let sent = Instant::now();
        // Generations have booked the link before.
        if self.ask.prompt.is_none() {
            self.shared.book_bytes(self.content.body.len());
        }
        let bounds = attempt::Bounds {
            connections: self.shared.connections(&self.service),
            connect: self.shared.connect_patience(target),
            until: self.last_word(),
        };
        let outcome =
            attempt::send(&*self.shared.border, target, &self.content, sending, &bounds).await;
        if let Outcome::Answered(answered) = &outcome
            && let Some(took) = answered.connection.opened
        {
            self.shared.connected(target, took);
        }
        if matches!(outcome, Outcome::Answered(_) | Outcome::NotRun(_)) {
            permits::publish(&self.shared, target, permit, sent);
        }
        outcome
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
        self.until + crate::relay::LAST_WORD
    }

    /// Whether the process ends before the request does: probably, or, once the balancer should
    /// have noticed, possibly. Begun all the same, its answer would be cut; refused, another entry
    /// serves it.
    fn ends_too_late(&self) -> bool {
        let Some(stop) = self.shared.stopping() else { return false };
        let now = Instant::now();
        if now >= stop.noticed {
            return self.last_word() > stop.ends;
        }
        now + self.shared.durations.expected(&self.route.name) > stop.ends
    }

    /// Whether it may be sent again after a sending of which the outcome is unknown.
    pub fn may_repeat(&self) -> bool {
        match self.route.repeat {
            Repeat::Idempotent | Repeat::Resumable => true,
            Repeat::Once => false,
        }
    }

    /// Finds out whether a target that broke off has crashed, and if so suspects the request.
    pub fn suspect(&self, target: &Arc<Target>) {
        let (shared, target) = (self.shared.clone(), target.clone());
        let (request, id) = (self.fingerprint, CompactString::from(self.id()));
        tokio::spawn(async move {
            if target.still_listens().await {
                return;
            }
            let crashes = shared.suspects.crashed(request);
            log::info!(target: "request", id = id.as_str(), target_id = target.id.as_str(),
                crashes; "request suspected");
        });
    }

    /// The caller's id of this sending.
    pub fn id(&self) -> &str {
        self.ask.attempt.as_deref().unwrap_or_default()
    }

    /// Refuses it: it has not run.
    pub fn refuse(&self, trace: &mut Trace, refusal: Refusal, back: Duration) -> Response<Body> {
        trace.end(refusal.name());
        answer::refuse(refusal, back)
    }

    /// Fails it: it may have run.
    pub fn fail(&self, trace: &mut Trace, failure: Failure) -> Response<Body> {
        trace.end(failure.name());
        answer::fail(failure)
    }
}

/// Passes a target's answer on.
pub fn relay(
    job: &Job,
    source: Source,
    resume: Option<Box<dyn Resume>>,
    trace: Trace,
) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = source.answered.response.status();
    *response.headers_mut() = source.answered.response.headers().clone();
    job.shared.border.answer(response.headers_mut());
    let relay = Relay::new(source, job.until, resume, trace);
    response.map(|()| Body::Relay(Box::new(relay)))
}

/// Books a request at a target.
pub fn book(target: &Arc<Target>, writing: Option<Writing>) -> Booking {
    let entered = target.enter();
    Booking { target: target.clone(), entered, reading: None, writing, place: None }
}

/// The name of an outcome in logs and metrics.
pub fn went(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(answered) if answered.response.status().is_success() => "ok",
        Outcome::Answered(_) => "failed",
        Outcome::NotRun(_) => "refused",
        Outcome::NotSent(_) => "not-sent",
        Outcome::Unknown(_) => "unknown",
        Outcome::Late => "late",
        Outcome::Closed(Closed::Limited) => "limited",
        Outcome::Closed(Closed::Leaving) => "leaving",
        Outcome::Closed(Closed::Paused) => "paused",
    }
}
