//! The targets as candidates for work, kept up to date as news comes, and the choice among them.
//!
//! The choice itself is [`policy::route`]'s; here is what it chooses among. News changes one
//! candidate where it stands, so that a request neither copies nor converts any load.

use crate::random::Random;
use crate::view::{Site, View};
use compact_str::CompactString;
use conf::Name;
use conf::resource::Role;
use policy::estimate::{Cost, Rates};
use policy::outlier::{OutlierDetector, Sample, Status};
use policy::route::{Candidate, Choice, Load, Query, Route, Stage, Weighted};
use policy::{Hash, Time};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A target that may run a request.
pub(crate) struct Pick {
    pub(crate) site: Arc<Site>,
    /// The role that its engine has, as last heard.
    pub(crate) role: Role,
    /// Whether it has room at once, as last heard.
    pub(crate) idle: bool,
    /// Work there before the request's own.
    pub(crate) ahead: Cost,
    /// How fast it is.
    pub(crate) rates: Rates,
}

/// What a choice is made for.
pub(crate) struct Wanted<'a> {
    pub(crate) query: Query,
    /// Stages to look for instead if no target can do the query's.
    pub(crate) or_else: &'a [Stage],
    /// Targets that failed this request before, taken only if there is no other.
    pub(crate) tried: &'a [Name],
}

/// All configured targets as candidates.
#[derive(Default)]
pub(crate) struct Board {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    candidates: Vec<Candidate>,
    spots: Vec<Spot>,
    by_address: HashMap<CompactString, usize>,
    by_name: HashMap<Name, usize>,
    /// How many targets serve a name.
    served: HashMap<Hash, usize>,
    route: Weighted,
    outliers: OutlierDetector,
}

/// What is known of a target beside the candidate.
struct Spot {
    site: Arc<Site>,
    /// What the load said was served, to notice a change without hashing.
    serves: Vec<String>,
    accepting: Option<bool>,
    vm: policy::drain::VmState,
    up: bool,
}

impl Board {
    /// Takes a new configuration in, keeping what is known of targets that stay the same.
    pub(crate) fn configure(&self, view: &View, now: Time) {
        let mut inner = self.lock();
        let mut sites: Vec<_> = view.targets().cloned().collect();
        sites.sort_by(|a, b| a.name.cmp(&b.name));
        let mut old = std::mem::take(&mut *inner);
        inner.route = std::mem::take(&mut old.route);
        inner.outliers = std::mem::take(&mut old.outliers);
        for site in sites {
            let known = old.by_name.get(&site.name).copied();
            let same = known.filter(|&at| old.spots[at].site.spec == site.spec);
            let (candidate, spot) = match same {
                Some(at) => {
                    let spot = &old.spots[at];
                    let (serves, vm) = (spot.serves.clone(), spot.vm);
                    let (accepting, up) = (spot.accepting, spot.up);
                    let spot = Spot { site, serves, accepting, vm, up };
                    (old.candidates[at].clone(), spot)
                }
                None => fresh(site),
            };
            inner.add(candidate, spot);
        }
        for name in old.by_name.keys().filter(|name| view.target(name).is_none()) {
            inner.outliers.forget(name);
        }
        inner.count_served();
        inner.refresh_all(now);
    }

    /// Takes the load that an agent told in.
    pub(crate) fn hear(&self, address: &str, load: &wire::Load, now: Time) {
        let mut inner = self.lock();
        let Some(&at) = inner.by_address.get(address) else { return };
        let Inner { candidates, spots, .. } = &mut *inner;
        let (candidate, spot) = (&mut candidates[at], &mut spots[at]);
        candidate.update_load(load_of(load), now);
        candidate.role = role_of(&load.role, candidate.role);
        spot.accepting = Some(load.accepting);
        if spot.site.spec.is_engine() && spot.serves != load.serves {
            spot.serves.clone_from(&load.serves);
            candidate.serves = load.serves.iter().map(|name| policy::hash(name)).collect();
            inner.count_served();
        }
        inner.refresh(at, now);
    }

    /// How many targets serve a name, whether they take work now or not.
    pub(crate) fn served(&self, name: &str) -> usize {
        self.lock().served.get(&policy::hash(name)).copied().unwrap_or_default()
    }

