//! Executes the orders in the log, one at a time and in the order of their offsets.
//!
//! Before each order the engine's actual state is queried, so that an order that was interrupted
//! (the engine crashed, the agent restarted, the reply was lost) is neither assumed to be in effect
//! nor sent twice. Meanwhile the target accepts no new work. Waiting requests go to other targets;
//! running ones are completed or, after a time limit, continue at another target with their KV
//! cache.
//!
//! **Limits with engines that ignore fencing tokens.** The agent checks its claim and the log
//! directly before it sends an order. If the process is paused between the check and the send, the
//! order is sent when it resumes, however late. A successor waits for the lease and
//! [`LONGEST_ORDER`] to pass, so an old order can conflict with a new one only after a pause longer
//! than both together. `docs/ENGINES.md` documents this for operators.

use crate::Backend;
use crate::claim::LONGEST_ORDER;
use crate::shared::Shared;
use compact_str::{CompactString, format_compact};
use conf::resource::Role;
use state::record::{Body, OrderKind, OrderOutcome};
use state::{HeldClaim, OrderEntry};
use std::sync::Arc;
use std::time::Duration;
use target::{Engine, Error, Order, Status};

/// How long running streams may continue before they are migrated. Most answers end within this
/// time, and the longest one does not delay the order.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the migration of running streams may take.
const MIGRATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which the state is checked while the engine is busy or down, or no order may be
/// sent.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How many times an order is sent before its failure is reported to the planner.
const MAX_TRIES: u32 = 3;

/// Maximum age of the view of the log for an engine that ignores fencing tokens. It is well within
/// the lease, so that an order that was superseded long ago is not started.
const MAX_LOG_AGE: Duration = Duration::from_secs(5);

/// How long to wait for an appended outcome to be read back before it is appended again.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Executes orders until the task is dropped.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Backend::Engine(engine) = shared.backend.clone() else { return };
    let mut system = shared.system.clone();
    loop {
        let order = system.borrow_and_update().open_orders(&shared.target).next().cloned();
        let Some(order) = order else {
            if system.changed().await.is_err() {
                return;
            }
            continue;
        };
        let failure = match engine_order(&order.kind) {
            Ok(desired) => execute(&shared, engine.as_ref(), &order, &desired).await,
            Err(failure) => Some(failure),
        };
        // `None`: the order was closed in the meantime.
        if let Some(failure) = failure {
            report(&shared, &order, failure).await;
        }
    }
}

/// Executes one order. Returns the reason of its failure, empty on success, or `None` if the order
/// was closed in the log in the meantime.
async fn execute(
    shared: &Arc<Shared>,
    engine: &dyn Engine,
    order: &OrderEntry,
    desired: &Order,
) -> Option<CompactString> {
    log::info!(order = order.offset, what:? = desired; "order-begun");
    let mut failure = CompactString::default();
    let mut tries = 0;
    while tries < MAX_TRIES {
        if is_in_effect(&wait_for_status(shared, engine).await, desired) {
            return is_open(shared, order).then(CompactString::default);
        }
        while !may_send_orders(shared) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let pause = shared.dispatcher.pause();
        drain(shared).await;
        // Checked again directly before the order is sent, since draining takes time.
        if !is_open(shared, order) {
            return None;
        }
        if let Some(newer) = superseded_by(shared, order) {
            return Some(format_compact!("superseded by order {newer}"));
        }
        if !may_send_orders(shared) {
            continue;
        }
        tries += 1;
        let result = tokio::time::timeout(LONGEST_ORDER, engine.order(order.offset, desired)).await;
        // Refreshed before the pause ends, so that new work is accepted for the engine's new state.
        shared.health.refresh(&shared.backend, &shared.target).await;
        drop(pause);
        match result {
            Ok(Ok(())) => return Some(CompactString::default()),
            Ok(Err(Error::Fenced { newest, .. })) => {
                return Some(format_compact!("the engine has seen the newer number {newest}"));
            }
            Ok(Err(error)) => failure = format_compact!("{error}"),
            Err(_) => failure = format_compact!("no answer within {LONGEST_ORDER:?}"),
        }
        log::warn!(order = order.offset, error = failure.as_str(); "order-failed");
    }
    let status = wait_for_status(shared, engine).await;
    if is_in_effect(&status, desired) { Some(CompactString::default()) } else { Some(failure) }
}

