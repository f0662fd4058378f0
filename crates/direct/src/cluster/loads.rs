//! The demand for each service and the measured speed of engines. Entries exchange both, so that
//! each of them can plan for all.

use crate::cluster::entry_state::{self, ServiceLoad};
use policy::connections::Meter;
use policy::demand::{EngineProfile, PromptProfile, TokenTime};
use policy::prefill::PrefillRate;
use policy::{Time, promise};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The loads of all services.
#[derive(Debug, Default)]
pub struct Loads(Mutex<HashMap<u32, Load>>);

/// The load of one service.
#[derive(Debug, Default)]
struct Load {
    /// Tokens to prefill that this entry's callers have requested.
    own_tokens: u64,
    /// The same for the other entries, since this entry first received their state.
    peer_tokens: u64,
    prefill_rate: Option<PrefillRate>,
    token_time: TokenTime,
    /// Seconds per token as a peer has measured it.
    peer_token_time: Option<f64>,
    prompts: Prompts,
    /// What first pieces take beyond the prefill that was promised.
    first_piece_excess: promise::Estimator,
    /// Mean age of streams in seconds, over the pieces that arrived.
    stream_age: f64,
    /// The requests that this entry serves.
    requests: Meter,
}

/// Sums over the prompts of this entry's callers, of which the last ones count most.
#[derive(Debug, Default)]
struct Prompts {
    tokens: f64,
    squared_tokens: f64,
    /// Tokens times the seconds that their prefill may take.
    token_seconds: f64,
}

/// Weight that earlier prompts keep when another one is recorded; about 100 prompts count.
const PROMPT_DECAY: f64 = 0.99;

/// Weight of one piece in the mean age of streams.
const AGE_WEIGHT: f64 = 0.002;

impl Loads {
    /// Counts the tokens to prefill of a caller's request, at its first attempt. Its prefill may
    /// take `max_duration`.
    pub fn record_request(&self, service: &str, tokens: u64, max_duration: Duration) {
        let mut loads = self.lock();
        let load = loads.entry(key(service)).or_default();
        load.own_tokens += tokens;
        load.prompts.record(tokens, max_duration);
    }

    /// Records how long an engine took to prefill a prompt and the tokens queued before it. Until a
    /// rate is known, `default_rate` tokens per second are assumed.
    pub fn record_prefill(
        &self,
        service: &str,
        default_rate: f64,
        tokens: u64,
        duration: Duration,
    ) {
        let mut loads = self.lock();
        let load = loads.entry(key(service)).or_default();
        load.prefill_rate
            .get_or_insert_with(|| PrefillRate::new(default_rate))
            .sample(tokens, duration);
    }

    /// Records that a first piece took `excess` longer than its prefill was promised to.
    pub fn record_first_piece_excess(&self, service: &str, excess: Duration, now: Time) {
        let mut loads = self.lock();
        loads.entry(key(service)).or_default().first_piece_excess.record(excess, now);
    }

    /// Returns the excess that nearly all recent first pieces keep to, once it has been learned.
    pub fn first_piece_excess(&self, service: &str, now: Time) -> Option<Duration> {
        self.lock().get(&key(service))?.first_piece_excess.get(now)
    }

    /// Records how long `tokens` tokens of a stream took whose first piece arrived `age` ago.
    pub fn record_decode(&self, service: &str, tokens: u32, duration: Duration, age: Duration) {
        let mut loads = self.lock();
        let load = loads.entry(key(service)).or_default();
        load.token_time.sample(tokens, duration);
        load.stream_age += (age.as_secs_f64() - load.stream_age) * AGE_WEIGHT;
    }

    /// Returns how long a stream lasts from a random time on: as long as it has lasted then.
    pub fn remaining_stream_time(&self, service: &str) -> Duration {
        let age = self.lock().get(&key(service)).map_or(0.0, |load| load.stream_age);
        Duration::from_secs_f64(age)
    }

    /// Returns the profile of the prompts of this entry's callers, if there were any.
    pub fn prompt_profile(&self, service: &str) -> Option<PromptProfile> {
        self.lock().get(&key(service))?.prompts.profile()
    }

    /// Returns the tokens that an engine prefills per second, if any estimate is known.
    pub fn prefill_rate(&self, service: &str) -> Option<f64> {
        self.lock()
            .get(&key(service))
            .and_then(|load| load.prefill_rate.as_ref())
            .map(PrefillRate::get)
    }

