//! Enforces the limits of callers: tokens per second and open requests.
//!
//! **Load pattern.** A loop at a caller runs out of control and sends requests through all entries
//! at once. **Without this**, fairness still divides each queue, but the loop fills every one of
//! them, and its owner notices last. **Approach.** Each entry enforces a share of each caller's
//! limit without asking any other. The share follows the caller's traffic: in pings that they send
//! anyway, entries report the few callers that they serve most, and the share is this entry's part
//! of the sum of all reports. An entry without a report counts as serving as much as this one, so
//! that without any report the share is one divided by the number of live entries, and limits err
//! on the strict side.

use crate::admission::{Reason, Refusal};
use crate::number::{float, span};
use crate::{CallerId, Hash, Time};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Settings of limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How much of its rate a caller may accumulate, for pages that open with several requests.
    pub burst: Duration,
    /// Smallest share of a limit, so that a caller that moves to a new entry can start before other
    /// entries know about it. With 390 entries all at the smallest share, the limit is exceeded by
    /// a tenth.
    pub min_share: f64,
    /// Time over which traffic is averaged; a few ping intervals long.
    pub window: Duration,
    /// Age from which a report no longer counts.
    pub max_report_age: Duration,
    /// Number of callers reported in one ping: 16 of 24 bytes are 0.4 KB.
    pub max_reported: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(5),
            min_share: 0.003,
            window: Duration::from_secs(10),
            max_report_age: Duration::from_secs(30),
            max_reported: 16,
        }
    }
}

/// Limits of a caller over all entries; 0 means no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    /// Prompt and output tokens per second.
    pub tokens_per_second: u32,
    /// Open requests at a time.
    pub concurrency: u32,
}

/// The traffic of one caller at one entry, as reported to other entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerUsage {
    /// The hash of the caller's name.
    pub caller: Hash,
    /// Tokens per second that it requests there, on average.
    pub rate: f64,
    /// Its open requests there.
    pub open: u32,
}

#[derive(Debug, Default)]
struct Account {
    tokens: f64,
    filled_at: Time,
    rate: f64,
    rate_updated_at: Time,
    open: u32,
}

#[derive(Debug)]
struct PeerReport {
    received_at: Time,
    usage: HashMap<Hash, CallerUsage>,
}

/// Enforces this entry's share of the limits of all callers.
#[derive(Debug)]
pub struct Limits {
    settings: Settings,
    entries: usize,
    accounts: HashMap<CallerId, Account>,
    reports: BTreeMap<Hash, PeerReport>,
}

/// Number of accounts from which idle ones are dropped. About 4,500 callers are in use.
const MAX_ACCOUNTS: usize = 8_192;

impl Limits {
    /// Creates limits without any traffic, for one live entry.
    pub fn new(settings: Settings) -> Self {
        Self { settings, entries: 1, accounts: HashMap::new(), reports: BTreeMap::new() }
    }

    /// Sets the number of live entries, including this one.
    pub fn set_entries(&mut self, live: usize) {
        self.entries = live.max(1);
    }

    /// Records the report of another entry about its callers.
    pub fn observe_peer(&mut self, entry: Hash, usage: &[CallerUsage], now: Time) {
        let max_report_age = self.settings.max_report_age;
        self.reports.retain(|_, report| now.saturating_sub(report.received_at) <= max_report_age);
        let usage = usage.iter().map(|usage| (usage.caller, *usage)).collect();
        self.reports.insert(entry, PeerReport { received_at: now, usage });
    }