    /// The version of a model that most targets serve, with an adapter if one is named.
    pub(crate) fn most_served(&self, model: &str, adapter: &str) -> Option<Name> {
        let inner = self.lock();
        let names = inner.spots.iter().flat_map(|spot| &spot.serves);
        let versions = names.filter_map(|name| version_of(name, model, adapter));
        let mut counts = BTreeMap::<&str, usize>::new();
        versions.for_each(|version| *counts.entry(version).or_default() += 1);
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(version, _)| version.into())
    }

    /// Notes that the connection to an agent stands, or does not.
    pub(crate) fn set_up(&self, address: &str, up: bool, now: Time) {
        let mut inner = self.lock();
        if let Some(&at) = inner.by_address.get(address) {
            inner.spots[at].up = up;
            inner.refresh(at, now);
        }
    }

    /// Takes the platform's list in.
    pub(crate) fn set_vms(&self, phase: impl Fn(&str) -> policy::drain::VmState, now: Time) {
        let mut inner = self.lock();
        for spot in &mut inner.spots {
            spot.vm = phase(&spot.site.name);
        }
        inner.refresh_all(now);
    }

    /// Takes in how an attempt at a target went.
    pub(crate) fn sample(&self, target: &Name, sample: Sample, now: Time) {
        let mut inner = self.lock();
        inner.outliers.sample(target, sample, now);
        if let Some(&at) = inner.by_name.get(target) {
            inner.refresh(at, now);
        }
    }

    /// The best targets, best first, at most two. The first is booked as having got the work.
    pub(crate) fn choose(&self, wanted: &Wanted<'_>, now: Time, random: &Random) -> Vec<Pick> {
        let mut inner = self.lock();
        let picks = inner.choose(wanted, now, random);
        let probed = picks.iter().find_map(|&at| {
            let name = &inner.candidates[at].name;
            (inner.outliers.status(name, now) == Status::Probe).then(|| (at, name.clone()))
        });
        if let Some((at, name)) = probed {
            inner.outliers.probe_sent(&name, now);
            inner.refresh(at, now);
        }
        let chosen = picks.iter().map(|&at| inner.pick(at)).collect();
        if let Some(&first) = picks.first() {
            inner.candidates[first].record_sent(wanted.query.cost);
        }
        chosen
    }

    /// The one target of a model that all entries choose for `key`, if it is able now.
    ///
    /// It is chosen whether it is able or not, but not among those in `crashed`: were it among the
    /// able ones, an entry that sees the chosen one down, because the key's request just crashed it
    /// there, would choose another and have that crashed too.
    pub(crate) fn rendezvous(
        &self,
        model: &str,
        query: &Query,
        key: Hash,
        crashed: &[Name],
    ) -> Option<Pick> {
        let inner = self.lock();
        let eligible = |at: &usize| {
            let site = &inner.spots[*at].site;
            let is_meant = site.spec.models.iter().any(|served| served == model);
            site.is_active() && is_meant && !crashed.contains(&site.name)
        };
        let all = (0..inner.spots.len()).filter(eligible);
        let first = all.max_by_key(|&at| policy::mix(key, inner.candidates[at].key))?;
        inner.candidates[first].can_serve(query).then(|| inner.pick(first))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn add(&mut self, candidate: Candidate, spot: Spot) {
        let at = self.candidates.len();
        self.by_address.insert(spot.site.spec.agent.clone(), at);
        self.by_name.insert(spot.site.name.clone(), at);
        self.candidates.push(candidate);
        self.spots.push(spot);
    }

    fn refresh_all(&mut self, now: Time) {
        for at in 0..self.spots.len() {
            self.refresh(at, now);
        }
    }

    fn refresh(&mut self, at: usize, now: Time) {
        let relieved = match self.outliers.status(&self.candidates[at].name, now) {
            Status::Normal | Status::Probe => false,
            Status::Ejected => true,
        };
        let spot = &self.spots[at];
        self.candidates[at].usable = spot.takes_work() && spot.up && !relieved;
    }

    /// Chooses among connected targets; then among those that failed this request before; then
    /// among all that could be there, whose connections are still to be opened.
    fn choose(&mut self, wanted: &Wanted<'_>, now: Time, random: &Random) -> Vec<usize> {
        let tried = wanted.tried.iter().filter_map(|name| self.by_name.get(name).copied());
        let tried: Vec<usize> =
            tried.filter(|&at| std::mem::take(&mut self.candidates[at].usable)).collect();
        let first = self.by_stage(wanted, now, random);
        for &at in &tried {
            self.candidates[at].usable = true;
        }
        if !first.is_empty() {
            return first;
        }
        let again = if tried.is_empty() { first } else { self.by_stage(wanted, now, random) };
        if again.is_empty() { self.unconnected(wanted) } else { again }
    }

    fn by_stage(&mut self, wanted: &Wanted<'_>, now: Time, random: &Random) -> Vec<usize> {
        let stages = std::iter::once(wanted.query.stage).chain(wanted.or_else.iter().copied());
        for stage in stages {
            let query = Query { stage, ..wanted.query };
            let Self { candidates, route, .. } = self;
            let choice = random.with(|rng| route.choose(&query, candidates, now, rng));
            if let Some(choice) = choice {
                return Choice::indexes(&choice).collect();
            }
        }
        Vec::new()
    }

    fn count_served(&mut self) {
        self.served.clear();
        for name in self.candidates.iter().flat_map(|candidate| &candidate.serves) {
            *self.served.entry(*name).or_default() += 1;
        }
    }

    fn unconnected(&self, wanted: &Wanted<'_>) -> Vec<usize> {
        let serves = |at: &usize| self.candidates[*at].serves.contains(&wanted.query.serves);
        let all = (0..self.spots.len()).filter(|&at| self.spots[at].takes_work()).filter(serves);
        let untried = |at: &usize| !wanted.tried.contains(&self.spots[*at].site.name);
        let (untried, tried): (Vec<usize>, Vec<usize>) = all.partition(untried);
        untried.into_iter().chain(tried).take(2).collect()
    }

    fn pick(&self, at: usize) -> Pick {
        let (candidate, spot) = (&self.candidates[at], &self.spots[at]);
        let Load { waiting, running, slots, cost, rates } = candidate.load;
        let idle = candidate.reported_at.is_some() && waiting == 0 && running < slots;
        let ahead = if idle { Cost::default() } else { cost + candidate.sent };
        Pick { site: spot.site.clone(), role: candidate.role, idle, ahead, rates }
    }
}