    /// Returns whether that estimate was learned from enough prompts to be reliable.
    pub fn is_prefill_rate_learned(&self, service: &str) -> bool {
        let loads = self.lock();
        let rate = loads.get(&key(service)).and_then(|load| load.prefill_rate.as_ref());
        rate.is_some_and(PrefillRate::is_learned)
    }

    /// Returns the time that `tokens` tokens of a stream usually take, once it is known.
    pub fn decode_time(&self, service: &str, tokens: u32) -> Option<Duration> {
        let loads = self.lock();
        let load = loads.get(&key(service))?;
        let token_time = load.token_time.get().or(load.peer_token_time)?;
        Duration::try_from_secs_f64(token_time * f64::from(tokens)).ok()
    }

    /// Returns the profile of an engine that decodes up to `max_streams` streams, once it is known.
    pub fn engine_profile(&self, service: &str, max_streams: u32) -> Option<EngineProfile> {
        let loads = self.lock();
        let load = loads.get(&key(service))?;
        let prefill_rate = load.prefill_rate.as_ref().filter(|rate| rate.is_learned())?.get();
        let token_time = load.token_time.get().or(load.peer_token_time)?;
        Some(EngineProfile { prefill_rate, token_time, max_streams })
    }

    /// Returns the tokens to prefill that all entries' callers have requested so far.
    pub fn requested_tokens(&self, service: &str) -> u64 {
        self.lock().get(&key(service)).map_or(0, |load| load.own_tokens + load.peer_tokens)
    }

    /// Records that this entry begins to serve a request.
    pub fn begin_request(&self, service: &str, now: Time) {
        self.lock().entry(key(service)).or_default().requests.begin(now);
    }

    /// Records that it has ended.
    pub fn end_request(&self, service: &str, now: Time) {
        self.lock().entry(key(service)).or_default().requests.end(now);
    }

    /// Returns how many requests this entry serves at a time.
    pub fn demand(&self, service: &str, now: Time) -> f64 {
        self.lock().get(&key(service)).map_or(0.0, |load| load.requests.demand(now))
    }

    /// Returns the loads that this entry publishes: those of services with engines or callers.
    pub fn snapshot(&self, now: Time) -> Vec<ServiceLoad> {
        let loads = self.lock();
        let rows = loads.iter().map(|(service, load)| {
            let rate = load.prefill_rate.as_ref().filter(|rate| rate.is_learned());
            ServiceLoad {
                service: *service,
                requested_tokens: load.own_tokens,
                prefill_rate: rate.map_or(0.0, PrefillRate::get),
                token_time: load.token_time.get().unwrap_or_default(),
                demand: entry_state::encode_demand(load.requests.demand(now)),
            }
        });
        rows.filter(|row| *row != ServiceLoad { service: row.service, ..ServiceLoad::default() })
            .collect()
    }

    /// Applies the load that a peer reports; `previous` is the last one of the same incarnation.
    pub fn observe(&self, previous: Option<&ServiceLoad>, current: &ServiceLoad) {
        let mut loads = self.lock();
        let load = loads.entry(current.service).or_default();
        if let Some(previous) = previous {
            load.peer_tokens += current.requested_tokens.saturating_sub(previous.requested_tokens);
        }
        if current.token_time > 0.0 {
            load.peer_token_time = Some(current.token_time);
        }
        // Without measurements of its own, an entry starts with a peer's estimate.
        if current.prefill_rate > 0.0
            && !load.prefill_rate.as_ref().is_some_and(PrefillRate::is_learned)
        {
            load.prefill_rate = Some(PrefillRate::learned(current.prefill_rate));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u32, Load>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Prompts {
    fn record(&mut self, tokens: u64, max_duration: Duration) {
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        for sum in [&mut self.tokens, &mut self.squared_tokens, &mut self.token_seconds] {
            *sum *= PROMPT_DECAY;
        }
        self.tokens += tokens;
        self.squared_tokens += tokens * tokens;
        self.token_seconds += tokens * max_duration.as_secs_f64();
    }

    fn profile(&self) -> Option<PromptProfile> {
        (self.tokens > 0.0).then(|| PromptProfile {
            tokens: self.squared_tokens / self.tokens,
            max_duration: Duration::from_secs_f64(self.token_seconds / self.tokens),
        })
    }
}

fn key(service: &str) -> u32 {
    entry_state::short_hash(policy::hash(service))
}
