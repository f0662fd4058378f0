//! The first half of a generation: an engine prefills the prompt, unless the engine that decodes
//! will do so.

use super::cache::HeldCache;
use super::{prefix_hash, record_cached};
use crate::codec::{AttemptHead, KvHandle, Prompt, Step};
use crate::config::route::Stage;
use crate::request::context::{RequestContext, TARGET_RETRY_AFTER};
use crate::request::dispatch;
use crate::request::permits::Permit;
use crate::request::prefill_placement::{self, ReservedEngine, SearchResult};
use crate::request::reservation::Reservation;
use crate::request::response::Refusal;
use crate::request::subject::Progress;
use crate::request::trace::Trace;
use crate::targets::attempt::{self, Outcome};
use crate::targets::target::{Target, TransferDirection};
use body::End;
use compact_str::CompactString;
use policy::prefill::{self, PrefillCandidate};
use policy::promise::Promise;
use policy::retry_detection::Attempt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Prefill attempts for one request. A prefill does not count as running the request, so the bound
/// only protects the budget of extra attempts.
const MAX_PREFILL_ATTEMPTS: u32 = 2;

/// Prompts of up to this many tokens are prefilled by the decode engine if no other has room: it
/// takes a few milliseconds there.
const SHORT_PROMPT_TOKENS: u32 = 1_024;

/// The result of the first half.
pub(super) enum PrefillResult {
    /// The prompt can be decoded.
    Ready(PromptState),
    /// The prompt was not prefilled, so the request has not run; with the time after which to
    /// retry.
    Refused(Refusal, Duration),
}

/// How the decode engine gets the prompt's KV cache.
pub(super) enum PromptState {
    /// It has been prefilled and is held under a handle.
    Cached(HeldCache),
    /// This engine both prefills and decodes.
    Engine(PrefillPlacement),
    /// The engine that decodes, whichever it is, also prefills it.
    AnyEngine,
}

impl PromptState {
    /// The failure domain in which the decode engine should be.
    pub(super) fn preferred_domain<'a>(&'a self, request: &'a RequestContext) -> &'a str {
        match self {
            Self::Cached(cache) => &cache.holder().domain,
            Self::Engine(_) | Self::AnyEngine => &request.shared.settings.domain,
        }
    }
}

/// An engine chosen to prefill a prompt.
pub(super) struct PrefillPlacement {
    /// The engine.
    pub(super) engine: Arc<Target>,
    /// The engine from which it first copies the cached prefix.
    pub(super) fetch_from: Option<Arc<Target>>,
    /// Tokens left to prefill.
    pub(super) tokens: u64,
    /// Tokens queued there before it.
    queued_tokens: u64,
    /// What was promised for the first piece.
    promise: Option<Promise>,
    /// Whether the request may be sent there.
    pub(super) permit: Permit,
    /// Its reservation, unless this entry decided by itself.
    pub(super) reservation: Option<Reservation>,
}

impl From<ReservedEngine> for PrefillPlacement {
    fn from(reserved: ReservedEngine) -> Self {
        let ReservedEngine {
            engine,
            fetch_from,
            tokens,
            queued_tokens,
            promise,
            permit,
            reservation,
        } = reserved;
        let reservation = Some(reservation);
        Self { engine, fetch_from, tokens, queued_tokens, promise, permit, reservation }
    }
}

/// Prefills the prompt, or finds out which engine can.
pub(super) async fn run(
    request: &Arc<RequestContext>,
    prompt: &Prompt,
    trace: &mut Trace,
) -> PrefillResult {
    let began = Instant::now();
    // The body is sent to the prefill engine and to the decode engine.
    let body_bytes = u64::try_from(request.buffered.body.len()).unwrap_or(u64::MAX);
    match request.shared.reserve_link(body_bytes * 2, request.route.objective) {
        Ok(delay) if delay.is_zero() => {}
        Ok(delay) => tokio::time::sleep(delay).await,
        // The link of another entry is probably free.
        Err(retry_after) => {
            return PrefillResult::Refused(Refusal::LinkFull, retry_after.min(TARGET_RETRY_AFTER));
        }
    }
    let result = place_and_prefill(request, prompt, trace, began).await;
    match &result {
        PrefillResult::Refused(..) => request.shared.release_link(body_bytes * 2),
        PrefillResult::Ready(PromptState::Engine(_) | PromptState::AnyEngine) => {
            request.shared.release_link(body_bytes)
        }
        PrefillResult::Ready(PromptState::Cached(_)) => {}
    }
    result
}

