//! Reserves an engine that can prefill a prompt in time, by asking the coordinators of groups in
//! the order that all prompts with its prefix hash use. If no coordinator of a group responds, this
//! entry decides by the load that the other entries reported, as it would without coordinators.
//!
//! Groups of other regions are asked if enough time is left. One whose coordinators don't respond is
//! left out with its region, since more likely the links between the regions are cut.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Member};
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
pub enum SearchResult {
    /// It is reserved at this engine.
    Reserved(ReservedEngine),
    /// No group that was asked has room.
    Full {
        /// When some group will have room.
        retry_after: Duration,
        /// Tokens of the prompt that some engine has cached.
        cached_tokens: u64,
    },
    /// No coordinator of these engines responded, and the groups that responded have no room.
    Unanswered(Vec<Arc<Target>>),
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
pub async fn find(
    request: &RequestContext,
    prompt: &Prompt,
    requirements: &prefill::Prompt,
    tried: &[Arc<Target>],
) -> SearchResult {
    let groups = request.shared.groups(&request.service.name);
    let mut search = Search {
        request,
        prompt,
        requirements,
        tried,
        cached_prefix: None,
        retry_after: None,
        unanswered: Vec::new(),
        began: Instant::now(),
        silent_regions: Vec::new(),
    };
    let mut decode_group = None;
    let steps = region_steps::for_prompt(request, &groups, prompt, requirements.prefix_hash);
    for (asked, step) in steps.iter().enumerate() {
        let group = &groups[step.group];
        // A decode engine of the own region costs less than the way to another one.
        if step.far.is_some()
            && let Some((at, objective)) = decode_group.take()
            && let GroupResponse::Reserved(reserved) =
                search.ask_group(&groups[at], None, objective).await
        {
            return SearchResult::Reserved(reserved);
        }
        let Some(objective) = search.objective_at(group, step) else { continue };
        match search.ask_group(group, Some(step), objective).await {
            GroupResponse::Reserved(reserved) => return SearchResult::Reserved(reserved),
            GroupResponse::Full { decode_engine } => {
                if decode_engine {
                    decode_group.get_or_insert((step.group, objective));
                }
            }
            GroupResponse::NoResponse if step.far.is_some() => {
                search.silent_regions.push(search.region(group));
            }
            // Neither of two coordinators responded: more likely this entry's own link is full or
            // cut than theirs. Waiting for those of each other group as well would cost the caller
            // half of the objective.
            GroupResponse::NoResponse => {
                let rest = steps[asked..].iter().filter(|step| step.far.is_none());
                let rest = rest.flat_map(|step| &groups[step.group].engines);
                search.unanswered.extend(rest.cloned());
                break;
            }
        }
    }
    // Decode engines are asked only where no prefill engine has room.
    if let Some((at, objective)) = decode_group
        && let GroupResponse::Reserved(reserved) =
            search.ask_group(&groups[at], None, objective).await
    {
        return SearchResult::Reserved(reserved);
    }
    search.finish()
}

/// A search for an engine, over the groups asked so far.
struct Search<'a> {
    request: &'a RequestContext,
    prompt: &'a Prompt,
    requirements: &'a prefill::Prompt,
    tried: &'a [Arc<Target>],
    /// The engine that has cached most of the prompt's prefix.
    cached_prefix: Option<CachedPrefix>,
    /// When some group will have room.
    retry_after: Option<Duration>,
    /// Engines of groups of which no coordinator responded.
    unanswered: Vec<Arc<Target>>,
    /// When the search began.
    began: Instant,
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
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Search<'_> {
    /// Returns within which time the first piece is due, as seen by the group of a step; `None` if
    /// the prompt would be late there or nobody responds in its region.
    fn objective_at(&self, group: &Group, step: &PromptStep) -> Option<Duration> {
        let Some(network_delay) = step.far else { return Some(self.requirements.objective) };
        if self.silent_regions.contains(&self.region(group)) {
            return None;
        }
        let (prompt, elapsed) = (self.prompt, self.began.elapsed());
        let requirements = self.requirements;
        region_steps::objective_in_region(
            self.request,
            prompt,
            requirements,
            elapsed,
            network_delay,
        )
    }

    fn region(&self, group: &Group) -> Hash {
        self.request.shared.settings.topology.region(group.domain)
    }

    /// Asks a group for an engine that prefills, or for a decode engine without a step.
    async fn ask_group(
        &mut self,
        group: &Group,
        step: Option<&PromptStep>,
        objective: Duration,
    ) -> GroupResponse {
        let make_payload = |id| {
            Payload::PrefillRequest(self.prefill_request(group, step.is_none(), objective, id))
        };
        let Some((response, coordinator)) =
            coordinator_client::call(self.request, group, objective, make_payload).await
        else {
            return GroupResponse::NoResponse;
        };
        if let Some(step) = step.filter(|step| step.is_home)
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
            Some(Decision::Permitted(_)) | None => GroupResponse::NoResponse,
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
            Some(Decision::Permitted(_)) | None => None,
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
        PrefillRequest {
            reservation: id,
            group: group.key,
            service: short_hash(policy::hash(&self.request.service.name)),
            prefix_hash: self.requirements.prefix_hash,
            tokens: self.prompt.input_tokens,
            objective_ms: u32::try_from(objective.as_millis()).unwrap_or(u32::MAX),
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

    fn finish(self) -> SearchResult {
        match self.retry_after {
            Some(retry_after) if self.unanswered.is_empty() => {
                let cached_tokens = self.cached_prefix.map_or(0, |prefix| prefix.tokens.into());
                SearchResult::Full { retry_after, cached_tokens }
            }
            _ => SearchResult::Unanswered(self.unanswered),
        }
    }
}
