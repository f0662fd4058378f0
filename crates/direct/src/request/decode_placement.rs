//! Reserves a decode slot for a stream, by asking the coordinators of groups.
//!
//! **Load pattern.** Hundreds of KV caches a second go to decode engines that each run eight to
//! some dozen streams at once, while streams start and end within seconds. **Without this**, each
//! entry decides by load that the others reported 85 to 300 ms ago, in which time ten others have
//! chosen: prompts that were prefilled in time wait for a slot or for the link of one engine while
//! others are free. **Approach.** As for prompts, see [`crate::request::prefill_placement`]. The
//! group of the engine that prefilled the prompt is asked first, since a transfer takes half as
//! long within a failure domain; the others are asked if its engines are half full or, for a short
//! output, have no free slot, and those of other regions last, see [`policy::region_order`]. If no
//! coordinator responds, the entry decides by its own view of the engines.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{Decision, DecodeRequest, Payload};
use crate::request::context::RequestContext;
use crate::request::coordinator_client;
use crate::request::permits::Permit;
use crate::request::reservation::Reservation;
use crate::targets::target::Target;
use policy::decode;
use policy::distance::Distance;
use policy::region_order::{self, DecodeStep};
use policy::reservations::ReservationId;
use std::sync::Arc;
use std::time::Duration;

/// The longest time to live: a stream that was reserved longer ago has ended, even if the report of
/// its end was lost.
const MAX_TTL: Duration = Duration::from_secs(20);

/// Time to live for each token of output, in addition to [`MIN_TTL`]: some times as long as engines
/// take.
const TTL_PER_TOKEN: Duration = Duration::from_millis(4);

/// The shortest time to live: the KV cache has to arrive and the first token has to be decoded,
/// each after everything that is queued before it.
const MIN_TTL: Duration = Duration::from_millis(500);

/// A decode slot that was reserved.
pub struct DecodePlacement {
    /// The engine.
    pub engine: Arc<Target>,
    /// Whether the stream may be sent there.
    pub permit: Permit,
    /// The reservation.
    pub reservation: Reservation,
}

/// Reserves a slot at an engine that was not tried, preferably in the failure domain `domain`.
pub async fn find(
    request: &RequestContext,
    tried: &[Arc<Target>],
    domain: &str,
) -> Option<DecodePlacement> {
    let groups = request.shared.groups(&request.service.name);
    let topology = &request.shared.settings.topology;
    let distance = |group: &Group| topology.distance(group.domain, policy::hash(domain));
    let mut silent_regions = Vec::new();
    for DecodeStep { group, max_fill_percent } in steps(request, &groups, distance) {
        let group = &groups[group];
        let region = topology.region(group.domain);
        if silent_regions.contains(&region) {
            continue;
        }
        let make_payload = |id| {
            Payload::DecodeRequest(decode_request(request, group, tried, id, max_fill_percent))
        };
        let answer =
            coordinator_client::call(request, group, request.route.objective, make_payload).await;
        let Some((response, coordinator)) = answer else {
            // The links between regions may be cut while the near coordinators respond.
            if distance(group) == Distance::OtherRegion {
                silent_regions.push(region);
                continue;
            }
            return None;
        };
        if let Some(Decision::Granted(granted)) = response.decision {
            let engine = group
                .engines
                .iter()
                .find(|engine| short_hash(engine.key) == granted.engine)?
                .clone();
            let reservation =
                Reservation::new(&request.shared, &engine, response.reservation, coordinator, None);
            // A coordinator of an earlier build knows no versions.
            if !request.required.allows(&engine) {
                continue;
            }
            let permit = Permit::from_grant(granted.permit);
            return Some(DecodePlacement { engine, permit, reservation });
        }
    }
    None
}

/// The groups to ask, the nearest first. Groups without a decode engine are left out.
fn steps(
    request: &RequestContext,
    groups: &[Group],
    distance: impl Fn(&Group) -> Distance,
) -> Vec<DecodeStep> {
    let has_decode_engine = |group: &Group| {
        group
            .engines
            .iter()
            .filter(|engine| request.required.allows(engine))
            .any(|engine| engine.stage() == Some(crate::config::route::Stage::Decode))
    };
    let eligible: Vec<usize> =
        (0..groups.len()).filter(|&at| has_decode_engine(&groups[at])).collect();
    let distances: Vec<Distance> = eligible.iter().map(|&at| distance(&groups[at])).collect();
    let random: Vec<f64> = eligible.iter().map(|_| request.shared.random()).collect();
    let max_fills = decode::max_fill_percent(request.has_short_output());
    let mut steps = region_order::for_decode(&distances, &random, max_fills);
    for step in &mut steps {
        step.group = eligible[step.group];
    }
    steps
}

fn decode_request(
    request: &RequestContext,
    group: &Group,
    tried: &[Arc<Target>],
    id: ReservationId,
    max_fill: u32,
) -> DecodeRequest {
    let now = tokio::time::Instant::now();
    let unavailable =
        |engine: &&Arc<Target>| engine.is_unavailable(request.unresponsive_after(), now);
    let tried = tried.iter().chain(group.engines.iter().filter(unavailable));
    // The coordinator may still list them.
    let leaving = request.shared.workload.availability.leaving(now);
    let avoid = tried.map(|engine| engine.key).chain(leaving);
    let output_tokens = request.head.prompt.as_ref().map_or(0, |prompt| prompt.max_output_tokens);
    let ttl = (MIN_TTL + TTL_PER_TOKEN * output_tokens).min(MAX_TTL);
    let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    DecodeRequest {
        reservation: id,
        group: group.key,
        service: short_hash(policy::hash(&request.service.name)),
        objective_ms: ms(request.route.objective),
        avoid: avoid.map(short_hash).collect(),
        ttl_ms: ms(ttl),
        max_fill_percent: max_fill,
        requester: Some(request.requester()),
        max_gap_ms: ms(request.route.max_gap.unwrap_or_default()),
        software: request.required.version(),
    }
}
