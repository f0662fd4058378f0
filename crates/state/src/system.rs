//! The fold of the `system` stream: planners' claims, orders and their outcomes, suspects.

use crate::authority::Authority;
use crate::record::{Body, Order, OrderKind, OrderOutcome, Renewal};
use crate::scopes::{Holder, Scopes};
use crate::suspects::{Suspect, Suspects};
use crate::{Fold, Record, shape};
use bytes::Bytes;
use compact_str::CompactString;
use imbl::{OrdMap, Vector};
use plat::Offset;
use std::sync::Arc;

/// A valid order.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderEntry {
    /// The order's offset, which is its fencing number.
    pub offset: Offset,
    /// The scope under which it was given.
    pub scope: CompactString,
    /// Who gave it.
    pub author: CompactString,
    /// The target.
    pub target: CompactString,
    /// What to do.
    pub kind: OrderKind,
    /// What became of it; none while it is open.
    pub outcome: Option<Outcome>,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Offset of the record that says so.
    pub offset: Offset,
    /// Why it is not in force; empty if it is.
    pub failure: CompactString,
}

impl Outcome {
    /// Whether the order is in force.
    pub fn is_ok(&self) -> bool {
        self.failure.is_empty()
    }
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq)]
pub struct AuditEntry {
    /// The record's offset.
    pub offset: Offset,
    /// Who wrote it.
    pub author: CompactString,
    /// When, by the author's clock, in Unix milliseconds.
    pub written_ms: u64,
    /// The scope or target it is about.
    pub subject: CompactString,
    /// What was done, in words.
    pub what: CompactString,
    /// Whether it counts; a void record has no effect anywhere.
    pub valid: bool,
}

/// How many closed orders of one target are kept; the planner looks at the last few only.
pub const CLOSED_ORDERS_KEPT: usize = 4;

/// Targets whose closed orders are kept; beyond it the target with the oldest one is forgotten,
/// so that years of replaced targets do not fill the memory. Twice the fleet to design for.
pub const TARGETS_KEPT: usize = 1_500;

/// Lines of the audit trail that are kept: a day of 1,500 changes, most of which give an order.
pub const ACTS_KEPT: usize = 2_000;

/// The folded `system` stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct System {
    pub(crate) scopes: Scopes,
    pub(crate) orders: OrdMap<Offset, Arc<OrderEntry>>,
    pub(crate) by_target: OrdMap<CompactString, Vector<Offset>>,
    pub(crate) suspects: Suspects,
    pub(crate) acts: Vector<Arc<AuditEntry>>,
    pub(crate) end: Offset,
}

impl Fold for System {
    const STATE_VERSION: u32 = 1;

    fn apply(&mut self, offset: Offset, record: &Record) {
        self.end = offset + 1;
        match &record.body {
            Some(Body::Claim(claim)) => {
                let valid = self.scopes.claim(&claim.scope, offset, &record.author, claim);
                self.note(offset, record, &claim.scope, "claim", valid);
            }
            Some(Body::Renewal(renewal)) => self.renew(offset, record, renewal),
            Some(Body::Order(order)) => self.order_given(offset, record, order),
            Some(Body::OrderOutcome(outcome)) => self.order_ended(offset, record, outcome),
            Some(Body::Suspicion(suspicion)) => self.suspects.apply(offset, suspicion),
            Some(Body::Change(_) | Body::Intent(_) | Body::Answer(_) | Body::Checkpoint(_))
            | None => {}
        }
    }

    fn end(&self) -> Offset {
        self.end
    }

