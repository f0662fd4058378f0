//! The messages in which entries exchange which of them are alive, see
//! [`crate::exchange::membership`].

use policy::membership::{Node, Status, Update};
use prost::Message;
use std::net::{IpAddr, SocketAddr};

/// One exchange about the membership.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipMessage {
    /// What the sender knows of some entries, itself first.
    #[prost(message, repeated, tag = "1")]
    pub updates: Vec<MemberUpdate>,
    /// A hash of all that the sender knows.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// What the recipient is to do.
    #[prost(oneof = "Action", tags = "3, 4, 5, 6, 7")]
    pub action: Option<Action>,
}

/// What the recipient of a [`MembershipMessage`] is to do.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Action {
    /// Acknowledge a probe.
    #[prost(message, tag = "3")]
    Probe(ProbeId),
    /// Nothing: its probe arrived.
    #[prost(message, tag = "4")]
    Acknowledge(ProbeId),
    /// Probe another entry for the sender.
    #[prost(message, tag = "5")]
    ProbeThrough(ProbeThrough),
    /// Send a page of all entries.
    #[prost(message, tag = "6")]
    PageRequest(PageRequest),
    /// Request the next page, if there is one.
    #[prost(message, tag = "7")]
    Page(Page),
}

/// Identifies a probe.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ProbeId {
    /// A number chosen by the entry that probes.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The address of the entry that probes, if another one passes its probe on.
    #[prost(message, optional, tag = "2")]
    pub origin: Option<Address>,
}

/// A request to probe an entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ProbeThrough {
    /// The number of the probe.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The entry to be probed.
    #[prost(message, optional, tag = "2")]
    pub target: Option<Address>,
}

/// A request for entries, in the order of their hashes.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PageRequest {
    /// The hash after which the page starts.
    #[prost(fixed64, tag = "1")]
    pub after: u64,
}

/// A page of entries.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Page {
    /// The hash after which the next page starts; none after the last page.
    #[prost(fixed64, optional, tag = "1")]
    pub next: Option<u64>,
}

/// An address and port.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Address {
    /// The address, if it is of IPv4; its first byte is the most significant one.
    #[prost(fixed32, tag = "1")]
    pub v4: u32,
    /// The upper half of an IPv6 address.
    #[prost(fixed64, tag = "2")]
    pub v6_upper: u64,
    /// The lower half of an IPv6 address.
    #[prost(fixed64, tag = "3")]
    pub v6_lower: u64,
    /// The port for datagrams.
    #[prost(uint32, tag = "4")]
    pub port: u32,
}

/// What is known of one entry.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct MemberUpdate {
    /// The hash of its name.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Where it receives datagrams.
    #[prost(message, optional, tag = "2")]
    pub address: Option<Address>,
    /// The rate of its VM's link in bytes per second.
    #[prost(float, tag = "3")]
    pub link_rate: f32,
    /// The incarnation that the status belongs to.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// What is known of that incarnation.
    #[prost(enumeration = "WireStatus", tag = "5")]
    pub status: i32,
    /// The hash of its failure domain.
    #[prost(fixed64, tag = "6")]
    pub domain: u64,
}

/// The status of an entry in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum WireStatus {
    /// Not known to this build.
    Unknown = 0,
    /// It is alive.
    Alive = 1,
    /// It acknowledged no probe.
    Suspect = 2,
    /// It refuted no suspicion.
    Dead = 3,
    /// It stopped as planned.
    Left = 4,
}

impl Address {
    /// Encodes an address.
    pub fn new(address: SocketAddr) -> Self {
        let port = address.port().into();
        match address.ip() {
            IpAddr::V4(ip) => Self { v4: ip.into(), port, ..Self::default() },
            IpAddr::V6(ip) => {
                let (v6_upper, v6_lower) = halves(ip.into());
                Self { v4: 0, v6_upper, v6_lower, port }
            }
        }
    }

    /// Decodes the address; `None` if the port is out of range.
    pub fn socket_address(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok()?;
        let v6 = u128::from(self.v6_upper) << 64 | u128::from(self.v6_lower);
        let ip = if v6 == 0 { IpAddr::V4(self.v4.into()) } else { IpAddr::V6(v6.into()) };
        Some(SocketAddr::new(ip, port))
    }
}

fn halves(bits: u128) -> (u64, u64) {
    let [upper, lower] = [bits >> 64, bits & u128::from(u64::MAX)];
    (u64::try_from(upper).unwrap_or(u64::MAX), u64::try_from(lower).unwrap_or(u64::MAX))
}

impl MemberUpdate {
    /// Encodes an update.
    pub fn new(update: &Update) -> Self {
        let status = match update.status {
            Status::Alive => WireStatus::Alive,
            Status::Suspect => WireStatus::Suspect,
            Status::Dead => WireStatus::Dead,
            Status::Left => WireStatus::Left,
        };
        // Half of the precision is enough to compare links.
        #[expect(clippy::cast_possible_truncation, reason = "a rate needs few digits")]
        let link_rate = update.node.link_rate as f32;
        Self {
            key: update.node.key,
            domain: update.node.domain,
            address: Some(Address::new(update.node.address)),
            link_rate,
            incarnation: update.incarnation,
            status: status.into(),
        }
    }

    /// Decodes the update; `None` if it is of a newer build or holds no valid address.
    pub fn update(&self) -> Option<Update> {
        let status = match self.status() {
            WireStatus::Unknown => return None,
            WireStatus::Alive => Status::Alive,
            WireStatus::Suspect => Status::Suspect,
            WireStatus::Dead => Status::Dead,
            WireStatus::Left => Status::Left,
        };
        let address = self.address.and_then(|address| address.socket_address())?;
        let Self { key, domain, .. } = *self;
        let node = Node { key, domain, address, link_rate: self.link_rate.into() };
        Some(Update { node, incarnation: self.incarnation, status })
    }
}
