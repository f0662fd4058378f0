//! Decides whether a request may be sent to a target that named a limit.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{self, Group};
use crate::cluster::messages::{
    Decision, PermitRequest, Permitted, Refused, Response, TargetLimit,
};
use crate::shared::Shared;
use crate::targets::target::Target;
use policy::pacing::{ISOLATED_STANDBY_SHARE, STANDBY_SHARE};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The time after which to retry for a target that isn't listed here.
const UNLISTED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Returns the share of a limit that this entry gives out for targets of a group.
pub(super) fn share(shared: &Shared, group: &Group) -> f64 {
    match group.coordinators.first() {
        Some(first) if first.address.is_none() => 1.0,
        Some(first) if !shared.peers.is_reachable(first.key) => ISOLATED_STANDBY_SHARE,
        Some(_) | None => STANDBY_SHARE,
    }
}

/// Decides on a request for a permit.
pub(super) fn decide(shared: &Shared, request: &PermitRequest) -> Response {
    let now = Instant::now();
    if let Some(limit) = &request.limit {
        observe_limit(shared, limit);
    }
    let permit = match find(shared, request.service, request.target) {
        Some(target) => {
            let groups = shared.groups(&target.service);
            let group = groups::group_of(&groups, &target);
            let share = || group.map_or(STANDBY_SHARE, |group| self::share(shared, group));
            let requester = request.requester.unwrap_or_default().to_pacing();
            shared.coordinator.permits.acquire(target.key, share, requester, now)
        }
        None => Err(UNLISTED_RETRY_AFTER),
    };
    let decision = match permit {
        Ok(_) => Decision::Permitted(Permitted {}),
        Err(retry_after) => {
            let retry_after_us = u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
            Decision::Refused(Refused { retry_after_us, ..Refused::default() })
        }
    };
    Response { reservation: request.reservation, decision: Some(decision) }
}

/// Records the limit that a target named.
pub fn observe_limit(shared: &Shared, limit: &TargetLimit) {
    // The target has been removed, or is not yet listed here.
    let Some(target) = find(shared, limit.service, limit.target) else { return };
    let now = Instant::now();
    let ago = |ms: u32| now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now);
    // A datagram may hold anything; only values that a target can name are accepted.
    let rate = limit.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    if rate.is_none() && limit.rate.is_some() {
        log::warn!(target: "peers", target_id = target.id.as_str(); "limit not readable");
        return;
    }
    shared.coordinator.permits.observe_limit(
        target.key,
        rate,
        ago(limit.request_age_ms),
        ago(limit.response_age_ms),
    );
}

fn find(shared: &Shared, service: u32, target: u32) -> Option<Arc<Target>> {
    let service = super::service(shared, service)?;
    let targets = shared.usable(&service.name);
    targets.iter().find(|other| short_hash(other.key) == target).cloned()
}