/// Prefills the prompt or finds out which engine can, once the link is reserved.
async fn place_and_prefill(
    request: &Arc<RequestContext>,
    prompt: &Prompt,
    trace: &mut Trace,
    began: Instant,
) -> PrefillResult {
    let attempt = request.attempt();
    trace.since_first = attempt.since_first;
    let waited = began.elapsed();
    let requirements = requirements(request, prompt, attempt, waited);
    let count_demand = |tokens| {
        let max_duration = prefill::max_duration(&request.shared.settings.prefill, &requirements);
        request.shared.loads.record_request(&request.service.name, tokens, max_duration);
    };
    if is_prefilled_by_any_engine(request, prompt) {
        if !requirements.late {
            count_demand(u64::from(prompt.input_tokens));
        }
        return PrefillResult::Ready(PromptState::AnyEngine);
    }
    let mut counted = requirements.late;
    let mut tried: Vec<Arc<Target>> = Vec::new();
    while trace.attempts < MAX_PREFILL_ATTEMPTS {
        let choice = find(request, prompt, &requirements, &tried).await;
        if !std::mem::replace(&mut counted, true) {
            count_demand(choice.uncached_tokens(prompt));
        }
        let placement = match choice {
            Choice::Full { .. } if prompt.input_tokens <= SHORT_PROMPT_TOKENS => {
                return PrefillResult::Ready(PromptState::AnyEngine);
            }
            Choice::Full { retry_after: earliest, .. } => {
                let settings = request.shared.prefill_settings(&request.service.name);
                let random = request.shared.random();
                let retry_after =
                    prefill::retry_after(&settings, earliest, request.time_left(), random);
                return PrefillResult::Refused(Refusal::PrefillFull, retry_after);
            }
            Choice::Engine(placement) => placement,
        };
        trace.record_promise(placement.promise, waited);
        if placement.engine.stage() != Some(Stage::Prefill) {
            return PrefillResult::Ready(PromptState::Engine(placement));
        }
        tried.push(placement.engine.clone());
        if placement.engine.check_open(Instant::now()).is_err() {
            continue;
        }
        if trace.attempts > 0 && !request.shared.try_spend_extra(&request.service.name) {
            return PrefillResult::Refused(Refusal::TargetRefused, TARGET_RETRY_AFTER);
        }
        if let Some(cache) = attempt_prefill(request, prompt, placement, trace).await {
            return PrefillResult::Ready(PromptState::Cached(cache));
        }
        if request.subject.is_refused() {
            return PrefillResult::Refused(Refusal::Quarantined, request.route.timeout);
        }
        if Instant::now() >= request.deadline {
            break;
        }
    }
    PrefillResult::Refused(Refusal::TargetRefused, TARGET_RETRY_AFTER)
}

/// Whether the engine that decodes the output, whichever it is, is to prefill the prompt: it takes
/// so little time there that another engine and a transfer would only add delay.
fn is_prefilled_by_any_engine(request: &RequestContext, prompt: &Prompt) -> bool {
    let settings = request.shared.prefill_settings(&request.service.name);
    let tokens = u64::from(prompt.input_tokens);
    let own = prompt.parts.last().map_or(tokens, |part| part.tokens.into());
    if !prefill::is_short(&settings, tokens, tokens.saturating_sub(own)) {
        return false;
    }
    let engines = request.shared.usable(&request.service.name);
    let engines = candidates(request, &engines, &[]);
    if engines.iter().all(|engine| engine.stage() == Some(Stage::Prefill)) {
        return false;
    }
    // The smallest prompts are not worth a look at the engines' load.
    tokens <= settings.short_tokens || {
        let loads: Vec<_> =
            engines.iter().map(|engine| candidate(request, engine, prompt)).collect();
        !prefill::only_decode_is_busy(&loads)
    }
}

/// Where a prompt can be prefilled.
enum Choice {
    Engine(PrefillPlacement),
    Full { retry_after: Duration, cached_tokens: u64 },
}

impl Choice {
    /// Tokens of the prompt that no engine has cached.
    fn uncached_tokens(&self, prompt: &Prompt) -> u64 {
        match self {
            Self::Engine(placement) => placement.tokens,
            Self::Full { cached_tokens, .. } => {
                u64::from(prompt.input_tokens).saturating_sub(*cached_tokens)
            }
        }
    }
}

