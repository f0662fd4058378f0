//! The first half of a generation: an engine reads the prompt, unless the one that writes will.

use super::cache::Cache;
use super::keep;
use crate::answer::Refusal;
use crate::attempt::{self, Outcome};
use crate::border::{Handle, Prompt, Sending, Step};
use crate::route::Stage;
use crate::serve::{Job, SHORTLY, went};
use crate::target::{Target, Way};
use crate::trace::Trace;
use compact_str::CompactString;
use http_body_util::BodyExt;
use policy::prompts::{self, Reader};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Engines that read a prompt, tried for one request. Reading is not running, so the bound is
/// only there for the budget of extras.
const READERS: u32 = 2;

/// Prompts up to this size are read by the engine that writes if no other has room, in tokens: it
/// takes a few milliseconds there.
const SHORT_PROMPT: u32 = 1_024;

/// What became of reading a prompt.
pub(super) enum Read {
    /// It can be written.
    Placed(Place),
    /// It is not read, and so not run.
    Refused(Refusal, Duration),
}

/// Where a prompt is read.
pub(super) enum Place {
    /// It has been, and is kept under a handle.
    Kept(Cache),
    /// This engine reads and writes, after copying the prompt's start from another.
    There {
        /// The engine.
        engine: Arc<Target>,
        /// The other one.
        fetch: Option<Arc<Target>>,
        /// Tokens that are left to read.
        tokens: u64,
    },
    /// Whichever engine writes reads it.
    Anywhere,
}

/// Has the prompt read, or finds out where it can be.
pub(super) async fn run(job: &Arc<Job>, prompt: &Prompt, trace: &mut Trace) -> Read {
    // It is sent to the engine that reads and to the one that writes.
    let bytes = u64::try_from(job.content.body.len() * 2).unwrap_or(u64::MAX);
    if let Some(back) = job.shared.link_full(bytes, job.route.objective) {
        // Another entry's link is likely free now.
        return Read::Refused(Refusal::LinkFull, back.min(SHORTLY));
    }
    let wanted = wanted(job, prompt);
    let mut counted = wanted.late;
    let mut tried: Vec<Arc<Target>> = Vec::new();
    while trace.sendings < READERS {
        let engines = candidates(job, &tried);
        let readers: Vec<Reader> =
            engines.iter().map(|engine| reader(job, engine, prompt)).collect();
        if !std::mem::replace(&mut counted, true) {
            ask(job, prompt, &readers);
        }
        let entries = job.shared.unheard();
        let settings = job.shared.prompts(&job.service.name);
        match prompts::place(&settings, &wanted, &readers, entries) {
            prompts::Place::Full(_) if prompt.input <= SHORT_PROMPT => {
                return Read::Placed(Place::Anywhere);
            }
            prompts::Place::Full(soonest) => {
                let random = job.shared.random();
                let back = prompts::come_back(&settings, soonest, job.left(), random);
                return Read::Refused(Refusal::PromptsFull, back);
            }
            prompts::Place::Read { at, copy_from, tokens } => {
                let engine = engines[at].clone();
                let fetch = copy_from.map(|at| engines[at].clone());
                if engine.stage() != Some(Stage::Prefill) {
                    return Read::Placed(Place::There { engine, fetch, tokens });
                }
                if trace.sendings > 0 && !job.shared.may_send_extra(&job.service.name) {
                    return Read::Refused(Refusal::TargetRefused, SHORTLY);
                }
                if let Some(cache) = prefill(job, prompt, &engine, fetch, tokens, trace).await {
                    return Read::Placed(Place::Kept(cache));
                }
                tried.push(engine);
            }
        }
        if Instant::now() >= job.until {
            break;
        }
    }
    Read::Refused(Refusal::TargetRefused, SHORTLY)
}

