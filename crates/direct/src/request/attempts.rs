//! The sendings of one request: which targets were tried, whether there may be another, and what
//! the caller is told when none answered.

use crate::request::context::{Job, SHORTLY};
use crate::request::permits;
use crate::request::response::{Body, Failure, Refusal};
use crate::request::trace::Trace;
use crate::targets::attempt::Outcome;
use crate::targets::target::Target;
use http::Response;
use std::sync::Arc;
use tokio::time::Instant;

/// Targets that can't be reached, of which nothing arrives, tried for one request.
const UNREACHABLE: u32 = 3;

/// Targets that want no request now, tried for one request. Each may cost a question to its coordinator.
const CLOSED: u32 = 3;

/// The sendings so far.
#[derive(Debug, Default)]
pub struct Tries {
    /// The targets, in order.
    pub targets: Vec<Arc<Target>>,
    /// Those of them that the request reached.
    pub sent: u32,
    unreachable: u32,
    closed: u32,
    maybe_run: bool,
}

impl Tries {
    /// The next target, as `choose` finds it among those not tried, if there may be another.
    pub fn next(
        &mut self,
        job: &Job,
        choose: impl FnOnce(&[Arc<Target>]) -> Option<Arc<Target>>,
    ) -> Option<Arc<Target>> {
        let over = self.sent >= job.route.max_attempts.max(1) || self.unreachable >= UNREACHABLE;
        let over = over || self.closed >= CLOSED;
        if over || Instant::now() >= job.until {
            return None;
        }
        let target = choose(&self.targets)?;
        if self.sent > 0 && !job.shared.try_book_extra(&job.service.name) {
            return None;
        }
        self.targets.push(target.clone());
        Some(target)
    }

    /// Takes in how a sending ended, and says whether another would be true to what is promised.
    pub fn note(&mut self, job: &Job, target: &Arc<Target>, outcome: &Outcome) -> bool {
        if let Outcome::NotSent(detail) = outcome {
            log::info!(target: "request", id = job.id(), target_id = target.id.as_str(),
                detail = detail.as_str(); "target not reached");
            self.unreachable += 1;
            return true;
        }
        if let Outcome::Closed(_) = outcome {
            self.closed += 1;
            return true;
        }
        self.sent += 1;
        match outcome {
            Outcome::NotSent(_) | Outcome::NotRun(_) | Outcome::Closed(_) => true,
            Outcome::Answered(answered) => {
                self.maybe_run = true;
                answered.response.status().is_server_error() && job.may_repeat()
            }
            Outcome::Unknown(_) => {
                self.maybe_run = true;
                job.suspect(target);
                job.may_repeat()
            }
            Outcome::TimedOut => {
                self.maybe_run = true;
                false
            }
        }
    }

    /// Tells the caller that no target has answered, and whether the request may have run.
    pub fn give_up(&self, job: &Job, trace: &mut Trace) -> Response<Body> {
        trace.sendings += self.sent;
        if self.maybe_run {
            let late = Instant::now() >= job.until;
            return job.fail(trace, if late { Failure::Late } else { Failure::Lost });
        }
        let opening = permits::opening(job);
        if let Some(soonest) = opening.soonest.filter(|_| self.sent == 0 || opening.all) {
            return job.refuse(trace, Refusal::Limited, permits::come_back(job, soonest));
        }
        let refusal = match (self.sent, self.unreachable) {
            (0, 0) => Refusal::NoTarget,
            (0, _) => Refusal::Unreachable,
            (..) => Refusal::TargetRefused,
        };
        job.refuse(trace, refusal, SHORTLY)
    }
}
