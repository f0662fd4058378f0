//! Generations: one engine prefills the prompt, and another one takes its KV cache and decodes.

mod cache;
mod decode_step;
mod prefill_step;
mod resume;

use crate::codec::Prompt;
use crate::config::route::Stage;
use crate::request::context::RequestContext;
use crate::request::reservation;
use crate::request::response::{Body, Refusal};
use crate::request::take_up::Required;
use crate::request::trace::Trace;
use crate::request::{permits, plain, take_up};
use crate::targets::target::{Target, TransferDirection};
use http::Response;
use policy::Hash;
use policy::decode::{self, DecodeCandidate, Offer};
use policy::prefill::pauses_streams;
use policy::signals;
use prefill_step::{PrefillResult, PromptState};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Serves a generation.
pub async fn run(request: Arc<RequestContext>, mut trace: Trace) -> Response<Body> {
    let engines = request.shared.usable(&request.service.name);
    let disaggregated = engines.iter().any(|engine| engine.stage().is_some());
    let Some(prompt) = request.head.prompt.clone().filter(|_| disaggregated) else {
        return plain::run(request, trace).await;
    };
    let decodes = |engine: &Target| engine.stage() != Some(Stage::Prefill);
    if let Some(retry_after) = take_up::time_until_possible(&request, decodes) {
        return request.refuse(&mut trace, request.required.refusal(), retry_after);
    }
    let piece_tokens = request.service.engine.as_ref().and_then(|engine| engine.piece_tokens);
    if matches!(request.required, Required::Version(_)) {
        return take_up(request, prompt, trace).await;
    }
    trace.generation = piece_tokens.map(|tokens| (request.service.name.clone(), tokens));
    if let Some(retry_after) = time_until_decode(&request, &engines) {
        return request.refuse(&mut trace, Refusal::NoDecodeEngine, retry_after);
    }
    if let Some(retry_after) = time_until_open(&request, &engines) {
        return request.refuse(
            &mut trace,
            Refusal::RateLimited,
            permits::retry_after(&request, retry_after),
        );
    }
    match prefill_step::run(&request, &prompt, &mut trace).await {
        PrefillResult::Refused(refusal, retry_after) => {
            request.refuse(&mut trace, refusal, retry_after)
        }
        PrefillResult::Ready(prompt_state) => {
            decode_step::run(request, prompt, prompt_state, trace).await
        }
    }
}

/// Goes on with a stream at an engine of the version that began it, which also prefills the prompt:
/// KV cache of another version might not fit to it either.
async fn take_up(request: Arc<RequestContext>, prompt: Prompt, trace: Trace) -> Response<Body> {
    request.shared.record_bytes_sent(request.buffered.body.len());
    decode_step::run(request, prompt, PromptState::AnyEngine, trace).await
}

/// How long it takes until an engine decodes again, if none can now.
///
/// All engines that decode can be lost while others go on prefilling: that prefill is wasted, and
/// each request ends late without any attempt to decode it. If it is refused at once, its caller
/// has time to retry when engines have changed their stage.
fn time_until_decode(request: &RequestContext, engines: &[Arc<Target>]) -> Option<Duration> {
    let now = Instant::now();
    let is_available =
        |engine: &&Arc<Target>| !engine.is_unavailable(request.unresponsive_after(), now);
    let can_decode = |engine: &Arc<Target>| {
        let eligible = !engine.is_changing_stage(now) && !engine.has_transfer_backlog(now);
        eligible && engine.stage() != Some(Stage::Prefill)
    };
    // All engines look unavailable to a process that was frozen itself and has not yet read their
    // responses.
    let any_available = engines.iter().any(|engine| is_available(&engine));
    if !any_available || engines.iter().filter(is_available).any(can_decode) {
        return None;
    }
    let change_time =
        request.service.engine.as_ref().map_or(Duration::ZERO, |engine| engine.stage_change_time);
    let age = engines.iter().filter_map(|engine| engine.stage_change_age(Stage::Decode, now)).max();
    // Without a plan so far, the lack of decode engines has yet to be detected.
    let left = age.map_or(change_time + PLAN_DELAY, |age| change_time.saturating_sub(age));
    Some(left + STAGE_CHANGE_DELAY)
}

