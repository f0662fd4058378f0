//! What this entry does as a coordinator: counts leases, decides on requests for tokens, and takes
//! tokens back.

use super::State;
use crate::cluster::messages::{
    CustomerLimit, QuotaDecision, QuotaRenewal, QuotaRequest, QuotaResponse, QuotaReturn,
    RefundedTokens, ShareLease, Stamp as WireStamp,
};
use crate::cluster::suspects::Fingerprint;
use policy::Time;
use policy::quota::{
    Answer, Ask, CustomerKey, Limit, PARTITIONS, Partition, Refund, Return, partition,
};
use policy::reservations::ReservationId;
use std::time::Duration;

impl State {
    /// Decides on a request of another entry; `None` if it isn't addressed to this one or invalid.
    pub fn respond(&mut self, request: &QuotaRequest, now: Time) -> Option<QuotaResponse> {
        let lease = request.lease.as_ref().filter(|lease| lease.holder == self.own)?;
        let (customer, limit) = decode_limit(request.limit.as_ref()?)?;
        let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
        if ![request.amount, request.ahead, request.returned].into_iter().all(is_amount) {
            return None;
        }
        let not_lent = !self.lend(lease, now);
        let ask = Ask {
            entry: lease.lender,
            id: request.id,
            echoed: lease.echoed.map(|stamp| stamp.decode()),
            customer,
            limit,
            amount: request.amount,
            ahead: request.ahead,
            returned: request.returned,
            max_wait: Duration::from_micros(request.max_wait_us),
            returning: request.returning,
        };
        let answer = self.decide_request(ask, request.fingerprint, now);
        let decision = answer.map(QuotaDecision::new);
        let version = self.coordinator.version(customer).unwrap_or(limit.version);
        Some(QuotaResponse { version, decision, ..self.response(request.id, not_lent, now) })
    }

    /// Decides on a request for tokens. A caller that returns soon after a refusal has almost the
    /// same time left as at its first attempt, so it is also recognized by the request itself. `None`
    /// if this entry has no shares, so that nothing can be said about the customer's limit.
    pub(super) fn decide_request(
        &mut self,
        ask: Ask,
        fingerprint: Fingerprint,
        now: Time,
    ) -> Option<Answer> {
        if self.coordinator.fraction(partition(ask.customer), now) <= 0.0 {
            return None;
        }
        let (customer, amount) = (ask.customer, ask.amount);
        // A retry for another reason may not use what is reserved for a caller that is still to come.
        let returning = self.promised.take_due(customer, fingerprint, amount, ask.returning, now);
        let may_reserve = self.promised.may_reserve(customer);
        let max_wait = if may_reserve { ask.max_wait } else { Duration::ZERO };
        let ask = Ask { returning, max_wait, ..ask };
        let answer = self.decide(&ask, now);
        if let Answer::Refused { retry_after, reserved: true } = answer {
            self.promised.insert(customer, fingerprint, amount, now + retry_after);
        }
        Some(answer)
    }

    pub(super) fn decide(&mut self, ask: &Ask, now: Time) -> Answer {
        let entries = self.lender.entries(now);
        let answer = self.coordinator.ask(ask, entries, now);
        if let Answer::Granted { ahead } = answer {
            self.counts.granted += ask.amount + ahead;
        }
        answer
    }

