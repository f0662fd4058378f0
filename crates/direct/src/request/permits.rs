//! Permits for requests to targets with a rate limit, see [`policy::pacing`].
//!
//! Before sending to such a target, an entry asks the coordinators of the target's group for a
//! permit, unless one came with the reservation. Without a permit nothing is sent, and the request
//! goes to another target.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups;
use crate::cluster::messages::{Decision, Payload, PermitRequest, TargetLimit};
use crate::config::route::Stage;
use crate::exchange::coordination;
use crate::request::context::RequestContext;
use crate::request::coordinator_client;
use crate::shared::Shared;
use crate::targets::target::Target;
use policy::prefill;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether a request may be sent to a target with a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Permit {
    /// A permit has to be acquired first.
    #[default]
    Required,
    /// The target's coordinator has granted one.
    Granted,
}

impl Permit {
    /// The permit that comes with a grant of a coordinator, if it holds one.
    pub fn from_grant(granted: bool) -> Self {
        if granted { Self::Granted } else { Self::Required }
    }
}

/// The result of asking for a permit.
pub type Result<T, E = NoPermit> = std::result::Result<T, E>;

/// No permit is available now; [`Target::closed_for`] returns for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no permit to send to the target now")]
pub struct NoPermit;

/// For how long nothing is sent to a target after no coordinator responded.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);

/// By how much the retries of entries and callers are spread, as a share of the time until then.
const RETRY_JITTER: f64 = 0.5;

/// Acquires a permit to send to a target; one without a rate limit needs none.
pub async fn acquire(request: &RequestContext, target: &Arc<Target>) -> Result<()> {
    let now = Instant::now();
    if target.limit().is_none() {
        return Ok(());
    }
    if target.closed_for(now).is_some() {
        return Err(NoPermit);
    }
    let shared = &request.shared;
    let (groups, service) =
        (shared.groups(&target.service), short_hash(policy::hash(&target.service)));
    let make = |id| {
        let (target, limit) = (short_hash(target.key), current_limit(target, now));
        Payload::PermitRequest(PermitRequest {
            reservation: id,
            service,
            target,
            requester: Some(request.requester()),
            limit,
        })
    };
    let response = match groups::group_of(&groups, target) {
        Some(group) => {
            coordinator_client::call(request, group, request.route.objective, make).await
        }
        None => None,
    };
    let (kind, retry_after) = match response.and_then(|(response, _)| response.decision) {
        Some(Decision::Permitted(_)) => ("given", None),
        Some(Decision::Refused(refused)) => {
            ("refused", Some(Duration::from_micros(refused.retry_after_us)))
        }
        Some(Decision::Granted(_) | Decision::Origin(_) | Decision::Versions(_)) | None => {
            ("unanswered", Some(UNANSWERED_BACKOFF))
        }
    };
    shared.metrics.permit(kind);
    let Some(retry_after) = retry_after else { return Ok(()) };
    let delay = retry_after.mul_f64(1.0 + (shared.random() - 0.5) * RETRY_JITTER);
    let now = Instant::now();
    target.close_until(now + delay, now);
    Err(NoPermit)
}

/// When the targets of a service that are closed to this entry accept requests again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reopening {
    /// How long until the first of them does.
    pub soonest: Option<Duration>,
    /// Whether all targets are closed now.
    pub all_closed: bool,
}

/// When the targets that could serve the request to its end accept requests again.
pub fn reopening(request: &RequestContext) -> Reopening {
    let now = Instant::now();
    let targets = request.shared.usable(&request.service.name);
    let eligible = targets.iter().filter(|target| target.stage() != Some(Stage::Prefill));
    let closed: Vec<_> = eligible.map(|target| target.closed_for(now)).collect();
    let soonest = closed.iter().flatten().min().copied();
    Reopening { soonest, all_closed: closed.iter().all(Option::is_some) }
}

/// `Retry-After` for a caller whose targets open in `soonest` at the earliest.
pub fn retry_after(request: &RequestContext, soonest: Duration) -> Duration {
    let (settings, random) = (&request.shared.settings.prefill, request.shared.random());
    let jittered = soonest.mul_f64(1.0 + random * RETRY_JITTER);
    // An earlier retry would be refused again, however long the caller waits.
    prefill::retry_after(settings, soonest, request.time_left(), random).max(jittered)
}

/// Reports a target's rate limit, as named in the response to a request sent at `sent_at`, to the
/// target's coordinators if they may not have it.
pub fn publish_limit(shared: &Shared, target: &Target, permit: Permit, sent_at: Instant) {
    let now = Instant::now();
    let limit = current_limit(target, now);
    let is_outdated = limit.is_none() && permit == Permit::Granted;
    if !target.begin_limit_report(is_outdated, now) {
        return;
    }
    let rate = target.limit();
    shared.metrics.limit(&target.id, rate);
    let limit = limit.unwrap_or_else(|| {
        limit_message(target, None, now.duration_since(sent_at), Duration::ZERO)
    });
    let groups = shared.groups(&target.service);
    let coordinators =
        groups::group_of(&groups, target).into_iter().flat_map(|group| &group.coordinators);
    for coordinator in coordinators {
        match coordinator.address {
            Some(address) => shared.peer_socket.send(Payload::TargetLimit(limit), address),
            None => coordination::observe_limit(shared, &limit),
        }
    }
}

/// The target's current rate limit, if it has one.
fn current_limit(target: &Target, now: Instant) -> Option<TargetLimit> {
    let rate = target.limit()?;
    let (sent_at, received_at) = target.limit_times();
    let ago = |at: Instant| now.saturating_duration_since(at);
    Some(limit_message(target, Some(rate), ago(sent_at), ago(received_at)))
}

fn limit_message(
    target: &Target,
    rate: Option<f64>,
    request_age: Duration,
    response_age: Duration,
) -> TargetLimit {
    let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    TargetLimit {
        service: short_hash(policy::hash(&target.service)),
        target: short_hash(target.key),
        rate,
        request_age_ms: ms(request_age).saturating_add(1),
        response_age_ms: ms(response_age),
    }
}
