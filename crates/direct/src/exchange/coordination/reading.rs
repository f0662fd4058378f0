//! Which engine of a group reads a prompt.

use super::permits::part;
use super::{SILENCE, service};
use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{
    CachedPrefix, Decision, Granted, Parts, PrefillRequest, Refused, Response,
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

/// Answers a question for one; `None` if the group or its service is not known here.
pub(super) fn decide(shared: &Shared, ask: &PrefillRequest) -> Option<Response> {
    let now = Instant::now();
    let service = service(shared, ask.service)?;
    let groups = shared.groups(&service.name);
    let group = groups.iter().find(|group| group.key == ask.group)?;
    let parts = ask.parts.as_ref().map(Parts::rows).unwrap_or_default();
    let desk = Desk { shared, service: &service, group, ask, parts, now };
    Some(Response { reservation: ask.reservation, decision: Some(desk.room()) })
}

/// A group's engines that can be had now.
struct Able {
    /// Those that only read.
    readers: Vec<PrefillCandidate>,
    /// Those that write as well.
    writers: Vec<PrefillCandidate>,
    /// When the first takes in something again of those that named a limit.
    permit_after: Option<Duration>,
}

/// One question while it is answered.
struct Desk<'a> {
    shared: &'a Shared,
    service: &'a Service,
    group: &'a Group,
    ask: &'a PrefillRequest,
    parts: Vec<Part>,
    now: Instant,
}

impl Desk<'_> {
    fn room(&self) -> Decision {
        let Able { readers, writers, permit_after } = self.able();
        let first = if self.ask.decode_engines { &writers } else { &readers };
        let (place, choice) = self.place(first);
        match place {
            Placement::Prefill { at, copy_from, tokens } => {
                let engine = &choice[at];
                let permit = match self.permit(engine.key) {
                    Ok(permit) => permit,
                    Err(after) => return self.full(after, &choice, false),
                };
                self.shared.coordinator.book(engine.key, self.ask.reservation, tokens, self.now);
                let copy_from = copy_from.map_or(0, |from| short_hash(choice[from].key));
                let (engine, waiting) = (short_hash(engine.key), choice[at].queued_tokens);
                Decision::Granted(Granted { engine, copy_from, tokens, waiting, permit })
            }
            Placement::Full(after) => {
                let writer = !self.ask.decode_engines
                    && matches!(self.place(&writers).0, Placement::Prefill { .. });
                let after = permit_after.map_or(after, |permit| permit.min(after));
                self.full(after, &choice, writer)
            }
        }
    }

    fn full(&self, after: Duration, choice: &[PrefillCandidate], writer: bool) -> Decision {
        let after_us = u64::try_from(after.as_micros()).unwrap_or(u64::MAX);
        Decision::Refused(Refused {
            retry_after_us: after_us,
            cached_prefix: self.holder(choice),
            decode_engine: writer,
        })
    }

    /// Gives a permit for a request to an engine, if it needs one.
    fn permit(&self, engine: policy::Hash) -> Result<bool, Duration> {
        let part = || part(self.shared, self.group);
        self.shared.coordinator.permits.take(engine, part, self.asker(), self.now)
    }

    /// How long until an engine takes in another request, if it named a limit and has none left.
    fn permit_after(&self, engine: &Target) -> Option<Duration> {
        let (part, rank) = (|| part(self.shared, self.group), self.asker().priority);
        self.shared.coordinator.permits.look(engine.key, part, rank, self.now).err()
    }

    fn asker(&self) -> pacing::Requester {
        self.ask.requester.unwrap_or_default().ask()
    }

    fn able(&self) -> Able {
        let patience = Duration::from_millis(self.ask.objective_ms.into()) * SILENCE;
        let allowed = |engine: &&Arc<Target>| !self.ask.avoid.contains(&short_hash(engine.key));
        let engines = self.group.engines.iter().filter(allowed);
        let engines = engines.filter(|engine| !engine.is_changing_stage(self.now));
        let here = engines.filter(|engine| !engine.is_unavailable(patience, self.now));
        let new = self.shared.coordinator.is_new(self.group.key, self.now);
        let (permitted, closed): (Vec<_>, Vec<_>) =
            here.map(|engine| (engine, self.permit_after(engine))).partition(|(_, a)| a.is_none());
        let able = permitted.into_iter().map(|(engine, _)| self.reader(engine, new));
        let (readers, writers) = able.partition(|reader| !reader.decodes);
        let permit_after = closed.into_iter().filter_map(|(_, after)| after).min();
        Able { readers, writers, permit_after }
    }

    fn reader(&self, engine: &Arc<Target>, new: bool) -> PrefillCandidate {
        let others = self.shared.peers.load_at(engine.key);
        let streams = engine.engine.streams() + others.streams;
        let granted = self.shared.coordinator.queued_tokens(engine.key, self.now);
        let told = if new { engine.engine.prefill_tokens() + others.prefill_tokens } else { 0 };
        PrefillCandidate {
            key: engine.key,
            decodes: engine.stage() != Some(Stage::Prefill),
            queued_tokens: granted.max(told),
            cached_tokens: self.kept(engine),
            slot_usage: f64::from(streams) / f64::from(engine.slots.max(1)),
            transfer_excess: engine.transfer_excess(TransferDirection::Out, self.now),
            domain: engine.domain_key,
        }
    }

    fn kept(&self, engine: &Target) -> u64 {
        engine.engine.cached_tokens(&self.parts)
    }

    /// Places the prompt at one of `able`; the engines that its answer counts are returned with it.
    fn place(&self, able: &[PrefillCandidate]) -> (Placement, Vec<PrefillCandidate>) {
        let mut choice = able.to_vec();
        choice.extend(self.sources(able));
        let prompt = Prompt {
            prefix_hash: self.ask.prefix_hash,
            tokens: self.ask.tokens.into(),
            objective: Duration::from_millis(self.ask.objective_ms.into()),
            late: self.ask.late,
        };
        let settings = self.shared.prompts(&self.service.name);
        (prefill::place_among(&settings, &prompt, &choice, able.len(), 1), choice)
    }

    /// Engines from which the start can only be copied: all others that keep some of it as far as is
    /// known here, and the one that the question names.
    fn sources(&self, able: &[PrefillCandidate]) -> Vec<PrefillCandidate> {
        let engines = self.shared.usable(&self.service.name);
        let named = self.ask.cached_prefix.unwrap_or_default();
        let named = |engine: &Target| {
            if short_hash(engine.key) == named.engine { u64::from(named.tokens) } else { 0 }
        };
        let others = engines.iter().filter(|engine| able.iter().all(|r| r.key != engine.key));
        let keeping = others.map(|engine| (engine, self.kept(engine).max(named(engine))));
        let keeping = keeping.filter(|(_, kept)| *kept > 0);
        keeping
            .map(|(engine, kept)| PrefillCandidate {
                cached_tokens: kept,
                ..self.reader(engine, false)
            })
            .collect()
    }

    /// The engine that keeps most of the prompt, for a group that is asked next.
    fn holder(&self, choice: &[PrefillCandidate]) -> Option<CachedPrefix> {
        let most = choice.iter().max_by_key(|reader| reader.cached_tokens)?;
        let tokens = u32::try_from(most.cached_tokens).unwrap_or(u32::MAX);
        (tokens > 0).then(|| CachedPrefix { engine: short_hash(most.key), tokens })
    }
}
