//! Engines and entries over time.

use super::engine::{Engine, Figures, Stream, Waiting};
use super::traffic::{Class, Request, Traffic};
use super::{Ended, Outcome};
use crate::decode::{self, DecodeCandidate};
use crate::demand::{DemandTracker, EngineProfile};
use crate::number::float;
use crate::prefill::{self, Placement, PrefillCandidate};
use crate::retry_detection::RetryDetector;
use crate::simulation::Random;
use crate::transfer::TransferTime;
use crate::{Hash, Time, split};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// What is chosen for a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// How prompts are placed.
    pub prompts: prefill::Settings,
    /// How engines are split.
    pub split: split::Settings,
    /// Engines.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Failure domains.
    pub domains: u64,
    /// Seconds between two pieces of news of the other entries.
    pub news: f64,
    /// Whether a prompt is booked at a coordinator of the engine, who knows all that waits there, see
    /// [`crate::groups`].
    pub coordinated: bool,
    /// Whether writers are chosen near the reader.
    pub near: bool,
    /// The seed of the load.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prompts: prefill::Settings::default(),
            split: split::Settings::default(),
            engines: 14,
            entries: 5,
            domains: 3,
            news: 0.01,
            coordinated: false,
            near: true,
            seed: 7,
        }
    }
}

/// The way from a caller to an engine, in seconds.
const WAY: f64 = 0.005;

/// The way to a coordinator and back, in seconds.
const QUESTION: f64 = 0.002;

/// Callers come back once.
const RETURNS: u32 = 1;

#[derive(Debug)]
enum Event {
    Arrives(Request),
    /// A prompt and what is copied for it are there.
    MayRead(usize, Waiting),
    HasRead(usize),
    /// KV cache has arrived at a writer.
    Arrived(usize, Stream),
    Steps(usize),
    News,
}

/// Runs a load and says how its requests ended.
pub fn run(figures: &Figures, traffic: &Traffic, options: &Options) -> Outcome {
    let mut fleet = Fleet::new(*figures, options);
    let requests = traffic.requests(options.seed);
    fleet.outcome.bound = bound(figures, options, &requests);
    for request in requests {
        let ended = fleet.ended(request.class);
        ended.asked += 1;
        fleet.push(request.at + fleet.way(), Event::Arrives(request));
    }
    fleet.push(0.0, Event::News);
    while let Some(((now, _), event)) = fleet.events.pop_first() {
        fleet.now = f64::from_bits(now);
        fleet.take(event, traffic.end);
    }
    fleet.outcome
}

/// Long prompts that can be in time if engines that read never wait for news and no shared part is
/// read twice: what is asked for in each tenth of a second beyond half of the objective is lost.
fn bound(figures: &Figures, options: &Options, requests: &[Request]) -> u64 {
    const SLICE: f64 = 0.1;
    let readers = readers(figures, options);
    let rate = figures.reading * float(u64::try_from(readers).unwrap_or(0));
    let (mut backlog, mut at, mut fit) = (0.0_f64, 0.0, 0);
    for request in requests.iter().filter(|request| request.class == Class::Long) {
        while request.at > at + SLICE {
            at += SLICE;
            backlog = (backlog - rate * SLICE).max(0.0);
        }
        if backlog + float(request.own)
            <= rate
                * (SLICE
                    + prefill::max_duration(&options.prompts, &request.prompt(false)).as_secs_f64())
        {
            backlog += float(request.own);
            fit += 1;
        }
    }
    fit
}

/// How many engines read: the split that a load not yet seen gets.
fn readers(figures: &Figures, options: &Options) -> usize {
    let places = u32::try_from(figures.slots).unwrap_or(u32::MAX);
    let pace = EngineProfile {
        prefill_rate: figures.reading,
        token_time: figures.usual_step(),
        max_streams: places,
    };
    let unseen = DemandTracker::default().peak_load(&pace);
    let share = split::prefill_share(&options.split, &pace, &unseen);
    split::desired_prefill(&options.split, share, options.engines, 0)
}

struct Fleet {
    figures: Figures,
    options: Options,
    engines: Vec<Engine>,
    keys: Vec<Hash>,
    /// Tokens to be read by entry and engine, and streams.
    reading: Vec<Vec<u64>>,
    streams: Vec<Vec<u32>>,
    /// The same as all entries together had them when entries last heard.
    heard: (Vec<Vec<u64>>, Vec<Vec<u32>>),
    handed: Vec<TransferTime>,
    taken: Vec<TransferTime>,
    patience: RetryDetector,
    read_before: HashSet<u32>,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    now: f64,
    random: Random,
    outcome: Outcome,
}

