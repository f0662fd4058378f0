//! A language-model engine in memory: a coarse simulation of continuous batching, with faults.
//!
//! The answer is a function of the prompt alone, token by token, so that any engine continues
//! exactly where another stopped, and a test can distinguish a complete answer from a corrupt one.

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use conf::resource::Role;
use futures_util::stream;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use target::{
    Engine, Error, FencingToken, Finish, Job, Order, Output, Outputs, Result, Status, Usage,
};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Length of each token of prompts and answers, in bytes.
pub const TOKEN_BYTES: usize = 4;

/// Speeds and faults of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineParams {
    /// Prompt tokens prefilled per second; prompts are prefilled one at a time.
    pub prefill_rate: u32,
    /// Time between two tokens of one job when it runs alone.
    pub token_time: Duration,
    /// Jobs that run concurrently; the time between tokens doubles when all slots are taken.
    pub slots: u32,
    /// How long a change of role takes.
    pub role_change: Duration,
    /// How long loading weights takes.
    pub load: Duration,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// A prompt that contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Factor by which all durations are multiplied.
    pub slow: f64,
    /// Speed of a prefill or decode engine at the work of its role, relative to a mixed engine.
    pub in_role_speed: f64,
    /// Speed of a prefill or decode engine at other work, relative to a mixed engine: below 1.
    pub off_role_speed: f64,
    /// Factor by which a mixed engine's time between tokens grows while it prefills a prompt.
    pub interference: f64,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            prefill_rate: 20_000,
            token_time: Duration::from_millis(2),
            slots: 16,
            role_change: Duration::from_secs(3),
            load: Duration::from_millis(500),
            checks_fencing: true,
            crash_on: None,
            slow: 1.0,
            in_role_speed: 1.5,
            off_role_speed: 0.25,
            interference: 1.5,
        }
    }
}

impl EngineParams {
    /// Time to prefill `tokens` tokens of a prompt in a role.
    fn prefill_time(&self, role: Role, tokens: u32) -> Duration {
        let speed = match role {
            Role::Prefill => self.in_role_speed,
            Role::Decode => self.off_role_speed,
            Role::Mixed => 1.0,
        };
        let seconds = f64::from(tokens) / (f64::from(self.prefill_rate) * speed);
        Duration::from_secs_f64(seconds * self.slow)
    }

    /// Time to the next token in a role, with `share` (0 to 1) of the slots taken; `prefilling`:
    /// whether the engine prefills a prompt meanwhile.
    fn decode_time(&self, role: Role, share: f64, prefilling: bool) -> Duration {
        let factor = match role {
            Role::Prefill => 1.0 / self.off_role_speed,
            Role::Decode => 1.0 / self.in_role_speed,
            Role::Mixed if prefilling => self.interference,
            Role::Mixed => 1.0,
        };
        self.token_time.mul_f64((1.0 + share) * factor * self.slow)
    }
}

/// A stand-in engine; clones share it.
#[derive(Clone)]
pub struct MemoryEngine {
    inner: Arc<Mutex<Inner>>,
    slots: Arc<Semaphore>,
    prefill: Arc<tokio::sync::Mutex<()>>,
    crashed: Arc<Notify>,
}

struct Inner {
    params: EngineParams,
    status: Status,
    cancelled: HashSet<CompactString>,
    imported: HashMap<CompactString, Bytes>,
    prefixes: HashSet<u64>,
    down: bool,
    orders: Vec<(FencingToken, Order)>,
    conflicts: u32,
    crashes: u32,
    started: u64,
    finished: u64,
}

impl MemoryEngine {
    /// Makes an engine that serves the names in `serves`.
    pub fn new(params: EngineParams, serves: &[&str]) -> Self {
        let serves = serves.iter().map(|name| name.to_compact_string()).collect();
        let status = Status { serves, incarnation: 1, ..Status::default() };
        let slots = Arc::new(Semaphore::new(usize::try_from(params.slots).unwrap_or(usize::MAX)));
        let inner = Inner {
            params,
            status,
            cancelled: HashSet::new(),
            imported: HashMap::new(),
            prefixes: HashSet::new(),
            down: false,
            orders: Vec::new(),
            conflicts: 0,
            crashes: 0,
            started: 0,
            finished: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            slots,
            prefill: Arc::default(),
            crashed: Arc::default(),
        }
    }

    /// Changes speeds and faults.
    pub fn change(&self, change: impl FnOnce(&mut EngineParams)) {
        change(&mut self.lock().params);
    }

    /// Crashes the engine: running jobs break off, and it accepts none until it is started.
    pub fn crash(&self) {
        {
            let mut inner = self.lock();
            inner.crashes += u32::from(!inner.down);
            inner.down = true;
        }
        self.crashed.notify_waiters();
    }

    /// Starts a crashed engine as a new incarnation with empty caches; its role and models stay.
    pub fn start(&self) {
        let mut inner = self.lock();
        inner.down = false;
        inner.status.busy = false;
        inner.status.incarnation += 1;
        inner.prefixes.clear();
        inner.imported.clear();
    }

