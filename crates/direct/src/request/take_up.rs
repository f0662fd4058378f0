//! Requests for the rest of a stream, which may only go on at the software version that began it.

use crate::cluster::origins::Origin;
use crate::config::route::RetryPolicy;
use crate::exchange::origins;
use crate::request::context::RequestContext;
use crate::targets::target::Target;
use policy::versions::Version;
use std::time::Duration;
use tokio::time::Instant;

/// The version at which a request has to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Required {
    /// It may run at any version, or all targets have the one that it requires.
    #[default]
    Any,
    /// It takes up a stream that began at this version.
    Version(Version),
}

/// It is not known at which version the stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the origin of the stream is not known")]
pub struct UnknownOrigin;

/// The result of finding out where a stream began.
pub type Result<T, E = UnknownOrigin> = std::result::Result<T, E>;

/// How many times the timeout of its route ago a stream may have begun: its first attempt, and the
/// time in which its caller comes back.
const MAX_AGE_FACTOR: u32 = 2;

impl Required {
    /// Whether a target has the version.
    pub fn allows(self, target: &Target) -> bool {
        match self {
            Self::Any => true,
            Self::Version(version) => target.software_key == version,
        }
    }

    /// The version, if it matters.
    pub fn version(self) -> Option<Version> {
        match self {
            Self::Any => None,
            Self::Version(version) => Some(version),
        }
    }
}

/// Finds out at which version a request has to run.
pub async fn required(request: &RequestContext) -> Result<Required> {
    let Some(take_up) = &request.head.take_up else { return Ok(Required::Any) };
    if request.route.retry_policy != RetryPolicy::Resumable {
        return Ok(Required::Any);
    }
    let service = &request.service.name;
    let first = take_up.first_attempt.as_deref();
    let stream = first.map(|first| origins::stream_key(service, first));
    let (max_age, objective) = (max_age(request), request.route.objective);
    let found = origins::find(&request.shared, service, stream, max_age, objective).await;
    log::info!(target: "request", id = request.attempt_id(), first = first.unwrap_or_default(),
        found = found.version.is_some(), asked = found.asked, answered = found.answered,
        history_ms = request.shared.fleet().history_span(Instant::now()).as_millis();
        "stream taken up");
    let version = found.version.ok_or(UnknownOrigin)?;
    let only = request.shared.fleet().sole_version(service, Duration::ZERO, Instant::now());
    Ok(if only == Some(version) { Required::Any } else { Required::Version(version) })
}

/// Records that the first event of a request's stream came from `target`.
pub fn record_origin(request: &RequestContext, target: &Target) {
    let take_up = request.head.take_up.as_ref();
    let first = match take_up {
        Some(take_up) => take_up.first_attempt.as_deref(),
        None => request.head.attempt_id.as_deref(),
    };
    let Some(first) = first else { return };
    let service = &request.service.name;
    let (stream, version) = (origins::stream_key(service, first), target.software_key);
    let origin = Origin { stream, version, ttl: max_age(request) };
    origins::record(&request.shared, service, origin);
}

fn max_age(request: &RequestContext) -> Duration {
    let patience = request.head.deadline.unwrap_or_default().max(request.route.timeout);
    patience * MAX_AGE_FACTOR
}

/// `Retry-After` while no target of a version can go on with its streams: those that crashed come
/// back after seconds.
const VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long until the request can run at the version that it requires, if no target of that version
/// that is `able` to is listed now.
pub fn time_until_possible(
    request: &RequestContext,
    able: impl Fn(&Target) -> bool,
) -> Option<Duration> {
    request.required.version()?;
    let targets = request.shared.usable(&request.service.name);
    let mut possible = targets.iter().filter(|target| request.required.allows(target));
    let any = possible.any(|target| able(target));
    (!any).then_some(VERSION_RETRY_AFTER)
}
