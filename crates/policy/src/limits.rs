//! How much a caller may use: tokens a second and open requests.
//!
//! **Load pattern.** A caller's loop runs wild and comes in through all entries at once.
//! **Without it** fairness still shares out each queue, but the loop fills every one of them and
//! its owner learns of it last. **How.** Each entry enforces a share of each caller's limit and
//! asks nobody. The share follows the caller's traffic: entries tell each other, in pings that
//! they send anyway, about the few callers they serve most; the share is this entry's part of
//! what all report. An entry not heard from counts as serving as much as this one, so that with no
//! news at all the share is one over the live entries, and limits err on the strict side.
//!

use crate::admission::{Reason, Refusal};
use crate::number::{float, span};
use crate::{CallerId, Hash, Time};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Settings of limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How much of its rate a caller may save up: a page that opens with several requests.
    pub burst: Duration,
    /// The least share of a limit, so that a caller that moves to a new entry gets a start before
    /// the news of it spreads. With 390 entries all at the least share, they exceed by a tenth.
    pub least_share: f64,
    /// The time over which traffic is averaged; a few pings long.
    pub window: Duration,
    /// News older than this count as none.
    pub stale: Duration,
    /// Callers told about in one ping: 16 of 24 bytes are 0.4 KB.
    pub told: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(5),
            least_share: 0.003,
            window: Duration::from_secs(10),
            stale: Duration::from_secs(30),
            told: 16,
        }
    }
}

/// What a caller may use over all entries; 0 means no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Limit {
    /// Tokens a second, prompt and output.
    pub tokens_per_second: u32,
    /// Open requests.
    pub concurrency: u32,
}

/// One caller's traffic at one entry, as told to others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallerUsage {
    /// The hash of the caller's name.
    pub caller: Hash,
    /// Tokens a second that it asks for there, on average.
    pub rate: f64,
    /// Its open requests there.
    pub open: u32,
}

#[derive(Debug, Default)]
struct Account {
    tokens: f64,
    filled: Time,
    rate: f64,
    rated: Time,
    open: u32,
}

#[derive(Debug)]
struct News {
    heard: Time,
    usage: HashMap<Hash, CallerUsage>,
}

/// Enforces this entry's share of all limits.
#[derive(Debug)]
pub struct Limits {
    settings: Settings,
    entries: usize,
    accounts: HashMap<CallerId, Account>,
    news: BTreeMap<Hash, News>,
}

/// Accounts kept before idle ones are forgotten; about 4,500 callers are in use.
const MAX_ACCOUNTS: usize = 8_192;

impl Limits {
    /// Makes limits that have seen no traffic, with one live entry.
    pub fn new(settings: Settings) -> Self {
        Self { settings, entries: 1, accounts: HashMap::new(), news: BTreeMap::new() }
    }

    /// Sets how many entries live, this one included.
    pub fn set_entries(&mut self, live: usize) {
        self.entries = live.max(1);
    }

    /// Takes in what another entry told about its callers.
    pub fn observe_peer(&mut self, entry: Hash, usage: &[CallerUsage], now: Time) {
        let stale = self.settings.stale;
        self.news.retain(|_, news| now.saturating_sub(news.heard) <= stale);
        let usage = usage.iter().map(|usage| (usage.caller, *usage)).collect();
        self.news.insert(entry, News { heard: now, usage });
    }

    /// The callers that this entry serves most, to tell the others.
    pub fn report(&self, now: Time) -> Vec<CallerUsage> {
        let all = self.accounts.iter().map(|(caller, account)| {
            let rate = account.rate_at(now, self.settings.window);
            CallerUsage { caller: crate::hash(caller), rate, open: account.open }
        });
        let mut all: Vec<CallerUsage> =
            all.filter(|usage| usage.rate >= 1.0 || usage.open > 0).collect();
        all.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.caller.cmp(&b.caller)));
        all.truncate(self.settings.told);
        all
    }

    /// Opens a request of `tokens`, or refuses it. Each request opened is closed once.
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
        self.forget_idle(now);
        let account = self.accounts.entry(caller.clone()).or_insert_with(|| Account {
            tokens: f64::from(limit.tokens_per_second) * share * burst.as_secs_f64(),
            filled: now,
            ..Account::default()
        });
        account.demand(float(tokens), now, window);
        let open = (f64::from(limit.concurrency) * share).max(1.0).round();
        if limit.concurrency > 0 && f64::from(account.open) >= open {
            return Err(Refusal { reason: Reason::ConcurrencyLimit, retry_after: LEAST_RETRY });
        }
        if limit.tokens_per_second > 0 {
            let rate = f64::from(limit.tokens_per_second) * share;
            account.spend(float(tokens), rate, burst, now)?;
        }
        account.open += 1;
        Ok(())
    }

    /// Closes a request that was opened with `predicted` tokens and used `actual` ones.
    pub fn close(&mut self, caller: &CallerId, predicted: u64, actual: u64) {
        if let Some(account) = self.accounts.get_mut(caller) {
            account.open = account.open.saturating_sub(1);
            account.tokens += float(predicted) - float(actual);
        }
    }

    /// This entry's share of the caller's limits, from 0 to 1.
    pub fn share(&self, caller: &CallerId, now: Time) -> f64 {
        let key = crate::hash(caller);
        let window = self.settings.window;
        let own = self.accounts.get(caller).map_or(0.0, |account| account.rate_at(now, window));
        let own = own.max(1.0);
        let fresh = |news: &&News| now.saturating_sub(news.heard) <= self.settings.stale;
        let heard: Vec<&News> = self.news.values().filter(fresh).collect();
        let told = |news: &&News| news.usage.get(&key).map_or(0.0, |usage| usage.rate);
        let others: f64 = heard.iter().map(told).sum();
        let silent = (self.entries - 1).saturating_sub(heard.len());
        let silent = float(u64::try_from(silent).unwrap_or(u64::MAX)) * own;
        (own / (own + others + silent)).max(self.settings.least_share)
    }

    fn forget_idle(&mut self, now: Time) {
        if self.accounts.len() >= MAX_ACCOUNTS {
            let window = self.settings.window;
            self.accounts.retain(|_, a| a.open > 0 || now.saturating_sub(a.rated) <= window);
        }
    }
}

/// The Retry-After when requests have to end first, which nobody can foretell.
const LEAST_RETRY: Duration = Duration::from_secs(1);

impl Account {
    /// The rate now: an average that forgets exponentially.
    fn rate_at(&self, now: Time, window: Duration) -> f64 {
        let age = now.saturating_sub(self.rated).as_secs_f64();
        self.rate * (-age / window.as_secs_f64()).exp()
    }

    fn demand(&mut self, tokens: f64, now: Time, window: Duration) {
        self.rate = self.rate_at(now, window) + tokens / window.as_secs_f64();
        self.rated = now;
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
        let most = rate * burst.as_secs_f64();
        let gained = rate * now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + gained).min(most);
        self.filled = now;
        let needed = tokens.min(most);
        if self.tokens + f64::EPSILON < needed {
            let wait = span((needed - self.tokens) / rate.max(f64::MIN_POSITIVE));
            return Err(Refusal { reason: Reason::RateLimit, retry_after: wait.max(LEAST_RETRY) });
        }
        self.tokens -= tokens;
        Ok(())
    }
}
