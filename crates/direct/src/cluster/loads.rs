//! What callers ask of the engines of each service, and what engines do: counted and learnt here,
//! and told among the entries, so that each of them can plan for all.

use crate::cluster::entry_state::{self, ServiceLoad};
use policy::demand::{EngineProfile, TokenTime};
use policy::prefill::PrefillRate;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The loads of all services that have engines.
#[derive(Debug, Default)]
pub struct Loads(Mutex<HashMap<u32, Load>>);

/// The load of one service.
#[derive(Debug, Default)]
struct Load {
    /// Tokens to be read that were asked of this entry.
    own: u64,
    /// The same of the others, since this entry has heard of them.
    others: u64,
    rate: Option<PrefillRate>,
    step: TokenTime,
    /// Seconds for a token as another entry has learnt it.
    told: Option<f64>,
}

impl Loads {
    /// Counts tokens that a caller asks to be read, at its first try.
    pub fn record_request(&self, service: &str, tokens: u64) {
        self.lock().entry(key(service)).or_default().own += tokens;
    }

    /// Takes in how long an engine took to read a prompt and what waited before it; engines are
    /// believed to read `assumed` tokens a second at first.
    pub fn record_prefill(&self, service: &str, assumed: f64, tokens: u64, took: Duration) {
        let mut loads = self.lock();
        let load = loads.entry(key(service)).or_default();
        load.rate.get_or_insert_with(|| PrefillRate::new(assumed)).sample(tokens, took);
    }

    /// Takes in that `tokens` tokens of a stream took this long.
    pub fn record_decode(&self, service: &str, tokens: u32, took: Duration) {
        self.lock().entry(key(service)).or_default().step.sample(tokens, took);
    }

    /// Tokens that an engine reads in a second, once anything is known.
    pub fn prefill_rate(&self, service: &str) -> Option<f64> {
        self.lock().get(&key(service)).and_then(|load| load.rate).map(PrefillRate::get)
    }

    /// What one engine does that writes `places` streams at once, once it is known.
    pub fn engine_profile(&self, service: &str, places: u32) -> Option<EngineProfile> {
        let loads = self.lock();
        let load = loads.get(&key(service))?;
        let reading = load.rate.filter(|rate| rate.is_learned())?.get();
        let step = load.step.get().or(load.told)?;
        Some(EngineProfile { prefill_rate: reading, token_time: step, max_streams: places })
    }

    /// Tokens to be read that were asked of all entries so far.
    pub fn requested_tokens(&self, service: &str) -> u64 {
        self.lock().get(&key(service)).map_or(0, |load| load.own + load.others)
    }

    /// What the other entries should hear.
    pub fn snapshot(&self) -> Vec<ServiceLoad> {
        let loads = self.lock();
        let rows = loads.iter().map(|(service, load)| {
            let known = load.rate.filter(|rate| rate.is_learned());
            ServiceLoad {
                service: *service,
                requested_tokens: load.own,
                rate: known.map_or(0.0, PrefillRate::get),
                step: load.step.get().unwrap_or_default(),
            }
        });
        rows.collect()
    }

    /// Takes in what another entry tells; `before` is what the same run of it told last.
    pub fn observe(&self, before: Option<&ServiceLoad>, told: &ServiceLoad) {
        let mut loads = self.lock();
        let load = loads.entry(told.service).or_default();
        if let Some(before) = before {
            load.others += told.requested_tokens.saturating_sub(before.requested_tokens);
        }
        if told.step > 0.0 {
            load.told = Some(told.step);
        }
        // One that has not learnt it takes over what another has; later each learns by itself.
        if told.rate > 0.0 && !load.rate.is_some_and(PrefillRate::is_learned) {
            load.rate = Some(PrefillRate::learned(told.rate));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u32, Load>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(service: &str) -> u32 {
    entry_state::short_hash(policy::hash(service))
}
