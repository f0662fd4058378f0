//! The event loop of the simulation: engines and entries over time.

use super::engine::{Engine, EngineParameters, QueuedPrompt, Stream};
use super::traffic::{Class, Request, Traffic};
use super::{OutcomeCounts, Results};
use crate::decode::{self, DecodeCandidate};
use crate::distance::{Distance, Topology};
use crate::number::{count, float};
use crate::prefill::{self, Placement, PrefillCandidate};
use crate::promise;
use crate::retry_detection::{Attempt, RetryDetector};
use crate::simulation::Random;
use crate::transfer::TransferTime;
use crate::{Hash, Time};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// The options of a simulation.
#[derive(Debug, Clone)]
pub struct Options {
    /// Settings for the placement of prefill.
    pub prefill: prefill::Settings,
    /// Whether entries learn what to reserve of the objective, see [`crate::promise`].
    pub learn_reserve: bool,
    /// The priority of short prompts; that of long ones is 0.
    pub short_priority: u8,
    /// Share of the engines that only prefill.
    pub prefill_share: f64,
    /// The number of engines.
    pub engines: usize,
    /// The number of entries.
    pub entries: usize,
    /// The number of failure domains.
    pub domains: u64,
    /// Seconds between two updates that an entry receives from the others.
    pub update_interval: f64,
    /// Whether prefill is reserved at a coordinator of the engine, which knows all that is queued
    /// there, see [`crate::groups`].
    pub coordinated: bool,
    /// Whether decode engines in the failure domain of the prefill engine are preferred.
    pub prefer_same_domain: bool,
    /// The random seed of the load.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prefill: prefill::Settings::default(),
            learn_reserve: false,
            short_priority: 1,
            prefill_share: 0.71,
            engines: 14,
            entries: 5,
            domains: 3,
            update_interval: 0.01,
            coordinated: false,
            prefer_same_domain: true,
            seed: 7,
        }
    }
}

/// The network delay between a caller and an engine, in seconds.
const NETWORK_DELAY: f64 = 0.005;

/// The round trip from an entry to a coordinator, in seconds.
const COORDINATOR_ROUND_TRIP: f64 = 0.002;

/// The number of times that a caller retries a refused request.
const MAX_RETRIES: u32 = 1;

#[derive(Debug)]
enum Event {
    Arrive(Request),
    /// A prompt is at its prefill engine, and so is the KV cache that was copied for it.
    PromptReady(usize, QueuedPrompt),
    PrefillDone(usize),
    /// The KV cache of a stream is at its decode engine.
    TransferDone(usize, Stream),
    StepDone(usize),
    /// Entries receive the state of the others.
    Update,
}

/// Simulates a load.
pub fn run(parameters: &EngineParameters, traffic: &Traffic, options: &Options) -> Results {
    let mut fleet = Fleet::new(*parameters, options);
    let requests = traffic.requests(options.seed);
    fleet.results.bound = bound(parameters, options, &requests);
    for request in requests {
        let counts = fleet.counts(request.class);
        counts.requests += 1;
        fleet.schedule(request.at + fleet.placement_delay(), Event::Arrive(request));
    }
    fleet.schedule(0.0, Event::Update);
    while let Some(((now, _), event)) = fleet.events.pop_first() {
        fleet.now = f64::from_bits(now);
        fleet.handle(event, traffic.end);
    }
    fleet.results
}

/// Returns an upper bound for long prompts in time, if prefill engines never wait for updates and
/// no shared part is prefilled twice. In each tenth of a second, demand that exceeds the slice and
/// [`prefill::max_duration`], half of the objective, is lost.
fn bound(parameters: &EngineParameters, options: &Options, requests: &[Request]) -> u64 {
    const SLICE: f64 = 0.1;
    let engines = prefill_engines(options);
    let rate = parameters.prefill_rate * float(u64::try_from(engines).unwrap_or(0));
    let (mut backlog, mut at, mut in_time) = (0.0_f64, 0.0, 0);
    for request in requests.iter().filter(|request| request.class == Class::Long) {
        while request.at > at + SLICE {
            at += SLICE;
            backlog = (backlog - rate * SLICE).max(0.0);
        }
        if backlog + float(request.own)
            <= rate
                * (SLICE
                    + prefill::max_duration(&options.prefill, &request.prompt(false)).as_secs_f64())
        {
            backlog += float(request.own);
            in_time += 1;
        }
    }
    in_time
}

/// Returns the number of prefill engines.
fn prefill_engines(options: &Options) -> usize {
    let engines = u64::try_from(options.engines).unwrap_or(u64::MAX);
    usize::try_from(count(float(engines) * options.prefill_share)).unwrap_or(options.engines)
}

