//! Carries out the orders in the log: one at a time, in offset order.
//!
//! Before each order the engine's real state is read back, so that one that was cut half-way (the
//! engine crashed, the agent restarted, the reply was lost) is neither believed nor doubled. The
//! target takes no new work meanwhile; what waits goes elsewhere, what runs is finished or, after
//! a bound, goes on elsewhere with its KV cache.
//!
//! **What engines that ignore fencing numbers leave uncovered.** The agent looks at its claim and
//! at the log right before it sends an order. If it is paused between that look and the write, the
//! order goes out when it wakes, however late. A successor waits the lease and [`LONGEST_ORDER`]
//! out, so only a pause longer than both together lets an old order meet a new one. `docs/ENGINES.md`
//! says so to operators.

use crate::Backend;
use crate::claim::LONGEST_ORDER;
use crate::shared::Shared;
use compact_str::{CompactString, format_compact};
use conf::resource::Role;
use state::record::{Body, OrderKind, OrderOutcome};
use state::{Held, OrderEntry};
use std::sync::Arc;
use std::time::Duration;
use target::{Engine, Error, Order, Status};

/// How long running streams may go on before they move: most answers end by then, and a change is
/// not held up by the longest one.
const DRAIN_TIME: Duration = Duration::from_secs(10);

/// How long streams may take to leave once they were told to move.
const MOVE_TIME: Duration = Duration::from_secs(5);

/// How often an engine that is busy or down is looked at again.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// How often an order is tried before its failure is reported to the planner.
const MAX_TRIES: u32 = 3;

/// How old the view of the log may be for an engine that ignores fencing numbers; well within the
/// lease, so that an order that was superseded long ago is not begun.
const FRESH: Duration = Duration::from_secs(5);

/// How long to wait before an outcome is appended again.
const RECORD_RETRY: Duration = Duration::from_millis(500);

/// Carries out orders until the task is dropped.
pub(crate) async fn carry_out(shared: Arc<Shared>) {
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
        let failure = match order_of(&order.kind) {
            Ok(wanted) => execute(&shared, engine.as_ref(), &order, &wanted).await,
            Err(failure) => Some(failure),
        };
        // None: the order is no longer ours to carry out, or not open any more.
        if let Some(failure) = failure {
            report(&shared, &order, failure).await;
        }
    }
}

