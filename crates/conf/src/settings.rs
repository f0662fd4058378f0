//! The settings that a process reads at its start.

use crate::{Error, Name, Result};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The addresses of the platform's services and the timeout of calls to them.
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
    /// The timeout of one call.
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
    /// The address that callers connect to, `host:port`.
    pub callers: CompactString,
    /// The address that operators connect to, `host:port`; empty for none.
    pub admin: CompactString,
    /// The secret shared by all processes of the fleet.
    pub peer_key: CompactString,
    /// SHA-256 of the operators' bearer token in hexadecimal.
    pub admin_token_sha256: CompactString,
    /// Addresses of agents to fetch the state from when the log is unavailable.
    pub peers: Vec<CompactString>,
    /// The platform's services.
    pub platform: Platform,
    /// The maximum time that a stop waits for requests in flight.
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

/// The kind of target that an agent serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backend {
    /// A language-model engine.
    #[default]
    Engine,
    /// An instance of a plain service.
    Service,
}

/// The settings of an agent.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Agent {
    /// The process's name, unique in the fleet.
    pub name: Name,
    /// The name of its Target resource.
    pub target: Name,
    /// The failure domain of its VM.
    pub domain: CompactString,
    /// The address that entries connect to, `host:port`.
    pub peers_listen: CompactString,
    /// The address that metrics are read from, `host:port`; empty for none.
    pub metrics: CompactString,
    /// The kind of the target: `engine` or `service`.
    pub backend: Backend,
    /// The target's own address, `host:port`.
    pub target_address: CompactString,
    /// The secret shared by all processes of the fleet.
    pub peer_key: CompactString,
    /// Addresses of other agents to fetch the state from when the log is unavailable.
    pub peers: Vec<CompactString>,
    /// The platform's services.
    pub platform: Platform,
    /// The maximum time that a stop waits for requests in flight.
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
            backend: Backend::default(),
            target_address: CompactString::const_new("127.0.0.1:6001"),
            peer_key: CompactString::default(),
            peers: Vec::new(),
            platform: Platform::default(),
            drain: Duration::from_secs(120),
        }
    }
}

impl Entry {
    /// Parses the settings and validates them.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = crate::check::parse(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates the values, also against each other.
    pub fn check(&self) -> Result<()> {
        crate::resource::check_name("name", &self.name)?;
        crate::resource::check_name("domain", &self.domain)?;
        check_address("callers", &self.callers)?;
        if !self.admin.is_empty() {
            check_address("admin", &self.admin)?;
            check_admin(&self.admin, &self.admin_token_sha256)?;
        }
        check_peer_key(&self.peer_key, &self.callers)?;
        check_peers(&self.peers)?;
        self.platform.check()
    }
}

impl Agent {
    /// Parses the settings and validates them.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = crate::check::parse(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates the values, also against each other.
    pub fn check(&self) -> Result<()> {
        crate::resource::check_name("name", &self.name)?;
        crate::resource::check_name("target", &self.target)?;
        crate::resource::check_name("domain", &self.domain)?;
        check_address("peers_listen", &self.peers_listen)?;
        if !self.metrics.is_empty() {
            check_address("metrics", &self.metrics)?;
        }
        check_address("target_address", &self.target_address)?;
        check_peer_key(&self.peer_key, &self.peers_listen)?;
        check_peers(&self.peers)?;
        self.platform.check()
    }
}

impl Platform {
    fn check(&self) -> Result<()> {
        check_address("platform.log", &self.log)?;
        check_address("platform.weights", &self.weights)?;
        check_address("platform.vms", &self.vms)?;
        if self.timeout.is_zero() {
            return Err(Error::invalid("platform.timeout_ms", "a call needs some time"));
        }
        Ok(())
    }
}

/// Checks that an address has an IP number, so that connections between processes do not depend on
/// a name service.
fn check_address(path: &str, address: &str) -> Result<SocketAddr> {
    address.parse().map_err(|_| {
        let detail = format!("`{address}` is no IP number and port, such as 10.0.0.1:7001");
        Error::invalid(path, detail)
    })
}

fn check_peers(peers: &[CompactString]) -> Result<()> {
    peers
        .iter()
        .enumerate()
        .try_for_each(|(index, peer)| check_address(&format!("peers[{index}]"), peer).map(drop))
}

/// Checks that there is a key, unless the process listens on loopback. Without a key, anyone who
/// can connect to a peer port could run requests past all limits and read answers.
fn check_peer_key(key: &str, listens: &str) -> Result<()> {
    if key.is_empty() && !is_loopback(listens) {
        let detail = format!(
            "a process at {listens} needs the fleet's key; only on loopback may it be empty"
        );
        return Err(Error::invalid("peer_key", detail));
    }
    Ok(())
}

/// Checks that there is a token unless the address is on loopback. Without a token, anyone who can
/// connect to the port could change resources.
fn check_admin(address: &str, digest: &str) -> Result<()> {
    const PATH: &str = "admin_token_sha256";
    if digest.is_empty() && !is_loopback(address) {
        let detail =
            format!("operators at {address} need a token; only on loopback may it be empty");
        return Err(Error::invalid(PATH, detail));
    }
    if !digest.is_empty() {
        crate::resource::check_digest(PATH, digest)?;
    }
    Ok(())
}

/// Whether an address can be reached only from the same machine.
pub fn is_loopback(address: &str) -> bool {
    address.parse::<SocketAddr>().map(|socket| socket.ip()).is_ok_and(|ip: IpAddr| ip.is_loopback())
}