    /// Applies a renewal; `None` if it isn't addressed to this entry.
    pub fn respond_to_renewal(
        &mut self,
        renewal: &QuotaRenewal,
        now: Time,
    ) -> Option<QuotaResponse> {
        let lease = renewal.lease.as_ref().filter(|lease| lease.holder == self.own)?;
        let not_lent = !self.lend(lease, now);
        let entries = self.lender.entries(now);
        let is_amount = |amount: f64| amount.is_finite() && amount > 0.0;
        for row in renewal.unspent.iter().filter(|row| is_amount(row.amount)) {
            let Some((customer, limit)) = row.limit.as_ref().and_then(decode_limit) else {
                continue;
            };
            let ask = Ask {
                entry: lease.lender,
                id: row.id,
                echoed: lease.echoed.map(|stamp| stamp.decode()),
                customer,
                limit,
                amount: 0.0,
                ahead: 0.0,
                returned: row.amount,
                max_wait: Duration::ZERO,
                returning: false,
            };
            self.decide(&ask, now);
        }
        for row in renewal.refunds.iter().filter(|row| is_amount(row.amount)) {
            let Some(granted) = row.granted.map(|stamp| stamp.decode()) else { continue };
            let RefundedTokens { id, customer, amount, ahead, .. } = *row;
            let refund = Refund { entry: lease.lender, id, granted, ahead, customer, amount };
            self.coordinator.refund(&refund, entries, now);
        }
        Some(self.response(renewal.id, not_lent, now))
    }

    pub(super) fn response(&self, id: ReservationId, not_lent: bool, now: Time) -> QuotaResponse {
        QuotaResponse {
            id,
            holder: self.own,
            stamp: Some(WireStamp::new(self.own_stamp(now))),
            not_lent,
            leaving: self.is_leaving,
            ready: self.lender.share(now) > 0.0,
            entries: u32::try_from(self.lender.entries(now)).unwrap_or(u32::MAX),
            ..QuotaResponse::default()
        }
    }

    /// Counts a lease to this entry; returns whether it has a stamp from which its term counts.
    pub(super) fn lend(&mut self, lease: &ShareLease, now: Time) -> bool {
        let echoed = lease.echoed.map(|stamp| stamp.decode());
        let term = Duration::from_micros(lease.term_us);
        let ends = echoed
            .filter(|stamp| stamp.life == self.life && stamp.at <= now)
            .map(|stamp| stamp.at + term)
            .filter(|ends| *ends > now);
        if !(lease.share.is_finite() && (0.0..=1.0).contains(&lease.share)) {
            return ends.is_some();
        }
        self.others_are_ready |= lease.lender != self.own && lease.share > 0.0;
        for partition in lease.partitions.iter().filter_map(|at| Partition::try_from(*at).ok()) {
            if partition >= PARTITIONS {
                continue;
            }
            self.coordinator.lend(partition, lease.lender, lease.share, term, echoed, now);
            if let Some(ends) = ends.filter(|_| lease.share > 0.0) {
                let known = self.shares.insert((partition, lease.lender), ends);
                self.counts.gained += u64::from(known.is_none());
            }
        }
        ends.is_some()
    }

    /// Handles a request to return leases, or its confirmation; returns the confirmation to send.
    pub fn apply_return(&mut self, message: &QuotaReturn, now: Time) -> Option<QuotaReturn> {
        let rows = message.partitions.iter().zip(&message.sent_ns).filter_map(|(at, sent)| {
            let partition = Partition::try_from(*at).ok().filter(|at| *at < PARTITIONS)?;
            Some((partition, Duration::from_nanos(*sent)))
        });
        if message.confirmed {
            if message.lender == self.own {
                for (partition, sent) in rows {
                    self.lender.returned(partition, Return { holder: message.holder, sent });
                }
                self.unanswered.remove(&message.holder);
            }
            return None;
        }
        if message.holder != self.own {
            return None;
        }
        for (partition, _) in rows {
            self.coordinator.give_back_share(partition, message.lender, now);
            if self.shares.remove(&(partition, message.lender)).is_some() {
                self.counts.lost += 1;
            }
        }
        Some(QuotaReturn { confirmed: true, ..message.clone() })
    }
}

/// Decodes a limit; `None` if a figure is no amount.
fn decode_limit(limit: &CustomerLimit) -> Option<(CustomerKey, Limit)> {
    let CustomerLimit { customer, rate, burst, version } = *limit;
    let valid = [rate, burst].into_iter().all(|figure| figure.is_finite() && figure >= 0.0);
    valid.then_some((customer, Limit { rate, burst, version }))
}
