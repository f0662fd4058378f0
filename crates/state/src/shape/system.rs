//! The folded `system` stream as a message.

use super::scopes::{self, HolderShape};
use crate::record::{Order, Suspicion};
use crate::suspects::Crash;
use crate::system::{AuditEntry, OrderEntry, Outcome, System};
use bytes::Bytes;
use compact_str::CompactString;
use plat::Offset;
use prost::Message;
use std::sync::Arc;

#[derive(Clone, PartialEq, prost::Message)]
struct SystemShape {
    #[prost(uint64, tag = "1")]
    end: Offset,
    #[prost(message, repeated, tag = "2")]
    holders: Vec<HolderShape>,
    #[prost(message, repeated, tag = "3")]
    orders: Vec<OrderShape>,
    #[prost(message, repeated, tag = "4")]
    suspects: Vec<SuspectShape>,
    #[prost(message, repeated, tag = "5")]
    acts: Vec<ActShape>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OrderShape {
    #[prost(uint64, tag = "1")]
    offset: Offset,
    #[prost(string, tag = "2")]
    author: String,
    #[prost(message, optional, tag = "3")]
    order: Option<Order>,
    #[prost(uint64, optional, tag = "4")]
    ended: Option<Offset>,
    #[prost(string, tag = "5")]
    failure: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SuspectShape {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(uint64, tag = "2")]
    last: Offset,
    #[prost(message, repeated, tag = "3")]
    crashes: Vec<Suspicion>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ActShape {
    #[prost(uint64, tag = "1")]
    offset: Offset,
    #[prost(string, tag = "2")]
    author: String,
    #[prost(uint64, tag = "3")]
    written_ms: u64,
    #[prost(string, tag = "4")]
    subject: String,
    #[prost(string, tag = "5")]
    what: String,
    #[prost(bool, tag = "6")]
    valid: bool,
}

pub(crate) fn encode(system: &System) -> Bytes {
    let suspects = system.suspects.by_fingerprint.iter().map(|(fingerprint, suspect)| {
        let crashes = suspect.crashes.iter().map(|crash| encode_crash(*fingerprint, crash));
        SuspectShape { fingerprint: *fingerprint, last: suspect.last, crashes: crashes.collect() }
    });
    let shape = SystemShape {
        end: system.end,
        holders: scopes::encode(&system.scopes),
        orders: system.orders.values().map(|order| encode_order(order)).collect(),
        suspects: suspects.collect(),
        acts: system.acts.iter().map(|act| encode_act(act)).collect(),
    };
    shape.encode_to_vec().into()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<System, CompactString> {
    let shape: SystemShape = super::message(bytes)?;
    let mut system = System {
        scopes: scopes::decode(shape.holders),
        acts: shape.acts.into_iter().map(decode_act).collect(),
        end: shape.end,
        ..System::default()
    };
    for order in shape.orders {
        system.restore_order(decode_order(order)?);
    }
    for suspect in shape.suspects {
        let known = system.suspects.by_fingerprint.entry(suspect.fingerprint).or_default();
        known.last = suspect.last;
        known.crashes = suspect.crashes.into_iter().map(decode_crash).collect();
    }
    Ok(system)
}

fn encode_order(order: &OrderEntry) -> OrderShape {
    OrderShape {
        offset: order.offset,
        author: order.author.to_string(),
        order: Some(Order {
            scope: order.scope.to_string(),
            claim: 0,
            target: order.target.to_string(),
            kind: Some(order.kind.clone()),
        }),
        ended: order.outcome.as_ref().map(|outcome| outcome.offset),
        failure: order.outcome.as_ref().map(|o| o.failure.to_string()).unwrap_or_default(),
    }
}

fn decode_order(shape: OrderShape) -> Result<OrderEntry, CompactString> {
    let missing = || CompactString::const_new("an order without its content");
    let order = shape.order.ok_or_else(missing)?;
    let failure = CompactString::from(shape.failure);
    Ok(OrderEntry {
        offset: shape.offset,
        scope: order.scope.into(),
        author: shape.author.into(),
        target: order.target.into(),
        kind: order.kind.ok_or_else(missing)?,
        outcome: shape.ended.map(|offset| Outcome { offset, failure }),
    })
}

fn encode_crash(fingerprint: u64, crash: &Crash) -> Suspicion {
    let Crash { target, incarnation, alone, cleared } = crash;
    let target = target.to_string();
    Suspicion { fingerprint, target, incarnation: *incarnation, alone: *alone, cleared: *cleared }
}

fn decode_crash(shape: Suspicion) -> Crash {
    let Suspicion { target, incarnation, alone, cleared, .. } = shape;
    Crash { target: target.into(), incarnation, alone, cleared }
}

fn encode_act(act: &AuditEntry) -> ActShape {
    ActShape {
        offset: act.offset,
        author: act.author.to_string(),
        written_ms: act.written_ms,
        subject: act.subject.to_string(),
        what: act.what.to_string(),
        valid: act.valid,
    }
}

fn decode_act(shape: ActShape) -> Arc<AuditEntry> {
    Arc::new(AuditEntry {
        offset: shape.offset,
        author: shape.author.into(),
        written_ms: shape.written_ms,
        subject: shape.subject.into(),
        what: shape.what.into(),
        valid: shape.valid,
    })
}
