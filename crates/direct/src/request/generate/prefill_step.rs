//! The first half of a generation: an engine reads the prompt, unless the one that writes will.

use super::cache::Cache;
use super::{keep, start};
use crate::codec::{AttemptHead, KvHandle, Prompt, Step};
use crate::config::route::Stage;
use crate::request::context::{Job, SHORTLY};
use crate::request::dispatch;
use crate::request::permits::Permit;
use crate::request::prefill_placement;
use crate::request::reservation::Reservation;
use crate::request::response::Refusal;
use crate::request::trace::Trace;
use crate::targets::attempt::{self, Outcome};
use crate::targets::target::{Target, TransferDirection};
use compact_str::CompactString;
use http_body_util::BodyExt;
use policy::prefill::{self, PrefillCandidate};
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
    /// This engine reads and writes.
    There(There),
    /// Whichever engine writes reads it.
    Anywhere,
}

impl Place {
    /// The failure domain to which whoever writes should be near.
    pub(super) fn near<'a>(&'a self, job: &'a Job) -> &'a str {
        match self {
            Self::Kept(cache) => &cache.holder().domain,
            Self::There(_) | Self::Anywhere => &job.shared.settings.domain,
        }
    }
}

/// An engine that is to read a prompt.
pub(super) struct There {
    /// The engine.
    pub(super) engine: Arc<Target>,
    /// The engine from which it first copies the prompt's start.
    pub(super) fetch: Option<Arc<Target>>,
    /// Tokens that are left to read.
    pub(super) tokens: u64,
    /// Tokens that wait there before it.
    waiting: u64,
    /// Whether it may be sent there.
    pub(super) permit: Permit,
    /// Its booking, unless this entry decided alone.
    pub(super) reservation: Option<Reservation>,
}

/// Has the prompt read, or finds out where it can be.
pub(super) async fn run(job: &Arc<Job>, prompt: &Prompt, trace: &mut Trace) -> Read {
    let began = Instant::now();
    // It is sent to the engine that reads and to the one that writes.
    let once = u64::try_from(job.content.body.len()).unwrap_or(u64::MAX);
    match job.shared.reserve_link(once * 2, job.route.objective) {
        Ok(turn) if turn.is_zero() => {}
        Ok(turn) => tokio::time::sleep(turn).await,
        // Another entry's link is likely free now.
        Err(back) => return Read::Refused(Refusal::LinkFull, back.min(SHORTLY)),
    }
    let read = find_and_read(job, prompt, trace, began).await;
    match &read {
        Read::Refused(..) => job.shared.release_link(once * 2),
        Read::Placed(Place::There(_) | Place::Anywhere) => job.shared.release_link(once),
        Read::Placed(Place::Kept(_)) => {}
    }
    read
}

/// Has the prompt read, or finds out where it can be, once it may be sent.
async fn find_and_read(job: &Arc<Job>, prompt: &Prompt, trace: &mut Trace, began: Instant) -> Read {
    let wanted = wanted(job, prompt, began.elapsed());
    let mut counted = wanted.late;
    let mut tried: Vec<Arc<Target>> = Vec::new();
    while trace.sendings < READERS {
        let found = find(job, prompt, &wanted, &tried).await;
        if !std::mem::replace(&mut counted, true) {
            job.shared.loads.record_request(&job.service.name, found.unread(prompt));
        }
        let place = match found {
            Found::Full { .. } if prompt.input_tokens <= SHORT_PROMPT => {
                return Read::Placed(Place::Anywhere);
            }
            Found::Full { soonest, .. } => {
                let settings = job.shared.prompts(&job.service.name);
                let random = job.shared.random();
                let back = prefill::retry_after(&settings, soonest, job.left(), random);
                return Read::Refused(Refusal::PromptsFull, back);
            }
            Found::At(place) => place,
        };
        if place.engine.stage() != Some(Stage::Prefill) {
            return Read::Placed(Place::There(place));
        }
        tried.push(place.engine.clone());
        if place.engine.check_open(Instant::now()).is_err() {
            continue;
        }
        if trace.sendings > 0 && !job.shared.try_book_extra(&job.service.name) {
            return Read::Refused(Refusal::TargetRefused, SHORTLY);
        }
        if let Some(cache) = prefill(job, prompt, place, trace).await {
            return Read::Placed(Place::Kept(cache));
        }
        if Instant::now() >= job.until {
            break;
        }
    }
    Read::Refused(Refusal::TargetRefused, SHORTLY)
}