impl Fleet {
    fn new(figures: Figures, options: &Options) -> Self {
        let readers = readers(&figures, options);
        let engine =
            |at: usize| Engine::new(at < readers, u64::try_from(at).unwrap_or(0) % options.domains);
        let work = vec![vec![0; options.engines]; options.entries];
        let streams = vec![vec![0; options.engines]; options.entries];
        Self {
            figures,
            options: options.clone(),
            engines: (0..options.engines).map(engine).collect(),
            keys: (0..options.engines).map(|at| crate::hash(&at.to_string())).collect(),
            heard: (work.clone(), streams.clone()),
            reading: work,
            streams,
            handed: vec![TransferTime::default(); options.engines],
            taken: vec![TransferTime::default(); options.engines],
            patience: RetryDetector::default(),
            read_before: HashSet::new(),
            events: BTreeMap::new(),
            order: 0,
            now: 0.0,
            random: Random::new(options.seed + 1),
            outcome: Outcome::default(),
        }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.order += 1;
        // Times are not negative, so their bits order as they do.
        self.events.insert((at.to_bits(), self.order), event);
    }

    /// The way from a caller to the decision where a prompt goes, in seconds.
    fn way(&self) -> f64 {
        if self.options.coordinated { WAY + QUESTION } else { WAY }
    }

    fn time(&self) -> Time {
        Time::from_secs_f64(self.now)
    }

    fn ended(&mut self, class: Class) -> &mut Ended {
        match class {
            Class::Long => &mut self.outcome.long,
            Class::Short => &mut self.outcome.short,
        }
    }

    fn take(&mut self, event: Event, end: f64) {
        match event {
            Event::Arrives(request) => self.place(request),
            Event::MayRead(at, waiting) => {
                self.engines[at].queue.push(waiting);
                self.begin_reading(at);
            }
            Event::HasRead(at) => self.has_read(at),
            Event::Arrived(at, stream) => {
                let memory = self.figures.memory;
                self.engines[at].keep(&stream.request, memory);
                self.engines[at].waiting.push(stream);
                self.begin_step(at);
            }
            Event::Steps(at) => self.step(at),
            Event::News => {
                self.heard = (self.reading.clone(), self.streams.clone());
                if self.now < end {
                    self.push(self.now + self.options.news, Event::News);
                }
            }
        }
    }

    /// Tokens to be read and streams at an engine, as an entry knows them.
    fn known(&self, entry: usize, at: usize) -> (u64, u32) {
        let others = (0..self.options.entries).filter(|other| *other != entry);
        let told = if self.options.coordinated { &self.reading } else { &self.heard.0 };
        others.fold((self.reading[entry][at], self.streams[entry][at]), |(reading, streams), e| {
            (reading + told[e][at], streams + self.heard.1[e][at])
        })
    }

    fn readers(&self, entry: usize, request: &Request) -> Vec<PrefillCandidate> {
        let reader = |at: usize| {
            let engine = &self.engines[at];
            let (waiting, streams) = self.known(entry, at);
            PrefillCandidate {
                key: self.keys[at],
                decodes: !engine.reads,
                queued_tokens: waiting,
                cached_tokens: engine.kept(request),
                // Engines that write don't read in this model.
                slot_usage: if engine.reads { f64::from(streams) } else { 1.0 },
                transfer_excess: self.handed[at].excess(self.time()),
                domain: engine.domain,
            }
        };
        (0..self.engines.len()).map(reader).collect()
    }

    fn place(&mut self, request: Request) {
        let entry = self.random.below(self.options.entries);
        let left =
            Duration::from_secs_f64((request.first_asked + request.deadline - self.now).max(0.0));
        let objective = Duration::from_secs_f64(request.objective);
        let late = request.class == Class::Long && self.patience.is_retry(left, objective);
        let readers = self.readers(entry, &request);
        match prefill::place(&self.options.prompts, &request.prompt(late), &readers, 1) {
            Placement::Full(soonest) => self.refuse(request, soonest, left),
            Placement::Prefill { at, copy_from, tokens } => {
                self.reading[entry][at] += tokens;
                self.order += 1;
                let rank = u8::from(request.class == Class::Short);
                let urgency = prefill::priority(&self.options.prompts, tokens, rank);
                let order = self.order;
                let (copied, ready) = self.copy(copy_from, at, &request);
                let waiting = Waiting { request, entry, tokens, copied, urgency, order };
                self.push(ready, Event::MayRead(at, waiting));
            }
        }
    }

    fn refuse(&mut self, mut request: Request, soonest: Duration, left: Duration) {
        if request.refused >= RETURNS {
            self.ended(request.class).refused += 1;
            return;
        }
        request.refused += 1;
        let random = self.random.unit();
        let back = prefill::retry_after(&self.options.prompts, soonest, left, random);
        let way = WAY + self.way();
        self.push(self.now + back.as_secs_f64() + way, Event::Arrives(request));
    }

