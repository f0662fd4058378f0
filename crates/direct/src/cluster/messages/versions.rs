//! The datagrams in which entries tell each other which software versions targets had lately, see
//! [`crate::exchange::version_history`].

use crate::targets::fleet::{VersionHistory, VersionRow};
use policy::Hash;
use policy::reservations::ReservationId;
use policy::versions::{MEMORY, Seen, Version};
use prost::Message;
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum number of versions in one datagram. A history with more of them is not sent, as a
/// version that is left out would count as absent.
const MAX_ROWS: usize = 48;

/// A request for what is known of software versions.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct VersionsRequest {
    /// The id by which the response is matched.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
}

/// Hands over the history of an entry that shuts down.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VersionsHandover {
    /// The incarnation of the recipient. Its successor has another list and must not merge this.
    #[prost(uint64, tag = "1")]
    pub recipient: u64,
    /// The history of the sender.
    #[prost(message, optional, tag = "2")]
    pub versions: Option<Versions>,
}

/// The software versions of all services, as columns of equal length.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Versions {
    /// For how long all versions are known, in milliseconds.
    #[prost(uint32, tag = "1")]
    pub span_ms: u32,
    /// The services, by the hashes of their names.
    #[prost(fixed64, repeated, tag = "2")]
    pub services: Vec<u64>,
    /// The versions.
    #[prost(fixed64, repeated, tag = "3")]
    pub versions: Vec<Version>,
    /// How long ago the last target of each was removed, in milliseconds; 0 if one is listed.
    #[prost(uint32, repeated, tag = "4")]
    pub ages_ms: Vec<u32>,
    /// The offset up to which the sender has seen the list of targets.
    #[prost(uint64, tag = "5")]
    pub end: u64,
    /// Whether streams may begin at each; earlier builds don't tell.
    #[prost(bool, repeated, tag = "6")]
    pub settled: Vec<bool>,
}

impl Versions {
    /// Encodes a history; `None` if it has too many versions.
    pub fn new(history: &VersionHistory) -> Option<Self> {
        if history.rows.len() > MAX_ROWS {
            return None;
        }
        let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        Some(Self {
            span_ms: ms(history.span),
            end: history.end,
            services: history.rows.iter().map(|row| row.service).collect(),
            versions: history.rows.iter().map(|row| row.seen.version).collect(),
            ages_ms: history.rows.iter().map(|row| ms(row.seen.age)).collect(),
            settled: history.rows.iter().map(|row| row.seen.settled).collect(),
        })
    }

    /// Returns the services, by the hashes of their names, each with its versions.
    pub fn set(&self) -> BTreeSet<(Hash, Version)> {
        self.services.iter().copied().zip(self.versions.iter().copied()).collect()
    }

    /// Decodes it; `None` if columns differ in length.
    pub fn history(&self) -> Option<VersionHistory> {
        let Self { span_ms, services, versions, ages_ms, end, settled } = self;
        if services.len() != versions.len() || services.len() != ages_ms.len() {
            return None;
        }
        let settled = settled.iter().copied().chain(std::iter::repeat(false));
        let rows = services.iter().zip(versions).zip(ages_ms).zip(settled);
        let row = |(((service, version), age_ms), settled): (((&u64, &Version), &u32), bool)| {
            let age = Duration::from_millis((*age_ms).into());
            let seen = Seen { version: *version, age, settled };
            VersionRow { service: *service, seen }
        };
        let span = Duration::from_millis((*span_ms).into()).min(MEMORY);
        Some(VersionHistory { span, end: *end, rows: rows.map(row).collect() })
    }
}
