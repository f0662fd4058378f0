//! Permits for requests to targets that named a limit on their intake, see [`policy::pacing`].
//!
//! Whoever is about to send to such a target asks the coordinators of its group for a permit, unless one
//! came with the place that was booked there. Without one nothing is sent, and the request goes elsewhere.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups;
use crate::cluster::messages::{Decision, Payload, PermitRequest, TargetLimit};
use crate::config::route::Stage;
use crate::exchange::coordination;
use crate::request::context::Job;
use crate::request::coordinator_client;
use crate::shared::Shared;
use crate::targets::target::Target;
use policy::prefill;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether a request may be sent to a target that named a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Permit {
    /// It has to be asked for.
    #[default]
    Wanted,
    /// The target's coordinator has given it.
    Held,
}

impl Permit {
    /// What a coordinator's grant says.
    pub fn of(given: bool) -> Self {
        if given { Self::Held } else { Self::Wanted }
    }
}

/// The result of asking for a permit.
pub type Result<T, E = Refused> = std::result::Result<T, E>;

/// There is no permit now; [`Target::closed_for`] tells for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the target takes in no more now")]
pub struct Refused;

/// How long a target gets nothing from an entry that no coordinator answers.
const UNANSWERED: Duration = Duration::from_millis(200);

/// By how much entries and callers differ in when they ask again, as a part of the time that they were told.
const SPREAD: f64 = 0.5;

/// Asks for a permit to send to a target; one that named no limit needs none.
pub async fn take(job: &Job, target: &Arc<Target>) -> Result<()> {
    let now = Instant::now();
    if target.limit().is_none() {
        return Ok(());
    }
    if target.closed_for(now).is_some() {
        return Err(Refused);
    }
    let shared = &job.shared;
    let (groups, service) =
        (shared.groups(&target.service), short_hash(policy::hash(&target.service)));
    let make = |booking| {
        let (target, limit) = (short_hash(target.key), limit(target, now));
        Payload::PermitRequest(PermitRequest {
            reservation: booking,
            service,
            target,
            requester: Some(job.asker()),
            limit,
        })
    };
    let room = match groups::group_of(&groups, target) {
        Some(group) => coordinator_client::ask(job, group, job.route.objective, make).await,
        None => None,
    };
    let (kind, after) = match room.and_then(|(answer, _)| answer.decision) {
        Some(Decision::Permitted(_)) => ("given", None),
        Some(Decision::Refused(full)) => {
            ("refused", Some(Duration::from_micros(full.retry_after_us)))
        }
        Some(Decision::Granted(_)) | None => ("unanswered", Some(UNANSWERED)),
    };
    shared.metrics.permit(kind);
    let Some(after) = after else { return Ok(()) };
    let back = after.mul_f64(1.0 + (shared.random() - 0.5) * SPREAD);
    let now = Instant::now();
    target.close_until(now + back, now);
    Err(Refused)
}

/// When something may be sent to targets of a service that is closed to this entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Opening {
    /// How long until the first of those that are closed opens.
    pub soonest: Option<Duration>,
    /// Whether none is open now.
    pub all: bool,
}

/// When one of the targets opens that could serve the request to its end.
pub fn opening(job: &Job) -> Opening {
    let now = Instant::now();
    let targets = job.shared.usable(&job.service.name);
    let able = targets.iter().filter(|target| target.stage() != Some(Stage::Prefill));
    let closed: Vec<_> = able.map(|target| target.closed_for(now)).collect();
    let soonest = closed.iter().flatten().min().copied();
    Opening { soonest, all: closed.iter().all(Option::is_some) }
}

/// When a caller is to come back to a target that opens in `soonest`.
pub fn come_back(job: &Job, soonest: Duration) -> Duration {
    let (settings, random) = (&job.shared.settings.prompts, job.shared.random());
    let spread = soonest.mul_f64(1.0 + random * SPREAD);
    // Sooner than that would be in vain, however long its caller waits.
    prefill::retry_after(settings, soonest, job.left(), random).max(spread)
}

/// Tells a target's coordinators which limit it names, after an answer to a request sent at `sent`, if
/// they may not know.
pub fn publish(shared: &Shared, target: &Target, permit: Permit, sent: Instant) {
    let now = Instant::now();
    let limit = limit(target, now);
    let is_outdated = limit.is_none() && permit == Permit::Held;
    if !target.begin_limit_report(is_outdated, now) {
        return;
    }
    let rate = target.limit();
    shared.metrics.limit(&target.id, rate);
    let limit =
        limit.unwrap_or_else(|| row(target, None, now.duration_since(sent), Duration::ZERO));
    let groups = shared.groups(&target.service);
    let coordinators =
        groups::group_of(&groups, target).into_iter().flat_map(|group| &group.coordinators);
    for coordinator in coordinators {
        match coordinator.address {
            Some(address) => shared.post.send(Payload::TargetLimit(limit), address),
            None => coordination::observe_limit(shared, &limit),
        }
    }
}

/// What a target names now, if it is limited.
fn limit(target: &Target, now: Instant) -> Option<TargetLimit> {
    let rate = target.limit()?;
    let (sent, heard) = target.limit_times();
    let ago = |at: Instant| now.saturating_duration_since(at);
    Some(row(target, Some(rate), ago(sent), ago(heard)))
}

fn row(target: &Target, rate: Option<f64>, sent: Duration, heard: Duration) -> TargetLimit {
    let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    TargetLimit {
        service: short_hash(policy::hash(&target.service)),
        target: short_hash(target.key),
        rate,
        request_age_ms: ms(sent).saturating_add(1),
        response_age_ms: ms(heard),
    }
}
