//! Tracks the state of all configured targets and chooses among them.
//!
//! The algorithm is [`policy::route`]; this module maintains its candidates. Updates modify a
//! candidate in place, so that requests neither copy nor convert load reports.

use crate::random::Random;
use crate::view::{ConfigView, ConfiguredTarget};
use compact_str::CompactString;
use conf::Name;
use conf::resource::Role;
use policy::estimate::{Cost, Rates};
use policy::outlier::{OutlierDetector, Sample, Status};
use policy::route::{Candidate, Choice, Load, Query, Route, Stage, Weighted};
use policy::{Hash, Time};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A target chosen for a request.
pub(crate) struct SelectedTarget {
    pub(crate) configured: Arc<ConfiguredTarget>,
    /// Role of its engine, as last reported.
    pub(crate) role: Role,
    /// Whether it has a free slot and an empty queue, as last reported.
    pub(crate) idle: bool,
    /// Cost of the work ahead of the request at this target.
    pub(crate) ahead: Cost,
    /// Prefill and decode rates.
    pub(crate) rates: Rates,
}

/// Criteria for choosing targets.
pub(crate) struct Criteria<'a> {
    pub(crate) query: Query,
    /// Stages to try in order if no target can serve the query's stage.
    pub(crate) fallback_stages: &'a [Stage],
    /// Targets that failed this request before; chosen only if there is no other.
    pub(crate) tried: &'a [Name],
}

/// Table of all configured targets.
#[derive(Default)]
pub(crate) struct TargetTable {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    candidates: Vec<Candidate>,
    statuses: Vec<TargetStatus>,
    by_address: HashMap<CompactString, usize>,
    by_name: HashMap<Name, usize>,
    /// Number of targets that serve each name.
    server_counts: HashMap<Hash, usize>,
    route: Weighted,
    outliers: OutlierDetector,
}

/// State of a target that is not part of its candidate.
struct TargetStatus {
    configured: Arc<ConfiguredTarget>,
    /// Served names of the last load report, to detect changes without hashing.
    serves: Vec<String>,
    accepting: Option<bool>,
    vm: policy::drain::VmState,
    connected: bool,
}

impl TargetTable {
    /// Applies a new configuration and keeps the state of targets that did not change.
    pub(crate) fn apply_config(&self, view: &ConfigView, now: Time) {
        let mut inner = self.lock();
        let mut targets: Vec<_> = view.targets().cloned().collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        let mut old = std::mem::take(&mut *inner);
        inner.route = std::mem::take(&mut old.route);
        inner.outliers = std::mem::take(&mut old.outliers);
        for configured in targets {
            let known = old.by_name.get(&configured.name).copied();
            let same =
                known.filter(|&index| old.statuses[index].configured.spec == configured.spec);
            let (candidate, status) = match same {
                Some(index) => {
                    let status = &old.statuses[index];
                    let (serves, vm) = (status.serves.clone(), status.vm);
                    let (accepting, connected) = (status.accepting, status.connected);
                    let status = TargetStatus { configured, serves, accepting, vm, connected };
                    (old.candidates[index].clone(), status)
                }
                None => new_target(configured),
            };
            inner.add(candidate, status);
        }
        for name in old.by_name.keys().filter(|name| view.target(name).is_none()) {
            inner.outliers.forget(name);
        }
        inner.count_servers();
        inner.refresh_all(now);
    }

    /// Applies a load report of the agent at `address`.
    pub(crate) fn update_load(&self, address: &str, load: &wire::Load, now: Time) {
        let mut inner = self.lock();
        let Some(&index) = inner.by_address.get(address) else { return };
        let Inner { candidates, statuses, .. } = &mut *inner;
        let (candidate, status) = (&mut candidates[index], &mut statuses[index]);
        candidate.update_load(parse_load(load), now);
        candidate.role = parse_role(&load.role, candidate.role);
        status.accepting = Some(load.accepting);
        if status.configured.spec.is_engine() && status.serves != load.serves {
            status.serves.clone_from(&load.serves);
            candidate.serves = load.serves.iter().map(|name| policy::hash(name)).collect();
            inner.count_servers();
        }
        inner.refresh(index, now);
    }

    /// Returns how many targets serve a name, including those that accept no work now.
    pub(crate) fn server_count(&self, name: &str) -> usize {
        self.lock().server_counts.get(&policy::hash(name)).copied().unwrap_or_default()
    }

