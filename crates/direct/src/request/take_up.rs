//! Requests for the rest of a stream, which may only go on at the software version that began it.

use crate::cluster::origins::Origin;
use crate::config::route::RetryPolicy;
use crate::exchange::origins;
use crate::request::context::RequestContext;
use crate::request::response::Refusal;
use crate::targets::target::Target;
use policy::versions::{SETTLE_DELAY, Version};
use std::time::Duration;
use tokio::time::Instant;

/// The version at which a request has to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Required {
    /// It may run at any version.
    #[default]
    Any,
    /// It begins a stream that may be taken up elsewhere, at any version at which streams may begin.
    New,
    /// It takes up a stream that began at this version, which all targets have so far.
    Sole(Version),
    /// It takes up a stream that began at this version, while others are listed as well.
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
            Self::New => target.begins_streams(),
            Self::Sole(version) | Self::Version(version) => target.software_key == version,
        }
    }

    /// Why the request is refused while no target of such a version can run it.
    pub fn refusal(self) -> Refusal {
        match self {
            Self::Any | Self::New => Refusal::VersionNew,
            Self::Sole(_) | Self::Version(_) => Refusal::VersionGone,
        }
    }

    /// The version at which it has to run.
    pub fn version(self) -> Option<Version> {
        match self {
            Self::Any | Self::New => None,
            Self::Sole(version) | Self::Version(version) => Some(version),
        }
    }
}

/// Finds out at which version a request has to run.
pub async fn required(request: &RequestContext) -> Result<Required> {
    if request.route.retry_policy != RetryPolicy::Resumable {
        return Ok(Required::Any);
    }
    let Some(take_up) = &request.head.take_up else { return Ok(Required::New) };
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
    Ok(if only == Some(version) { Required::Sole(version) } else { Required::Version(version) })
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

/// How long until the request can run at a version that it may run at, if no target of such a version
/// that is `able` to is listed now.
pub fn time_until_possible(
    request: &RequestContext,
    able: impl Fn(&Target) -> bool,
) -> Option<Duration> {
    let retry_after = match request.required {
        Required::Any => return None,
        Required::New => SETTLE_DELAY,
        Required::Sole(_) | Required::Version(_) => VERSION_RETRY_AFTER,
    };
    let targets = request.shared.usable(&request.service.name);
    let mut able = targets.iter().filter(|target| able(target)).peekable();
    // A lack of targets of any version is answered elsewhere.
    if request.required == Required::New && able.peek().is_none() {
        return None;
    }
    (!able.any(|target| request.required.allows(target))).then_some(retry_after)
}