    /// The orders that took effect, oldest first.
    pub fn orders(&self) -> Vec<(FencingToken, Order)> {
        self.lock().orders.clone()
    }

    /// Number of orders that arrived while another was being carried out.
    pub fn conflicts(&self) -> u32 {
        self.lock().conflicts
    }

    /// Whether the engine has crashed and has not been started again.
    pub fn is_down(&self) -> bool {
        self.lock().down
    }

    /// Number of crashes.
    pub fn crashes(&self) -> u32 {
        self.lock().crashes
    }

    /// Numbers of jobs started and of jobs that ran to their end.
    pub fn jobs(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.started, inner.finished)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ensure_up(&self, step: &'static str) -> Result<EngineParams> {
        let inner = self.lock();
        if inner.down { Err(not_reached(step)) } else { Ok(inner.params.clone()) }
    }

    fn admit(&self, job: &Job) -> Result<EngineParams> {
        let params = self.ensure_up("generate")?;
        let inner = self.lock();
        let unserved = !inner.status.serves.contains(&job.serve);
        if unserved || inner.status.busy {
            let detail = format_compact!("{} is not in service", job.serve);
            return Err(refused("generate", detail));
        }
        Ok(params)
    }

    /// Prefills the prompt, one at a time; returns the number of cached tokens.
    async fn prefill(&self, job: &Job, params: &EngineParams) -> u32 {
        let prompt_tokens = tokens_of(&job.prompt);
        let prefix = xxhash_rust::xxh3::xxh3_64(prefix_of(&job.prompt).as_bytes());
        let imported = self.lock().imported.remove(&job.id).is_some();
        let cached = if imported || !self.lock().prefixes.insert(prefix) {
            if imported { prompt_tokens } else { prompt_tokens / 2 }
        } else {
            0
        };
        let _guard = self.prefill.lock().await;
        let fresh = prompt_tokens - cached + job.resume_tokens / 8;
        let role = self.lock().status.role;
        pause(params.prefill_time(role, fresh)).await;
        cached
    }
}

/// Length of a text in tokens of [`TOKEN_BYTES`].
fn tokens_of(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// The part of a prompt that identifies its prefix in the prefix cache.
fn prefix_of(text: &str) -> &str {
    const PREFIX_BYTES: usize = 64;
    let end = (0..=PREFIX_BYTES.min(text.len())).rev().find(|end| text.is_char_boundary(*end));
    &text[..end.unwrap_or(0)]
}

/// The token at `index` of the answer to the prompt with hash `prompt`, [`TOKEN_BYTES`] long.
fn token(prompt: u64, index: u32) -> String {
    const LETTERS: &[u8; 16] = b"abdefgiklmnoprst";
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), prompt);
    let letter = |shift: u32| char::from(LETTERS[(hash >> shift & 15) as usize]);
    format!(" {}{}{}", letter(0), letter(8), letter(16))
}

/// Length in tokens of the answer to the prompt with hash `prompt`, before the limit on tokens.
fn answer_tokens(prompt: u64, sampling: &Bytes) -> u32 {
    let requested = serde_json::from_slice::<serde_json::Value>(sampling).ok();
    let requested = requested.and_then(|value| value.get("fake_tokens")?.as_u64());
    requested.map_or(8 + (prompt % 57) as u32, |tokens| u32::try_from(tokens).unwrap_or(u32::MAX))
}

/// The complete answer to `prompt`, against which received answers can be verified.
pub fn answer(prompt: &str, sampling: &Bytes, max_tokens: u32) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes());
    let length = answer_tokens(hash, sampling).min(max_tokens);
    (0..length).map(|index| token(hash, index)).collect()
}

/// Sleeps, except for durations up to 20 µs. The timer has a resolution of a millisecond; rounding
/// such durations up would limit an engine to 1,000 prompts a second, whatever its parameters.
async fn pause(time: Duration) {
    const TINY: Duration = Duration::from_micros(20);
    if time > TINY {
        tokio::time::sleep(time).await;
    }
}

/// One running job.
struct Running {
    engine: MemoryEngine,
    job: Job,
    incarnation: u64,
    prompt: u64,
    next: u32,
    length: u32,
    cached: Option<u32>,
    slot: Option<OwnedSemaphorePermit>,
    ended: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        inner.status.running = inner.status.running.saturating_sub(1);
        inner.cancelled.remove(&self.job.id);
    }
}

impl Running {
    async fn step(&mut self) -> Result<Output> {
        let engine = self.engine.clone();
        let mut crashed = std::pin::pin!(engine.crashed.notified());
        crashed.as_mut().enable();
        if self.engine.lock().status.incarnation != self.incarnation || self.engine.lock().down {
            return Err(broken("generate", "the engine crashed"));
        }
        tokio::select! {
            output = self.work() => output,
            () = crashed => Err(broken("generate", "the engine crashed")),
        }
    }