/// Engines that may read: all that can be reached and were not tried.
fn candidates(job: &Job, tried: &[Arc<Target>]) -> Vec<Arc<Target>> {
    let now = Instant::now();
    let engines = job.shared.usable(&job.service.name);
    let untried = |engine: &&Arc<Target>| tried.iter().all(|other| other.id != engine.id);
    let able: Vec<_> =
        engines.iter().filter(untried).filter(|engine| !engine.is_changing(now)).cloned().collect();
    let here = |engine: &&Arc<Target>| !engine.is_away(job.patience(), now);
    let present: Vec<_> = able.iter().filter(here).cloned().collect();
    // All seem away to a process that was frozen itself and has not read what they said.
    if present.is_empty() { able } else { present }
}

fn reader(job: &Job, engine: &Arc<Target>, prompt: &Prompt) -> Reader {
    let others = job.shared.peers.others(engine.key);
    let streams = engine.engine.streams() + others.streams;
    Reader {
        key: engine.key,
        writes: engine.stage() != Some(Stage::Prefill),
        waiting: engine.engine.reading() + others.reading,
        kept: engine.engine.kept(&prompt.parts),
        filled: f64::from(streams) / f64::from(engine.slots.max(1)),
        handover: engine.handover_excess(Way::Out, Instant::now()),
        domain: engine.domain_key,
    }
}

/// Counts what the request asks of the engines: what none of them keeps has to be read.
fn ask(job: &Job, prompt: &Prompt, readers: &[Reader]) {
    let kept = readers.iter().map(|reader| reader.kept).max().unwrap_or_default();
    let unread = u64::from(prompt.input).saturating_sub(kept);
    job.shared.loads.ask(&job.service.name, unread);
}

fn wanted(job: &Job, prompt: &Prompt) -> prompts::Prompt {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let start =
        shared.iter().fold(policy::hash(&prompt.model), |hash, part| policy::mix(hash, part.id));
    let late = job.shared.has_waited(&job.route, job.ask.deadline);
    let (tokens, objective) = (u64::from(prompt.input), job.route.objective);
    prompts::Prompt { start, tokens, objective, late }
}

/// Has an engine read the prompt; `None` if it did not.
async fn prefill(
    job: &Arc<Job>,
    prompt: &Prompt,
    engine: &Arc<Target>,
    fetch: Option<Arc<Target>>,
    tokens: u64,
    trace: &mut Trace,
) -> Option<Cache> {
    let _entered = engine.enter();
    let before = engine.engine.reading() + job.shared.peers.others(engine.key).reading;
    let _reading = engine.engine.read(tokens);
    let fetch = fetch.map(|engine| engine.address);
    let settings = &job.shared.settings.prompts;
    let urgency = Some(prompts::urgency(settings, tokens, job.route.rank));
    let kept = u64::from(prompt.input).saturating_sub(tokens);
    job.shared.metrics.prompt(tokens, kept);
    let sending = Sending { step: Step::Prefill, fetch, urgency, ..job.sending(engine) };
    let began = Instant::now();
    let outcome = job.send(engine, &sending).await;
    let name = went(&outcome);
    let took = began.elapsed();
    trace.tried("read", &engine.id, name, took);
    trace.sendings += u32::from(!matches!(outcome, Outcome::NotSent(_)));
    match outcome {
        Outcome::Answered(answered) => {
            let success = answered.response.status().is_success();
            let id = handle(job, *answered).await.filter(|_| success)?;
            job.shared.sample_reading(&job.service.name, before + tokens, took);
            keep(job, prompt, engine);
            let handle = Handle { holder: engine.address, id };
            return Some(Cache::new(job, engine, handle));
        }
        Outcome::NotRun(_) => job.shared.book_extra(&job.service.name),
        Outcome::NotSent(_) | Outcome::Late => {}
        Outcome::Unknown(_) => job.suspect(engine),
    }
    None
}

/// Reads the handle from the answer, and keeps the connection.
async fn handle(job: &Job, answered: attempt::Answered) -> Option<CompactString> {
    let attempt::Answered { response, reply, connection } = answered;
    let body = tokio::time::timeout_at(job.last_word(), response.into_body().collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            log::info!(target: "request", id = job.id(), error:% = error; "handle cut off");
            return None;
        }
        Err(_) => return None,
    };
    connection.keep(reply.keep_alive, Instant::now());
    match job.shared.border.handle(&body) {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!(target: "request", id = job.id(), error:% = error; "handle not readable");
            None
        }
    }
}
