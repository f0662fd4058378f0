//! Reserves an engine that can prefill a prompt in time, by asking the coordinators of groups in
//! the order that all prompts with its prefix hash use. If no coordinator of a group responds, this
//! entry decides by the load that the other entries reported, as it would without coordinators.
//!
//! Groups of other regions are asked if enough time is left, also if coordinators of the own region
//! don't respond and this entry finds no room there by itself. A group of another region whose
//! coordinators don't respond is left out with its region, since more likely the links between the
//! regions are cut. Each group is told what earlier requests left of the objective.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Groups, Member};
use crate::cluster::messages::{
    CachedPrefix, Decision, Granted, Parts, Payload, PrefillRequest, Promised, Refused, Response,
};
use crate::codec::Prompt;
use crate::request::context::RequestContext;
use crate::request::coordinator_client;
use crate::request::permits::Permit;
use crate::request::region_steps::{self, PromptStep};
use crate::request::reservation::Reservation;
use crate::targets::target::Target;
use policy::Hash;
use policy::prefill;
use policy::promise::Promise;
use policy::reservations::ReservationId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Where a prompt can be prefilled.
pub enum SearchResult<'a> {
    /// It is reserved at this engine.
    Reserved(ReservedEngine),
    /// No group that was asked has room.
    Full {
        /// When some group will have room.
        retry_after: Duration,
        /// Tokens of the prompt that some engine has cached.
        cached_tokens: u64,
    },
    /// No coordinator of some engines responded, and the groups that responded have no room.
    Unanswered(Box<Unanswered<'a>>),
}

/// A search that ended because no coordinator of a group in the own region responded.
pub struct Unanswered<'a> {
    /// Engines of this group and of those that would have been asked after it in the own region.
    pub engines: Vec<Arc<Target>>,
    /// Groups of other regions that were not asked.
    not_asked: Vec<PromptStep>,
    search: Search<'a>,
}

impl Unanswered<'_> {
    /// Asks the groups of other regions, for a prompt that this entry finds no room for in its own.
    pub async fn ask_other_regions(self) -> Option<ReservedEngine> {
        match self.search.run(&self.not_asked).await {
            SearchResult::Reserved(reserved) => Some(reserved),
            SearchResult::Full { .. } | SearchResult::Unanswered(_) => None,
        }
    }
}

/// An engine at which a prompt is reserved.
pub struct ReservedEngine {
    /// The engine.
    pub engine: Arc<Target>,
    /// The engine from which it first copies the cached prefix.
    pub fetch_from: Option<Arc<Target>>,
    /// Tokens left to prefill.
    pub tokens: u64,
    /// Tokens that were queued there before it.
    pub queued_tokens: u64,
    /// What the coordinator promised, if the objective has not passed; coordinators of earlier
    /// builds promise nothing.
    pub promise: Option<Promise>,
    /// Whether the request may be sent there.
    pub permit: Permit,
    /// The reservation.
    pub reservation: Reservation,
}

/// Finds an engine for the prefill of a prompt and reserves it there; `tried` are the engines that
/// did not prefill it.
pub async fn find<'a>(
    request: &'a RequestContext,
    prompt: &'a Prompt,
    requirements: &'a prefill::Prompt,
    tried: &'a [Arc<Target>],
) -> SearchResult<'a> {
    let groups = request.shared.groups(&request.service.name);
    let steps = region_steps::for_prompt(request, &groups, prompt, requirements.prefix_hash);
    let search = Search {
        request,
        prompt,
        requirements,
        tried,
        groups,
        cached_prefix: None,
        retry_after: None,
        began: Instant::now(),
        has_asked: false,
        silent_regions: Vec::new(),
    };
    search.run(&steps).await
}

/// A search for an engine, over the groups asked so far.
struct Search<'a> {
    request: &'a RequestContext,
    prompt: &'a Prompt,
    requirements: &'a prefill::Prompt,
    tried: &'a [Arc<Target>],
    groups: Groups,
    /// The engine that has cached most of the prompt's prefix.
    cached_prefix: Option<CachedPrefix>,
    /// When some group will have room.
    retry_after: Option<Duration>,
    /// When the search began.
    began: Instant,
    /// Whether a group was asked.
    has_asked: bool,
    /// Other regions of which no coordinator responded.
    silent_regions: Vec<Hash>,
}