    /// Copies a prompt's start from another engine while the reader reads others; returns the tokens
    /// and when they are there.
    fn copy(&mut self, from: Option<usize>, to: usize, request: &Request) -> (u64, f64) {
        let Some(from) = from else { return (0, self.now) };
        let kept = self.engines[to].kept(request);
        let copied = self.engines[from].kept(request);
        if copied <= kept {
            return (0, self.now);
        }
        (copied, self.transfer(from, to, copied - kept))
    }

    fn begin_reading(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if engine.reading.is_some() || engine.queue.is_empty() {
            return;
        }
        let next = (0..engine.queue.len())
            .min_by_key(|&at| (engine.queue[at].urgency, engine.queue[at].order));
        let Some(next) = next else { return };
        let waiting = engine.queue.remove(next);
        let kept = engine.kept(&waiting.request);
        let copied = waiting.copied;
        let tokens = waiting.request.tokens() - kept.max(copied);
        let mut known = kept.max(copied);
        for (id, size) in &waiting.request.shared {
            if known < *size && !self.read_before.insert(*id) {
                self.outcome.read_again += size;
            }
            known = known.saturating_sub(*size);
        }
        let length = float(tokens) * float(waiting.request.tokens()) / 1e6;
        let took = float(tokens) / self.figures.reading + length * self.figures.pairs;
        self.engines[at].reading = Some(waiting);
        self.push(self.now + took, Event::HasRead(at));
    }

    /// Takes KV cache from one engine to another, and returns when it has arrived.
    fn transfer(&mut self, from: usize, to: usize, tokens: u64) -> f64 {
        let far = if self.engines[from].domain == self.engines[to].domain { 1.0 } else { 2.0 };
        let begins = self.now.max(self.engines[to].link_free);
        let ends = begins + float(tokens) / self.figures.link * far;
        self.engines[to].link_free = ends;
        ends + self.figures.set_up
    }

    fn has_read(&mut self, at: usize) {
        let Some(Waiting { request, entry, tokens, .. }) = self.engines[at].reading.take() else {
            return;
        };
        self.reading[entry][at] -= tokens;
        let memory = self.figures.memory;
        self.engines[at].keep(&request, memory);
        let to = self.writer(entry, at, &request);
        self.streams[entry][to] += 1;
        let arrives = self.transfer(at, to, request.tokens()) + WAY;
        let took = Duration::from_secs_f64(arrives - self.now);
        let now = self.time();
        self.handed[at].sample(took, now);
        self.taken[to].sample(took, now);
        let last_event = arrives;
        let stream = Stream { request, written: 0, first: None, last_event, paused: false, entry };
        self.push(arrives, Event::Arrived(to, stream));
        self.begin_reading(at);
    }

    fn writer(&mut self, entry: usize, from: usize, request: &Request) -> usize {
        let objective = Duration::from_secs_f64(request.objective);
        let slots = u32::try_from(self.figures.slots).unwrap_or(u32::MAX);
        let able: Vec<_> = (0..self.engines.len()).filter(|&at| !self.engines[at].reads).collect();
        let ranked = able.into_iter().map(|at| {
            let writer = DecodeCandidate {
                transfer_excess: self.taken[at].excess(self.time()),
                streams: self.known(entry, at).1,
                slots,
                same_domain: !self.options.near
                    || self.engines[at].domain == self.engines[from].domain,
                ..DecodeCandidate::default()
            };
            (decode::rank(&writer, objective), at)
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
        let put_back = engine.admit(self.figures.slots);
        if engine.running.is_empty() {
            return;
        }
        engine.stepping = true;
        let ends = self.now + engine.step(&self.figures);
        self.outcome.put_back += put_back;
        self.push(ends, Event::Steps(at));
    }

    fn step(&mut self, at: usize) {
        let (now, figures) = (self.now, self.figures);
        let engine = &mut self.engines[at];
        engine.stepping = false;
        for stream in &mut engine.running {
            stream.written += 1;
            let begins = stream.first.is_none();
            stream.first.get_or_insert(now);
            if stream.written % figures.stride == 0 || stream.written == stream.request.output {
                stream.paused |= !begins && now - stream.last_event > figures.pause;
                stream.last_event = now;
            }
        }
        let (ended, running): (Vec<_>, Vec<_>) =
            engine.running.drain(..).partition(|s| s.written >= s.request.output);
        engine.running = running;
        for stream in ended {
            self.streams[stream.entry][at] -= 1;
            self.finish(&stream);
        }
        self.begin_step(at);
    }

    fn finish(&mut self, stream: &Stream) {
        let request = &stream.request;
        let first = stream.first.unwrap_or(self.now) + WAY - request.first_asked;
        let ended = self.ended(request.class);
        if first <= request.objective && !stream.paused {
            ended.in_time += 1;
        } else if first <= request.deadline {
            ended.late += 1;
        } else {
            ended.refused += 1;
        }
    }
}