/// Waits for running requests to complete and migrates those that take too long. The caller keeps
/// the dispatcher paused.
async fn drain(shared: &Shared) {
    shared.dispatcher.reject_waiting();
    if tokio::time::timeout(DRAIN_TIMEOUT, shared.dispatcher.wait_idle()).await.is_ok() {
        return;
    }
    shared.migrations.send_modify(|count| *count += 1);
    if tokio::time::timeout(MIGRATION_TIMEOUT, shared.dispatcher.wait_idle()).await.is_err() {
        log::warn!(running = shared.dispatcher.counts().1; "drain-incomplete");
    }
}

/// Waits until the engine responds and is not busy with an order, and returns its status.
async fn wait_for_status(shared: &Shared, engine: &dyn Engine) -> Status {
    loop {
        match engine.status().await {
            Ok(status) if !status.busy => return status,
            Ok(_) | Err(_) => {}
        }
        shared.health.request_check();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether the engine is already in the state that the order demands.
fn is_in_effect(status: &Status, desired: &Order) -> bool {
    match desired {
        Order::SetRole { role } => status.role == *role,
        Order::Load { serve, .. } => status.serves.contains(serve),
        Order::Unload { serve } => !status.serves.contains(serve),
    }
}

/// Returns whether the agent may send orders to its engine now.
///
/// An engine that checks fencing tokens needs no further protection: the order's offset is its
/// token. For one that ignores them, the agent must hold its claim and have a recent view of the
/// log.
fn may_send_orders(shared: &Shared) -> bool {
    let Some(target) = shared.resource() else { return false };
    let claim_held = (*shared.held.borrow()).is_some_and(|held: HeldClaim| held.is_valid());
    target.checks_fencing || claim_held && shared.system_health.borrow().is_fresh(MAX_LOG_AGE)
}

fn is_open(shared: &Shared, order: &OrderEntry) -> bool {
    let system = shared.system.borrow();
    system.order(order.offset).is_some_and(|order| order.outcome.is_none())
}

/// Returns the offset of a later open order with the same subject, which replaces this one.
fn superseded_by(shared: &Shared, order: &OrderEntry) -> Option<u64> {
    let system = shared.system.borrow();
    let mut later = system.open_orders(&shared.target).filter(|o| o.offset > order.offset);
    later.find(|other| subject(&other.kind) == subject(&order.kind)).map(|other| other.offset)
}

/// Returns what an order changes: a served model by its name, or `None` for the role.
fn subject(kind: &OrderKind) -> Option<&str> {
    match kind {
        OrderKind::SetRole(_) => None,
        OrderKind::Load(load) => Some(&load.serve),
        OrderKind::Unload(serve) => Some(serve),
    }
}

fn engine_order(kind: &OrderKind) -> Result<Order, CompactString> {
    match kind {
        OrderKind::SetRole(name) => {
            let roles = [Role::Prefill, Role::Decode, Role::Mixed];
            let role = roles.into_iter().find(|role| role.name() == name);
            let unknown_role = || format_compact!("there is no role {name}");
            Ok(Order::SetRole { role: role.ok_or_else(unknown_role)? })
        }
        OrderKind::Load(load) => Ok(Order::Load {
            serve: load.serve.as_str().into(),
            artifact: load.artifact.as_str().into(),
        }),
        OrderKind::Unload(serve) => Ok(Order::Unload { serve: serve.as_str().into() }),
    }
}

/// Appends the outcome until it is read back. An order that stays open would be executed again.
async fn report(shared: &Shared, order: &OrderEntry, failure: CompactString) {
    log::info!(order = order.offset, failure = failure.as_str(); "order-ended");
    shared.metrics.orders.inc();
    let mut system = shared.system.clone();
    loop {
        let outcome = Body::OrderOutcome(OrderOutcome {
            order: order.offset,
            target: shared.target.to_string(),
            failure: failure.to_string(),
        });
        // Success is determined by reading the log, and a duplicate outcome has no effect.
        if let Err(error) = shared.appender.append(plat::SYSTEM_STREAM, outcome).await {
            log::warn!(order = order.offset, error:% = error; "outcome-not-recorded");
        }
        let closed = system.wait_for(|system| {
            system.order(order.offset).is_none_or(|order| order.outcome.is_some())
        });
        if tokio::time::timeout(RECORD_RETRY_INTERVAL, closed).await.is_ok() {
            return;
        }
    }
}
