//! What a process is told at its start.

use crate::Name;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Where the platform's services are, and how long to wait for them.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// The log service's address, `host:port`.
    pub log: CompactString,
    /// The weight store's address, `host:port`.
    pub weights: CompactString,
    /// The address of the list of VMs, `host:port`.
    pub vms: CompactString,
    /// How long one call may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            log: CompactString::const_new("127.0.0.1:9001"),
            weights: CompactString::const_new("127.0.0.1:9002"),
            vms: CompactString::const_new("127.0.0.1:9003"),
            timeout: Duration::from_secs(5),
        }
    }
}

/// The settings of an entry.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entry {
    /// The process's name, unique in the fleet.
    pub name: Name,
    /// The failure domain of its VM.
    pub domain: CompactString,
    /// Where callers connect, `host:port`.
    pub callers: CompactString,
    /// Where operators connect, `host:port`.
    pub admin: CompactString,
    /// The secret shared by all processes of the fleet.
    pub peer_key: CompactString,
    /// SHA-256 of the operators' bearer token in hexadecimal.
    pub admin_token_sha256: CompactString,
    /// Addresses of agents to fetch the state from when the log is out.
    pub peers: Vec<CompactString>,
    /// The platform.
    pub platform: Platform,
    /// How long a stop may wait for requests in flight.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_ms")]
    pub drain: Duration,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            name: CompactString::const_new("entry-1"),
            domain: CompactString::const_new("domain-1"),
            callers: CompactString::const_new("127.0.0.1:8080"),
            admin: CompactString::const_new("127.0.0.1:8081"),
            peer_key: CompactString::default(),
            admin_token_sha256: CompactString::default(),
            peers: Vec::new(),
            platform: Platform::default(),
            drain: Duration::from_secs(120),
        }
    }
}

/// The settings of an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Agent {
    /// The process's name, unique in the fleet.
    pub name: Name,
    /// The Target resource that it stands beside.
    pub target: Name,
    /// The failure domain of its VM.
    pub domain: CompactString,
    /// Where entries connect, `host:port`.
    pub peers_listen: CompactString,
    /// Where metrics are read, `host:port`.
    pub metrics: CompactString,
    /// The target's own address, `host:port`.
    pub target_address: CompactString,
    /// The secret shared by all processes of the fleet.
    pub peer_key: CompactString,
    /// Addresses of other agents to fetch the state from when the log is out.
    pub peers: Vec<CompactString>,
    /// The platform.
    pub platform: Platform,
    /// How long a stop may wait for requests in flight.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_ms")]
    pub drain: Duration,
}

impl Default for Agent {
    fn default() -> Self {
        Self {
            name: CompactString::const_new("agent-1"),
            target: CompactString::const_new("target-1"),
            domain: CompactString::const_new("domain-1"),
            peers_listen: CompactString::const_new("127.0.0.1:7001"),
            metrics: CompactString::const_new("127.0.0.1:7002"),
            target_address: CompactString::const_new("127.0.0.1:6001"),
            peer_key: CompactString::default(),
            peers: Vec::new(),
            platform: Platform::default(),
            drain: Duration::from_secs(120),
        }
    }
}
