//! Takes what a request costs from its customer's limit, see [`policy::quota`].
//!
//! **What can go wrong.** No entry holds the shares of the customer's partition yet, or the one that
//! does is silent: the request waits for a short time, and is then refused as not run. The tokens of
//! a request that was refused or never sent are given back; those of a request that may have run are
//! not.

use crate::cluster::messages::Payload;
use crate::cluster::quota::{Demand, Quota, Step, Taken, Verdict};
use crate::config::customers::{Limit, Unit};
use crate::config::route::Version;
use crate::exchange::quota::send;
use crate::request::context::RequestContext;
use crate::request::response::{Body, Refusal};
use crate::request::trace::Trace;
use crate::shared::Shared;
use http::Response;
use policy::quota::{self, EntryKey};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// The share of the objective that a request waits for its tokens at most.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The share of the objective that a holder may take to answer.
const ANSWER_SHARE: f64 = 0.3;

/// The shortest time that a holder may take to answer: a small VM answers within it while it is
/// busy.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(10);

/// The part of the time that a caller has left up to which it waits before a retry.
const RETRY_DIVISOR: u32 = 3;

/// The shortest wait while there is no holder.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// How often a request that waits for a holder looks for one: the previous holder may return the
/// lease before it ends.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// `Retry-After` is sent in milliseconds. One more keeps a caller from returning too early.
const ROUNDING: Duration = Duration::from_millis(1);

/// The result of taking tokens.
type Result<T, E = Refused> = std::result::Result<T, E>;

/// Why no tokens were taken, with the time after which to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Refused(Refusal, Duration);

/// Nothing was sent to a target, or all that was sent was refused.
const NOT_RUN: u8 = 0;

/// An attempt is in progress, or was cancelled.
const ATTEMPTED: u8 = 1;

/// A target may have run the request.
const MAY_HAVE_RUN: u8 = 2;

/// The tokens have been given back.
const REFUNDED: u8 = 3;

/// The tokens that a request has taken. They are given back once it is dropped, unless it may have
/// run.
pub struct Charge {
    shared: Arc<Shared>,
    taken: Taken,
    state: AtomicU8,
}

impl Charge {
    /// Records that the request is being sent to a target.
    pub fn begin_attempt(&self) {
        self.exchange(NOT_RUN, ATTEMPTED);
    }

    /// Records the outcome of an attempt.
    pub fn end_attempt(&self, may_have_run: bool) {
        self.exchange(ATTEMPTED, if may_have_run { MAY_HAVE_RUN } else { NOT_RUN });
    }

    /// Gives the tokens back once, unless a target may have run a part of the request: an engine may
    /// have prefilled a prompt whose output no other one decodes.
    pub fn refund(&self) {
        let (from, to, order) = (NOT_RUN, REFUNDED, Ordering::Relaxed);
        if self.state.compare_exchange(from, to, order, order).is_err() {
            return;
        }
        if let Some(quota) = &self.shared.quota {
            quota.with(|state, now| state.refund(&self.taken, now));
        }
    }

    fn exchange(&self, from: u8, to: u8) {
        // In any other state, the attempt changes nothing.
        let _ = self.state.compare_exchange(from, to, Ordering::Relaxed, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.refund();
    }
}

/// Takes what the request costs. Where no limit applies, nothing is done.
pub async fn charge(
    mut request: RequestContext,
    version: Version,
    trace: &mut Trace,
) -> std::result::Result<RequestContext, Response<Body>> {
    let Some((shared, demand)) = demand(&request, version) else { return Ok(request) };
    let Some(quota) = &shared.quota else { return Ok(request) };
    match take(&request, quota, &demand).await {
        Ok(taken) => {
            let (shared, state) = (shared.clone(), AtomicU8::new(NOT_RUN));
            request.charge = Some(Charge { shared, taken, state });
            Ok(request)
        }
        Err(Refused(refusal, retry_after)) => {
            log_refusal(&request, refusal);
            Err(request.refuse(trace, refusal, retry_after + ROUNDING))
        }
    }
}

/// What a request needs; `None` if no limit applies to it.
fn demand(request: &RequestContext, version: Version) -> Option<(Arc<Shared>, Demand)> {
    let shared = &request.shared;
    let customer = request.caller.customer()?;
    let limit = customer.limit.as_ref().filter(|_| shared.quota.is_some())?;
    let amount = cost(request, limit);
    let Limit { rate, burst, .. } = *limit;
    let demand = Demand {
        customer: customer.key(),
        limit: quota::Limit { rate, burst, version },
        amount,
        max_wait: request.time_left() / RETRY_DIVISOR,
        returning: request.is_retry(),
        fingerprint: request.fingerprint,
    };
    (amount > 0.0).then(|| (shared.clone(), demand))
}

/// What a request counts in the unit of its customer's limit. One that states token counts that
/// can't be read, or are 0, counts as one that states none.
fn cost(request: &RequestContext, limit: &Limit) -> f64 {
    match limit.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { plain } => {
            let prompt = request.head.prompt.as_ref();
            let tokens = prompt.map_or(0.0, |prompt| {
                f64::from(prompt.input_tokens) + f64::from(prompt.max_output_tokens)
            });
            if tokens > 0.0 { tokens } else { plain }
        }
    }
}

