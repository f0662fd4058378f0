//! Chooses the targets that a request is sent to.
//!
//! **Load pattern.** 390 entries choose among 700 targets at 4,700 requests per second, each by
//! reports of a different age. Many prompts share a prefix that some target has cached, and failure
//! domains fail and fill unevenly. **Without this** (round robin, least connections), long prompts
//! pile up on one target, caches are missed, all entries choose the target that looked idle a
//! second ago, and a full failure domain keeps its callers while its neighbour is idle.
//! **Approach.** [`Weighted`] estimates the wait at each eligible target in seconds of work, lets
//! stale estimates decay to the mean, adds a cost for leaving the own failure domain, and takes the
//! smallest of a few drawn at random. A prompt with a shared prefix goes to the first target in
//! rendezvous order that is not loaded far beyond the mean.

mod baseline;
mod weighted;

pub use baseline::{LeastConnections, RoundRobin};
pub use weighted::{Settings, Weighted};

use crate::estimate::{Cost, Rates};
use crate::{Hash, TargetId, Time};
use conf::resource::Role;
use rand::Rng;

/// The load of a target, as last reported.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Waiting and running work.
    pub cost: Cost,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that may run concurrently.
    pub slots: u32,
    /// Token rates of the target.
    pub rates: Rates,
}

/// A target as known to an entry. The entry keeps one for each target and updates it in place, so
/// that a decision copies nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: TargetId,
    /// The hash of its name.
    pub key: Hash,
    /// The hash of its failure domain.
    pub domain: Hash,
    /// The hashes of all names that it serves: each model with version and adapter, or a service.
    pub serves: Vec<Hash>,
    /// Its role.
    pub role: Role,
    /// Whether it may get work, see [`crate::drain`] and [`crate::outlier`].
    pub usable: bool,
    /// Its last reported load.
    pub load: Load,
    /// When that load was reported, if any was.
    pub reported_at: Option<Time>,
    /// Work that this entry has sent there since, which the reported load does not include.
    pub sent: Cost,
    /// Estimated wait in seconds. It is computed by [`Candidate::update_load`] and
    /// [`Candidate::record_sent`], since a decision compares hundreds of candidates.
    wait: f64,
}

impl Candidate {
    /// Creates a usable candidate without a reported load.
    pub fn new(name: &str, domain: &str, serves: Vec<Hash>) -> Self {
        Self {
            name: name.into(),
            key: crate::hash(name),
            domain: crate::hash(domain),
            serves,
            role: Role::Mixed,
            usable: true,
            load: Load::default(),
            reported_at: None,
            sent: Cost::default(),
            wait: 0.0,
        }
    }

    /// Records a load that was reported at `now`.
    pub fn update_load(&mut self, load: Load, now: Time) {
        self.load = load;
        self.reported_at = Some(now);
        self.sent = Cost::default();
        self.wait = self.estimate();
    }

    /// Records work sent to the target.
    pub fn record_sent(&mut self, cost: Cost) {
        self.sent += cost;
        self.wait = self.estimate();
    }

    /// Returns the estimated seconds until the first token of a request sent there now, plus a
    /// share of the time that its output would take from others.
    ///
    /// While slots are free, a request waits only for queued prefill. Output in progress delays it
    /// more the more slots are in use.
    pub fn wait(&self) -> f64 {
        self.wait
    }

    fn estimate(&self) -> f64 {
        let load = &self.load;
        let cost = load.cost + self.sent;
        let requests = f64::from(load.running + load.waiting);
        let slot_usage = requests / f64::from(load.slots.max(1));
        let prefill = Cost::new(cost.prefill, 0).seconds(&load.rates);
        let decode = Cost::new(0, cost.decode).seconds(&load.rates);
        prefill + decode * slot_usage.min(1.0)
    }

    /// Returns whether the target can serve this query.
    pub fn can_serve(&self, query: &Query) -> bool {
        let stage = match (query.stage, self.role) {
            (_, Role::Mixed) | (Stage::Prefill, Role::Prefill) | (Stage::Decode, Role::Decode) => {
                true
            }
            (Stage::Whole | Stage::Decode, Role::Prefill)
            | (Stage::Whole | Stage::Prefill, Role::Decode) => false,
        };
        self.usable && stage && self.serves.contains(&query.serves)
    }
}

/// The stage of a request that a target is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stage {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill, after which the KV cache is transferred.
    Prefill,
    /// Decode, from a transferred KV cache.
    Decode,
}

/// What a target is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Query {
    /// The hash of the name that must be served, as in [`Candidate::serves`].
    pub serves: Hash,
    /// The predicted work of the request.
    pub cost: Cost,
    /// The hash of the prefix that the prompt shares with others, or 0.
    pub prefix: Hash,
    /// The hash of the entry's own failure domain.
    pub domain: Hash,
    /// The stage to serve.
    pub stage: Stage,
}

/// The chosen targets, by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The best target.
    pub first: usize,
    /// The target for late binding or a retry, if there is a second one.
    pub second: Option<usize>,
    /// Whether the best target is in another failure domain although the own one has eligible
    /// targets.
    pub spilled: bool,
    /// Whether the best target was chosen for the prefix.
    pub affine: bool,
}

impl Choice {
    /// Returns the chosen indexes, the best first.
    pub fn indexes(&self) -> impl Iterator<Item = usize> {
        [Some(self.first), self.second].into_iter().flatten()
    }
}

/// A routing policy.
pub trait Route: Send {
    /// Returns the name of the policy in settings and tables.
    fn name(&self) -> &'static str;

    /// Chooses among the candidates that can serve the query; `None` if there are none.
    fn choose(
        &mut self,
        query: &Query,
        candidates: &[Candidate],
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Choice>;
}
