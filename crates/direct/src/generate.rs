//! Generations: the prompt is read by one engine, which hands its KV cache to another that writes.

use crate::answer::{Body, Failure, Refusal};
use crate::attempt::{self, Outcome};
use crate::border::{Handle, Prompt, Sending, Step};
use crate::plain;
use crate::relay::{Resume, Source};
use crate::route::{Repeat, Stage};
use crate::serve::{Job, SHORTLY, book, relay, went};
use crate::target::Target;
use crate::trace::Trace;
use compact_str::CompactString;
use http::{Method, Response};
use http_body_util::BodyExt;
use policy::prompts::{self, Place, Reader};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Engines that read a prompt, tried for one request. Reading is not running, so the bound is
/// only there for the budget of extras.
const READERS: u32 = 2;

/// Prompts up to this size are read by the engine that writes if no other has room, in tokens: it
/// takes a few milliseconds there.
const SHORT_PROMPT: u32 = 1_024;

/// How long freeing a KV cache may take.
const FREE: Duration = Duration::from_millis(500);

/// KV cache that waits for the engine that writes. Dropped, it is freed.
struct Cache {
    engine: Arc<Target>,
    handle: Option<Handle>,
    job: Arc<Job>,
}

/// What became of reading a prompt.
enum Read {
    /// It is kept under a handle.
    Kept(Cache),
    /// The engine that writes is to read it, after copying its start from this one.
    There { engine: Arc<Target>, fetch: Option<Arc<Target>>, tokens: u64 },
    /// The engine that writes reads it; any will do.
    Anywhere,
    /// It is not read, and so not run.
    Refused(Refusal, Duration),
}

/// Serves a generation.
pub async fn run(job: Arc<Job>, mut trace: Trace) -> Response<Body> {
    let engines = job.shared.usable(&job.service.name);
    let apart = engines.iter().any(|engine| engine.stage() == Some(Stage::Prefill));
    let writers = engines.iter().any(|engine| engine.stage() == Some(Stage::Decode));
    let Some(prompt) = job.ask.prompt.clone() else { return plain::run(job, trace).await };
    if !apart && !writers {
        return plain::run(job, trace).await;
    }
    match read(&job, &prompt, &mut trace).await {
        Read::Refused(refusal, back) => job.refuse(&mut trace, refusal, back),
        read => write(job, prompt, read, trace).await,
    }
}

