//! Which engine of a group writes an output.

use super::permits::part;
use super::{SILENCE, service};
use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{Decision, DecodeRequest, Granted, Refused, Response};
use crate::config::route::Stage;
use crate::shared::Shared;
use crate::targets::target::{Target, TransferDirection};
use policy::decode::{self, DecodeCandidate};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Answers a question for one; `None` if the group or its service is not known here.
pub(super) fn decide(shared: &Shared, ask: &DecodeRequest) -> Option<Response> {
    let now = Instant::now();
    let service = service(shared, ask.service)?;
    let groups = shared.groups(&service.name);
    let group = groups.iter().find(|group| group.key == ask.group)?;
    let best = best(shared, group, ask, now);
    let best =
        best.filter(|(writer, _)| writer.has_room(ask.max_fill_percent)).map(|(_, engine)| engine);
    let permit = best.map(|engine| {
        let asker = ask.requester.unwrap_or_default().ask();
        shared.coordinator.permits.take(engine.key, || part(shared, group), asker, now)
    });
    let room = match (best, permit) {
        (Some(engine), Some(Ok(permit))) => {
            let span = Duration::from_millis(ask.ttl_ms.into());
            shared.coordinator.book_place(engine.key, ask.reservation, span, now);
            let engine = short_hash(engine.key);
            Decision::Granted(Granted { engine, permit, ..Granted::default() })
        }
        _ => Decision::Refused(Refused::default()),
    };
    Some(Response { reservation: ask.reservation, decision: Some(room) })
}

/// The engine of the group that writes best, of equal ones any.
fn best<'a>(
    shared: &Shared,
    group: &'a Group,
    ask: &DecodeRequest,
    now: Instant,
) -> Option<(DecodeCandidate, &'a Arc<Target>)> {
    let new = shared.coordinator.is_new(group.key, now);
    let objective = Duration::from_millis(ask.objective_ms.into());
    let rank = ask.requester.unwrap_or_default().ask().priority;
    let able = group.engines.iter().filter(|engine| {
        let allowed = !ask.avoid.contains(&short_hash(engine.key));
        let able = engine.stage() != Some(Stage::Prefill) && !engine.is_changing_stage(now);
        let permits = &shared.coordinator.permits;
        allowed && able && permits.look(engine.key, || part(shared, group), rank, now).is_ok()
    });
    let ranked = able.map(|engine| {
        let writer = writer(shared, engine, objective, new, now);
        (decode::rank(&writer, objective), shared.random(), writer, engine)
    });
    let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, writer, engine)| (writer, engine))
}

fn writer(
    shared: &Shared,
    engine: &Target,
    objective: Duration,
    new: bool,
    now: Instant,
) -> DecodeCandidate {
    let granted = shared.coordinator.streams(engine.key, now);
    let others = shared.peers.load_at(engine.key).streams;
    let told = if new { engine.engine.streams() + others } else { 0 };
    DecodeCandidate {
        unavailable: engine.is_unavailable(objective * SILENCE, now),
        transfer_excess: engine.transfer_excess(TransferDirection::In, now),
        streams: granted.max(told),
        slots: engine.slots,
        ..DecodeCandidate::default()
    }
}