/// The result of asking the coordinators of one group.
enum GroupResponse {
    Reserved(ReservedEngine),
    /// It has no room, except perhaps at a decode engine.
    Full {
        decode_engine: bool,
    },
    NoResponse,
    /// It was not asked: the prompt would be late there, or nobody responds in its region.
    NotAsked,
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl<'a> Search<'a> {
    /// Asks the groups of these steps in turn.
    async fn run(mut self, steps: &[PromptStep]) -> SearchResult<'a> {
        let mut decode_step = None;
        for (at, step) in steps.iter().enumerate() {
            // A decode engine of the own region costs less than the way to another one.
            if step.far.is_some()
                && let Some(near) = decode_step.take()
                && let GroupResponse::Reserved(reserved) = self.ask_group(&near, true).await
            {
                return SearchResult::Reserved(reserved);
            }
            match self.ask_group(step, false).await {
                GroupResponse::Reserved(reserved) => return SearchResult::Reserved(reserved),
                GroupResponse::Full { decode_engine: true } => {
                    decode_step.get_or_insert(*step);
                }
                GroupResponse::Full { decode_engine: false } | GroupResponse::NotAsked => {}
                GroupResponse::NoResponse if step.far.is_some() => {
                    self.silent_regions.push(self.region(&self.groups[step.group]));
                }
                // Neither of two coordinators responded: more likely this entry's own link is full
                // or cut than theirs. Waiting for those of each other group as well would cost the
                // caller half of the objective.
                GroupResponse::NoResponse => {
                    return self.end_unanswered(decode_step, &steps[at..]).await;
                }
            }
        }
        // Decode engines are asked only where no prefill engine has room.
        if let Some(step) = decode_step
            && let GroupResponse::Reserved(reserved) = self.ask_group(&step, true).await
        {
            return SearchResult::Reserved(reserved);
        }
        self.finish()
    }

