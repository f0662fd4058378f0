//! Tokens granted ahead of use, and what customers used recently at this entry.

use super::{ConfigVersion, CustomerKey, Limit, TERM};
use crate::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which use counts as recent: two terms.
const RECENT: Duration = TERM.saturating_mul(2);

/// Time without use after which a customer is forgotten.
const IDLE: Duration = Duration::from_secs(10);

/// Tokens that were granted in one answer.
#[derive(Debug, Clone, Copy)]
struct Lot {
    tokens: f64,
    until: Time,
    version: ConfigVersion,
}

#[derive(Debug, Clone, Default)]
struct Customer {
    /// In the order in which they become void.
    lots: Vec<Lot>,
    /// What was used in the present and the previous span of [`RECENT`].
    used: f64,
    used_before: f64,
    span_since: Time,
    used_at: Time,
}

impl Customer {
    fn advance(&mut self, now: Time) {
        self.lots.retain(|lot| now < lot.until && lot.tokens > 0.0);
        let age = now.saturating_sub(self.span_since);
        if age >= RECENT {
            self.used_before = if age < RECENT * 2 { self.used } else { 0.0 };
            self.used = 0.0;
            self.span_since = now;
        }
    }

    fn tokens(&self) -> f64 {
        self.lots.iter().map(|lot| lot.tokens).sum()
    }

    /// What was used within [`RECENT`], with the previous span counted as evenly used.
    fn recently_used(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.span_since).as_secs_f64() / RECENT.as_secs_f64();
        self.used + self.used_before * (1.0 - elapsed).max(0.0)
    }
}

/// The tokens that this entry holds, by customer.
#[derive(Debug, Default)]
pub struct Held {
    customers: HashMap<CustomerKey, Customer>,
    swept_at: Time,
}

impl Held {
    /// Takes what a request costs from the held tokens; `false` if they don't cover it. Either way
    /// the amount counts as recent use.
    pub fn spend(&mut self, customer: CustomerKey, limit: &Limit, amount: f64, now: Time) -> bool {
        self.sweep(now);
        // Comparisons with NaN are false, and would grant the request.
        if !amount.is_finite() || amount < 0.0 {
            return false;
        }
        let customer = self.customers.entry(customer).or_default();
        customer.advance(now);
        customer.lots.retain(|lot| lot.version >= limit.version);
        customer.used += amount;
        customer.used_at = now;
        if customer.tokens() < amount {
            return false;
        }
        let mut rest = amount;
        for lot in &mut customer.lots {
            let taken = lot.tokens.min(rest);
            lot.tokens -= taken;
            rest -= taken;
        }
        true
    }

    /// Adds tokens granted ahead under this limit, which are void from `until`: one term after the
    /// request for them was sent. The version is that of the answer.
    pub fn add(
        &mut self,
        customer: CustomerKey,
        limit: &Limit,
        tokens: f64,
        until: Time,
        now: Time,
    ) {
        if !tokens.is_finite() || tokens <= 0.0 || until <= now {
            return;
        }
        let customer = self.customers.entry(customer).or_default();
        customer.advance(now);
        customer.used_at = customer.used_at.max(now);
        let at = customer.lots.partition_point(|lot| lot.until <= until);
        customer.lots.insert(at, Lot { tokens, until, version: limit.version });
    }

    /// Returns the tokens to request ahead: what the customer used recently, less what is held.
    pub fn wanted(&mut self, customer: CustomerKey, now: Time) -> f64 {
        let Some(customer) = self.customers.get_mut(&customer) else { return 0.0 };
        customer.advance(now);
        (customer.recently_used(now) - customer.tokens()).max(0.0)
    }

    /// Takes out what is held and not yet void, to be returned.
    pub fn take_unspent(&mut self, customer: CustomerKey, now: Time) -> f64 {
        let Some(customer) = self.customers.get_mut(&customer) else { return 0.0 };
        customer.advance(now);
        customer.lots.drain(..).map(|lot| lot.tokens).sum()
    }

    /// Drops tokens granted under a version older than this one.
    pub fn clear_older(&mut self, version: ConfigVersion) {
        for customer in self.customers.values_mut() {
            customer.lots.retain(|lot| lot.version >= version);
        }
    }

    /// Returns the number of customers that state is kept for.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// Forgets customers that have been idle.
    fn sweep(&mut self, now: Time) {
        if now.saturating_sub(self.swept_at) >= IDLE {
            self.swept_at = now;
            self.customers.retain(|_, customer| now < customer.used_at + IDLE);
        }
    }
}