/// Chooses an engine, by asking the coordinators or, where none responds, by this entry's own view.
async fn find(
    request: &Arc<RequestContext>,
    prompt: &Prompt,
    requirements: &prefill::Prompt,
    tried: &[Arc<Target>],
) -> Choice {
    match prefill_placement::find(request, prompt, requirements, tried).await {
        SearchResult::Reserved(reserved) => Choice::Engine(reserved.into()),
        SearchResult::Full { retry_after, cached_tokens } => {
            Choice::Full { retry_after, cached_tokens }
        }
        SearchResult::Unanswered(unanswered) => {
            match choose_locally(request, prompt, requirements, &unanswered.engines, tried) {
                full @ Choice::Full { .. } => match unanswered.ask_other_regions().await {
                    Some(reserved) => Choice::Engine(reserved.into()),
                    None => full,
                },
                placed => placed,
            }
        }
    }
}

/// Chooses an engine by this entry's own view, including the load reported by the others.
fn choose_locally(
    request: &RequestContext,
    prompt: &Prompt,
    requirements: &prefill::Prompt,
    engines: &[Arc<Target>],
    tried: &[Arc<Target>],
) -> Choice {
    let engines = candidates(request, engines, tried);
    let candidates: Vec<PrefillCandidate> =
        engines.iter().map(|engine| candidate(request, engine, prompt)).collect();
    let settings = request.shared.prefill_settings(&request.service.name);
    match prefill::place(&settings, requirements, &candidates, request.shared.load_scale()) {
        prefill::Placement::Full(retry_after) => {
            let cached_tokens = candidates
                .iter()
                .map(|candidate| candidate.cached_tokens)
                .max()
                .unwrap_or_default();
            Choice::Full { retry_after, cached_tokens }
        }
        prefill::Placement::Prefill { engine: at, copy_from, tokens } => {
            let (engine, queued_tokens) = (engines[at].clone(), candidates[at].queued_tokens);
            let fetch_from = copy_from.map(|at| engines[at].clone());
            let permit = Permit::Required;
            let promise = prefill::promise(&settings, requirements, &candidates[at], tokens);
            Choice::Engine(PrefillPlacement {
                engine,
                fetch_from,
                tokens,
                queued_tokens,
                promise,
                permit,
                reservation: None,
            })
        }
    }
}

/// Engines that may prefill: all that are available and were not tried.
fn candidates(
    request: &RequestContext,
    engines: &[Arc<Target>],
    tried: &[Arc<Target>],
) -> Vec<Arc<Target>> {
    let now = Instant::now();
    let untried = |engine: &&Arc<Target>| tried.iter().all(|other| other.id != engine.id);
    let eligible =
        |engine: &&Arc<Target>| !engine.is_changing_stage(now) && engine.closed_for(now).is_none();
    let eligible: Vec<_> = engines.iter().filter(untried).filter(eligible).cloned().collect();
    let available =
        |engine: &&Arc<Target>| !engine.is_unavailable(request.unresponsive_after(), now);
    let available: Vec<_> = eligible.iter().filter(available).cloned().collect();
    // All engines look unavailable to a process that was frozen itself and has not yet read their
    // responses.
    if available.is_empty() { eligible } else { available }
}

fn candidate(request: &RequestContext, engine: &Arc<Target>, prompt: &Prompt) -> PrefillCandidate {
    let others = request.shared.peers.load_at(engine.key);
    let streams = engine.engine.streams() + others.streams;
    PrefillCandidate {
        key: engine.key,
        decodes: engine.stage() != Some(Stage::Prefill),
        queued_tokens: engine.engine.prefill_tokens() + others.prefill_tokens,
        // Only coordinators know what was given to an engine lately.
        recent_tokens: 0,
        cached_tokens: engine.engine.cached_tokens(&prompt.parts),
        slot_usage: f64::from(streams) / f64::from(engine.slots.max(1)),
        transfer_excess: engine.transfer_excess(TransferDirection::Out, Instant::now()),
        domain: engine.domain_key,
        pace: engine.pace(),
    }
}