async fn read(job: &Arc<Job>, prompt: &Prompt, trace: &mut Trace) -> Read {
    // It is sent to the engine that reads and to the one that writes.
    let bytes = u64::try_from(job.content.body.len() * 2).unwrap_or(u64::MAX);
    if let Some(back) = job.shared.link_full(bytes, job.route.objective) {
        // Another entry's link is likely free now.
        return Read::Refused(Refusal::LinkFull, back.min(SHORTLY));
    }
    let mut tried: Vec<Arc<Target>> = Vec::new();
    while trace.sendings < READERS {
        let engines = candidates(job, &tried);
        let readers: Vec<Reader> =
            engines.iter().map(|engine| reader(job, engine, prompt)).collect();
        let wanted = wanted(job, prompt);
        let entries = job.shared.unheard();
        let settings = job.shared.prompts(&job.service.name);
        match prompts::place(&settings, &wanted, &readers, entries) {
            Place::Full(_) if prompt.input <= SHORT_PROMPT => return Read::Anywhere,
            Place::Full(back) => {
                let left = job.left();
                return Read::Refused(Refusal::PromptsFull, back.min(left));
            }
            Place::Read { at, copy_from, tokens } => {
                let engine = engines[at].clone();
                let fetch = copy_from.map(|at| engines[at].clone());
                if engine.stage() != Some(Stage::Prefill) {
                    return Read::There { engine, fetch, tokens };
                }
                if trace.sendings > 0 && !job.shared.may_send_extra(&job.service.name) {
                    return Read::Refused(Refusal::TargetRefused, SHORTLY);
                }
                if let Some(cache) = prefill(job, prompt, &engine, fetch, tokens, trace).await {
                    return Read::Kept(cache);
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
    let able = engines.iter().filter(untried).filter(|engine| !engine.is_paused(now));
    able.filter(|engine| !engine.is_changing(now)).cloned().collect()
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
    }
}

fn wanted(job: &Job, prompt: &Prompt) -> prompts::Prompt {
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let start =
        shared.iter().fold(policy::hash(&prompt.model), |hash, part| policy::mix(hash, part.id));
    prompts::Prompt {
        start,
        tokens: u64::from(prompt.input),
        shared: shared.iter().map(|part| u64::from(part.tokens)).sum(),
        objective: job.route.objective,
    }
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
    let sending = Sending { step: Step::Prefill, fetch, urgency, ..sending(job, engine) };
    let began = Instant::now();
    let outcome = job.send(engine, &sending).await;
    let name = went(&outcome);
    let took = began.elapsed();
    trace.tried("read", &engine.id, name, took);
    trace.sendings += u32::from(!matches!(outcome, Outcome::NotSent(_)));
    job.shared.metrics.sending(name);
    match outcome {
        Outcome::Answered(answered) => {
            let success = answered.response.status().is_success();
            let id = handle(job, *answered).await.filter(|_| success)?;
            job.shared.sample_reading(&job.service.name, before + tokens, took);
            keep(job, prompt, engine);
            let handle = Some(Handle { holder: engine.address, id });
            return Some(Cache { engine: engine.clone(), handle, job: job.clone() });
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

fn keep(job: &Job, prompt: &Prompt, engine: &Target) {
    let room = job.service.engine.as_ref().map_or(0, |spec| spec.memory);
    engine.engine.keep(&prompt.parts, room);
    let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    job.shared.peers.read(engine.key, shared);
}

fn sending(job: &Job, target: &Target) -> Sending {
    Sending {
        target: target.id.clone(),
        deadline: job.left(),
        urgency: Some(job.route.rank.min(LEAST_URGENT)),
        ..Sending::default()
    }
}

/// The lowest urgency that engines know.
const LEAST_URGENT: u8 = 9;

/// Has an engine write the output, and passes it on.
async fn write(job: Arc<Job>, prompt: Prompt, read: Read, mut trace: Trace) -> Response<Body> {
    let mut read = read;
    let mut tried: Vec<Arc<Target>> = Vec::new();
    let (mut sent, mut maybe_run) = (0, false);
    while sent < job.route.attempts.max(1) && Instant::now() < job.until {
        let chosen = match &read {
            Read::There { engine, .. } if tried.is_empty() => Some(engine.clone()),
            _ => writer(&job, &tried),
        };
        let Some(engine) = chosen else { break };
        if sent > 0 && !job.shared.may_send_extra(&job.service.name) {
            break;
        }
        tried.push(engine.clone());
        let mut booking = book(&engine, Some(engine.engine.write()));
        let mut sending = sending(&job, &engine);
        match &read {
            Read::Kept(cache) => {
                if let Some(handle) = &cache.handle {
                    sending.step = Step::Decode(handle.clone());
                }
            }
            Read::There { fetch, tokens, .. } => {
                sending.fetch = fetch.as_ref().map(|engine| engine.address);
                booking.reading = Some(engine.engine.read(*tokens));
            }
            Read::Anywhere | Read::Refused(..) => {
                booking.reading = Some(engine.engine.read(u64::from(prompt.input)));
            }
        }
        let began = Instant::now();
        let outcome = job.send(&engine, &sending).await;
        let name = went(&outcome);
        trace.tried("write", &engine.id, name, began.elapsed());
        job.shared.metrics.sending(name);
        match outcome {
            Outcome::NotSent(detail) => {
                log::info!(target: "request", id = job.id(), target_id = engine.id.as_str(),
                    detail = detail.as_str(); "target not reached");
                if u32::try_from(tried.len()).unwrap_or(u32::MAX) > READERS {
                    break;
                }
                continue;
            }
            Outcome::Answered(answered) => {
                if let Read::Kept(cache) = &mut read {
                    cache.handle = None;
                }
                trace.sendings += sent + 1;
                keep(&job, &prompt, &engine);
                let source = Source { answered, booking };
                let success = source.answered.response.status().is_success();
                let resume = (success && job.route.repeat == Repeat::Resumable)
                    .then(|| Continuation::boxed(&job, sent + 1));
                return relay(&job, source, resume, trace);
            }
            Outcome::NotRun(_) => {}
            Outcome::Unknown(_) => {
                maybe_run = true;
                job.suspect(&engine);
                // The cache may have been taken with it.
                read = Read::Anywhere;
                if !job.may_repeat() {
                    break;
                }
            }
            Outcome::Late => {
                maybe_run = true;
                break;
            }
        }
        sent += 1;
    }
    trace.sendings += sent;
    if maybe_run {
        let late = Instant::now() >= job.until;
        return job.fail(&mut trace, if late { Failure::Late } else { Failure::Lost });
    }
    let refusal = if sent > 0 { Refusal::TargetRefused } else { Refusal::Unreachable };
    job.refuse(&mut trace, refusal, SHORTLY)
}

/// The engine that writes with the fewest streams, as a share of its slots.
fn writer(job: &Job, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let engines = job.shared.usable(&job.service.name);
    let able = engines.iter().filter(|engine| engine.stage() != Some(Stage::Prefill));
    let untried = able.filter(|engine| tried.iter().all(|other| other.id != engine.id));
    let ranked = untried.map(|engine| {
        let streams = engine.engine.streams() + job.shared.peers.others(engine.key).streams;
        let rank = (engine.is_paused(now), engine.is_changing(now), streams);
        (rank, job.shared.random(), engine)
    });
    let least = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    least.map(|(_, _, engine)| engine.clone())
}

/// Goes on with a stream that broke, at another engine.
struct Continuation {
    job: Arc<Job>,
    /// Engines that the request was sent to so far.
    sent: u32,
}

impl Continuation {
    fn boxed(job: &Arc<Job>, sent: u32) -> Box<dyn Resume> {
        Box::new(Self { job: job.clone(), sent })
    }
}

impl Resume for Continuation {
    fn resume(
        &self,
        after: Option<u64>,
        failed: &Arc<Target>,
    ) -> Pin<Box<dyn Future<Output = Option<Source>> + Send>> {
        let (job, failed) = (self.job.clone(), failed.clone());
        let allowed = self.sent < job.route.attempts;
        Box::pin(async move {
            job.suspect(&failed);
            if !allowed || !job.shared.may_send_extra(&job.service.name) {
                return None;
            }
            let engine = writer(&job, &[failed])?;
            let booking = book(&engine, Some(engine.engine.write()));
            let sending = Sending { after_event: after, ..sending(&job, &engine) };
            let outcome = job.send(&engine, &sending).await;
            let name = went(&outcome);
            job.shared.metrics.sending(name);
            log::info!(target: "request", id = job.id(), target_id = engine.id.as_str(),
                after:? = after, went = name; "stream resumed");
            match outcome {
                Outcome::Answered(answered) if answered.response.status().is_success() => {
                    Some(Source { answered, booking })
                }
                _ => None,
            }
        })
    }
}

impl Drop for Cache {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        let engine = self.engine.clone();
        let path = self.job.shared.border.free_path(&handle.id);
        tokio::spawn(async move {
            let freed = attempt::call(&engine, Method::DELETE, &path, Vec::new(), FREE).await;
            if let Err(detail) = freed {
                log::info!(target: "request", target_id = engine.id.as_str(),
                    detail = detail.as_str(); "cache not freed");
            }
        });
    }
}