async fn take(request: &RequestContext, quota: &Quota, demand: &Demand) -> Result<Taken> {
    if let Some(taken) = quota.with(|state, now| state.spend(demand, now)) {
        return Ok(taken);
    }
    let shared = &request.shared;
    let wait_until = Instant::now() + request.route.objective.mul_f64(MAX_WAIT_SHARE);
    let (mut last, mut not_ready) = (None, false);
    loop {
        let (members, id) = (shared.peers.members(), shared.peer_socket.unique_id());
        let step = quota.with(|state, now| state.next_step(demand, &members, (last, id), now));
        let verdict = match step {
            Step::Decided(verdict) => Some(verdict),
            Step::Ask { holder, message, verdict } => {
                last = Some(message.id);
                send(shared, holder, Payload::QuotaRequest(message));
                wait_for_answer(request, quota, holder, verdict, wait_until).await
            }
            Step::NoHolder(left) => {
                quota.due.notify_one();
                pause(left.clamp(MIN_WAIT, POLL_INTERVAL), wait_until).await;
                None
            }
        };
        not_ready = match verdict {
            Some(Verdict::Taken(taken)) => return Ok(taken),
            Some(Verdict::Refused { retry_after, .. }) => {
                return Err(Refused(Refusal::QuotaExceeded, retry_after));
            }
            Some(Verdict::NotReady) => {
                pause(POLL_INTERVAL, wait_until).await;
                true
            }
            None => not_ready,
        };
        if Instant::now() >= wait_until {
            let customer = demand.customer;
            let left = quota.with(|state, now| state.retry_after(customer, not_ready, now));
            return Err(Refused(Refusal::QuotaUnavailable, left.max(MIN_WAIT)));
        }
    }
}

/// Returns the verdict of a holder; `None` if it does not answer in time.
async fn wait_for_answer(
    request: &RequestContext,
    quota: &Quota,
    holder: EntryKey,
    verdict: oneshot::Receiver<Verdict>,
    wait_until: Instant,
) -> Option<Verdict> {
    let answer_time = request.route.objective.mul_f64(ANSWER_SHARE).max(MIN_ANSWER_TIME);
    let left = wait_until.saturating_duration_since(Instant::now());
    let received = timeout(answer_time.min(left), verdict).await;
    let verdict = received.ok().and_then(std::result::Result::ok);
    if verdict.is_none() && left >= answer_time {
        quota.with(|state, now| state.record_unanswered(holder, now));
        let address = request.shared.peers.directory.address(holder);
        log::info!(target: "quota", id = request.attempt_id(), holder, address:? = address;
            "holder silent");
    }
    verdict
}

/// Sleeps for a span, but not beyond the time until which a request waits.
async fn pause(span: Duration, wait_until: Instant) {
    tokio::time::sleep_until(wait_until.min(Instant::now() + span)).await;
}

/// Logs a refusal, at most once a second for each customer.
fn log_refusal(request: &RequestContext, refusal: Refusal) {
    let shared = &request.shared;
    shared.metrics.quota_refused(refusal.name());
    let Some((customer, quota)) = request.caller.customer().zip(shared.quota.as_ref()) else {
        return;
    };
    if let Some(count) = quota.with(|state, now| state.count_refusal(customer.key(), now)) {
        log::info!(target: "quota", customer = customer.name.as_str(), reason = refusal.name(),
            count; "requests refused");
    }
}
