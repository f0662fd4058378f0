//! The agent's claim on its target, for targets that do not check fencing tokens.

use crate::shared::Shared;
use conf::resource::Target;
use state::{Calls, Checkpointer, CheckpointerSettings, HeldClaim, Lease, LeaseSettings};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// How long one order to an engine may take. A successor waits this long after the lease.
pub(crate) const LONGEST_ORDER: Duration = Duration::from_secs(30);

/// The lease on an instance of a service. After a crash of the agent, calls wait this long. There
/// are few such targets, so frequent renewals put little load on the log.
const SERVICE_LEASE: Duration = Duration::from_secs(5);

/// The lease on an engine. It is renewed every 7.5 s, so that 700 of them cause 93 appends per
/// second. Only orders wait for it.
const ENGINE_LEASE: Duration = Duration::from_secs(25);

/// Maintains the claim while the target's resource requires one. When `release` is cancelled, which
/// must be after everything done under the claim has ended, it releases the claim and returns.
pub(crate) async fn maintain(shared: Arc<Shared>, release: CancellationToken) {
    let mut config = shared.config.clone();
    loop {
        let required = shared.resource().as_ref().and_then(required_lease);
        if let Some((lease, max_action)) = required {
            let settings = settings(&shared, lease, max_action);
            let lease = Lease::spawn(settings, shared.appender.clone(), shared.calls.clone());
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

/// Creates the checkpointer of the target's own stream, which no other process follows. Without
/// checkpoints, an agent that is replaced after the records have expired would have neither the
/// used keys nor the claim.
fn checkpointer(shared: &Shared, lease: &Lease) -> Checkpointer<Calls> {
    let stream = plat::calls_stream(&shared.target);
    let (state, health) = (shared.calls.clone(), shared.calls_health.clone());
    let appender = shared.appender.clone();
    let checkpointer = Checkpointer::new(stream, appender, state, health, lease.held());
    checkpointer.settings(CheckpointerSettings::calls())
}

/// Publishes the state of the lease to the agent's tasks, until the task of the lease ends.
async fn publish(shared: &Shared, mut held: watch::Receiver<Option<HeldClaim>>) {
    loop {
        let now = *held.borrow_and_update();
        shared.held.send_replace(now);
        if held.changed().await.is_err() {
            shared.held.send_replace(None);
            return;
        }
    }
}

/// Returns the lease that a target requires and the longest action under it. Engines that ignore
/// fencing tokens and services with calls that may not be repeated require one.
fn required_lease(target: &Target) -> Option<(Duration, Duration)> {
    match target.is_engine() {
        true => (!target.checks_fencing).then_some((ENGINE_LEASE, LONGEST_ORDER)),
        // A call that still runs when the claim passes to a successor is never executed again,
        // since its key is in the log. So the successor need not wait for it.
        false => (!target.repeatable).then_some((SERVICE_LEASE, Duration::ZERO)),
    }
}

fn settings(shared: &Shared, lease: Duration, max_action: Duration) -> LeaseSettings {
    let stream = plat::calls_stream(&shared.target);
    LeaseSettings::new(stream, shared.scope(), shared.incarnation)
        .lease(lease)
        .grace_period(max_action)
        // Only a replacement of this agent competes for the claim, and an agent that starts must
        // not refuse its first calls for longer than the append takes.
        .jitter(Duration::ZERO)
}
