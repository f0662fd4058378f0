//! The bodies of the administration API.

use compact_str::CompactString;
use conf::{Generation, Kind, Name};
use plat::Offset;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A resource with what has become of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: Name,
    /// What the operator wrote.
    pub spec: Value,
    /// Counts its accepted changes.
    pub generation: Generation,
    /// Offset of the last accepted change.
    pub offset: Offset,
    /// Who made it.
    pub author: CompactString,
    /// What has become of it.
    pub status: Status,
}

/// What has become of a resource.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The newest generation that all processes have applied; 0 while one lags.
    pub observed_generation: Generation,
    /// Processes that have not applied its last change, or were not heard.
    pub lagging: Vec<CompactString>,
    /// What is true of it.
    pub conditions: Vec<Condition>,
}

/// Something that is true of a resource, or not yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// What: `in-force`, `ready`, `drained`.
    pub name: CompactString,
    /// Whether it is true.
    pub met: bool,
    /// Why it isn't, for people.
    pub reason: String,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The change's offset.
    pub offset: Offset,
    /// The generation that the resource has now.
    pub generation: Generation,
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The log's stream: `config` for operators, `system` for processes.
    pub stream: CompactString,
    /// The record's offset in it.
    pub offset: Offset,
    /// When, by the author's clock, in Unix milliseconds.
    pub at_ms: u64,
    /// The operator or process.
    pub author: CompactString,
    /// The resource, target or scope.
    pub subject: CompactString,
    /// What was done.
    pub what: String,
    /// `accepted`, or why not.
    pub outcome: String,
    /// The spec before, if a resource was changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The spec asked for, if a resource was changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// A part of the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// What was done, each stream in its order.
    pub acts: Vec<AuditEntry>,
    /// Where to read on in the `config` stream.
    pub config_end: Offset,
    /// Where to read on in the `system` stream.
    pub system_end: Offset,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Its offset, which is its fencing number.
    pub offset: Offset,
    /// The target.
    pub target: CompactString,
    /// What to do.
    pub what: String,
    /// Who gave it.
    pub author: CompactString,
    /// `open`, `in force`, or why it isn't.
    pub outcome: String,
}

/// A scope that a process holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The scope, such as `planner/main`.
    pub scope: CompactString,
    /// The process.
    pub holder: CompactString,
    /// Offset of its claim.
    pub claim: Offset,
    /// Offset of its last record.
    pub last: Offset,
    /// How long it promises to act after that record, in milliseconds.
    pub lease_ms: u64,
}

/// A process of the fleet as this entry hears of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// `entry` or `agent`.
    pub sort: CompactString,
    /// The entry's name, or the name of the agent's target.
    pub name: CompactString,
    /// The offset up to which it has applied the `config` stream; none if it was not heard.
    pub config_offset: Option<Offset>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether the target takes new work.
    pub accepting: bool,
    /// The role that the engine has.
    pub role: CompactString,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// The fleet as this entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The entry that answers.
    pub entry: CompactString,
    /// The program's version.
    pub version: CompactString,
    /// The offset up to which it has applied the `config` stream.
    pub config_end: Offset,
    /// The offset up to which it has applied the `system` stream.
    pub system_end: Offset,
    /// All processes.
    pub members: Vec<Member>,
}

/// Where a request was sent and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request's id.
    pub request: CompactString,
    /// What was done with it, in order, one line a step.
    pub lines: Vec<String>,
}

/// RFC 9457 problem details.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Details {
    /// A URN that names the problem.
    #[serde(rename = "type")]
    pub uri: String,
    /// The problem's stable name.
    pub title: CompactString,
    /// The HTTP status.
    pub status: u16,
    /// More for a person to read.
    pub detail: String,
    /// The path of the field that is wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<CompactString>,
}
