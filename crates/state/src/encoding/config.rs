//! The encoding of the folded `config` stream.

use crate::config::{AuditEntry, Config, Entry, Refusal};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use conf::{Kind, Resource};
use plat::Offset;
use prost::Message;
use std::sync::Arc;

#[derive(Clone, PartialEq, prost::Message)]
struct ConfigMessage {
    #[prost(uint64, tag = "1")]
    end: Offset,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<EntryMessage>,
    #[prost(message, repeated, tag = "3")]
    audit: Vec<AuditEntryMessage>,
    #[prost(message, repeated, tag = "4")]
    deleted: Vec<DeletedMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct DeletedMessage {
    #[prost(string, tag = "1")]
    kind: String,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(uint64, tag = "3")]
    offset: Offset,
    #[prost(uint64, tag = "4")]
    generation: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EntryMessage {
    #[prost(string, tag = "1")]
    kind: String,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(string, tag = "3")]
    spec: String,
    #[prost(uint64, tag = "4")]
    generation: u64,
    #[prost(uint64, tag = "5")]
    offset: Offset,
    #[prost(string, tag = "6")]
    author: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AuditEntryMessage {
    #[prost(uint64, tag = "1")]
    offset: Offset,
    #[prost(fixed64, tag = "2")]
    id: u64,
    #[prost(string, tag = "3")]
    author: String,
    #[prost(uint64, tag = "4")]
    written_ms: u64,
    #[prost(string, tag = "5")]
    kind: String,
    #[prost(string, tag = "6")]
    name: String,
    #[prost(string, optional, tag = "7")]
    before: Option<String>,
    #[prost(string, optional, tag = "8")]
    after: Option<String>,
    #[prost(uint64, tag = "9")]
    generation: u64,
    #[prost(string, optional, tag = "10")]
    refused: Option<String>,
    #[prost(bool, tag = "11")]
    conflict: bool,
}

pub(crate) fn encode(config: &Config) -> Bytes {
    let deleted =
        config.deleted.iter().map(|((kind, name), (offset, generation))| DeletedMessage {
            kind: kind.name().to_owned(),
            name: name.to_string(),
            offset: *offset,
            generation: *generation,
        });
    let message = ConfigMessage {
        end: config.end,
        entries: config.entries.values().map(|entry| encode_entry(entry)).collect(),
        audit: config.audit.iter().map(|audit| encode_audit_entry(audit)).collect(),
        deleted: deleted.collect(),
    };
    message.encode_to_vec().into()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Config, CompactString> {
    let message: ConfigMessage = super::decode_message(bytes)?;
    let mut config = Config { end: message.end, ..Config::default() };
    for entry in message.entries {
        config.insert_entry(decode_entry(entry)?);
    }
    for deleted in message.deleted {
        let kind = Kind::from_name(&deleted.kind).map_err(|error| format_compact!("{error}"))?;
        let last = (deleted.offset, deleted.generation);
        config.deleted.insert((kind, deleted.name.into()), last);
    }
    config.audit = message.audit.into_iter().map(decode_audit_entry).collect();
    Ok(config)
}

fn encode_entry(entry: &Entry) -> EntryMessage {
    EntryMessage {
        kind: entry.resource.kind.name().to_owned(),
        name: entry.resource.name.to_string(),
        spec: entry.resource.spec.to_string(),
        generation: entry.generation,
        offset: entry.offset,
        author: entry.author.clone(),
    }
}

fn decode_entry(message: EntryMessage) -> Result<Entry, CompactString> {
    let invalid = |detail: &dyn std::fmt::Display| format_compact!("{}: {detail}", message.name);
    let kind = Kind::from_name(&message.kind).map_err(|error| invalid(&error))?;
    let spec = serde_json::from_str(&message.spec).map_err(|error| invalid(&error))?;
    let resource = Resource { kind, name: message.name.as_str().into(), spec };
    let spec = resource.check().map_err(|error| invalid(&error))?;
    let EntryMessage { generation, offset, author, .. } = message;
    Ok(Entry { resource, spec, generation, offset, author })
}

fn encode_audit_entry(audit: &AuditEntry) -> AuditEntryMessage {
    AuditEntryMessage {
        offset: audit.offset,
        id: audit.id,
        author: audit.author.clone(),
        written_ms: audit.written_ms,
        kind: audit.kind.clone(),
        name: audit.name.clone(),
        before: audit.before.clone(),
        after: audit.after.clone(),
        generation: audit.outcome.as_ref().copied().unwrap_or_default(),
        refused: audit.outcome.as_ref().err().map(ToString::to_string),
        conflict: matches!(audit.outcome, Err(Refusal::Conflict(_))),
    }
}

fn decode_audit_entry(message: AuditEntryMessage) -> Arc<AuditEntry> {
    let refusal = |detail| match message.conflict {
        true => Refusal::Conflict(detail),
        false => Refusal::Invalid(detail),
    };
    Arc::new(AuditEntry {
        offset: message.offset,
        id: message.id,
        author: message.author,
        written_ms: message.written_ms,
        kind: message.kind,
        name: message.name,
        before: message.before,
        after: message.after,
        outcome: message.refused.map_or(Ok(message.generation), |detail| Err(refusal(detail))),
    })
}
