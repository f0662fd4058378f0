//! Tokens granted ahead of use, and what customers used recently at this entry.

use super::{ConfigVersion, CustomerKey, Limit};
use crate::Time;
use std::collections::HashMap;

/// The tokens that this entry holds, by customer.
#[derive(Debug, Default)]
pub struct Held {
    customers: HashMap<CustomerKey, f64>,
}

impl Held {
    /// Takes what a request costs from the held tokens; `false` if they don't cover it. Either way
    /// the amount counts as recent use.
    pub fn spend(&mut self, customer: CustomerKey, limit: &Limit, amount: f64, now: Time) -> bool {
        let _ = (customer, limit, amount, now);
        false
    }

    /// Adds tokens granted ahead under this limit, which are void from `until`: one term after the
    /// request for them was sent.
    pub fn add(
        &mut self,
        customer: CustomerKey,
        limit: &Limit,
        tokens: f64,
        until: Time,
        now: Time,
    ) {
        let _ = (customer, limit, tokens, until, now);
    }

    /// Returns the tokens to request ahead: what the customer used recently, less what is held.
    pub fn wanted(&mut self, customer: CustomerKey, now: Time) -> f64 {
        let _ = (customer, now);
        0.0
    }

    /// Takes out what is held and not yet void, to be returned.
    pub fn take_unspent(&mut self, customer: CustomerKey, now: Time) -> f64 {
        let _ = now;
        self.customers.remove(&customer).unwrap_or_default()
    }

    /// Drops tokens granted under a version older than this one.
    pub fn clear_older(&mut self, version: ConfigVersion) {
        let _ = version;
    }

    /// Returns the number of customers that state is kept for.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }
}