    async fn work(&mut self) -> Result<Output> {
        let params = self.engine.lock().params.clone();
        if self.slot.is_none() {
            self.slot = self.engine.slots.clone().acquire_owned().await.ok();
        }
        if self.cached.is_none() {
            self.cached = Some(self.engine.prefill(&self.job, &params).await);
        }
        if params.crash_on.as_ref().is_some_and(|text| self.job.prompt.contains(text.as_str())) {
            self.engine.crash();
            return Err(broken("generate", "the engine crashed"));
        }
        if self.engine.lock().cancelled.contains(&self.job.id) {
            return Err(broken("generate", "cancelled"));
        }
        if self.next >= self.length {
            return Ok(self.end());
        }
        let free = self.engine.slots.available_permits();
        let slots = f64::from(params.slots);
        let share = 1.0 - f64::from(u32::try_from(free).unwrap_or(u32::MAX)) / slots;
        let role = self.engine.lock().status.role;
        let prefilling = self.engine.prefill.try_lock().is_err();
        pause(params.decode_time(role, share, prefilling)).await;
        let text = token(self.prompt, self.next);
        self.next += 1;
        Ok(Output::Text { text, tokens: 1 })
    }

    fn end(&self) -> Output {
        self.engine.lock().finished += 1;
        let full_length = answer_tokens(self.prompt, &self.job.sampling);
        let finish = if full_length > self.job.max_tokens { Finish::Length } else { Finish::Stop };
        let usage = Usage {
            prompt_tokens: tokens_of(&self.job.prompt),
            completion_tokens: self.length,
            cached_tokens: self.cached.unwrap_or_default(),
        };
        Output::End { finish, usage }
    }
}

#[async_trait]
impl Engine for MemoryEngine {
    async fn generate(&self, job: Job) -> Result<Outputs> {
        self.admit(&job)?;
        let prompt = xxhash_rust::xxh3::xxh3_64(job.prompt.as_bytes());
        let length = answer_tokens(prompt, &job.sampling).min(job.max_tokens);
        let next = job.resume_tokens;
        let incarnation = {
            let mut inner = self.lock();
            inner.status.running += 1;
            inner.started += 1;
            inner.status.incarnation
        };
        let engine = self.clone();
        let (cached, slot) = (None, None);
        let running =
            Running { engine, job, incarnation, prompt, next, length, cached, slot, ended: false };
        Ok(Box::pin(stream::unfold(running, |mut running| async move {
            if running.ended {
                return None;
            }
            let output = running.step().await;
            running.ended = !matches!(output, Ok(Output::Text { .. }));
            Some((output, running))
        })))
    }

    async fn cancel(&self, id: &str) -> Result<()> {
        self.ensure_up("cancel")?;
        self.lock().cancelled.insert(id.to_compact_string());
        Ok(())
    }

    async fn order(&self, fence: FencingToken, order: &Order) -> Result<()> {
        let params = self.ensure_up("order")?;
        {
            let mut inner = self.lock();
            if params.checks_fencing && fence < inner.status.fence {
                let newest = inner.status.fence;
                return Err(Error::Fenced { step: "order", peer: PEER, newest });
            }
            if params.checks_fencing {
                inner.status.fence = fence;
            }
            if inner.status.busy {
                inner.conflicts += 1;
                return Err(refused("order", CompactString::const_new("an order is under way")));
            }
            inner.status.busy = true;
        }
        if matches!(order, Order::SetRole { .. }) {
            // A change of role takes the engine out of service: running jobs break off.
            self.crashed.notify_waiters();
        }
        let time = match order {
            Order::SetRole { .. } => params.role_change,
            Order::Load { .. } => params.load,
            Order::Unload { .. } => Duration::ZERO,
        };
        pause(time.mul_f64(params.slow)).await;
        let mut inner = self.lock();
        if inner.down {
            return Err(broken("order", "the engine crashed"));
        }
        inner.status.busy = false;
        inner.orders.push((fence, order.clone()));
        match order {
            Order::SetRole { role } => inner.status.role = *role,
            Order::Load { serve, .. } if inner.status.serves.contains(serve) => {}
            Order::Load { serve, .. } => inner.status.serves.push(serve.clone()),
            Order::Unload { serve } => inner.status.serves.retain(|name| name != serve),
        }
        Ok(())
    }

    async fn status(&self) -> Result<Status> {
        self.ensure_up("status")?;
        Ok(self.lock().status.clone())
    }

    async fn export_kv(&self, id: &str) -> Result<Bytes> {
        self.ensure_up("export KV")?;
        Ok(Bytes::from(format!("kv:{id}")))
    }

    async fn import_kv(&self, id: &str, cache: Bytes) -> Result<()> {
        self.ensure_up("import KV")?;
        self.lock().imported.insert(id.to_compact_string(), cache);
        Ok(())
    }
}

const PEER: CompactString = CompactString::const_new("memory-engine");

fn not_reached(step: &'static str) -> Error {
    Error::NotReached { step, peer: PEER, detail: CompactString::const_new("the engine is down") }
}

fn broken(step: &'static str, detail: &str) -> Error {
    Error::Broken { step, peer: PEER, detail: detail.to_compact_string() }
}

fn refused(step: &'static str, detail: CompactString) -> Error {
    Error::Refused { step, peer: PEER, status: 503, detail }
}