/// How long until engines accept requests again, if all that could prefill the prompt, or all that
/// could decode it, are paused or have no permit left: a prefill before that would be wasted.
fn time_until_open(request: &RequestContext, engines: &[Arc<Target>]) -> Option<Duration> {
    let (now, prefill_time) = (Instant::now(), request.route.objective.mul_f64(PREFILL_SHARE));
    let closed = |engine: &Arc<Target>| engine.closed_for(now).filter(|left| *left > prefill_time);
    let decode_engines = engines.iter().filter(|engine| engine.stage() != Some(Stage::Prefill));
    let decode_opening = signals::until_open(decode_engines.map(closed));
    decode_opening.or_else(|| signals::until_open(engines.iter().map(closed)))
}

/// The share of the objective that a prefill takes: an engine that accepts requests again within it
/// can still decode the prompt.
const PREFILL_SHARE: f64 = 0.5;

/// How long it takes to detect that no engine decodes.
const PLAN_DELAY: Duration = Duration::from_millis(1_500);

/// How long it takes until a stage change is read from the log.
const STAGE_CHANGE_DELAY: Duration = Duration::from_millis(1_000);

/// Records which parts of a prompt an engine has cached after it prefilled or received them, and
/// reports this to the coordinators.
fn record_cached(request: &RequestContext, prompt: &Prompt, engine: &Target) {
    let capacity = request.service.engine.as_ref().map_or(0, |spec| spec.kv_capacity);
    engine.engine.record_cached(&prompt.parts, capacity);
    reservation::publish_cached(&request.shared, engine, prefix_hash(prompt), &prompt.parts);
}

/// The hash of the longest prefix that a prompt shares with others.
fn prefix_hash(prompt: &Prompt) -> Hash {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().fold(policy::hash(&prompt.model), |hash, part| policy::mix(hash, part.id))
}

/// The best engine for decode among those not tried that have the required version, for KV cache in
/// failure domain `domain`.
fn choose_decode_engine(
    request: &RequestContext,
    tried: &[Arc<Target>],
    domain: &str,
    required: Required,
) -> Option<Arc<Target>> {
    let now = Instant::now();
    let engines = request.shared.usable(&request.service.name);
    let eligible = engines.iter().filter(|engine| engine.stage() != Some(Stage::Prefill));
    let untried = eligible.filter(|engine| tried.iter().all(|other| other.id != engine.id));
    let untried = untried.filter(|engine| required.allows(engine));
    let untried = untried.filter(|engine| engine.closed_for(now).is_none());
    let max_gap = request.route.max_gap.unwrap_or_default();
    let prefill = request.shared.prefill_settings(&request.service.name);
    let topology = &request.shared.settings.topology;
    let offers = untried.map(|engine| {
        let others = request.shared.peers.load_at(engine.key);
        let streams = engine.engine.streams() + others.streams;
        let pace = engine.decode_pace(max_gap, streams, now);
        let queued = engine.engine.prefill_tokens() + others.prefill_tokens;
        let pauses = !max_gap.is_zero() && pauses_streams(&prefill, queued, &engine.pace());
        let candidate = DecodeCandidate {
            unavailable: engine.is_unavailable(request.unresponsive_after(), now),
            changing: engine.is_changing_stage(now),
            misses_pause: pace.misses_pause || pauses,
            piece_time: pace.piece_time,
            transfer_excess: engine.transfer_excess(TransferDirection::In, now),
            streams,
            slots: engine.slots,
            distance: topology.distance(engine.domain_key, policy::hash(domain)),
        };
        Offer { candidate, engine, random: request.shared.random() }
    });
    let best = decode::choose(offers.collect(), request.route.objective, true);
    best.map(|best| best.engine.clone())
}
