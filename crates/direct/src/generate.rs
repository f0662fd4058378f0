//! Generations: the prompt is read by one engine, which hands its KV cache to another that writes.

mod cache;
mod read;
mod resume;
mod write;

use crate::answer::Body;
use crate::border::Prompt;
use crate::plain;
use crate::route::Stage;
use crate::serve::Job;
use crate::target::{Target, Way};
use crate::trace::Trace;
use http::Response;
use read::Read;
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
    match read::run(&job, &prompt, &mut trace).await {
        Read::Refused(refusal, back) => job.refuse(&mut trace, refusal, back),
        Read::Placed(place) => write::run(job, prompt, place, trace).await,
    }
}

/// Remembers what the engine keeps of a prompt that it has read or taken, and tells the others.
fn keep(job: &Job, prompt: &Prompt, engine: &Target) {
    let room = job.service.engine.as_ref().map_or(0, |spec| spec.memory);
    engine.engine.keep(&prompt.parts, room);
    job.shared.peers.read(engine.key, &prompt.parts);
}

/// Engines that write are told apart by how many of these parts of their slots streams fill. Within
/// one such part the nearer engine is taken: between failure domains a KV cache takes twice as long
/// and costs more, and with fewer streams an output is hardly faster. Worth rose from 0.586 to 0.596
/// and from 0.584 to 0.592 on two loads.
const FILL_PARTS: u32 = 4;

/// Engines whose KV cache is on its way for this share of the objective longer than usual are taken
/// after others: that is as much as reading a prompt may wait for a queue of two others.
const SLOW_STEP: f64 = 0.17;

/// An engine that writes: one with few streams, and of those one in the failure domain `near`.
fn writer(job: &Job, tried: &[Arc<Target>], near: &str) -> Option<Arc<Target>> {
    let now = Instant::now();
    let step = job.route.objective.mul_f64(SLOW_STEP).max(Duration::from_millis(1));
    let engines = job.shared.usable(&job.service.name);
    let able = engines.iter().filter(|engine| engine.stage() != Some(Stage::Prefill));
    let untried = able.filter(|engine| tried.iter().all(|other| other.id != engine.id));
    let ranked = untried.map(|engine| {
        let streams = engine.engine.streams() + job.shared.peers.others(engine.key).streams;
        let fill = streams / (engine.slots / FILL_PARTS).max(1);
        let away = engine.domain != near;
        let slow = engine.handover_excess(Way::In, now).as_micros() / step.as_micros();
        let paused = engine.is_away(job.patience(), now);
        let rank = (paused, engine.is_changing(now), slow, fill, away, streams);
        (rank, job.shared.random(), engine)
    });
    let least = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    least.map(|(_, _, engine)| engine.clone())
}