/// Where a prompt can be read.
enum Found {
    At(There),
    Full { soonest: Duration, kept: u64 },
}

impl Found {
    /// Tokens of the prompt that no engine keeps.
    fn unread(&self, prompt: &Prompt) -> u64 {
        match self {
            Self::At(there) => there.tokens,
            Self::Full { kept, .. } => u64::from(prompt.input_tokens).saturating_sub(*kept),
        }
    }
}

/// Finds an engine: by asking those that coordinate them or, where nobody answers, by what this entry
/// knows itself.
async fn find(
    job: &Arc<Job>,
    prompt: &Prompt,
    wanted: &prefill::Prompt,
    tried: &[Arc<Target>],
) -> Found {
    match prefill_placement::find(job, prompt, wanted, tried).await {
        prefill_placement::Found::Booked(reserved) => {
            let prefill_placement::Reserved { engine, fetch, tokens, waiting, permit, reservation } =
                reserved;
            let reservation = Some(reservation);
            Found::At(There { engine, fetch, tokens, waiting, permit, reservation })
        }
        prefill_placement::Found::Full { soonest, kept } => Found::Full { soonest, kept },
        prefill_placement::Found::Unheard(engines) => alone(job, prompt, wanted, &engines, tried),
    }
}

/// Places a prompt by what this entry knows itself, and the others told it of their work.
fn alone(
    job: &Job,
    prompt: &Prompt,
    wanted: &prefill::Prompt,
    engines: &[Arc<Target>],
    tried: &[Arc<Target>],
) -> Found {
    let engines = candidates(job, engines, tried);
    let readers: Vec<PrefillCandidate> =
        engines.iter().map(|engine| reader(job, engine, prompt)).collect();
    let settings = job.shared.prompts(&job.service.name);
    match prefill::place(&settings, wanted, &readers, job.shared.load_scale()) {
        prefill::Placement::Full(soonest) => {
            let kept = readers.iter().map(|reader| reader.cached_tokens).max().unwrap_or_default();
            Found::Full { soonest, kept }
        }
        prefill::Placement::Prefill { at, copy_from, tokens } => {
            let (engine, waiting) = (engines[at].clone(), readers[at].queued_tokens);
            let fetch = copy_from.map(|at| engines[at].clone());
            let permit = Permit::Wanted;
            Found::At(There { engine, fetch, tokens, waiting, permit, reservation: None })
        }
    }
}

/// Engines that may read: all that can be reached and were not tried.
fn candidates(job: &Job, engines: &[Arc<Target>], tried: &[Arc<Target>]) -> Vec<Arc<Target>> {
    let now = Instant::now();
    let untried = |engine: &&Arc<Target>| tried.iter().all(|other| other.id != engine.id);
    let able =
        |engine: &&Arc<Target>| !engine.is_changing_stage(now) && engine.closed_for(now).is_none();
    let able: Vec<_> = engines.iter().filter(untried).filter(able).cloned().collect();
    let here = |engine: &&Arc<Target>| !engine.is_unavailable(job.patience(), now);
    let present: Vec<_> = able.iter().filter(here).cloned().collect();
    // All seem away to a process that was frozen itself and has not read what they said.
    if present.is_empty() { able } else { present }
}