/// Carries out one order; returns why it is not in force, empty if it is, or `None` if the log
/// says meanwhile that it is closed.
async fn execute(
    shared: &Arc<Shared>,
    engine: &dyn Engine,
    order: &OrderEntry,
    wanted: &Order,
) -> Option<CompactString> {
    log::info!(order = order.offset, what:? = wanted; "order-begun");
    let mut failure = CompactString::default();
    let mut tries = 0;
    while tries < MAX_TRIES {
        if in_force(&real_state(shared, engine).await, wanted) {
            return is_open(shared, order).then(CompactString::default);
        }
        while !authorised(shared) {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        let pause = shared.dispatcher.pause();
        drain(shared).await;
        // Much can have happened while streams ended: this is the last look before the write.
        if !is_open(shared, order) {
            return None;
        }
        if let Some(newer) = superseded_by(shared, order) {
            return Some(format_compact!("superseded by order {newer}"));
        }
        if !authorised(shared) {
            continue;
        }
        tries += 1;
        let sent = tokio::time::timeout(LONGEST_ORDER, engine.order(order.offset, wanted)).await;
        // Read back before new work comes in, so that it is offered what the engine now is.
        shared.health.refresh(&shared.backend, &shared.target).await;
        drop(pause);
        match sent {
            Ok(Ok(())) => return Some(CompactString::default()),
            Ok(Err(Error::Fenced { newest, .. })) => {
                return Some(format_compact!("the engine has seen the newer number {newest}"));
            }
            Ok(Err(error)) => failure = format_compact!("{error}"),
            Err(_) => failure = format_compact!("no answer within {LONGEST_ORDER:?}"),
        }
        log::warn!(order = order.offset, error = failure.as_str(); "order-failed");
    }
    let status = real_state(shared, engine).await;
    if in_force(&status, wanted) { Some(CompactString::default()) } else { Some(failure) }
}

/// Lets what runs end, and moves what lasts too long; nothing new starts meanwhile.
async fn drain(shared: &Shared) {
    shared.dispatcher.move_waiting();
    if tokio::time::timeout(DRAIN_TIME, shared.dispatcher.idle()).await.is_ok() {
        return;
    }
    shared.moves.send_modify(|count| *count += 1);
    if tokio::time::timeout(MOVE_TIME, shared.dispatcher.idle()).await.is_err() {
        log::warn!(running = shared.dispatcher.counts().1; "drain-incomplete");
    }
}

/// The engine's state once it answers and is not busy with an order.
async fn real_state(shared: &Shared, engine: &dyn Engine) -> Status {
    loop {
        match engine.status().await {
            Ok(status) if !status.busy => return status,
            Ok(_) | Err(_) => {}
        }
        shared.health.look();
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Whether the engine already is what the order wants.
fn in_force(status: &Status, wanted: &Order) -> bool {
    match wanted {
        Order::SetRole { role } => status.role == *role,
        Order::Load { serve, .. } => status.serves.contains(serve),
        Order::Unload { serve } => !status.serves.contains(serve),
    }
}

/// Whether the agent may give its engine orders now.
///
/// An engine that checks fencing numbers needs no more: the order's offset is its number. For one
/// that ignores them the agent is the fence: its claim must stand and its view of the log be fresh.
fn authorised(shared: &Shared) -> bool {
    let Some(target) = shared.resource() else { return false };
    let held = (*shared.held.borrow()).is_some_and(|held: Held| held.is_valid());
    target.checks_fencing || held && shared.system_health.borrow().is_fresh(FRESH)
}

fn is_open(shared: &Shared, order: &OrderEntry) -> bool {
    let system = shared.system.borrow();
    system.order(order.offset).is_some_and(|order| order.outcome.is_none())
}

/// A later open order about the same thing, which makes this one pointless.
fn superseded_by(shared: &Shared, order: &OrderEntry) -> Option<u64> {
    let system = shared.system.borrow();
    let mut later = system.open_orders(&shared.target).filter(|o| o.offset > order.offset);
    later.find(|other| subject(&other.kind) == subject(&order.kind)).map(|other| other.offset)
}

/// What an order is about: the role, or a served name.
fn subject(kind: &OrderKind) -> Option<&str> {
    match kind {
        OrderKind::SetRole(_) => None,
        OrderKind::Load(load) => Some(&load.serve),
        OrderKind::Unload(serve) => Some(serve),
    }
}

fn order_of(kind: &OrderKind) -> Result<Order, CompactString> {
    match kind {
        OrderKind::SetRole(name) => {
            let roles = [Role::Prefill, Role::Decode, Role::Mixed];
            let role = roles.into_iter().find(|role| role.name() == name);
            let unknown = || format_compact!("there is no role {name}");
            Ok(Order::SetRole { role: role.ok_or_else(unknown)? })
        }
        OrderKind::Load(load) => Ok(Order::Load {
            serve: load.serve.as_str().into(),
            artifact: load.artifact.as_str().into(),
        }),
        OrderKind::Unload(serve) => Ok(Order::Unload { serve: serve.as_str().into() }),
    }
}

/// Appends the outcome until it is read back; an order left open would be carried out again.
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
        // Whether it went well is read from the log; a second one has no effect.
        if let Err(error) = shared.appender.append(plat::SYSTEM_STREAM, outcome).await {
            log::warn!(order = order.offset, error:% = error; "outcome-not-recorded");
        }
        let closed = system.wait_for(|system| {
            system.order(order.offset).is_none_or(|order| order.outcome.is_some())
        });
        if tokio::time::timeout(RECORD_RETRY, closed).await.is_ok() {
            return;
        }
    }
}
