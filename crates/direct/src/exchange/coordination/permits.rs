//! Whether a request may be sent to a target that named a limit.

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

/// When to ask again for a target that isn't listed here.
const UNLISTED: Duration = Duration::from_millis(100);

/// The part of a limit that this entry gives out for targets of a group.
pub(super) fn part(shared: &Shared, group: &Group) -> f64 {
    match group.coordinators.first() {
        Some(first) if first.address.is_none() => 1.0,
        Some(first) if !shared.peers.hears(first.key) => ISOLATED_STANDBY_SHARE,
        Some(_) | None => STANDBY_SHARE,
    }
}

/// Answers a question for a permit.
pub(super) fn decide(shared: &Shared, ask: &PermitRequest) -> Response {
    let now = Instant::now();
    if let Some(limit) = &ask.limit {
        hear(shared, limit);
    }
    let given = match find(shared, ask.service, ask.target) {
        Some(target) => {
            let groups = shared.groups(&target.service);
            let group = groups::group_of(&groups, &target);
            let part = || group.map_or(STANDBY_SHARE, |group| self::part(shared, group));
            let asker = ask.requester.unwrap_or_default().ask();
            shared.coordinator.permits.take(target.key, part, asker, now)
        }
        None => Err(UNLISTED),
    };
    let room = match given {
        Ok(_) => Decision::Permitted(Permitted {}),
        Err(after) => {
            let after_us = u64::try_from(after.as_micros()).unwrap_or(u64::MAX);
            Decision::Refused(Refused { retry_after_us: after_us, ..Refused::default() })
        }
    };
    Response { reservation: ask.reservation, decision: Some(room) }
}

/// Takes in which limit a target names.
pub fn hear(shared: &Shared, limit: &TargetLimit) {
    // One that is gone, or that is not yet listed here.
    let Some(target) = find(shared, limit.service, limit.target) else { return };
    let now = Instant::now();
    let ago = |ms: u32| now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now);
    // Whatever a datagram holds, only what a target can name counts.
    let rate = limit.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    if rate.is_none() && limit.rate.is_some() {
        log::warn!(target: "peers", target_id = target.id.as_str(); "limit not readable");
        return;
    }
    shared.coordinator.permits.hear(
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
