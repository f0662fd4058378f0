//! The attempts of one request: which targets were tried, whether another attempt is allowed, and
//! the response to the caller when no target has responded.

use crate::request::context::{RequestContext, TARGET_RETRY_AFTER};
use crate::request::permits;
use crate::request::response::{Body, Failure, Refusal};
use crate::request::subject::Progress;
use crate::request::trace::Trace;
use crate::targets::attempt::Outcome;
use crate::targets::target::Target;
use http::Response;
use std::sync::Arc;
use tokio::time::Instant;

/// Unreachable targets that may be tried for one request; nothing of it reaches them.
const MAX_UNREACHABLE: u32 = 3;

/// Targets that currently accept no requests and may be tried for one request. Each may cost a
/// request to its coordinator.
const MAX_CLOSED: u32 = 3;

/// The attempts so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// The targets, in order.
    pub targets: Vec<Arc<Target>>,
    /// How many of them the request reached.
    pub sent: u32,
    unreachable: u32,
    closed: u32,
    blocked: bool,
    may_have_run: bool,
}

impl Attempts {
    /// The next target, as `choose` picks it among those not tried, if another attempt is allowed.
    pub fn next_target(
        &mut self,
        request: &RequestContext,
        choose: impl FnOnce(&[Arc<Target>]) -> Option<Arc<Target>>,
    ) -> Option<Arc<Target>> {
        let exhausted =
            self.sent >= request.route.max_attempts.max(1) || self.unreachable >= MAX_UNREACHABLE;
        let exhausted = exhausted || self.closed >= MAX_CLOSED;
        if exhausted || Instant::now() >= request.deadline {
            return None;
        }
        let target = choose(&self.targets)?;
        if self.sent > 0 && !request.shared.try_spend_extra(&request.service.name) {
            return None;
        }
        self.targets.push(target.clone());
        Some(target)
    }

    /// Records the outcome of an attempt that began at `began`, and returns whether another one
    /// respects the route's retry policy and what the caller was promised.
    pub async fn record(
        &mut self,
        request: &RequestContext,
        target: &Arc<Target>,
        began: Instant,
        outcome: &Outcome,
    ) -> bool {
        if let Outcome::NotSent(detail) = outcome {
            log::info!(target: "request", id = request.attempt_id(), target_id = target.id.as_str(),
                detail = detail.as_str(); "target not reached");
            self.unreachable += 1;
            return true;
        }
        if let Outcome::Closed(_) = outcome {
            self.closed += 1;
            return true;
        }
        if let Outcome::Blocked = outcome {
            self.blocked = true;
            return false;
        }
        self.sent += 1;
        match outcome {
            Outcome::NotSent(_) | Outcome::NotRun(_) | Outcome::Closed(_) => true,
            Outcome::Blocked => false,
            Outcome::Responded(responded) => {
                self.may_have_run = true;
                responded.response.status().is_server_error() && request.may_retry()
            }
            Outcome::Unknown(_) => {
                self.may_have_run = true;
                request.subject.record_break(target, began, Progress::Sent).await;
                request.may_retry()
            }
            Outcome::TimedOut => {
                self.may_have_run = true;
                false
            }
        }
    }

    /// Responds to the caller that no target has responded, and whether the request may have run.
    pub fn give_up(&self, request: &RequestContext, trace: &mut Trace) -> Response<Body> {
        trace.attempts += self.sent;
        if self.may_have_run {
            let timed_out = Instant::now() >= request.deadline;
            return request.fail(trace, if timed_out { Failure::TimedOut } else { Failure::Lost });
        }
        if self.blocked {
            return request.refuse(trace, Refusal::Quarantined, request.route.timeout);
        }
        let reopening = permits::reopening(request);
        if let Some(soonest) = reopening.soonest.filter(|_| self.sent == 0 || reopening.all_closed)
        {
            return request.refuse(
                trace,
                Refusal::RateLimited,
                permits::retry_after(request, soonest),
            );
        }
        let refusal = match (self.sent, self.unreachable) {
            (0, 0) => Refusal::NoTarget,
            (0, _) => Refusal::Unreachable,
            (..) => Refusal::TargetRefused,
        };
        request.refuse(trace, refusal, TARGET_RETRY_AFTER)
    }
}
