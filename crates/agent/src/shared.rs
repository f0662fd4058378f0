//! What all tasks of an agent share, and what it says of its target.

use crate::Backend;
use crate::answers::Answers;
use crate::dispatcher::Dispatcher;
use crate::health::{Health, State};
use crate::meter::Meter;
use crate::sightings::Sightings;
use compact_str::CompactString;
use conf::Kind;
use conf::Spec;
use conf::resource::{Phase, Target};
use state::Config;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::{Dialler, Hello, Key, Load};

/// What all tasks of an agent share.
pub(crate) struct Shared {
    pub(crate) name: CompactString,
    pub(crate) target: CompactString,
    pub(crate) incarnation: u64,
    pub(crate) key: Key,
    pub(crate) backend: Backend,
    pub(crate) dialler: Arc<dyn Dialler>,
    pub(crate) config: watch::Receiver<Arc<Config>>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) meter: Meter,
    pub(crate) health: Health,
    pub(crate) answers: Answers,
    pub(crate) sightings: Sightings,
    /// Cancelled when the agent is asked to stop.
    pub(crate) stop: CancellationToken,
    /// Counts up each time running streams must move to other targets.
    pub(crate) moves: watch::Sender<u64>,
    pub(crate) sequence: AtomicU64,
}

/// Assumed time between tokens until it is measured: the 48 ms that 95 in 100 must keep.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(48);

impl Shared {
    /// The greeting for a new connection.
    pub(crate) fn hello(&self) -> Hello {
        Hello::new(&self.name, self.incarnation, rand::random())
    }

    /// The target's resource, if it is known.
    pub(crate) fn resource(&self) -> Option<Target> {
        let config = self.config.borrow();
        match &config.get(Kind::Target, &self.target)?.spec {
            Spec::Target(target) => Some((**target).clone()),
            Spec::Model(_)
            | Spec::Adapter(_)
            | Spec::Version(_)
            | Spec::Caller(_)
            | Spec::Policy(_) => None,
        }
    }

    /// Whether the target takes new work, or why it doesn't.
    pub(crate) fn accepting(&self) -> Result<(), &'static str> {
        if self.stop.is_cancelled() {
            return Err("its agent is stopping");
        }
        if self.dispatcher.is_paused() {
            return Err("a planned change is under way");
        }
        match self.phase() {
            Some(Phase::Active) => {}
            Some(Phase::Joining) => return Err("it is joining"),
            Some(Phase::Leaving) => return Err("it is leaving"),
            None => return Err("it is not configured"),
        }
        match self.health.state() {
            State::Down => Err("it does not answer"),
            State::Engine(status) if status.busy => Err("it is changing its role or models"),
            State::Engine(_) | State::Service | State::Unknown => Ok(()),
        }
    }

    /// The target's phase; an agent that has read no configuration yet leaves it to the entry,
    /// which sends work by its own.
    fn phase(&self) -> Option<Phase> {
        if self.config.borrow().end() == 0 {
            return Some(Phase::Active);
        }
        self.resource().map(|target| target.phase)
    }

    /// The load now.
    pub(crate) fn load(&self) -> Load {
        let (waiting, running) = self.dispatcher.counts();
        let (prompt_tokens, output_tokens) = self.meter.tokens();
        let rates = self.meter.rates();
        let (serves, role) = match self.health.state() {
            State::Engine(status) => (status.serves, status.role.name().to_owned()),
            State::Unknown | State::Down | State::Service => (Vec::new(), String::new()),
        };
        Load {
            target: self.target.to_string(),
            prompt_tokens,
            output_tokens,
            running,
            waiting,
            slots: self.dispatcher.slots(),
            prefill_rate: narrow(rates.prefill),
            decode_rate: narrow(rates.decode),
            accepting: self.accepting().is_ok(),
            serves: serves.iter().map(ToString::to_string).collect(),
            role,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            config_offset: self.config.borrow().end(),
            wait_ms: u64::try_from(self.wait().as_millis()).unwrap_or(u64::MAX),
            token_time_us: u64::try_from(rates.token_time.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// How long a new ordinary request would wait for a slot.
    pub(crate) fn wait(&self) -> Duration {
        let (waiting, running) = self.dispatcher.counts();
        let slots = self.dispatcher.slots();
        if running < slots && waiting == 0 {
            return Duration::ZERO;
        }
        let rates = self.meter.rates();
        if !rates.call_time.is_zero() {
            return rates.call_time * (waiting + 1) / slots.max(1);
        }
        let (prompt_tokens, output_tokens) = self.meter.tokens();
        let token_time =
            if rates.token_time.is_zero() { DEFAULT_TOKEN_TIME } else { rates.token_time };
        // Each slot makes a token in `token_time`; those that wait are worked off by all slots,
        // and the first slot is free after a share of what runs.
        let share = f64::from(waiting + 1) / f64::from(waiting + running.max(1));
        let per_slot = narrow(output_tokens / u64::from(slots.max(1)));
        let decode = token_time * per_slot;
        let prefill = match rates.prefill {
            0 => Duration::ZERO,
            rate => Duration::from_millis(prompt_tokens.saturating_mul(1_000) / rate),
        };
        (decode + prefill).mul_f64(share.min(1.0))
    }
}

fn narrow(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