    fn encode(&self) -> Bytes {
        shape::system::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Self, CompactString> {
        shape::system::decode(bytes)
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

    /// All scopes that are held, with their holders.
    pub fn holders(&self) -> impl Iterator<Item = (&CompactString, &Holder)> {
        self.scopes.iter()
    }

    /// The valid orders to a target in offset order: all open ones and the last closed ones.
    pub fn orders(&self, target: &str) -> impl Iterator<Item = &OrderEntry> {
        let offsets = self.by_target.get(target).into_iter().flatten();
        offsets.filter_map(|offset| self.order(*offset))
    }

    /// The orders to a target that have no outcome yet, in offset order.
    pub fn open_orders(&self, target: &str) -> impl Iterator<Item = &OrderEntry> {
        self.orders(target).filter(|order| order.outcome.is_none())
    }

    /// The valid order at an offset.
    pub fn order(&self, offset: Offset) -> Option<&OrderEntry> {
        self.orders.get(&offset).map(|order| &**order)
    }

    /// What is known of a request's fingerprint.
    pub fn suspect(&self, fingerprint: u64) -> Option<&Suspect> {
        self.suspects.get(fingerprint)
    }

    /// All fingerprints that crashed a target and have not been cleared since.
    pub fn suspects(&self) -> impl Iterator<Item = (u64, &Suspect)> {
        self.suspects.iter()
    }

    /// Recent claims, orders and outcomes, oldest first, void ones among them.
    pub fn audit(&self) -> impl Iterator<Item = &AuditEntry> {
        self.acts.iter().map(|act| &**act)
    }

    fn renew(&mut self, offset: Offset, record: &Record, renewal: &Renewal) {
        let valid = self.scopes.renew(&renewal.scope, offset, &record.author, renewal);
        if renewal.release || !valid {
            let what = if renewal.release { "release" } else { "renewal" };
            self.note(offset, record, &renewal.scope, what, valid);
        }
    }

    fn order_given(&mut self, offset: Offset, record: &Record, order: &Order) {
        let valid = self.scopes.act(&order.scope, offset, &record.author, order.claim);
        let valid = valid && order.kind.is_some();
        self.note(offset, record, &order.target, &describe(order.kind.as_ref()), valid);
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
        self.bound_targets();
    }

    pub(crate) fn restore_order(&mut self, entry: OrderEntry) {
        let target = entry.target.clone();
        self.by_target.entry(target).or_default().push_back(entry.offset);
        self.orders.insert(entry.offset, Arc::new(entry));
    }

    /// Records the first outcome of an order; a second one is a repetition after a lost reply.
    fn order_ended(&mut self, offset: Offset, record: &Record, outcome: &OrderOutcome) {
        let open = self.order(outcome.order);
        let open = open.is_some_and(|o| o.target == outcome.target && o.outcome.is_none());
        let what = if outcome.failure.is_empty() { "done" } else { outcome.failure.as_str() };
        self.note(offset, record, &outcome.target, what, open);
        if !open {
            return;
        }
        if let Some(entry) = self.orders.get_mut(&outcome.order) {
            let failure = outcome.failure.as_str().into();
            Arc::make_mut(entry).outcome = Some(Outcome { offset, failure });
        }
        self.bound_orders(&outcome.target);
    }

    /// Forgets a target's oldest closed orders beyond the bound.
    fn bound_orders(&mut self, target: &str) {
        let Some(offsets) = self.by_target.get_mut(target) else { return };
        let orders = &mut self.orders;
        let closed = |orders: &OrdMap<Offset, Arc<OrderEntry>>, offset: &Offset| {
            orders.get(offset).is_some_and(|order| order.outcome.is_some())
        };
        while offsets.iter().filter(|o| closed(orders, o)).count() > CLOSED_ORDERS_KEPT {
            let Some(place) = offsets.iter().position(|o| closed(orders, o)) else { return };
            let offset = offsets.remove(place);
            orders.remove(&offset);
        }
    }

    /// Forgets the target that had no order for longest beyond the bound.
    fn bound_targets(&mut self) {
        if self.by_target.len() <= TARGETS_KEPT {
            return;
        }
        let oldest = self.by_target.iter().min_by_key(|(_, offsets)| offsets.last().copied());
        let Some(target) = oldest.map(|(target, _)| target.clone()) else { return };
        for offset in self.by_target.remove(&target).into_iter().flatten() {
            self.orders.remove(&offset);
        }
    }

    fn note(&mut self, offset: Offset, record: &Record, subject: &str, what: &str, valid: bool) {
        self.acts.push_back(Arc::new(AuditEntry {
            offset,
            author: record.author.as_str().into(),
            written_ms: record.written_ms,
            subject: subject.into(),
            what: what.into(),
            valid,
        }));
        if self.acts.len() > ACTS_KEPT {
            self.acts.pop_front();
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
