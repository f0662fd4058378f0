//! The datagrams in which entries tell each other at which software version streams began, see
//! [`crate::exchange::origins`].

use crate::cluster::origins::{Origin, StreamKey};
use policy::reservations::ReservationId;
use policy::versions::Version;
use prost::Message;
use std::time::Duration;

/// Where streams began, as columns of equal length.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamOrigins {
    /// The streams.
    #[prost(fixed64, repeated, tag = "1")]
    pub streams: Vec<StreamKey>,
    /// The versions.
    #[prost(fixed64, repeated, tag = "2")]
    pub versions: Vec<Version>,
    /// For how much longer each may be taken up, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ttls_ms: Vec<u32>,
}

impl StreamOrigins {
    /// Encodes the origins of streams.
    pub fn new(rows: &[Origin]) -> Self {
        let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        Self {
            streams: rows.iter().map(|row| row.stream).collect(),
            versions: rows.iter().map(|row| row.version).collect(),
            ttls_ms: rows.iter().map(|row| ms(row.ttl)).collect(),
        }
    }

    /// Decodes them; rows that lack a column are left out.
    pub fn rows(&self) -> impl Iterator<Item = Origin> + '_ {
        let columns = self.streams.iter().zip(&self.versions).zip(&self.ttls_ms);
        columns.map(|((stream, version), ttl_ms)| {
            let ttl = Duration::from_millis(u64::from(*ttl_ms));
            Origin { stream: *stream, version: *version, ttl }
        })
    }
}

/// A request for the version at which a stream began.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct OriginRequest {
    /// The id by which the response is matched.
    #[prost(fixed64, tag = "1")]
    pub reservation: ReservationId,
    /// The stream; none if its caller doesn't name it.
    #[prost(fixed64, optional, tag = "2")]
    pub stream: Option<StreamKey>,
    /// The service.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// How long ago the stream may have begun, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub max_age_ms: u32,
}

/// What an entry knows of the origin of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct OriginAnswer {
    /// The version at which it began.
    #[prost(fixed64, optional, tag = "1")]
    pub version: Option<Version>,
    /// The only version that the service's targets had since it may have begun.
    #[prost(fixed64, optional, tag = "2")]
    pub sole_version: Option<Version>,
    /// Whether the entry's list of targets is up to date.
    #[prost(bool, tag = "3")]
    pub is_current: bool,
}
