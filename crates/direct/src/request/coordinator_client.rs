//! Requests to the coordinators of a group.
//!
//! **What can go wrong.** A coordinator is killed, frozen, slow, cut off or new. It then sends no
//! response, or a late one: after `TIMEOUT_SHARE` of the objective the standby coordinator is
//! asked, and the unresponsive one is skipped for `UNRESPONSIVE_FOR`. A grant that arrives when no
//! request waits for it any more is released, see [`crate::exchange::gossip`].

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Member};
use crate::cluster::messages::{Decision, Payload, Response};
use crate::exchange::coordination;
use crate::request::context::RequestContext;
use crate::shared::Shared;
use policy::reservations::ReservationId;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// A coordinator that did not respond is skipped for this long: a frozen one recovers after
/// seconds, and each request to it costs a caller the timeout.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(500);

/// The share of the objective that a coordinator may take to respond. The round trip takes a few
/// milliseconds.
const TIMEOUT_SHARE: f64 = 0.1;

/// The shortest timeout: a small VM responds within this time while it is busy.
const MIN_TIMEOUT: Duration = Duration::from_millis(10);

/// Asks the coordinators of a group, one after the other, until one sends a usable response.
/// Returns the response and its sender.
pub async fn call(
    request: &RequestContext,
    group: &Group,
    objective: Duration,
    make_payload: impl Fn(ReservationId) -> Payload,
) -> Option<(Response, Member)> {
    let socket = &request.shared.peer_socket;
    let time_limit = objective.mul_f64(TIMEOUT_SHARE).max(MIN_TIMEOUT);
    for coordinator in &group.coordinators {
        if socket.is_unresponsive(coordinator.key, Instant::now()) {
            continue;
        }
        let id = socket.unique_id();
        if let Some(response) =
            call_one(&request.shared, coordinator, id, make_payload(id), time_limit).await
        {
            if is_usable(&request.shared, &response) {
                return Some((response, *coordinator));
            }
            continue;
        }
        log::info!(target: "peers", id = request.attempt_id(), coordinator = coordinator.key;
            "coordinator silent");
        socket.mark_unresponsive(coordinator.key, Instant::now() + UNRESPONSIVE_FOR);
    }
    None
}

async fn call_one(
    shared: &Shared,
    coordinator: &Member,
    id: ReservationId,
    payload: Payload,
    time_limit: Duration,
) -> Option<Response> {
    let Some(address) = coordinator.address else {
        return coordination::respond(shared, &payload);
    };
    let mut pending = shared.peer_socket.expect_response(id);
    shared.peer_socket.send(payload, address);
    timeout(time_limit, &mut pending.response).await.ok()?.ok()
}

/// Whether a response is usable here: the engine that it grants may not be listed yet, or no
/// longer.
fn is_usable(shared: &Shared, response: &Response) -> bool {
    match response.decision {
        Some(Decision::Granted(granted)) => {
            let engines = shared.fleet().engines();
            engines.iter().any(|engine| short_hash(engine.key) == granted.engine)
        }
        Some(Decision::Refused(_) | Decision::Permitted(_)) => true,
        None => false,
    }
}