    /// Ends the search without the groups of the remaining steps; `decode_step` is that of a group
    /// that has room at a decode engine.
    async fn end_unanswered(
        mut self,
        decode_step: Option<PromptStep>,
        rest: &[PromptStep],
    ) -> SearchResult<'a> {
        if let Some(step) = decode_step
            && let GroupResponse::Reserved(reserved) = self.ask_group(&step, true).await
        {
            return SearchResult::Reserved(reserved);
        }
        let (far, near): (Vec<PromptStep>, Vec<PromptStep>) =
            rest.iter().partition(|step| step.far.is_some());
        let engines = near.iter().flat_map(|step| self.groups[step.group].engines.iter().cloned());
        let engines = engines.collect();
        SearchResult::Unanswered(Box::new(Unanswered { engines, not_asked: far, search: self }))
    }

    /// Returns within which time the first piece is due, as seen by the group of a step; `None` if
    /// the prompt would be late there or nobody responds in its region.
    fn objective_at(&self, group: &Group, step: &PromptStep) -> Option<Duration> {
        let (requirements, elapsed) = (self.requirements, self.began.elapsed());
        let Some(network_delay) = step.far else {
            let elapsed = if self.has_asked { elapsed } else { Duration::ZERO };
            return Some(requirements.objective.saturating_sub(elapsed));
        };
        if self.silent_regions.contains(&self.region(group)) {
            return None;
        }
        region_steps::objective_in_region(
            self.request,
            self.prompt,
            requirements,
            elapsed,
            network_delay,
        )
    }

    fn region(&self, group: &Group) -> Hash {
        self.request.shared.settings.topology.region(group.domain)
    }

    /// Asks the group of a step for an engine that prefills, or for a decode engine.
    async fn ask_group(&mut self, step: &PromptStep, use_decode_engines: bool) -> GroupResponse {
        let groups = self.groups.clone();
        let group = &groups[step.group];
        let Some(objective) = self.objective_at(group, step) else {
            return GroupResponse::NotAsked;
        };
        self.has_asked = true;
        let make_payload = |id| {
            Payload::PrefillRequest(self.prefill_request(group, use_decode_engines, objective, id))
        };
        // With a wait that follows what is left of the objective, answers from other regions would
        // come after it.
        let full_objective = self.requirements.objective;
        let Some((response, coordinator)) =
            coordinator_client::call(self.request, group, full_objective, make_payload).await
        else {
            return GroupResponse::NoResponse;
        };
        if step.is_home
            && !use_decode_engines
            && let Some(cached) = self.cached_tokens(&response)
        {
            region_steps::record_hit(self.request, self.prompt, step.far.is_some(), cached);
        }
        match response.decision {
            Some(Decision::Granted(granted)) => {
                match self.accept_grant(&granted, response.reservation, &coordinator) {
                    Some(reserved) => GroupResponse::Reserved(reserved),
                    None => GroupResponse::NoResponse,
                }
            }
            Some(Decision::Refused(refused)) => self.record_refusal(&refused),
            Some(Decision::Permitted(_) | Decision::Origin(_) | Decision::Versions(_)) | None => {
                GroupResponse::NoResponse
            }
        }
    }

    /// Returns how many tokens of the prompt the group that sent a response has cached.
    fn cached_tokens(&self, response: &Response) -> Option<u64> {
        match &response.decision {
            Some(Decision::Granted(granted)) => {
                Some(u64::from(self.prompt.input_tokens).saturating_sub(granted.tokens))
            }
            Some(Decision::Refused(refused)) => {
                Some(refused.cached_prefix.map_or(0, |prefix| prefix.tokens.into()))
            }
            Some(Decision::Permitted(_) | Decision::Origin(_) | Decision::Versions(_)) | None => {
                None
            }
        }
    }

    fn prefill_request(
        &self,
        group: &Group,
        use_decode_engines: bool,
        objective: Duration,
        id: ReservationId,
    ) -> PrefillRequest {
        let now = Instant::now();
        let unavailable =
            |engine: &&Arc<Target>| engine.is_unavailable(self.request.unresponsive_after(), now);
        let tried = self.tried.iter().chain(group.engines.iter().filter(unavailable));
        // The coordinator may still list them.
        let leaving = self.request.shared.workload.availability.leaving(now);
        let avoid = tried.map(|engine| engine.key).chain(leaving);
        let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let full_objective = self.requirements.objective;
        PrefillRequest {
            reservation: id,
            group: group.key,
            service: short_hash(policy::hash(&self.request.service.name)),
            prefix_hash: self.requirements.prefix_hash,
            tokens: self.prompt.input_tokens,
            objective_ms: ms(objective),
            full_objective_ms: if objective == full_objective { 0 } else { ms(full_objective) },
            late: self.requirements.late,
            parts: Some(Parts::new(&self.prompt.parts)),
            avoid: avoid.map(short_hash).collect(),
            decode_engines: use_decode_engines,
            cached_prefix: self.cached_prefix,
            requester: Some(self.request.requester()),
            output_tokens: self.prompt.max_output_tokens,
            excess_us: self
                .request
                .shared
                .first_piece_excess(&self.request.service.name)
                .map(micros),
        }
    }

    fn accept_grant(
        &self,
        granted: &Granted,
        id: ReservationId,
        coordinator: &Member,
    ) -> Option<ReservedEngine> {
        let shared = &self.request.shared;
        let engines = shared.fleet().engines();
        let find = |key: u32| engines.iter().find(|engine| short_hash(engine.key) == key).cloned();
        // `None` if the engine is not listed here yet.
        let engine = find(granted.engine)?;
        let prefix_hash = Some(self.requirements.prefix_hash);
        let reservation = Reservation::new(shared, &engine, id, *coordinator, prefix_hash);
        let fetch_from = find(granted.copy_from);
        let Granted { tokens, queued_tokens, permit, .. } = *granted;
        let permit = Permit::from_grant(permit);
        let promise = granted.promise.map(Promised::to_policy);
        Some(ReservedEngine {
            engine,
            fetch_from,
            tokens,
            queued_tokens,
            promise,
            permit,
            reservation,
        })
    }

    fn record_refusal(&mut self, refused: &Refused) -> GroupResponse {
        let delay = Duration::from_micros(refused.retry_after_us);
        self.retry_after =
            Some(self.retry_after.map_or(delay, |retry_after| retry_after.min(delay)));
        let tokens = |prefix: Option<CachedPrefix>| prefix.map_or(0, |prefix| prefix.tokens);
        if tokens(refused.cached_prefix) > tokens(self.cached_prefix) {
            self.cached_prefix = refused.cached_prefix;
        }
        GroupResponse::Full { decode_engine: refused.decode_engine }
    }

    fn finish(self) -> SearchResult<'a> {
        let Some(retry_after) = self.retry_after else {
            let (engines, not_asked) = (Vec::new(), Vec::new());
            return SearchResult::Unanswered(Box::new(Unanswered {
                engines,
                not_asked,
                search: self,
            }));
        };
        let cached_tokens = self.cached_prefix.map_or(0, |prefix| prefix.tokens.into());
        SearchResult::Full { retry_after, cached_tokens }
    }
}
