//! The software versions at which streams began, as far as this entry knows: for those that it
//! forwards, and for those that it holds for other entries, see [`policy::holders`].
//!
//! Kept in memory, for as long as a caller may take the stream up.

use crate::cluster::groups::Member;
use crate::cluster::messages::StreamOrigins;
use policy::Hash;
use policy::holders::{ASKED, Holder, Ring};
use policy::versions::{MEMORY, Version};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Identifies a stream: the hash of its service and of the attempt that brought its first event.
pub type StreamKey = Hash;

/// The maximum number of streams that are known. Of more, the latest ones are kept.
const MAX_STREAMS: usize = 65_536;

/// The maximum number of streams in one datagram.
const MAX_ROWS: usize = 48;

/// The version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub version: Version,
    /// For how much longer the stream may be taken up.
    pub ttl: Duration,
}

/// The streams whose origin is known.
#[derive(Debug, Default)]
pub struct Origins {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    streams: HashMap<StreamKey, Known>,
    /// The streams in the order in which they were first recorded.
    order: VecDeque<StreamKey>,
    ring: Ring,
    /// The members of which the ring consists.
    members: Arc<[Member]>,
    /// The index of this entry among them.
    own: Option<usize>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    /// None if streams of two versions had the same key.
    version: Option<Version>,
    expires: Instant,
    /// The service, if the stream began at this entry.
    own_service: Option<Hash>,
}

impl Known {
    fn origin(&self, stream: StreamKey, now: Instant) -> Option<Origin> {
        let ttl = self.expires.checked_duration_since(now)?;
        Some(Origin { stream, version: self.version?, ttl })
    }
}

impl Origins {
    /// Records a stream that began at this entry.
    pub fn record(&self, origin: Origin, service: Hash, now: Instant) {
        self.lock().insert(origin, Some(service), now);
    }

    /// Records streams that began at another entry.
    pub fn observe(&self, origins: &StreamOrigins, now: Instant) {
        let mut inner = self.lock();
        for origin in origins.rows() {
            inner.insert(origin, None, now);
        }
    }

    /// Returns the version at which a stream began.
    pub fn get(&self, stream: StreamKey, now: Instant) -> Option<Version> {
        let inner = self.lock();
        inner.streams.get(&stream).filter(|known| now < known.expires)?.version
    }

    /// Returns the number of streams that are known.
    pub fn len(&self) -> usize {
        self.lock().streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the streams of a service that began at this entry.
    pub fn own(&self, service: Hash, now: Instant) -> Vec<Origin> {
        let inner = self.lock();
        let own = inner.streams.iter().filter(|(_, known)| known.own_service == Some(service));
        own.filter_map(|(stream, known)| known.origin(*stream, now)).collect()
    }

    /// Returns all streams that are known, the latest first.
    pub fn all(&self, now: Instant) -> Vec<Origin> {
        let inner = self.lock();
        let all = inner.order.iter().rev();
        all.filter_map(|stream| inner.streams.get(stream)?.origin(*stream, now)).collect()
    }

    /// Returns the datagrams that tell so many holders of each of these streams where it began.
    pub fn datagrams(
        &self,
        origins: &[Origin],
        holders: usize,
        members: &Arc<[Member]>,
    ) -> Vec<(SocketAddr, StreamOrigins)> {
        let mut inner = self.lock();
        inner.renew_ring(members);
        let mut rows: HashMap<SocketAddr, Vec<Origin>> = HashMap::new();
        for origin in origins {
            for address in inner.addresses(origin.stream, holders) {
                rows.entry(address).or_default().push(*origin);
            }
        }
        let datagrams = rows.iter().flat_map(|(address, rows)| {
            rows.chunks(MAX_ROWS).map(|rows| (*address, StreamOrigins::new(rows)))
        });
        datagrams.collect()
    }

    /// Returns up to `count` entries that hold what is known of a key, this one included if it does.
    pub fn holders(&self, key: Hash, count: usize, members: &Arc<[Member]>) -> Vec<Member> {
        let mut inner = self.lock();
        inner.renew_ring(members);
        let holders = inner.ring.holders(key, None, count);
        holders.into_iter().map(|at| inner.members[at]).collect()
    }

    /// Returns the entries to ask where a stream began.
    pub fn asked(&self, stream: StreamKey, members: &Arc<[Member]>) -> Vec<Member> {
        let mut inner = self.lock();
        inner.renew_ring(members);
        let holders = inner.ring.holders(stream, inner.own, ASKED);
        holders.into_iter().map(|at| inner.members[at]).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn insert(&mut self, origin: Origin, own_service: Option<Hash>, now: Instant) {
        let Origin { stream, version, ttl } = origin;
        self.expire(now);
        let expires = now + ttl.min(MEMORY);
        let Some(known) = self.streams.get_mut(&stream) else {
            let known = Known { version: Some(version), expires, own_service };
            self.streams.insert(stream, known);
            self.order.push_back(stream);
            return;
        };
        if now >= known.expires {
            *known = Known { version: Some(version), expires, own_service };
            return;
        }
        known.version = known.version.filter(|known| *known == version);
        known.expires = known.expires.max(expires);
        known.own_service = known.own_service.or(own_service);
    }

    /// Drops the streams that were recorded first, as far as they have expired or there are too
    /// many.
    fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.order.front() {
            let has_expired = self.streams.get(oldest).is_none_or(|known| now >= known.expires);
            if !has_expired && self.order.len() < MAX_STREAMS {
                return;
            }
            self.streams.remove(oldest);
            self.order.pop_front();
        }
    }

    fn renew_ring(&mut self, members: &Arc<[Member]>) {
        if !Arc::ptr_eq(&self.members, members) {
            let holder = |member: &Member| Holder { key: member.key, domain: member.domain };
            self.ring = Ring::new(members.iter().map(holder).collect());
            self.own = members.iter().position(|member| member.address.is_none());
            self.members = members.clone();
        }
    }

    fn addresses(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let holders = self.ring.holders(stream, self.own, count);
        holders.into_iter().filter_map(|at| self.members[at].address).collect()
    }
}