struct Fleet {
    parameters: EngineParameters,
    options: Options,
    engines: Vec<Engine>,
    keys: Vec<Hash>,
    /// Queued prefill tokens, by entry and engine.
    queued_tokens: Vec<Vec<u64>>,
    /// Streams, by entry and engine.
    streams: Vec<Vec<u32>>,
    /// Both as of the last update among entries.
    last_update: (Vec<Vec<u64>>, Vec<Vec<u32>>),
    /// Transfer times by source engine.
    outgoing: Vec<TransferTime>,
    /// Transfer times by destination engine.
    incoming: Vec<TransferTime>,
    retry_detector: RetryDetector,
    /// What entries have learned.
    reserves: Vec<promise::Estimator>,
    /// Shared parts that have been prefilled at some engine.
    prefilled_parts: HashSet<u32>,
    /// Events by time, as the bits of the float, and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    now: f64,
    random: Random,
    results: Results,
}

impl Fleet {
    fn new(parameters: EngineParameters, options: &Options) -> Self {
        let prefill = prefill_engines(options);
        let engine =
            |at: usize| Engine::new(at < prefill, u64::try_from(at).unwrap_or(0) % options.domains);
        let tokens = vec![vec![0; options.engines]; options.entries];
        let streams = vec![vec![0; options.engines]; options.entries];
        Self {
            parameters,
            options: options.clone(),
            engines: (0..options.engines).map(engine).collect(),
            keys: (0..options.engines).map(|at| crate::hash(&at.to_string())).collect(),
            last_update: (tokens.clone(), streams.clone()),
            queued_tokens: tokens,
            streams,
            outgoing: vec![TransferTime::default(); options.engines],
            incoming: vec![TransferTime::default(); options.engines],
            retry_detector: RetryDetector::default(),
            reserves: vec![promise::Estimator::default(); options.entries],
            prefilled_parts: HashSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now: 0.0,
            random: Random::new(options.seed + 1),
            results: Results::default(),
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        // The bits of floats that are not negative have the order of the floats.
        self.events.insert((at.to_bits(), self.sequence), event);
    }

    /// Returns the delay until a request of a caller can be placed, in seconds.
    fn placement_delay(&self) -> f64 {
        if self.options.coordinated {
            NETWORK_DELAY + COORDINATOR_ROUND_TRIP
        } else {
            NETWORK_DELAY
        }
    }

    fn time(&self) -> Time {
        Time::from_secs_f64(self.now)
    }

    fn counts(&mut self, class: Class) -> &mut OutcomeCounts {
        match class {
            Class::Long => &mut self.results.long,
            Class::Short => &mut self.results.short,
        }
    }

    fn handle(&mut self, event: Event, end: f64) {
        match event {
            Event::Arrive(request) => self.place_prefill(request),
            Event::PromptReady(at, prompt) => {
                self.engines[at].queue.push(prompt);
                self.begin_prefill(at);
            }
            Event::PrefillDone(at) => self.finish_prefill(at),
            Event::TransferDone(at, stream) => {
                let memory = self.parameters.memory;
                self.engines[at].cache(&stream.request, memory);
                self.engines[at].waiting.push(stream);
                self.begin_step(at);
            }
            Event::StepDone(at) => self.finish_step(at),
            Event::Update => {
                self.last_update = (self.queued_tokens.clone(), self.streams.clone());
                if self.now < end {
                    self.schedule(self.now + self.options.update_interval, Event::Update);
                }
            }
        }
    }

    /// Returns the queued prefill tokens and streams at an engine, as far as an entry knows them.
    fn known_load(&self, entry: usize, at: usize) -> (u64, u32) {
        let others = (0..self.options.entries).filter(|other| *other != entry);
        let queued =
            if self.options.coordinated { &self.queued_tokens } else { &self.last_update.0 };
        others.fold(
            (self.queued_tokens[entry][at], self.streams[entry][at]),
            |(tokens, streams), e| (tokens + queued[e][at], streams + self.last_update.1[e][at]),
        )
    }

    fn prefill_candidates(&self, entry: usize, request: &Request) -> Vec<PrefillCandidate> {
        let candidate = |at: usize| {
            let engine = &self.engines[at];
            let (tokens, streams) = self.known_load(entry, at);
            PrefillCandidate {
                key: self.keys[at],
                decodes: !engine.is_prefill,
                queued_tokens: tokens,
                recent_tokens: tokens,
                cached_tokens: engine.cached_tokens(request),
                // Decode engines do not prefill in this simulation.
                slot_usage: if engine.is_prefill { f64::from(streams) } else { 1.0 },
                transfer_excess: self.outgoing[at].excess(self.time()),
                pace: crate::pace::Summary::default(),
                domain: engine.domain,
            }
        };
        (0..self.engines.len()).map(candidate).collect()
    }

    fn place_prefill(&mut self, request: Request) {
        let entry = self.random.below(self.options.entries);
        let left =
            Duration::from_secs_f64((request.first_sent + request.deadline - self.now).max(0.0));
        let objective = Duration::from_secs_f64(request.objective);
        let attempt = match request.class {
            Class::Long => self.retry_detector.attempt(left, objective),
            Class::Short => Attempt::default(),
        };
        let candidates = self.prefill_candidates(entry, &request);
        let mut settings = self.options.prefill.clone();
        if self.options.learn_reserve {
            settings.learned_reserve = self.reserves[entry].get(self.time());
        }
        let mut prompt = request.prompt(attempt.is_late);
        if !attempt.is_late {
            prompt.objective = objective.saturating_sub(attempt.since_first);
        }
        match prefill::place(&settings, &prompt, &candidates, 1) {
            Placement::Full(soonest) => self.refuse(request, soonest, left),
            Placement::Prefill { engine: at, copy_from, tokens } => {
                let promise = prefill::promise(&settings, &prompt, &candidates[at], tokens);
                let promised_at = promise.map(|promise| self.now + promise.prefill.as_secs_f64());
                self.queued_tokens[entry][at] += tokens;
                self.sequence += 1;
                let class_priority = self.request_priority(&request);
                let priority = prefill::priority(&self.options.prefill, tokens, class_priority);
                let sequence = self.sequence;
                let (copied, ready) = self.copy_prefix(copy_from, at, &request);
                let prompt = QueuedPrompt {
                    request,
                    entry,
                    tokens,
                    promised_at,
                    copied,
                    priority,
                    sequence,
                };
                self.schedule(ready, Event::PromptReady(at, prompt));
            }
        }
    }

    fn request_priority(&self, request: &Request) -> u8 {
        if request.class == Class::Short { self.options.short_priority } else { 0 }
    }

    fn refuse(&mut self, mut request: Request, soonest: Duration, left: Duration) {
        if request.refused >= MAX_RETRIES {
            self.counts(request.class).refused += 1;
            return;
        }
        request.refused += 1;
        let random = self.random.unit();
        let retry_after = prefill::retry_after(&self.options.prefill, soonest, left, random);
        let delay = NETWORK_DELAY + self.placement_delay();
        self.schedule(self.now + retry_after.as_secs_f64() + delay, Event::Arrive(request));
    }

    /// Copies the cached prefix of a prompt from another engine, while the prefill engine processes
    /// other prompts. Returns the tokens of the prefix, and the time at which the prompt is ready.
    fn copy_prefix(&mut self, from: Option<usize>, to: usize, request: &Request) -> (u64, f64) {
        let Some(from) = from else { return (0, self.now) };
        let cached = self.engines[to].cached_tokens(request);
        let copied = self.engines[from].cached_tokens(request);
        if copied <= cached {
            return (0, self.now);
        }
        (copied, self.transfer(from, to, copied - cached))
    }

    fn begin_prefill(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if engine.current.is_some() || engine.queue.is_empty() {
            return;
        }
        let next = (0..engine.queue.len())
            .min_by_key(|&at| (engine.queue[at].priority, engine.queue[at].sequence));
        let Some(next) = next else { return };
        let prompt = engine.queue.remove(next);
        let cached = engine.cached_tokens(&prompt.request);
        let copied = prompt.copied;
        let tokens = prompt.request.tokens() - cached.max(copied);
        let mut available = cached.max(copied);
        for (id, size) in &prompt.request.shared {
            if available < *size && !self.prefilled_parts.insert(*id) {
                self.results.recomputed_tokens += size;
            }
            available = available.saturating_sub(*size);
        }
        let pairs = float(tokens) * float(prompt.request.tokens()) / 1e6;
        let duration =
            float(tokens) / self.parameters.prefill_rate + pairs * self.parameters.pair_time;
        self.engines[at].current = Some(prompt);
        self.schedule(self.now + duration, Event::PrefillDone(at));
    }

    /// Transfers KV cache between two engines; returns the time at which it has arrived. Between
    /// failure domains a link has half of the bandwidth.
    fn transfer(&mut self, from: usize, to: usize, tokens: u64) -> f64 {
        let slowdown = if self.engines[from].domain == self.engines[to].domain { 1.0 } else { 2.0 };
        let begins = self.now.max(self.engines[to].link_free_at);
        let ends = begins + float(tokens) / self.parameters.link * slowdown;
        self.engines[to].link_free_at = ends;
        ends + self.parameters.transfer_setup
    }

    fn finish_prefill(&mut self, at: usize) {
        let Some(prompt) = self.engines[at].current.take() else { return };
        let QueuedPrompt { request, entry, tokens, promised_at, .. } = prompt;
        self.queued_tokens[entry][at] -= tokens;
        let memory = self.parameters.memory;
        self.engines[at].cache(&request, memory);
        let to = self.choose_decode_engine(entry, at, &request);
        self.streams[entry][to] += 1;
        let arrives = self.transfer(at, to, request.tokens()) + NETWORK_DELAY;
        let duration = Duration::from_secs_f64(arrives - self.now);
        let now = self.time();
        self.outgoing[at].sample(duration, now);
        self.incoming[to].sample(duration, now);
        let last_event = arrives;
        let stream = Stream {
            priority: decode::priority(
                request.class == Class::Long,
                self.request_priority(&request),
            ),
            request,
            promised_at,
            generated: 0,
            first_token: None,
            last_event,
            gap_exceeded: false,
            entry,
        };
        self.schedule(arrives, Event::TransferDone(to, stream));
        self.begin_prefill(at);
    }

    fn decode_distance(&self, from: usize, to: usize) -> Distance {
        if self.options.prefer_same_domain {
            Topology::default().distance(self.engines[from].domain, self.engines[to].domain)
        } else {
            Distance::SameDomain
        }
    }

    fn choose_decode_engine(&mut self, entry: usize, from: usize, request: &Request) -> usize {
        let objective = Duration::from_secs_f64(request.objective);
        let slots = u32::try_from(self.parameters.slots).unwrap_or(u32::MAX);
        let decode_engines: Vec<_> =
            (0..self.engines.len()).filter(|&at| !self.engines[at].is_prefill).collect();
        let ranked = decode_engines.into_iter().map(|at| {
            let candidate = DecodeCandidate {
                transfer_excess: self.incoming[at].excess(self.time()),
                streams: self.known_load(entry, at).1,
                slots,
                distance: self.decode_distance(from, at),
                ..DecodeCandidate::default()
            };
            (decode::rank(&candidate, objective), at)
        });
        let ranked: Vec<_> = ranked.collect();
        let best = ranked.iter().map(|(rank, _)| *rank).min();
        let equal: Vec<_> = ranked.iter().filter(|(rank, _)| Some(*rank) == best).collect();
        equal[self.random.below(equal.len())].1
    }

    fn begin_step(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if engine.stepping {
            return;
        }
        let preempted = engine.fill_slots(self.parameters.slots);
        if engine.running.is_empty() {
            return;
        }
        engine.stepping = true;
        let ends = self.now + engine.step_time(&self.parameters);
        self.results.preempted += preempted;
        self.schedule(ends, Event::StepDone(at));
    }

    fn finish_step(&mut self, at: usize) {
        let (now, parameters) = (self.now, self.parameters);
        let engine = &mut self.engines[at];
        engine.stepping = false;
        let mut first_tokens = Vec::new();
        for stream in &mut engine.running {
            stream.generated += 1;
            let is_first = stream.first_token.is_none();
            stream.first_token.get_or_insert(now);
            if is_first && stream.request.class == Class::Long {
                first_tokens.extend(stream.promised_at.map(|promised| {
                    let in_time =
                        now + NETWORK_DELAY - stream.request.first_sent <= stream.request.objective;
                    (stream.entry, now - promised, in_time)
                }));
            }
            if stream.generated % parameters.stride == 0
                || stream.generated == stream.request.output
            {
                stream.gap_exceeded |= !is_first && now - stream.last_event > parameters.max_gap;
                stream.last_event = now;
            }
        }
        let (ended, running): (Vec<_>, Vec<_>) =
            engine.running.drain(..).partition(|s| s.generated >= s.request.output);
        engine.running = running;
        for (entry, excess, in_time) in first_tokens {
            let excess = Duration::from_secs_f64(excess.max(0.0));
            self.reserves[entry].record(excess, Time::from_secs_f64(now));
            self.results.promised += 1;
            self.results.kept += u64::from(in_time);
        }
        for stream in ended {
            self.streams[stream.entry][at] -= 1;
            self.finish(&stream);
        }
        self.begin_step(at);
    }

    fn finish(&mut self, stream: &Stream) {
        let request = &stream.request;
        let first_token =
            stream.first_token.unwrap_or(self.now) + NETWORK_DELAY - request.first_sent;
        let counts = self.counts(request.class);
        if first_token <= request.objective && !stream.gap_exceeded {
            counts.in_time += 1;
        } else if first_token <= request.deadline {
            counts.late += 1;
        } else {
            counts.refused += 1;
        }
    }
}
