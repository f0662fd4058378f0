//! The bodies of the administration API.

use compact_str::CompactString;
use conf::{Generation, Kind, Name};
use plat::Offset;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A resource with its status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: Name,
    /// The desired state, as the operator wrote it.
    pub spec: Value,
    /// The number of its accepted changes.
    pub generation: Generation,
    /// Offset of the last accepted change.
    pub offset: Offset,
    /// The operator or process that made the change.
    pub author: CompactString,
    /// How far it is in effect.
    pub status: Status,
}

/// How far a resource is in effect in the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The newest generation that all processes have applied; 0 while one is lagging.
    pub observed_generation: Generation,
    /// Processes that have not applied its last change, or have not reported recently.
    pub lagging: Vec<CompactString>,
    /// The conditions, met or not.
    pub conditions: Vec<Condition>,
}

/// A condition of a resource, which may be met or not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// The condition's name: `in-force` or `ready`.
    pub name: CompactString,
    /// Whether the condition is met.
    pub met: bool,
    /// Why it is not met, in words for operators.
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

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The log's stream: `config` for operators, `system` for processes.
    pub stream: CompactString,
    /// The record's offset in it.
    pub offset: Offset,
    /// Time by the author's clock, in Unix milliseconds.
    pub at_ms: u64,
    /// The operator or process that wrote the record.
    pub author: CompactString,
    /// The resource, target or scope that it concerns.
    pub subject: CompactString,
    /// The operation.
    pub what: String,
    /// `accepted`, or the reason why it was not.
    pub outcome: String,
    /// The spec before the change, for changes of resources.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The requested spec, for changes of resources.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// A section of the audit trail.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Audit {
    /// The entries, those of each stream in its order.
    #[serde(rename = "acts")]
    pub entries: Vec<AuditEntry>,
    /// The offset in the `config` stream from which to continue reading.
    pub config_end: Offset,
    /// The offset in the `system` stream from which to continue reading.
    pub system_end: Offset,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Its offset in the log, which is its fencing token.
    pub offset: Offset,
    /// The target that is to execute it.
    pub target: CompactString,
    /// The operation.
    pub what: String,
    /// The process that issued it.
    pub author: CompactString,
    /// `open`, `in force`, or the reason why it failed.
    pub outcome: String,
}

/// The lease of a scope by a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// The scope, such as `planner/main`.
    pub scope: CompactString,
    /// The process that holds it.
    pub holder: CompactString,
    /// Offset of the claim by which it was acquired.
    pub claim: Offset,
    /// Offset of the holder's last record.
    pub last: Offset,
    /// How long the holder may act after that record, in milliseconds.
    pub lease_ms: u64,
}

/// A process of the fleet, as it last reported to this entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// `entry` or `agent`.
    #[serde(rename = "sort")]
    pub kind: CompactString,
    /// The entry's name, or the name of the agent's target.
    pub name: CompactString,
    /// The offset up to which it has applied the `config` stream; none if it has not reported.
    pub config_offset: Option<Offset>,
    /// Age of that report, in milliseconds.
    pub age_ms: Option<u64>,
    /// Whether the target accepts new work.
    pub accepting: bool,
    /// The engine's current role.
    pub role: CompactString,
    /// Requests that run at the target.
    pub running: u32,
    /// Requests that wait for the target.
    pub waiting: u32,
}

/// The fleet as this entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The entry that serves the response.
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
    /// The steps of its routing and execution in order, one line each.
    pub lines: Vec<String>,
}

/// RFC 9457 problem details.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Details {
    /// A URN that identifies the problem.
    #[serde(rename = "type")]
    pub uri: String,
    /// The problem's stable name.
    pub title: CompactString,
    /// The HTTP status.
    pub status: u16,
    /// An explanation for operators.
    pub detail: String,
    /// The path of the invalid field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<CompactString>,
}