/// The version in a served name of the form `model@version+adapter`, if it is of this model and
/// adapter; empty for the weights that engines start with.
fn version_of<'a>(name: &'a str, model: &str, adapter: &str) -> Option<&'a str> {
    let (base, with) = name.split_once('+').unwrap_or((name, ""));
    let (of, version) = base.split_once('@').unwrap_or((base, ""));
    (of == model && with == adapter).then_some(version)
}

impl Spot {
    fn takes_work(&self) -> bool {
        let (phase, vm, accepting) = (self.site.spec.phase, self.vm, self.accepting);
        policy::drain::accepts_work(&policy::drain::Lifecycle { phase, vm, accepting })
    }
}

/// The name under which a service stands among what targets serve.
pub(crate) fn service_key(service: &str) -> Hash {
    policy::hash(&format!("service:{service}"))
}

fn fresh(site: Arc<Site>) -> (Candidate, Spot) {
    let spec = &site.spec;
    let serves = match spec.is_engine() {
        true => configured(&site),
        false => vec![service_key(&spec.service)],
    };
    let mut candidate = Candidate::new(&site.name, &spec.domain, serves);
    candidate.role = spec.role.unwrap_or_default();
    candidate.load.slots = spec.slots;
    let vm = policy::drain::VmState::Unknown;
    let up = site.peer.is_up();
    (candidate, Spot { site, serves: Vec::new(), accepting: None, vm, up })
}

/// What an engine should serve by its resource, until its agent says what it does serve.
fn configured(site: &Site) -> Vec<Hash> {
    let models = site.spec.models.iter();
    let names = models.flat_map(|model| {
        let adapted = site.spec.adapters.iter().map(move |adapter| format!("{model}+{adapter}"));
        std::iter::once(model.to_string()).chain(adapted)
    });
    names.map(|name| policy::hash(&name)).collect()
}

fn load_of(load: &wire::Load) -> Load {
    let rate = |told: u32, usual: f64| if told == 0 { usual } else { f64::from(told) };
    let usual = Rates::default();
    let prefill = rate(load.prefill_rate, usual.prefill);
    let decode = rate(load.decode_rate, usual.decode);
    Load {
        cost: Cost::new(load.prompt_tokens, load.output_tokens),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        rates: Rates { prefill, decode },
    }
}

fn role_of(name: &str, known: Role) -> Role {
    [Role::Prefill, Role::Decode, Role::Mixed]
        .into_iter()
        .find(|role| role.name() == name)
        .unwrap_or(known)
}