    /// Returns the version of a model that most targets serve, with the adapter if one is named.
    pub(crate) fn most_served_version(&self, model: &str, adapter: &str) -> Option<Name> {
        let inner = self.lock();
        let names = inner.statuses.iter().flat_map(|status| &status.serves);
        let versions = names.filter_map(|name| version_of(name, model, adapter));
        let mut counts = BTreeMap::<&str, usize>::new();
        versions.for_each(|version| *counts.entry(version).or_default() += 1);
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(version, _)| version.into())
    }

    /// Records whether the agent at `address` is connected.
    pub(crate) fn set_connected(&self, address: &str, connected: bool, now: Time) {
        let mut inner = self.lock();
        if let Some(&index) = inner.by_address.get(address) {
            inner.statuses[index].connected = connected;
            inner.refresh(index, now);
        }
    }

    /// Updates the state of each target's VM.
    pub(crate) fn set_vms(&self, vm_state: impl Fn(&str) -> policy::drain::VmState, now: Time) {
        let mut inner = self.lock();
        for status in &mut inner.statuses {
            status.vm = vm_state(&status.configured.name);
        }
        inner.refresh_all(now);
    }

    /// Records the outcome of an attempt at a target.
    pub(crate) fn record_sample(&self, target: &Name, sample: Sample, now: Time) {
        let mut inner = self.lock();
        inner.outliers.sample(target, sample, now);
        if let Some(&index) = inner.by_name.get(target) {
            inner.refresh(index, now);
        }
    }

    /// Chooses up to two targets, best first, and records the work as sent to the first.
    pub(crate) fn choose(
        &self,
        criteria: &Criteria<'_>,
        now: Time,
        random: &Random,
    ) -> Vec<SelectedTarget> {
        let mut inner = self.lock();
        let indexes = inner.choose(criteria, now, random);
        let probe = indexes.iter().find_map(|&index| {
            let name = &inner.candidates[index].name;
            (inner.outliers.status(name, now) == Status::Probe).then(|| (index, name.clone()))
        });
        if let Some((index, name)) = probe {
            inner.outliers.probe_sent(&name, now);
            inner.refresh(index, now);
        }
        let chosen = indexes.iter().map(|&index| inner.selected(index)).collect();
        if let Some(&first) = indexes.first() {
            inner.candidates[first].record_sent(criteria.query.cost);
        }
        chosen
    }

    /// Returns the target that all entries choose for `key`, if it can serve the query now.
    ///
    /// The choice ignores availability and excludes only targets in `crashed`. If it considered
    /// only available targets, an entry that finds the chosen target down, because the request with
    /// this key has just crashed it, would choose another and crash that as well.
    pub(crate) fn rendezvous(
        &self,
        model: &str,
        query: &Query,
        key: Hash,
        crashed: &[Name],
    ) -> Option<SelectedTarget> {
        let inner = self.lock();
        let eligible = |index: &usize| {
            let configured = &inner.statuses[*index].configured;
            let serves_model = configured.spec.models.iter().any(|served| served == model);
            configured.is_active() && serves_model && !crashed.contains(&configured.name)
        };
        let all = (0..inner.statuses.len()).filter(eligible);
        let first = all.max_by_key(|&index| policy::mix(key, inner.candidates[index].key))?;
        inner.candidates[first].can_serve(query).then(|| inner.selected(first))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn add(&mut self, candidate: Candidate, status: TargetStatus) {
        let index = self.candidates.len();
        self.by_address.insert(status.configured.spec.agent.clone(), index);
        self.by_name.insert(status.configured.name.clone(), index);
        self.candidates.push(candidate);
        self.statuses.push(status);
    }

    fn refresh_all(&mut self, now: Time) {
        for index in 0..self.statuses.len() {
            self.refresh(index, now);
        }
    }

    fn refresh(&mut self, index: usize, now: Time) {
        let ejected = match self.outliers.status(&self.candidates[index].name, now) {
            Status::Normal | Status::Probe => false,
            Status::Ejected => true,
        };
        let status = &self.statuses[index];
        self.candidates[index].usable = status.accepts_work() && status.connected && !ejected;
    }

    /// Chooses among connected targets, then among those that failed this request before, then
    /// among targets that are not connected yet.
    fn choose(&mut self, criteria: &Criteria<'_>, now: Time, random: &Random) -> Vec<usize> {
        let tried = criteria.tried.iter().filter_map(|name| self.by_name.get(name).copied());
        let tried: Vec<usize> =
            tried.filter(|&index| std::mem::take(&mut self.candidates[index].usable)).collect();
        let first = self.choose_by_stage(criteria, now, random);
        for &index in &tried {
            self.candidates[index].usable = true;
        }
        if !first.is_empty() {
            return first;
        }
        let retried =
            if tried.is_empty() { first } else { self.choose_by_stage(criteria, now, random) };
        if retried.is_empty() { self.choose_unconnected(criteria) } else { retried }
    }

    fn choose_by_stage(
        &mut self,
        criteria: &Criteria<'_>,
        now: Time,
        random: &Random,
    ) -> Vec<usize> {
        let stages =
            std::iter::once(criteria.query.stage).chain(criteria.fallback_stages.iter().copied());
        for stage in stages {
            let query = Query { stage, ..criteria.query };
            let Self { candidates, route, .. } = self;
            let choice = random.with(|rng| route.choose(&query, candidates, now, rng));
            if let Some(choice) = choice {
                return Choice::indexes(&choice).collect();
            }
        }
        Vec::new()
    }

    fn count_servers(&mut self) {
        self.server_counts.clear();
        for name in self.candidates.iter().flat_map(|candidate| &candidate.serves) {
            *self.server_counts.entry(*name).or_default() += 1;
        }
    }

    fn choose_unconnected(&self, criteria: &Criteria<'_>) -> Vec<usize> {
        let serves =
            |index: &usize| self.candidates[*index].serves.contains(&criteria.query.serves);
        let all = (0..self.statuses.len())
            .filter(|&index| self.statuses[index].accepts_work())
            .filter(serves);
        let untried =
            |index: &usize| !criteria.tried.contains(&self.statuses[*index].configured.name);
        let (untried, tried): (Vec<usize>, Vec<usize>) = all.partition(untried);
        untried.into_iter().chain(tried).take(2).collect()
    }

    fn selected(&self, index: usize) -> SelectedTarget {
        let (candidate, status) = (&self.candidates[index], &self.statuses[index]);
        let Load { waiting, running, slots, cost, rates } = candidate.load;
        let idle = candidate.reported_at.is_some() && waiting == 0 && running < slots;
        let ahead = if idle { Cost::default() } else { cost + candidate.sent };
        SelectedTarget {
            configured: status.configured.clone(),
            role: candidate.role,
            idle,
            ahead,
            rates,
        }
    }
}

