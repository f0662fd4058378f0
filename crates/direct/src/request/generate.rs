//! Generations: the prompt is read by one engine, which hands its KV cache to another that writes.

mod cache;
mod decode_step;
mod prefill_step;
mod resume;

use crate::codec::Prompt;
use crate::config::route::Stage;
use crate::request::context::Job;
use crate::request::reservation;
use crate::request::response::{Body, Refusal};
use crate::request::trace::Trace;
use crate::request::{permits, plain};
use crate::targets::target::{Target, TransferDirection};
use http::Response;
use policy::Hash;
use policy::decode::{self, DecodeCandidate};
use policy::signals;
use prefill_step::Read;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Serves a generation.
pub async fn run(job: Arc<Job>, mut trace: Trace) -> Response<Body> {
    let engines = job.shared.usable(&job.service.name);
    let staged = engines.iter().any(|engine| engine.stage().is_some());
    let Some(prompt) = job.ask.prompt.clone().filter(|_| staged) else {
        return plain::run(job, trace).await;
    };
    let piece = job.service.engine.as_ref().and_then(|engine| engine.piece_tokens);
    trace.output = piece.map(|tokens| (job.service.name.clone(), tokens));
    if let Some(back) = until_written(&job, &engines) {
        return job.refuse(&mut trace, Refusal::NoWriter, back);
    }
    if let Some(back) = until_open(&job, &engines) {
        return job.refuse(&mut trace, Refusal::Limited, permits::come_back(&job, back));
    }
    match prefill_step::run(&job, &prompt, &mut trace).await {
        Read::Refused(refusal, back) => job.refuse(&mut trace, refusal, back),
        Read::Placed(place) => decode_step::run(job, prompt, place, trace).await,
    }
}

/// How long it takes until an engine writes again, if none can now.
///
/// All engines that write can be lost while others go on reading: what these read then is read for
/// nobody, and each request ends late and untried. Refused at once, its caller has the time to come
/// back when engines have changed their stage.
fn until_written(job: &Job, engines: &[Arc<Target>]) -> Option<Duration> {
    let now = Instant::now();
    let is_here = |engine: &&Arc<Target>| !engine.is_unavailable(job.patience(), now);
    let writes = |engine: &Arc<Target>| {
        let able = !engine.is_changing_stage(now) && !engine.has_transfer_backlog(now);
        able && engine.stage() != Some(Stage::Prefill)
    };
    // All seem away to a process that was frozen itself and has not read what they said.
    let any_here = engines.iter().any(|engine| is_here(&engine));
    if !any_here || engines.iter().filter(is_here).any(writes) {
        return None;
    }
    let switch =
        job.service.engine.as_ref().map_or(Duration::ZERO, |engine| engine.stage_change_time);
    let begun =
        engines.iter().filter_map(|engine| engine.stage_change_age(Stage::Decode, now)).max();
    // Without a plan so far, it is still to be noticed.
    let left = begun.map_or(switch + NOTICED, |begun| switch.saturating_sub(begun));
    Some(left + TOLD)
}

/// How long until engines take requests again, if all that could read the prompt or all that could write the
/// output pause, or have no permit left: what is read meanwhile is read for nobody.
fn until_open(job: &Job, engines: &[Arc<Target>]) -> Option<Duration> {
    let (now, reading) = (Instant::now(), job.route.objective.mul_f64(READING_PART));
    let closed = |engine: &Arc<Target>| engine.closed_for(now).filter(|left| *left > reading);
    let writers = engines.iter().filter(|engine| engine.stage() != Some(Stage::Prefill));
    let until_written = signals::until_open(writers.map(closed));
    until_written.or_else(|| signals::until_open(engines.iter().map(closed)))
}

/// The part of an objective that reading a prompt takes: who opens within it can write what was read.
const READING_PART: f64 = 0.5;

/// How long it takes until it is noticed that nobody writes.
const NOTICED: Duration = Duration::from_millis(1_500);

/// How long it takes until a changed stage is read from the log.
const TOLD: Duration = Duration::from_millis(1_000);

/// Remembers what the engine keeps of a prompt that it has read or taken, and tells the others.
fn keep(job: &Job, prompt: &Prompt, engine: &Target) {
    let room = job.service.engine.as_ref().map_or(0, |spec| spec.kv_capacity);
    engine.engine.record_cached(&prompt.parts, room);
    reservation::keeps(&job.shared, engine, start(prompt), &prompt.parts);
}

/// The hash of a prompt's longest shared start.
fn start(prompt: &Prompt) -> Hash {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().fold(policy::hash(&prompt.model), |hash, part| policy::mix(hash, part.id))
}

/// The engine that writes best, not among those tried, for KV cache in the failure domain `near`.
fn writer(job: &Job, tried: &[Arc<Target>], near: &str) -> Option<Arc<Target>> {
    let now = Instant::now();
    let engines = job.shared.usable(&job.service.name);
    let able = engines.iter().filter(|engine| engine.stage() != Some(Stage::Prefill));
    let untried = able.filter(|engine| tried.iter().all(|other| other.id != engine.id));
    let untried = untried.filter(|engine| engine.closed_for(now).is_none());
    let ranked = untried.map(|engine| {
        let writer = DecodeCandidate {
            unavailable: engine.is_unavailable(job.patience(), now),
            changing: engine.is_changing_stage(now),
            transfer_excess: engine.transfer_excess(TransferDirection::In, now),
            streams: engine.engine.streams() + job.shared.peers.load_at(engine.key).streams,
            slots: engine.slots,
            same_domain: engine.domain == near,
        };
        // Equal ones are drawn at random, so that entries don't all take the same.
        (decode::rank(&writer, job.route.objective), job.shared.random(), engine)
    });
    let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, engine)| engine.clone())
}
