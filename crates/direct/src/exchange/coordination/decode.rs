//! Decides which engine of a group decodes a stream.

use super::permits::share;
use super::{UNRESPONSIVE_FACTOR, service};
use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{Decision, DecodeRequest, Granted, Refused, Response};
use crate::config::route::Stage;
use crate::shared::Shared;
use crate::targets::target::{Target, TransferDirection};
use policy::decode::{self, DecodeCandidate, Offer};
use policy::prefill;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Decides on a request for an engine; `None` if the group or its service is unknown here.
pub(super) fn decide(shared: &Shared, request: &DecodeRequest) -> Option<Response> {
    let now = Instant::now();
    let service = service(shared, request.service)?;
    let groups = shared.groups(&service.name);
    let group = groups.iter().find(|group| group.key == request.group)?;
    let prefill = shared.prefill_settings(&service.name);
    let best = best(shared, group, request, &prefill, now);
    let best = best
        .filter(|(candidate, _)| candidate.has_room(request.max_fill_percent))
        .map(|(_, engine)| engine);
    let permit = best.map(|engine| {
        let requester = request.requester.unwrap_or_default().to_pacing();
        shared.coordinator.permits.acquire(engine.key, || share(shared, group), requester, now)
    });
    let decision = match (best, permit) {
        (Some(engine), Some(Ok(permit))) => {
            let ttl = Duration::from_millis(request.ttl_ms.into());
            shared.coordinator.reserve_slot(engine.key, request.reservation, ttl, now);
            let engine = short_hash(engine.key);
            Decision::Granted(Granted { engine, permit, ..Granted::default() })
        }
        _ => Decision::Refused(Refused::default()),
    };
    Some(Response { reservation: request.reservation, decision: Some(decision) })
}

/// Returns the best engine of the group for a stream, a random one among equals.
fn best<'a>(
    shared: &Shared,
    group: &'a Group,
    request: &DecodeRequest,
    prefill: &prefill::Settings,
    now: Instant,
) -> Option<(DecodeCandidate, &'a Arc<Target>)> {
    let warming_up = shared.coordinator.is_warming_up(group.key, now);
    let objective = Duration::from_millis(request.objective_ms.into());
    let priority = request.requester.unwrap_or_default().to_pacing().priority;
    let able = group.engines.iter().filter(|engine| {
        let allowed = !request.avoid.contains(&short_hash(engine.key));
        let able = engine.stage() != Some(Stage::Prefill) && !engine.is_changing_stage(now);
        let permits = &shared.coordinator.permits;
        let fits = match request.software {
            Some(software) => software == engine.software_key,
            None => engine.begins_streams(),
        };
        allowed
            && able
            && fits
            && permits.check(engine.key, || share(shared, group), priority, now).is_ok()
    });
    let offers = able.map(|engine| {
        let mut candidate = candidate(shared, engine, request, warming_up, now);
        let queued = shared.coordinator.queued_tokens(engine.key, now);
        candidate.misses_pause |=
            request.max_gap_ms > 0 && prefill::pauses_streams(prefill, queued, &engine.pace());
        Offer { candidate, engine, random: shared.random() }
    });
    // Before an engine that misses the pause limit is used, other groups are asked.
    let is_last_resort = request.max_fill_percent >= 100;
    let best = decode::choose(offers.collect(), objective, is_last_resort);
    best.map(|best| (best.candidate, best.engine))
}

fn candidate(
    shared: &Shared,
    engine: &Target,
    request: &DecodeRequest,
    warming_up: bool,
    now: Instant,
) -> DecodeCandidate {
    let granted = shared.coordinator.streams(engine.key, now);
    let peers = shared.peers.load_at(engine.key).streams;
    let reported = if warming_up { engine.engine.streams() + peers } else { 0 };
    let streams = granted.max(reported);
    let objective = Duration::from_millis(request.objective_ms.into());
    let pace = engine.decode_pace(Duration::from_millis(request.max_gap_ms.into()), streams, now);
    DecodeCandidate {
        unavailable: engine.is_unavailable(objective * UNRESPONSIVE_FACTOR, now),
        transfer_excess: engine.transfer_excess(TransferDirection::In, now),
        streams,
        misses_pause: pace.misses_pause,
        piece_time: pace.piece_time,
        slots: engine.slots,
        ..DecodeCandidate::default()
    }
}
