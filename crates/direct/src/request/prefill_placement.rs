//! Has a prompt booked at an engine that can read it in time: asks the coordinators of the groups, in the
//! order in which prompts with its start do. If nobody answers for a group, this entry decides by what the
//! others told it of their work, as it would alone.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Member};
use crate::cluster::messages::{
    CachedPrefix, Decision, Granted, Parts, Payload, PrefillRequest, Refused,
};
use crate::codec::Prompt;
use crate::request::context::Job;
use crate::request::coordinator_client;
use crate::request::permits::Permit;
use crate::request::reservation::{Reservation, order};
use crate::targets::target::Target;
use policy::prefill;
use policy::reservations::ReservationId;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Where a prompt can be read.
pub enum Found {
    /// It is booked there.
    Booked(Reserved),
    /// No group that was asked has room.
    Full {
        /// When there will be some.
        soonest: Duration,
        /// Tokens of the prompt that some engine keeps.
        kept: u64,
    },
    /// Nobody answered for these engines, and the groups that answered have no room.
    Unheard(Vec<Arc<Target>>),
}

/// A prompt that is booked at an engine.
pub struct Reserved {
    /// The engine.
    pub engine: Arc<Target>,
    /// The engine from which it first copies the prompt's start.
    pub fetch: Option<Arc<Target>>,
    /// Tokens that are to be read.
    pub tokens: u64,
    /// Tokens that waited there before it.
    pub waiting: u64,
    /// Whether it may be sent there.
    pub permit: Permit,
    /// The booking.
    pub reservation: Reservation,
}

/// Finds an engine that reads a prompt and books it there; `tried` are those that did not read it.
pub async fn find(
    job: &Job,
    prompt: &Prompt,
    wanted: &prefill::Prompt,
    tried: &[Arc<Target>],
) -> Found {
    let groups = job.shared.groups(&job.service.name);
    let mut search =
        Search { job, prompt, wanted, tried, holder: None, soonest: None, unheard: Vec::new() };
    let mut writes = None;
    let order = order(&groups, wanted.prefix_hash);
    for (asked, &at) in order.iter().enumerate() {
        match search.ask(&groups[at], false).await {
            Reply::Booked(reserved) => return Found::Booked(reserved),
            Reply::Full { writer } => {
                if writer {
                    writes.get_or_insert(at);
                }
            }
            // Neither of two answers: more likely this entry's own link is full or cut than theirs. To
            // wait for those of each other group as well would cost the caller half of the objective.
            Reply::Silence => {
                let rest = order[asked..].iter().flat_map(|&at| &groups[at].engines);
                search.unheard.extend(rest.cloned());
                break;
            }
        }
    }
    // Only where nobody who only reads has room is it asked of those that write.
    if let Some(at) = writes
        && let Reply::Booked(reserved) = search.ask(&groups[at], true).await
    {
        return Found::Booked(reserved);
    }
    search.end()
}

/// A search for an engine, over the groups asked so far.
struct Search<'a> {
    job: &'a Job,
    prompt: &'a Prompt,
    wanted: &'a prefill::Prompt,
    tried: &'a [Arc<Target>],
    /// The engine that keeps most of the prompt's start.
    holder: Option<CachedPrefix>,
    /// When some group will have room.
    soonest: Option<Duration>,
    /// Engines of groups for which nobody answered.
    unheard: Vec<Arc<Target>>,
}

/// What asking for one group came to.
enum Reply {
    Booked(Reserved),
    /// It has no room, unless at an engine that writes.
    Full {
        writer: bool,
    },
    Silence,
}

impl Search<'_> {
    async fn ask(&mut self, group: &Group, writers: bool) -> Reply {
        let make = |booking| Payload::PrefillRequest(self.question(group, writers, booking));
        let objective = self.wanted.objective;
        let Some((answer, coordinator)) =
            coordinator_client::ask(self.job, group, objective, make).await
        else {
            return Reply::Silence;
        };
        match answer.decision {
            Some(Decision::Granted(granted)) => {
                match self.booked(&granted, answer.reservation, &coordinator) {
                    Some(reserved) => Reply::Booked(reserved),
                    None => Reply::Silence,
                }
            }
            Some(Decision::Refused(full)) => self.full(&full),
            Some(Decision::Permitted(_)) | None => Reply::Silence,
        }
    }

    fn question(&self, group: &Group, writers: bool, booking: ReservationId) -> PrefillRequest {
        let now = Instant::now();
        let away = |engine: &&Arc<Target>| engine.is_unavailable(self.job.patience(), now);
        let tried = self.tried.iter().chain(group.engines.iter().filter(away));
        // Who is asked may still list them.
        let leaving = self.job.shared.workload.availability.leaving(now);
        let avoid = tried.map(|engine| engine.key).chain(leaving);
        PrefillRequest {
            reservation: booking,
            group: group.key,
            service: short_hash(policy::hash(&self.job.service.name)),
            prefix_hash: self.wanted.prefix_hash,
            tokens: self.prompt.input_tokens,
            objective_ms: u32::try_from(self.wanted.objective.as_millis()).unwrap_or(u32::MAX),
            late: self.wanted.late,
            parts: Some(Parts::new(&self.prompt.parts)),
            avoid: avoid.map(short_hash).collect(),
            decode_engines: writers,
            cached_prefix: self.holder,
            requester: Some(self.job.asker()),
        }
    }

    fn booked(
        &self,
        granted: &Granted,
        booking: ReservationId,
        coordinator: &Member,
    ) -> Option<Reserved> {
        let shared = &self.job.shared;
        let engines = shared.fleet().engines();
        let find = |key: u32| engines.iter().find(|engine| short_hash(engine.key) == key).cloned();
        // One that is not listed here yet.
        let engine = find(granted.engine)?;
        let start = Some(self.wanted.prefix_hash);
        let reservation = Reservation::new(shared, &engine, booking, *coordinator, start);
        let fetch = find(granted.copy_from);
        let Granted { tokens, waiting, permit, .. } = *granted;
        let permit = Permit::of(permit);
        Some(Reserved { engine, fetch, tokens, waiting, permit, reservation })
    }

    fn full(&mut self, full: &Refused) -> Reply {
        let after = Duration::from_micros(full.retry_after_us);
        self.soonest = Some(self.soonest.map_or(after, |soonest| soonest.min(after)));
        let kept = |holder: Option<CachedPrefix>| holder.map_or(0, |holder| holder.tokens);
        if kept(full.cached_prefix) > kept(self.holder) {
            self.holder = full.cached_prefix;
        }
        Reply::Full { writer: full.decode_engine }
    }

    fn end(self) -> Found {
        match self.soonest {
            Some(soonest) if self.unheard.is_empty() => {
                let kept = self.holder.map_or(0, |holder| holder.tokens.into());
                Found::Full { soonest, kept }
            }
            _ => Found::Unheard(self.unheard),
        }
    }
}