fn reader(job: &Job, engine: &Arc<Target>, prompt: &Prompt) -> PrefillCandidate {
    let others = job.shared.peers.load_at(engine.key);
    let streams = engine.engine.streams() + others.streams;
    PrefillCandidate {
        key: engine.key,
        decodes: engine.stage() != Some(Stage::Prefill),
        queued_tokens: engine.engine.prefill_tokens() + others.prefill_tokens,
        cached_tokens: engine.engine.cached_tokens(&prompt.parts),
        slot_usage: f64::from(streams) / f64::from(engine.slots.max(1)),
        transfer_excess: engine.transfer_excess(TransferDirection::Out, Instant::now()),
        domain: engine.domain_key,
    }
}

/// What is wanted of an engine, for a prompt that has `waited` here.
fn wanted(job: &Job, prompt: &Prompt, waited: Duration) -> prefill::Prompt {
    let late = job.shared.is_retry(&job.route, job.ask.deadline);
    let (tokens, objective) =
        (u64::from(prompt.input_tokens), job.route.objective.saturating_sub(waited));
    prefill::Prompt { prefix_hash: start(prompt), tokens, objective, late }
}

/// Has an engine read the prompt; `None` if it did not.
async fn prefill(
    job: &Arc<Job>,
    prompt: &Prompt,
    place: There,
    trace: &mut Trace,
) -> Option<Cache> {
    let There { engine, fetch, tokens, waiting, permit, reservation } = place;
    let engine = &engine;
    let _entered = engine.begin_request();
    let _reading = engine.engine.begin_prefill(tokens);
    let fetch = fetch.map(|engine| engine.address);
    let settings = &job.shared.settings.prompts;
    let urgency = Some(prefill::priority(settings, tokens, job.rank()));
    let kept = u64::from(prompt.input_tokens).saturating_sub(tokens);
    job.shared.metrics.prompt_tokens(tokens, kept);
    let sending = AttemptHead {
        step: Step::Prefill,
        fetch_from: fetch,
        priority: urgency,
        ..job.sending(engine)
    };
    let began = Instant::now();
    let outcome = dispatch::send(job, engine, &sending, permit).await;
    let name = outcome.name();
    let took = began.elapsed();
    trace.tried("read", &engine.id, name, took);
    trace.sendings += u32::from(!matches!(outcome, Outcome::NotSent(_) | Outcome::Closed(_)));
    match outcome {
        Outcome::Answered(answered) => {
            let success = answered.response.status().is_success();
            let id = handle(job, *answered).await.filter(|_| success)?;
            job.shared.record_prefill_time(&job.service.name, waiting + tokens, took);
            has_read(job, prompt, engine, reservation);
            let handle = KvHandle { holder: engine.address, id };
            return Some(Cache::new(job, engine, handle));
        }
        Outcome::NotRun(_) => job.shared.book_extra(&job.service.name),
        Outcome::TimedOut | Outcome::Closed(_) => {}
        Outcome::NotSent(_) => failed(reservation),
        Outcome::Unknown(_) => {
            job.suspect(engine);
            failed(reservation);
        }
    }
    None
}

/// Remembers what the engine keeps, and ends the booking with that.
pub(super) fn has_read(
    job: &Job,
    prompt: &Prompt,
    engine: &Target,
    reservation: Option<Reservation>,
) {
    let Some(reservation) = reservation else { return keep(job, prompt, engine) };
    engine.engine.record_cached(&prompt.parts, job.shared.kv_capacity(&job.service.name));
    reservation.read(&prompt.parts);
}

fn failed(reservation: Option<Reservation>) {
    if let Some(reservation) = reservation {
        reservation.failed();
    }
}

/// Reads the handle from the answer, and keeps the connection.
async fn handle(job: &Job, answered: attempt::Answered) -> Option<CompactString> {
    let attempt::Answered { response, head, connection } = answered;
    let body = tokio::time::timeout_at(job.last_word(), response.into_body().collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            log::info!(target: "request", id = job.id(), error:% = error; "handle cut off");
            return None;
        }
        Err(_) => return None,
    };
    connection.keep(head.keep_alive, Instant::now());
    match job.shared.codec.decode_handle(&body) {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!(target: "request", id = job.id(), error:% = error; "handle not readable");
            None
        }
    }
}
