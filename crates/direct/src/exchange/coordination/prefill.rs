//! Decides which engine of a group prefills a prompt.

use super::permits::share;
use super::{UNRESPONSIVE_FACTOR, service};
use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{
    CachedPrefix, Decision, Granted, Parts, PrefillRequest, Promised, Refused, Response,
};
use crate::codec::Part;
use crate::config::route::{Service, Stage};
use crate::shared::Shared;
use crate::targets::target::{Target, TransferDirection};
use policy::pacing;
use policy::prefill::{self, Placement, PrefillCandidate, Prompt};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Decides on a request for an engine; `None` if the group or its service is unknown here.
pub(super) fn decide(shared: &Shared, request: &PrefillRequest) -> Option<Response> {
    let now = Instant::now();
    let service = service(shared, request.service)?;
    let groups = shared.groups(&service.name);
    let group = groups.iter().find(|group| group.key == request.group)?;
    let parts = request.parts.as_ref().map(Parts::rows).unwrap_or_default();
    let mut settings = shared.prefill_settings(&service.name);
    // The requester knows its own link and distance best. One that has learned nothing, or is of an
    // earlier build, is assumed to be like this entry.
    let learned = request.excess_us.map(Duration::from_micros);
    settings.learned_reserve = learned.or(settings.learned_reserve);
    let placement =
        PrefillPlacement { shared, service: &service, settings, group, request, parts, now };
    Some(Response { reservation: request.reservation, decision: Some(placement.decide()) })
}

/// Longest time for which a slot of a prompt's own engine is reserved: a stream that was placed
/// longer ago has ended.
const MAX_SLOT_TTL: Duration = Duration::from_secs(20);

/// A group's engines that are available now.
struct Candidates {
    /// Engines that only prefill.
    prefill: Vec<PrefillCandidate>,
    /// Engines that decode as well.
    decode: Vec<PrefillCandidate>,
    /// The shortest time until a permit, among the engines that named a limit and have none left.
    permit_delay: Option<Duration>,
}

/// The decision on one request.
struct PrefillPlacement<'a> {
    shared: &'a Shared,
    service: &'a Service,
    settings: prefill::Settings,
    group: &'a Group,
    request: &'a PrefillRequest,
    parts: Vec<Part>,
    now: Instant,
}

