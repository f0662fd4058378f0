//! The fold of the `system` stream: claims of planners, orders and their outcomes, and suspects.

use crate::authority::Authority;
use crate::record::{Body, Order, OrderKind, OrderOutcome, Renewal};
use crate::scopes::{Holder, Scopes};
use crate::suspects::{Suspect, Suspects};
use crate::{Fold, Record, encoding};
use bytes::Bytes;
use compact_str::CompactString;
use imbl::{OrdMap, Vector};
use plat::Offset;
use std::sync::Arc;

/// A valid order.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderEntry {
    /// The order's offset, which is its fencing token.
    pub offset: Offset,
    /// The scope under whose claim it was written.
    pub scope: CompactString,
    /// The process that wrote it.
    pub author: CompactString,
    /// The target.
    pub target: CompactString,
    /// The action.
    pub kind: OrderKind,
    /// The outcome; `None` while the order is open.
    pub outcome: Option<Outcome>,
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Offset of the record of the outcome.
    pub offset: Offset,
    /// Why the order is not in effect; empty if it is.
    pub failure: CompactString,
}

impl Outcome {
    /// Whether the order is in effect.
    pub fn is_ok(&self) -> bool {
        self.failure.is_empty()
    }
}

/// An entry of the audit trail: one claim, order or outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct AuditEntry {
    /// The record's offset.
    pub offset: Offset,
    /// The process that wrote it.
    pub author: CompactString,
    /// When it was written, by the author's clock, in Unix milliseconds.
    pub written_ms: u64,
    /// The scope or target that it refers to.
    pub subject: CompactString,
    /// The action as text.
    pub what: CompactString,
    /// Whether the record is valid; a void record has no effect at any reader.
    pub valid: bool,
}

/// The most closed orders kept for one target; the planner uses only the last few.
pub const CLOSED_ORDERS_KEPT: usize = 4;

/// The most targets whose orders are kept; beyond it the target whose last order is the oldest is
/// removed, so that years of replaced targets do not fill the memory. Twice the fleet size that the
/// system is designed for.
pub const TARGETS_KEPT: usize = 1_500;

/// The most entries in the audit trail: a day of 1,500 changes, most of which cause an order.
pub const AUDIT_KEPT: usize = 2_000;

/// The folded `system` stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct System {
    pub(crate) scopes: Scopes,
    pub(crate) orders: OrdMap<Offset, Arc<OrderEntry>>,
    pub(crate) by_target: OrdMap<CompactString, Vector<Offset>>,
    pub(crate) suspects: Suspects,
    pub(crate) audit: Vector<Arc<AuditEntry>>,
    pub(crate) end: Offset,
}

impl Fold for System {
    const STATE_VERSION: u32 = 1;

    fn apply(&mut self, offset: Offset, record: &Record) {
        self.end = offset + 1;
        match &record.body {
            Some(Body::Claim(claim)) => {
                let valid = self.scopes.apply_claim(&claim.scope, offset, &record.author, claim);
                self.add_audit_entry(offset, record, &claim.scope, "claim", valid);
            }
            Some(Body::Renewal(renewal)) => self.apply_renewal(offset, record, renewal),
            Some(Body::Order(order)) => self.apply_order(offset, record, order),
            Some(Body::OrderOutcome(outcome)) => self.apply_outcome(offset, record, outcome),
            Some(Body::Suspicion(suspicion)) => self.suspects.apply(offset, suspicion),
            Some(Body::Change(_) | Body::Intent(_) | Body::Answer(_) | Body::Checkpoint(_))
            | None => {}
        }
    }

    fn end(&self) -> Offset {
        self.end
    }

    fn encode(&self) -> Bytes {
        encoding::system::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Self, CompactString> {
        encoding::system::decode(bytes)
    }
}

impl Authority for System {
    fn holder(&self, scope: &str) -> Option<&Holder> {
        self.scopes.get(scope)
    }
}

impl System {
    /// The holder of a scope.
    pub fn holder(&self, scope: &str) -> Option<&Holder> {
        self.scopes.get(scope)
    }

    /// All held scopes with their holders.
    pub fn holders(&self) -> impl Iterator<Item = (&CompactString, &Holder)> {
        self.scopes.iter()
    }

    /// The valid orders for a target by offset: all open ones and the last closed ones.
    pub fn orders(&self, target: &str) -> impl Iterator<Item = &OrderEntry> {
        let offsets = self.by_target.get(target).into_iter().flatten();
        offsets.filter_map(|offset| self.order(*offset))
    }

    /// The orders for a target that have no outcome yet, by offset.
    pub fn open_orders(&self, target: &str) -> impl Iterator<Item = &OrderEntry> {
        self.orders(target).filter(|order| order.outcome.is_none())
    }