/// What a prompt that has `waited` here requires of an engine.
fn requirements(
    request: &RequestContext,
    prompt: &Prompt,
    attempt: Attempt,
    waited: Duration,
) -> prefill::Prompt {
    let (tokens, objective) = (u64::from(prompt.input_tokens), request.route.objective);
    let late = attempt.is_late;
    // Of a late one nothing is left; it is placed by how long the queues may be.
    let passed = if late { waited } else { waited + attempt.since_first };
    let objective = objective.saturating_sub(passed);
    let short_output = request.has_short_output();
    prefill::Prompt { prefix_hash: prefix_hash(prompt), tokens, objective, late, short_output }
}

/// Sends the prompt to an engine for prefill; `None` if it was not prefilled.
async fn attempt_prefill(
    request: &Arc<RequestContext>,
    prompt: &Prompt,
    placement: PrefillPlacement,
    trace: &mut Trace,
) -> Option<HeldCache> {
    let PrefillPlacement { engine, fetch_from, tokens, queued_tokens, permit, reservation, .. } =
        placement;
    let engine = &engine;
    let _in_flight = engine.begin_request();
    let _prefill = engine.engine.begin_prefill(tokens);
    let fetch_address = fetch_from.map(|engine| engine.address);
    let settings = &request.shared.settings.prefill;
    let prefill_priority = Some(prefill::priority(settings, tokens, request.priority()));
    let cached_tokens = u64::from(prompt.input_tokens).saturating_sub(tokens);
    request.shared.metrics.prompt_tokens(tokens, cached_tokens);
    let head = AttemptHead {
        step: Step::Prefill,
        fetch_from: fetch_address,
        priority: prefill_priority,
        ..request.attempt_head(engine)
    };
    let began = Instant::now();
    let outcome = dispatch::send(request, engine, &head, permit).await;
    let name = outcome.name();
    let duration = began.elapsed();
    trace.record_attempt("read", &engine.id, name, duration);
    let is_sent = !matches!(outcome, Outcome::NotSent(_) | Outcome::Closed(_) | Outcome::Blocked);
    trace.attempts += u32::from(is_sent);
    match outcome {
        Outcome::Responded(responded) => {
            let success = responded.response.status().is_success();
            let Some(id) = read_handle(request, *responded).await.filter(|_| success) else {
                if success {
                    request.subject.record_break(engine, began, Progress::Prefill).await;
                }
                return None;
            };
            request.shared.record_prefill_time(
                &request.service.name,
                queued_tokens + tokens,
                duration,
            );
            record_prefill(request, prompt, engine, reservation);
            request.shared.record_prefill_placement(engine);
            let handle = KvHandle { holder: engine.address, id };
            return Some(HeldCache::new(request, engine, handle));
        }
        Outcome::NotRun(_) => request.shared.record_extra(&request.service.name),
        Outcome::TimedOut | Outcome::Closed(_) => {}
        Outcome::NotSent(_) | Outcome::Blocked => fail_reservation(reservation),
        Outcome::Unknown(_) => {
            request.subject.record_break(engine, began, Progress::Prefill).await;
            fail_reservation(reservation);
        }
    }
    None
}

/// Records which parts the engine has cached, and completes the reservation.
pub(super) fn record_prefill(
    request: &RequestContext,
    prompt: &Prompt,
    engine: &Target,
    reservation: Option<Reservation>,
) {
    let Some(reservation) = reservation else { return record_cached(request, prompt, engine) };
    engine.engine.record_cached(&prompt.parts, request.shared.kv_capacity(&request.service.name));
    reservation.complete(&prompt.parts);
}

fn fail_reservation(reservation: Option<Reservation>) {
    if let Some(reservation) = reservation {
        reservation.fail();
    }
}

/// The largest body with a handle, in bytes: it has three short fields.
const MAX_HANDLE_BYTES: usize = 16_384;

/// Reads the handle from the response and keeps the connection for reuse.
async fn read_handle(
    request: &RequestContext,
    responded: attempt::Responded,
) -> Option<CompactString> {
    let attempt::Responded { response, head, connection, upload: _ } = responded;
    let read = body::collect(response, MAX_HANDLE_BYTES);
    let body = tokio::time::timeout_at(request.response_deadline(), read).await;
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            log::info!(target: "request", id = request.attempt_id(), error:% = error;
                "handle cut off");
            return None;
        }
        Err(_) => return None,
    };
    if body.end == End::Complete {
        connection.keep(head.keep_alive, Instant::now());
    }
    match request.shared.codec.decode_handle(&body.bytes) {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!(target: "request", id = request.attempt_id(), error:% = error;
                "handle not readable");
            None
        }
    }
}