impl PrefillPlacement<'_> {
    fn decide(&self) -> Decision {
        let Candidates { prefill, decode, permit_delay } = self.candidates();
        let (placement, engines) = self.place(&self.eligible(&prefill, &decode));
        match placement {
            Placement::Prefill { engine: at, copy_from, tokens } => {
                let engine = &engines[at];
                let permit = match self.acquire_permit(engine.key) {
                    Ok(permit) => permit,
                    Err(retry_after) => return self.refuse(retry_after, &engines, false),
                };
                self.reserve(engine, tokens);
                let promise = prefill::promise(&self.settings, &self.prompt(), engine, tokens);
                let promise = promise.map(Promised::new);
                let copy_from = copy_from.map_or(0, |from| short_hash(engines[from].key));
                let (engine, queued_tokens) = (short_hash(engine.key), engines[at].queued_tokens);
                let granted = Granted { engine, copy_from, tokens, queued_tokens, permit, promise };
                Decision::Granted(granted)
            }
            Placement::Full(retry_after) => {
                let decode_engine = !self.request.decode_engines
                    && matches!(self.place(&decode).0, Placement::Prefill { .. });
                let retry_after = permit_delay.map_or(retry_after, |delay| delay.min(retry_after));
                self.refuse(retry_after, &engines, decode_engine)
            }
        }
    }

    /// Returns the engines of the group to choose from. Where prefill engines come first, decode
    /// engines are left out, since prefill engines of other groups are asked before them.
    fn eligible(
        &self,
        prefill: &[PrefillCandidate],
        decode: &[PrefillCandidate],
    ) -> Vec<PrefillCandidate> {
        if self.request.decode_engines {
            return decode.to_vec();
        }
        let rate = self.shared.coordinator.granted_rate(self.group.key, self.now);
        if !prefill::is_lightly_loaded(&self.settings, rate, prefill.len())
            || prefill::only_decode_is_busy(&[prefill, decode].concat())
        {
            return prefill.to_vec();
        }
        let prompt = self.prompt();
        let preferred =
            decode.iter().filter(|engine| prefill::prefers_decode(&self.settings, &prompt, engine));
        prefill.iter().chain(preferred).copied().collect()
    }

    /// Reserves the prefill of `tokens` tokens at an engine and, if it also decodes, a slot there.
    fn reserve(&self, engine: &PrefillCandidate, tokens: u64) {
        let (coordinator, id) = (&self.shared.coordinator, self.request.reservation);
        coordinator.record_granted(self.group.key, tokens, self.now);
        coordinator.reserve_prefill(engine.key, id, tokens, self.now);
        if !engine.decodes {
            return;
        }
        coordinator.record_recent(engine.key, tokens, self.settings.max_gap, self.now);
        let output_tokens = self.request.output_tokens;
        let pieces = self.piece_tokens().map_or(0, |piece| output_tokens.div_ceil(piece));
        let span =
            prefill::colocated_duration(&self.settings, engine.queued_tokens + tokens, pieces);
        // The reservation of the prefill is released when it ends, before the output. So the slot
        // has an id of its own, and expires.
        let slot = policy::mix(id, engine.key);
        coordinator.reserve_slot(engine.key, slot, span.min(MAX_SLOT_TTL), self.now);
    }

    fn piece_tokens(&self) -> Option<u32> {
        self.service.engine.as_ref().and_then(|engine| engine.piece_tokens)
    }

    fn refuse(
        &self,
        retry_after: Duration,
        engines: &[PrefillCandidate],
        decode_engine: bool,
    ) -> Decision {
        let retry_after_us = u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
        Decision::Refused(Refused {
            retry_after_us,
            cached_prefix: self.longest_cached_prefix(engines),
            decode_engine,
        })
    }

    /// Acquires a permit for a request to an engine, and returns whether one was needed.
    fn acquire_permit(&self, engine: policy::Hash) -> Result<bool, Duration> {
        let share = || share(self.shared, self.group);
        self.shared.coordinator.permits.acquire(engine, share, self.requester(), self.now)
    }

    /// Returns the time until an engine's next permit, if it named a limit and has none left.
    fn permit_delay(&self, engine: &Target) -> Option<Duration> {
        let (share, priority) = (|| share(self.shared, self.group), self.requester().priority);
        self.shared.coordinator.permits.check(engine.key, share, priority, self.now).err()
    }

    fn requester(&self) -> pacing::Requester {
        self.request.requester.unwrap_or_default().to_pacing()
    }

    fn candidates(&self) -> Candidates {
        let PrefillRequest { objective_ms, full_objective_ms, .. } = self.request;
        let full_objective_ms =
            if *full_objective_ms == 0 { *objective_ms } else { *full_objective_ms };
        let unresponsive_after =
            Duration::from_millis(full_objective_ms.into()) * UNRESPONSIVE_FACTOR;
        let allowed = |engine: &&Arc<Target>| !self.request.avoid.contains(&short_hash(engine.key));
        let engines = self.group.engines.iter().filter(allowed);
        let engines = engines.filter(|engine| !engine.is_changing_stage(self.now));
        let available =
            engines.filter(|engine| !engine.is_unavailable(unresponsive_after, self.now));
        let warming_up = self.shared.coordinator.is_warming_up(self.group.key, self.now);
        let (permitted, exhausted): (Vec<_>, Vec<_>) = available
            .map(|engine| (engine, self.permit_delay(engine)))
            .partition(|(_, delay)| delay.is_none());
        let candidates =
            permitted.into_iter().map(|(engine, _)| self.candidate(engine, warming_up));
        let (prefill, decode) = candidates.partition(|candidate| !candidate.decodes);
        let permit_delay = exhausted.into_iter().filter_map(|(_, delay)| delay).min();
        Candidates { prefill, decode, permit_delay }
    }

    fn candidate(&self, engine: &Arc<Target>, warming_up: bool) -> PrefillCandidate {
        let (peers, coordinator) =
            (self.shared.peers.load_at(engine.key), &self.shared.coordinator);
        // Peers report streams some hundred milliseconds late.
        let streams = (engine.engine.streams() + peers.streams)
            .max(coordinator.streams(engine.key, self.now));
        let granted = coordinator.queued_tokens(engine.key, self.now);
        let reported =
            if warming_up { engine.engine.prefill_tokens() + peers.prefill_tokens } else { 0 };
        PrefillCandidate {
            key: engine.key,
            decodes: engine.stage() != Some(Stage::Prefill),
            queued_tokens: granted.max(reported),
            recent_tokens: coordinator.recent_tokens(engine.key, self.now),
            cached_tokens: self.cached_tokens(engine),
            slot_usage: f64::from(streams) / f64::from(engine.slots.max(1)),
            transfer_excess: engine.transfer_excess(TransferDirection::Out, self.now),
            domain: engine.domain_key,
            pace: engine.pace(),
        }
    }

    fn cached_tokens(&self, engine: &Target) -> u64 {
        engine.engine.cached_tokens(&self.parts)
    }

    /// Places the prompt at one of the candidates. Returns the engines with the placement, which
    /// refers to them by index.
    fn place(&self, candidates: &[PrefillCandidate]) -> (Placement, Vec<PrefillCandidate>) {
        let mut engines = candidates.to_vec();
        engines.extend(self.copy_sources(candidates));
        let (settings, prompt) = (&self.settings, self.prompt());
        let placement = prefill::place_among(settings, &prompt, &engines, candidates.len(), 1);
        (placement, engines)
    }

    fn prompt(&self) -> Prompt {
        Prompt {
            prefix_hash: self.request.prefix_hash,
            tokens: self.request.tokens.into(),
            objective: Duration::from_millis(self.request.objective_ms.into()),
            late: self.request.late,
            short_output: prefill::is_short_output(self.request.output_tokens, self.piece_tokens()),
        }
    }

    /// Returns engines from which the prefix can only be copied: all other engines known to have a
    /// part of it cached, and the one that the request names.
    fn copy_sources(&self, candidates: &[PrefillCandidate]) -> Vec<PrefillCandidate> {
        let engines = self.shared.usable(&self.service.name);
        let named = self.request.cached_prefix.unwrap_or_default();
        let named_tokens = |engine: &Target| {
            if short_hash(engine.key) == named.engine { u64::from(named.tokens) } else { 0 }
        };
        let others = engines.iter().filter(|engine| candidates.iter().all(|c| c.key != engine.key));
        let sources =
            others.map(|engine| (engine, self.cached_tokens(engine).max(named_tokens(engine))));
        let sources = sources.filter(|(_, cached_tokens)| *cached_tokens > 0);
        sources
            .map(|(engine, cached_tokens)| PrefillCandidate {
                cached_tokens,
                ..self.candidate(engine, false)
            })
            .collect()
    }

    /// Returns the engine that has most of the prompt cached, for the request to the next group.
    fn longest_cached_prefix(&self, engines: &[PrefillCandidate]) -> Option<CachedPrefix> {
        let longest = engines.iter().max_by_key(|engine| engine.cached_tokens)?;
        let tokens = u32::try_from(longest.cached_tokens).unwrap_or(u32::MAX);
        (tokens > 0).then(|| CachedPrefix { engine: short_hash(longest.key), tokens })
    }
}
