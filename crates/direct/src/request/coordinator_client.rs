//! Requests to the coordinators of a group.
//!
//! **What can go wrong.** A coordinator is killed, frozen, slow, cut off or new. It then sends no
//! response, or a late one: after a wait that depends on its round trips, see
//! [`policy::round_trip`], the standby coordinator is asked, and one that stays silent is skipped for
//! `UNRESPONSIVE_FOR`. A grant that arrives when no request waits for it any more is released, see
//! [`crate::exchange::gossip`].

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Member};
use crate::cluster::messages::{Decision, Payload, Response};
use crate::cluster::peer_socket::Peer;
use crate::exchange::coordination;
use crate::request::context::RequestContext;
use crate::shared::Shared;
use policy::reservations::ReservationId;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// A coordinator that did not respond is skipped for this long: a frozen one recovers after
/// seconds, and each request to it costs a caller the timeout.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(500);

/// Asks the coordinators of a group, one after the other, until one sends a usable response.
/// Returns the response and its sender.
pub async fn call(
    request: &RequestContext,
    group: &Group,
    objective: Duration,
    make_payload: impl Fn(ReservationId) -> Payload,
) -> Option<(Response, Member)> {
    let socket = &request.shared.peer_socket;
    for coordinator in &group.coordinators {
        if socket.is_unresponsive(coordinator.key, Instant::now()) {
            continue;
        }
        let id = socket.unique_id();
        let peer = Peer {
            key: coordinator.key,
            distance: request.shared.distance_from_here(coordinator.domain),
        };
        let wait = socket.wait(peer, objective);
        let payload = (id, make_payload(id));
        if let Some(response) = call_one(&request.shared, coordinator, peer, payload, wait).await {
            if is_usable(&request.shared, &response) {
                return Some((response, *coordinator));
            }
            if let Some(address) = coordinator.address {
                socket.release(&response, address);
            }
            continue;
        }
        log::info!(target: "peers", id = request.attempt_id(), coordinator = coordinator.key,
            distance = peer.distance.name(), wait_ms = wait.as_millis(); "coordinator silent");
        socket.record_timeout(peer, wait, objective, UNRESPONSIVE_FOR);
    }
    None
}

async fn call_one(
    shared: &Shared,
    coordinator: &Member,
    peer: Peer,
    (id, payload): (ReservationId, Payload),
    wait: Duration,
) -> Option<Response> {
    let Some(address) = coordinator.address else {
        return coordination::respond(shared, &payload);
    };
    let mut pending = shared.peer_socket.expect_response(id, peer, address);
    shared.peer_socket.send(payload, address);
    timeout(wait, &mut pending.response).await.ok()?.ok()
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
        Some(Decision::Origin(_) | Decision::Versions(_)) | None => false,
    }
}
