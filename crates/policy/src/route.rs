//! Which targets a request goes to.
//!
//! **Load pattern.** 390 entries choose among 700 targets at 4,700 requests a second, each from
//! news of its own age; many prompts share a prefix that some target has cached; domains fail and
//! fill unevenly. **Without it** (round robin, least connections) long prompts pile up on one
//! target, caches are missed, all entries run to the target that looked idle a second ago, and a
//! domain that is full keeps its callers while its neighbour is idle. **How.** [`Weighted`] takes
//! the able targets, estimates the wait at each in seconds of work, lets stale estimates decay to
//! the mean, adds the price of leaving the own failure domain, and takes the least of a few drawn
//! at random; a prompt with a shared prefix goes to the first target in rendezvous order that is
//! not loaded far beyond the mean.

mod baseline;
mod weighted;

pub use baseline::{LeastConnections, RoundRobin};
pub use weighted::{Settings, Weighted};

use crate::estimate::{Cost, Rates};
use crate::{Hash, TargetId, Time};
use conf::resource::Role;
use rand::Rng;

/// The load of a target, as it said last.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// The work there, waiting and running.
    pub cost: Cost,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run side by side.
    pub slots: u32,
    /// What it does in a second.
    pub rates: Rates,
}

/// A target as an entry knows it. The entry keeps one for each target and changes it as news
/// comes, so that a decision copies nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: TargetId,
    /// The hash of its name.
    pub key: Hash,
    /// The hash of its failure domain.
    pub domain: Hash,
    /// The hashes of all it serves: each model with version and adapter, or a service.
    pub serves: Vec<Hash>,
    /// Its role.
    pub role: Role,
    /// Whether it may get work: see [`crate::drain`] and [`crate::outlier`].
    pub usable: bool,
    /// Its load.
    pub load: Load,
    /// When that load was true, if it ever was heard.
    pub reported_at: Option<Time>,
    /// What this entry sent there since, which the load doesn't hold yet.
    pub sent: Cost,
    /// The wait that follows, in seconds; worked out by [`Candidate::update_load`] and
    /// [`Candidate::record_sent`], since a decision looks at hundreds of candidates.
    wait: f64,
}

impl Candidate {
    /// Makes a usable target without load, of which nothing was heard.
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

    /// Takes in the load that it told at `now`.
    pub fn update_load(&mut self, load: Load, now: Time) {
        self.load = load;
        self.reported_at = Some(now);
        self.sent = Cost::default();
        self.wait = self.estimate();
    }

    /// Books work sent there.
    pub fn record_sent(&mut self, cost: Cost) {
        self.sent += cost;
        self.wait = self.estimate();
    }

    /// The estimated seconds until a request sent there now would have its first token, and a part
    /// of the time that its output would take from others.
    ///
    /// While slots are free it waits for the prompts that are read only. What is being written
    /// delays it the more slots are taken.
    pub fn wait(&self) -> f64 {
        self.wait
    }

    fn estimate(&self) -> f64 {
        let load = &self.load;
        let cost = load.cost + self.sent;
        let requests = f64::from(load.running + load.waiting);
        let filled = requests / f64::from(load.slots.max(1));
        let reading = Cost::new(cost.prefill, 0).seconds(&load.rates);
        let writing = Cost::new(0, cost.decode).seconds(&load.rates);
        reading + writing * filled.min(1.0)
    }

    /// Whether it can do this query's stage of the work.
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

/// Which stage of a request a target is wanted for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Stage {
    /// Prompt and output.
    #[default]
    Whole,
    /// The prompt; its KV cache is handed on.
    Prefill,
    /// The output, from KV cache that was handed on.
    Decode,
}

/// What is looked for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Query {
    /// The hash of what it needs served, as in [`Candidate::serves`].
    pub serves: Hash,
    /// Its predicted work.
    pub cost: Cost,
    /// The hash of the prefix that it shares with others, or 0.
    pub prefix: Hash,
    /// The hash of the failure domain that it comes from.
    pub domain: Hash,
    /// The stage wanted.
    pub stage: Stage,
}

/// The targets chosen, by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The best.
    pub first: usize,
    /// The one for late binding or a retry, if there is another.
    pub second: Option<usize>,
    /// Whether the best is in another failure domain although its own has able targets.
    pub spilled: bool,
    /// Whether the best was chosen for the prefix.
    pub affine: bool,
}

impl Choice {
    /// The indexes chosen, the best first.
    pub fn indexes(&self) -> impl Iterator<Item = usize> {
        [Some(self.first), self.second].into_iter().flatten()
    }
}

/// A way of choosing targets.
pub trait Route: Send {
    /// The way's name in settings and tables.
    fn name(&self) -> &'static str;

    /// Chooses among the able candidates; `None` if there are none.
    fn choose(
        &mut self,
        query: &Query,
        candidates: &[Candidate],
        now: Time,
        rng: &mut dyn Rng,
    ) -> Option<Choice>;
}