/// Returns the version in a served name of the form `model@version+adapter` if model and adapter
/// match; empty for the weights that engines start with.
fn version_of<'a>(name: &'a str, model: &str, adapter: &str) -> Option<&'a str> {
    let (base, with) = name.split_once('+').unwrap_or((name, ""));
    let (of, version) = base.split_once('@').unwrap_or((base, ""));
    (of == model && with == adapter).then_some(version)
}

impl TargetStatus {
    fn accepts_work(&self) -> bool {
        let (phase, vm, accepting) = (self.configured.spec.phase, self.vm, self.accepting);
        policy::drain::accepts_work(&policy::drain::Lifecycle { phase, vm, accepting })
    }
}

/// Returns the key under which targets serve a plain service.
pub(crate) fn service_key(service: &str) -> Hash {
    policy::hash(&format!("service:{service}"))
}

fn new_target(configured: Arc<ConfiguredTarget>) -> (Candidate, TargetStatus) {
    let spec = &configured.spec;
    let serves = match spec.is_engine() {
        true => configured_names(&configured),
        false => vec![service_key(&spec.service)],
    };
    let mut candidate = Candidate::new(&configured.name, &spec.domain, serves);
    candidate.role = spec.role.unwrap_or_default();
    candidate.load.slots = spec.slots;
    let vm = policy::drain::VmState::Unknown;
    let connected = configured.peer.is_connected();
    (candidate, TargetStatus { configured, serves: Vec::new(), accepting: None, vm, connected })
}

/// Returns the names that an engine should serve by its configuration, used until its agent reports
/// the names that it does serve.
fn configured_names(configured: &ConfiguredTarget) -> Vec<Hash> {
    let models = configured.spec.models.iter();
    let names = models.flat_map(|model| {
        let adapted =
            configured.spec.adapters.iter().map(move |adapter| format!("{model}+{adapter}"));
        std::iter::once(model.to_string()).chain(adapted)
    });
    names.map(|name| policy::hash(&name)).collect()
}

fn parse_load(load: &wire::Load) -> Load {
    let rate =
        |reported: u32, default: f64| if reported == 0 { default } else { f64::from(reported) };
    let default = Rates::default();
    let prefill = rate(load.prefill_rate, default.prefill);
    let decode = rate(load.decode_rate, default.decode);
    Load {
        cost: Cost::new(load.prompt_tokens, load.output_tokens),
        running: load.running,
        waiting: load.waiting,
        slots: load.slots,
        rates: Rates { prefill, decode },
    }
}

fn parse_role(name: &str, known: Role) -> Role {
    [Role::Prefill, Role::Decode, Role::Mixed]
        .into_iter()
        .find(|role| role.name() == name)
        .unwrap_or(known)
}
