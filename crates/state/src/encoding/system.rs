//! The encoding of the folded `system` stream.

use super::scopes::{self, HolderMessage};
use crate::record::{Order, Suspicion};
use crate::suspects::Crash;
use crate::system::{AuditEntry, OrderEntry, Outcome, System};
use bytes::Bytes;
use compact_str::CompactString;
use plat::Offset;
use prost::Message;
use std::sync::Arc;

#[derive(Clone, PartialEq, prost::Message)]
struct SystemMessage {
    #[prost(uint64, tag = "1")]
    end: Offset,
    #[prost(message, repeated, tag = "2")]
    holders: Vec<HolderMessage>,
    #[prost(message, repeated, tag = "3")]
    orders: Vec<OrderMessage>,
    #[prost(message, repeated, tag = "4")]
    suspects: Vec<SuspectMessage>,
    #[prost(message, repeated, tag = "5")]
    audit: Vec<AuditEntryMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OrderMessage {
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
struct SuspectMessage {
    #[prost(fixed64, tag = "1")]
    fingerprint: u64,
    #[prost(uint64, tag = "2")]
    last: Offset,
    #[prost(message, repeated, tag = "3")]
    crashes: Vec<Suspicion>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AuditEntryMessage {
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
        SuspectMessage { fingerprint: *fingerprint, last: suspect.last, crashes: crashes.collect() }
    });
    let message = SystemMessage {
        end: system.end,
        holders: scopes::encode(&system.scopes),
        orders: system.orders.values().map(|order| encode_order(order)).collect(),
        suspects: suspects.collect(),
        audit: system.audit.iter().map(|entry| encode_audit_entry(entry)).collect(),
    };
    message.encode_to_vec().into()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<System, CompactString> {
    let message: SystemMessage = super::decode_message(bytes)?;
    let mut system = System {
        scopes: scopes::decode(message.holders),
        audit: message.audit.into_iter().map(decode_audit_entry).collect(),
        end: message.end,
        ..System::default()
    };
    for order in message.orders {
        system.restore_order(decode_order(order)?);
    }
    for suspect in message.suspects {
        let restored = system.suspects.by_fingerprint.entry(suspect.fingerprint).or_default();
        restored.last = suspect.last;
        restored.crashes = suspect.crashes.into_iter().map(decode_crash).collect();
    }
    Ok(system)
}

fn encode_order(order: &OrderEntry) -> OrderMessage {
    OrderMessage {
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

fn decode_order(message: OrderMessage) -> Result<OrderEntry, CompactString> {
    let missing = || CompactString::const_new("an order without its content");
    let order = message.order.ok_or_else(missing)?;
    let failure = CompactString::from(message.failure);
    Ok(OrderEntry {
        offset: message.offset,
        scope: order.scope.into(),
        author: message.author.into(),
        target: order.target.into(),
        kind: order.kind.ok_or_else(missing)?,
        outcome: message.ended.map(|offset| Outcome { offset, failure }),
    })
}

fn encode_crash(fingerprint: u64, crash: &Crash) -> Suspicion {
    let Crash { target, incarnation, alone, cleared } = crash;
    let target = target.to_string();
    Suspicion { fingerprint, target, incarnation: *incarnation, alone: *alone, cleared: *cleared }
}

fn decode_crash(message: Suspicion) -> Crash {
    let Suspicion { target, incarnation, alone, cleared, .. } = message;
    Crash { target: target.into(), incarnation, alone, cleared }
}

fn encode_audit_entry(entry: &AuditEntry) -> AuditEntryMessage {
    AuditEntryMessage {
        offset: entry.offset,
        author: entry.author.to_string(),
        written_ms: entry.written_ms,
        subject: entry.subject.to_string(),
        what: entry.what.to_string(),
        valid: entry.valid,
    }
}

fn decode_audit_entry(message: AuditEntryMessage) -> Arc<AuditEntry> {
    Arc::new(AuditEntry {
        offset: message.offset,
        author: message.author.into(),
        written_ms: message.written_ms,
        subject: message.subject.into(),
        what: message.what.into(),
        valid: message.valid,
    })
}