    /// Returns the callers that this entry serves most, as a report to other entries.
    pub fn report(&self, now: Time) -> Vec<CallerUsage> {
        let all = self.accounts.iter().map(|(caller, account)| {
            let rate = account.rate_at(now, self.settings.window);
            CallerUsage { caller: crate::hash(caller), rate, open: account.open }
        });
        let mut all: Vec<CallerUsage> =
            all.filter(|usage| usage.rate >= 1.0 || usage.open > 0).collect();
        all.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.caller.cmp(&b.caller)));
        all.truncate(self.settings.max_reported);
        all
    }

    /// Opens a request of `tokens`, or refuses it. Each opened request must be closed once.
    pub fn open(
        &mut self,
        caller: &CallerId,
        limit: Limit,
        tokens: u64,
        now: Time,
    ) -> crate::admission::Result<()> {
        let share = self.share(caller, now);
        let window = self.settings.window;
        let burst = self.settings.burst;
        self.drop_idle(now);
        let account = self.accounts.entry(caller.clone()).or_insert_with(|| Account {
            tokens: f64::from(limit.tokens_per_second) * share * burst.as_secs_f64(),
            filled_at: now,
            ..Account::default()
        });
        account.record_demand(float(tokens), now, window);
        let open = (f64::from(limit.concurrency) * share).max(1.0).round();
        if limit.concurrency > 0 && f64::from(account.open) >= open {
            return Err(Refusal { reason: Reason::ConcurrencyLimit, retry_after: MIN_RETRY_AFTER });
        }
        if limit.tokens_per_second > 0 {
            let rate = f64::from(limit.tokens_per_second) * share;
            account.spend(float(tokens), rate, burst, now)?;
        }
        account.open += 1;
        Ok(())
    }

    /// Closes a request that was opened with `predicted` tokens and used `actual` tokens.
    pub fn close(&mut self, caller: &CallerId, predicted: u64, actual: u64) {
        if let Some(account) = self.accounts.get_mut(caller) {
            account.open = account.open.saturating_sub(1);
            account.tokens += float(predicted) - float(actual);
        }
    }

    /// Returns this entry's share of the caller's limits, from 0 to 1.
    pub fn share(&self, caller: &CallerId, now: Time) -> f64 {
        let key = crate::hash(caller);
        let window = self.settings.window;
        let own = self.accounts.get(caller).map_or(0.0, |account| account.rate_at(now, window));
        let own = own.max(1.0);
        let is_current = |report: &&PeerReport| {
            now.saturating_sub(report.received_at) <= self.settings.max_report_age
        };
        let current: Vec<&PeerReport> = self.reports.values().filter(is_current).collect();
        let rate = |report: &&PeerReport| report.usage.get(&key).map_or(0.0, |usage| usage.rate);
        let others: f64 = current.iter().map(rate).sum();
        let missing = (self.entries - 1).saturating_sub(current.len());
        let missing = float(u64::try_from(missing).unwrap_or(u64::MAX)) * own;
        (own / (own + others + missing)).max(self.settings.min_share)
    }

    fn drop_idle(&mut self, now: Time) {
        if self.accounts.len() >= MAX_ACCOUNTS {
            let window = self.settings.window;
            self.accounts
                .retain(|_, a| a.open > 0 || now.saturating_sub(a.rate_updated_at) <= window);
        }
    }
}

/// Shortest Retry-After. It is also used when open requests have to end first, which can't be
/// predicted.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Account {
    /// Returns the current rate, an exponential average.
    fn rate_at(&self, now: Time, window: Duration) -> f64 {
        let age = now.saturating_sub(self.rate_updated_at).as_secs_f64();
        self.rate * (-age / window.as_secs_f64()).exp()
    }

    fn record_demand(&mut self, tokens: f64, now: Time, window: Duration) {
        self.rate = self.rate_at(now, window) + tokens / window.as_secs_f64();
        self.rate_updated_at = now;
    }

    /// Takes tokens from the bucket. A request larger than the whole burst may overdraw a full
    /// bucket, since it could never pass otherwise.
    fn spend(
        &mut self,
        tokens: f64,
        rate: f64,
        burst: Duration,
        now: Time,
    ) -> crate::admission::Result<()> {
        let capacity = rate * burst.as_secs_f64();
        let gained = rate * now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(capacity);
        self.filled_at = now;
        let needed = tokens.min(capacity);
        if self.tokens + f64::EPSILON < needed {
            let wait = span((needed - self.tokens) / rate.max(f64::MIN_POSITIVE));
            return Err(Refusal {
                reason: Reason::RateLimit,
                retry_after: wait.max(MIN_RETRY_AFTER),
            });
        }
        self.tokens -= tokens;
        Ok(())
    }
}
