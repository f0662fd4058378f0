//! The state that all tasks of an agent share, and the load that it reports for its target.

use crate::Backend;
use crate::answers::Answers;
use crate::dispatcher::{self, Dispatcher};
use crate::entry_statuses::EntryStatuses;
use crate::health::{Health, State};
use crate::keyed_calls::InFlightCalls;
use crate::meter::Meter;
use crate::metrics::Metrics;
use crate::suspects::Suspects;
use crate::tasks::Tasks;
use body::Budget;
use compact_str::{CompactString, format_compact};
use conf::Kind;
use conf::Spec;
use conf::resource::{Phase, Target};
use policy::estimate::{Cost, Rates};
use state::{Appender, Calls, Config, HeldClaim, System};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::{Dialler, Hello, Key, Load};

/// The state that all tasks of an agent share.
pub(crate) struct Shared {
    pub(crate) name: CompactString,
    pub(crate) target: CompactString,
    pub(crate) incarnation: u64,
    pub(crate) key: Key,
    pub(crate) backend: Backend,
    pub(crate) dialler: Arc<dyn Dialler>,
    pub(crate) config: watch::Receiver<Arc<Config>>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    /// The memory for requests that wait or run.
    pub(crate) request_memory: Arc<Budget>,
    pub(crate) meter: Meter,
    pub(crate) health: Health,
    pub(crate) answers: Answers,
    pub(crate) entry_statuses: EntryStatuses,
    pub(crate) config_health: watch::Receiver<state::Health>,
    pub(crate) system: watch::Receiver<Arc<System>>,
    pub(crate) system_health: watch::Receiver<state::Health>,
    pub(crate) calls: watch::Receiver<Arc<Calls>>,
    pub(crate) calls_health: watch::Receiver<state::Health>,
    pub(crate) appender: Appender,
    /// The claim on the target, while it is held.
    pub(crate) held: watch::Sender<Option<HeldClaim>>,
    pub(crate) in_flight: InFlightCalls,
    pub(crate) suspects: Suspects,
    pub(crate) metrics: Metrics,
    pub(crate) tasks: Tasks,
    /// Cancelled when the agent is asked to stop.
    pub(crate) stop: CancellationToken,
    /// Incremented each time all running streams must migrate to other targets.
    pub(crate) migrations: watch::Sender<u64>,
    pub(crate) sequence: AtomicU64,
}

/// Assumed time between tokens until it is measured: the objective of 48 ms at the 95th percentile.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(48);

/// Number of tokens that a call counts as, so that the queue's bounds in tokens apply to calls.
/// Some 1,200 calls may wait.
pub(crate) const CALL_TOKENS: u32 = 50;

impl Shared {
    /// Returns the handshake message for a new connection.
    pub(crate) fn hello(&self) -> Hello {
        Hello::new(&self.name, self.incarnation, rand::random())
    }

    /// Returns the target's resource, if the configuration has it.
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

    /// Returns the scope of the claim on the target.
    pub(crate) fn scope(&self) -> CompactString {
        format_compact!("target/{}", self.target)
    }

    /// Returns a caller's weight, 1 if the caller is not configured.
    pub(crate) fn weight(&self, caller: &str) -> u32 {
        match self.config.borrow().get(Kind::Caller, caller).map(|entry| &entry.spec) {
            Some(Spec::Caller(caller)) => caller.weight,
            _ => 1,
        }
    }

    /// Returns an error with the reason if the target does not accept new work.
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

    /// Returns the target's phase. Before the agent has read any configuration it assumes `Active`,
    /// since entries check the phase in their own configuration.
    fn phase(&self) -> Option<Phase> {
        if self.config.borrow().end() == 0 {
            return Some(Phase::Active);
        }
        self.resource().map(|target| target.phase)
    }

    /// Returns the current load.
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
            prefill_rate: saturating_u32(rates.prefill),
            decode_rate: saturating_u32(rate_to_u64(self.rates().decode)),
            accepting: self.accepting().is_ok(),
            serves: serves.iter().map(ToString::to_string).collect(),
            role,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            config_offset: self.config.borrow().end(),
            wait_ms: u64::try_from(self.expected_wait().as_millis()).unwrap_or(u64::MAX),
            token_time_us: u64::try_from(rates.token_time.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Returns how long a new ordinary request would wait for a slot.
    pub(crate) fn expected_wait(&self) -> Duration {
        self.work_ahead("", false).time(&self.rates())
    }

    /// Returns the waiting work that goes before a new request of `caller`, plus one slot's share
    /// of the running work: after that share the first slot is free, and all slots process the
    /// waiting work.
    pub(crate) fn work_ahead(&self, caller: &str, urgent: bool) -> Cost {
        let Some(waiting) = self.dispatcher.ahead(caller, urgent) else { return Cost::default() };
        let (prompt_tokens, output_tokens) = self.meter.tokens();
        let running_work = Cost::new(prompt_tokens, output_tokens) - self.dispatcher.backlog();
        let slots = u64::from(self.dispatcher.slots().max(1));
        waiting + Cost::new(running_work.prefill / slots, running_work.decode / slots)
    }

    /// Returns whether the target's speed has been measured.
    pub(crate) fn is_measured(&self) -> bool {
        let rates = self.meter.rates();
        !rates.token_time.is_zero() || !rates.call_time.is_zero()
    }

    /// Returns the target's speed with all slots busy.
    pub(crate) fn rates(&self) -> Rates {
        let rates = self.meter.rates();
        let or_default = |time: Duration, default| if time.is_zero() { default } else { time };
        let token_time = match self.backend {
            Backend::Engine(_) => or_default(rates.token_time, DEFAULT_TOKEN_TIME),
            Backend::Service(_) => or_default(rates.call_time, DEFAULT_TOKEN_TIME) / CALL_TOKENS,
        };
        dispatcher::rates(rates.prefill, self.dispatcher.slots(), token_time)
    }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Converts a rate to an integer. The conversion through a duration cannot panic; a rate that does
/// not fit becomes 0.
fn rate_to_u64(rate: f64) -> u64 {
    Duration::try_from_secs_f64(rate).map_or(0, |span| span.as_secs())
}
