//! One question to those that coordinate a group.
//!
//! **What can go wrong.** A coordinator is killed, frozen, slow, cut off or new. It then says nothing, or
//! what it says comes late: after [`PATIENCE_PART`] of the objective the one that stands by is asked, and the
//! silent one is passed over for [`SILENT`]. A grant that comes when nobody waits for it any more is given
//! back, see [`crate::cluster::peers`].

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Member};
use crate::cluster::messages::{Decision, Payload, Response};
use crate::exchange::coordination;
use crate::request::context::Job;
use crate::shared::Shared;
use policy::reservations::ReservationId;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// A coordinator that did not answer is passed over for this long: a frozen one comes back after
/// seconds, and each question to it costs a caller the time that it is waited for.
const SILENT: Duration = Duration::from_millis(500);

/// The part of an objective that a coordinator may take to answer. The way there and back takes a
/// few milliseconds.
const PATIENCE_PART: f64 = 0.1;

/// What it may take at least: a small VM answers within this time while it is busy.
const LEAST_PATIENCE: Duration = Duration::from_millis(10);

/// Asks those that coordinate a group, one after the other, until one answers whose grant is of use.
/// Returns what it said, and who it was.
pub async fn ask(
    job: &Job,
    group: &Group,
    objective: Duration,
    make: impl Fn(ReservationId) -> Payload,
) -> Option<(Response, Member)> {
    let post = &job.shared.post;
    let patience = objective.mul_f64(PATIENCE_PART).max(LEAST_PATIENCE);
    for coordinator in &group.coordinators {
        if post.is_unresponsive(coordinator.key, Instant::now()) {
            continue;
        }
        let booking = post.unique_id();
        if let Some(answer) =
            answer(&job.shared, coordinator, booking, make(booking), patience).await
        {
            if is_listed(&job.shared, &answer) {
                return Some((answer, *coordinator));
            }
            continue;
        }
        log::info!(target: "peers", id = job.id(), coordinator = coordinator.key;
            "coordinator silent");
        post.mark_unresponsive(coordinator.key, Instant::now() + SILENT);
    }
    None
}

async fn answer(
    shared: &Shared,
    coordinator: &Member,
    booking: ReservationId,
    question: Payload,
    patience: Duration,
) -> Option<Response> {
    let Some(address) = coordinator.address else {
        return coordination::respond(shared, &question);
    };
    let mut waiting = shared.post.expect_response(booking);
    shared.post.send(question, address);
    timeout(patience, &mut waiting.response).await.ok()?.ok()
}

/// Whether an answer is of use here: the engine that it names may not be listed yet, or no more.
fn is_listed(shared: &Shared, answer: &Response) -> bool {
    match answer.decision {
        Some(Decision::Granted(granted)) => {
            let engines = shared.fleet().engines();
            engines.iter().any(|engine| short_hash(engine.key) == granted.engine)
        }
        Some(Decision::Refused(_) | Decision::Permitted(_)) => true,
        None => false,
    }
}