    /// The valid order at an offset.
    pub fn order(&self, offset: Offset) -> Option<&OrderEntry> {
        self.orders.get(&offset).map(|order| &**order)
    }

    /// The crashes recorded for a request's fingerprint.
    pub fn suspect(&self, fingerprint: u64) -> Option<&Suspect> {
        self.suspects.get(fingerprint)
    }

    /// All fingerprints with a crash that was not cleared.
    pub fn suspects(&self) -> impl Iterator<Item = (u64, &Suspect)> {
        self.suspects.iter()
    }

    /// Recent claims, orders and outcomes, oldest first, including void ones.
    pub fn audit(&self) -> impl Iterator<Item = &AuditEntry> {
        self.audit.iter().map(|entry| &**entry)
    }

    fn apply_renewal(&mut self, offset: Offset, record: &Record, renewal: &Renewal) {
        let valid = self.scopes.apply_renewal(&renewal.scope, offset, &record.author, renewal);
        if renewal.release || !valid {
            let what = if renewal.release { "release" } else { "renewal" };
            self.add_audit_entry(offset, record, &renewal.scope, what, valid);
        }
    }

    fn apply_order(&mut self, offset: Offset, record: &Record, order: &Order) {
        let valid = self.scopes.accept(&order.scope, offset, &record.author, order.claim);
        let valid = valid && order.kind.is_some();
        self.add_audit_entry(offset, record, &order.target, &describe(order.kind.as_ref()), valid);
        let Some(kind) = order.kind.clone().filter(|_| valid) else { return };
        let entry = OrderEntry {
            offset,
            scope: order.scope.as_str().into(),
            author: record.author.as_str().into(),
            target: order.target.as_str().into(),
            kind,
            outcome: None,
        };
        self.restore_order(entry);
        self.limit_targets();
    }

    pub(crate) fn restore_order(&mut self, entry: OrderEntry) {
        let target = entry.target.clone();
        self.by_target.entry(target).or_default().push_back(entry.offset);
        self.orders.insert(entry.offset, Arc::new(entry));
    }

    /// Applies the first outcome of an order; another one is a duplicate after a lost reply.
    fn apply_outcome(&mut self, offset: Offset, record: &Record, outcome: &OrderOutcome) {
        let order = self.order(outcome.order);
        let open = order.is_some_and(|o| o.target == outcome.target && o.outcome.is_none());
        let what = if outcome.failure.is_empty() { "done" } else { outcome.failure.as_str() };
        self.add_audit_entry(offset, record, &outcome.target, what, open);
        if !open {
            return;
        }
        if let Some(entry) = self.orders.get_mut(&outcome.order) {
            let failure = outcome.failure.as_str().into();
            Arc::make_mut(entry).outcome = Some(Outcome { offset, failure });
        }
        self.limit_closed_orders(&outcome.target);
    }

    /// Removes a target's oldest closed orders beyond the limit.
    fn limit_closed_orders(&mut self, target: &str) {
        let Some(offsets) = self.by_target.get_mut(target) else { return };
        let orders = &mut self.orders;
        let closed = |orders: &OrdMap<Offset, Arc<OrderEntry>>, offset: &Offset| {
            orders.get(offset).is_some_and(|order| order.outcome.is_some())
        };
        while offsets.iter().filter(|o| closed(orders, o)).count() > CLOSED_ORDERS_KEPT {
            let Some(index) = offsets.iter().position(|o| closed(orders, o)) else { return };
            let offset = offsets.remove(index);
            orders.remove(&offset);
        }
    }

    /// Removes the target whose last order is the oldest, if there are too many.
    fn limit_targets(&mut self) {
        if self.by_target.len() <= TARGETS_KEPT {
            return;
        }
        let oldest = self.by_target.iter().min_by_key(|(_, offsets)| offsets.last().copied());
        let Some(target) = oldest.map(|(target, _)| target.clone()) else { return };
        for offset in self.by_target.remove(&target).into_iter().flatten() {
            self.orders.remove(&offset);
        }
    }

    fn add_audit_entry(
        &mut self,
        offset: Offset,
        record: &Record,
        subject: &str,
        what: &str,
        valid: bool,
    ) {
        self.audit.push_back(Arc::new(AuditEntry {
            offset,
            author: record.author.as_str().into(),
            written_ms: record.written_ms,
            subject: subject.into(),
            what: what.into(),
            valid,
        }));
        if self.audit.len() > AUDIT_KEPT {
            self.audit.pop_front();
        }
    }
}

fn describe(kind: Option<&OrderKind>) -> String {
    match kind {
        Some(OrderKind::SetRole(role)) => format!("order: set role {role}"),
        Some(OrderKind::Load(load)) => format!("order: load {} from {}", load.serve, load.artifact),
        Some(OrderKind::Unload(name)) => format!("order: unload {name}"),
        None => "order of an unknown kind".to_owned(),
    }
}
