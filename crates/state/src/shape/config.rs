//! The folded `config` stream as a message.

use crate::config::{AuditEntry, Config, Entry, Refusal};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use conf::{Kind, Resource};
use plat::Offset;
use prost::Message;
use std::sync::Arc;

#[derive(Clone, PartialEq, prost::Message)]
struct ConfigShape {
    #[prost(uint64, tag = "1")]
    end: Offset,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<EntryShape>,
    #[prost(message, repeated, tag = "3")]
    audit: Vec<AuditShape>,
    #[prost(message, repeated, tag = "4")]
    deleted: Vec<DeletedShape>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct DeletedShape {
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
struct EntryShape {
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
struct AuditShape {
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
    let deleted = config.deleted.iter().map(|((kind, name), (offset, generation))| DeletedShape {
        kind: kind.name().to_owned(),
        name: name.to_string(),
        offset: *offset,
        generation: *generation,
    });
    let shape = ConfigShape {
        end: config.end,
        entries: config.entries.values().map(|entry| encode_entry(entry)).collect(),
        audit: config.audit.iter().map(|audit| encode_audit(audit)).collect(),
        deleted: deleted.collect(),
    };
    shape.encode_to_vec().into()
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Config, CompactString> {
    let shape: ConfigShape = super::message(bytes)?;
    let mut config = Config { end: shape.end, ..Config::default() };
    for entry in shape.entries {
        config.put(decode_entry(entry)?);
    }
    for deleted in shape.deleted {
        let kind = Kind::from_name(&deleted.kind).map_err(|error| format_compact!("{error}"))?;
        let last = (deleted.offset, deleted.generation);
        config.deleted.insert((kind, deleted.name.into()), last);
    }
    config.audit = shape.audit.into_iter().map(decode_audit).collect();
    Ok(config)
}

fn encode_entry(entry: &Entry) -> EntryShape {
    EntryShape {
        kind: entry.resource.kind.name().to_owned(),
        name: entry.resource.name.to_string(),
        spec: entry.resource.spec.to_string(),
        generation: entry.generation,
        offset: entry.offset,
        author: entry.author.clone(),
    }
}

fn decode_entry(shape: EntryShape) -> Result<Entry, CompactString> {
    let wrong = |detail: &dyn std::fmt::Display| format_compact!("{}: {detail}", shape.name);
    let kind = Kind::from_name(&shape.kind).map_err(|error| wrong(&error))?;
    let spec = serde_json::from_str(&shape.spec).map_err(|error| wrong(&error))?;
    let resource = Resource { kind, name: shape.name.as_str().into(), spec };
    let spec = resource.check().map_err(|error| wrong(&error))?;
    let EntryShape { generation, offset, author, .. } = shape;
    Ok(Entry { resource, spec, generation, offset, author })
}

fn encode_audit(audit: &AuditEntry) -> AuditShape {
    AuditShape {
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

fn decode_audit(shape: AuditShape) -> Arc<AuditEntry> {
    let refusal = |detail| match shape.conflict {
        true => Refusal::Conflict(detail),
        false => Refusal::Invalid(detail),
    };
    Arc::new(AuditEntry {
        offset: shape.offset,
        id: shape.id,
        author: shape.author,
        written_ms: shape.written_ms,
        kind: shape.kind,
        name: shape.name,
        before: shape.before,
        after: shape.after,
        outcome: shape.refused.map_or(Ok(shape.generation), |detail| Err(refusal(detail))),
    })
}
