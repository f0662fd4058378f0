//! The agent's claim on its target, for what the target itself does not fence.

use crate::shared::Shared;
use conf::resource::Target;
use state::{Calls, Checkpointer, CheckpointerSettings, Held, Lease, LeaseSettings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The longest that one order to an engine may take; a successor waits it out.
pub(crate) const LONGEST_ORDER: Duration = Duration::from_secs(30);

/// The lease on a service's instance: an agent that crashed keeps its calls waiting this long.
/// There are few such targets, so frequent renewals cost the log little.
const SERVICE_LEASE: Duration = Duration::from_secs(5);

/// The lease on an engine: renewed every 7.5 s, so that 700 of them cost the log 93 appends a
/// second; only orders wait for it.
const ENGINE_LEASE: Duration = Duration::from_secs(25);

/// Keeps the claim while the target's resource asks for one, and gives it up when `release` says
/// so, after all that was done under it has ended.
pub(crate) async fn keep(shared: Arc<Shared>, release: CancellationToken) {
    let mut config = shared.config.clone();
    loop {
        let wanted = shared.resource().as_ref().and_then(lease_of);
        if let Some((lease, longest)) = wanted {
            let settings = settings(&shared, lease, longest);
            let lease = Lease::keep(settings, shared.appender.clone(), shared.calls.clone());
            let held = lease.held();
            let checkpoints = checkpointer(&shared, &lease).run();
            tokio::select! {
                () = publish(&shared, held) => {}
                () = checkpoints => {}
                () = release.cancelled() => {
                    shared.held.send_replace(None);
                    return lease.release().await;
                }
            }
        }
        tokio::select! {
            changed = config.changed() => if changed.is_err() { return },
            () = release.cancelled() => return,
        }
    }
}

/// Writes checkpoints of the target's own stream, which nobody else follows: once its records
/// have expired, a replaced agent would know neither the keys that were used nor the claim.
fn checkpointer(shared: &Shared, lease: &Lease) -> Checkpointer<Calls> {
    let stream = plat::calls_stream(&shared.target);
    let (state, health) = (shared.calls.clone(), shared.calls_health.clone());
    let appender = shared.appender.clone();
    let checkpointer = Checkpointer::new(stream, appender, state, health, lease.held());
    checkpointer.settings(CheckpointerSettings::calls())
}

/// Hands on what the lease says; ends only with the lease's task.
async fn publish(shared: &Shared, mut held: watch::Receiver<Option<Held>>) {
    loop {
        let now = *held.borrow_and_update();
        shared.held.send_replace(now);
        if held.changed().await.is_err() {
            shared.held.send_replace(None);
            return;
        }
    }
}

/// The lease that a target needs and the longest act under it, if it needs any: an engine that
/// ignores fencing numbers, or a service with calls that may not be repeated.
fn lease_of(target: &Target) -> Option<(Duration, Duration)> {
    match target.is_engine() {
        true => (!target.checks_fencing).then_some((ENGINE_LEASE, LONGEST_ORDER)),
        // A call that is still running when the claim changes hands is never run again: its key
        // stands in the log, so nobody needs to wait for it.
        false => (!target.repeatable).then_some((SERVICE_LEASE, Duration::ZERO)),
    }
}

fn settings(shared: &Shared, lease: Duration, longest: Duration) -> LeaseSettings {
    let stream = plat::calls_stream(&shared.target);
    LeaseSettings::new(stream, shared.scope(), shared.incarnation)
        .lease(lease)
        .longest_order(longest)
        // Only a replacement of this very agent competes for the claim, and an agent that starts
        // must not refuse its first calls for longer than the log takes.
        .spread(Duration::ZERO)
}
