//! The live entries as this entry knows them, see [`policy::membership`].

use crate::cluster::groups::Member;
use policy::dissemination::Recipient;
use policy::distance::{Distance, Topology};
use policy::groups::Entry;
use policy::membership::{Due, Incarnation, Membership, Node, Settings, Source, Status, Update};
use policy::{Hash, Time, dissemination, succession};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Identifies the task of writing heartbeats to the log, see [`Members::is_anchor`].
const ANCHORING: Hash = 0x616E_6368_6F72_6564;

/// Identifies the task of planning stage changes, see [`Members::planning_rank`].
const PLANNING: Hash = 0x706C_616E_6E69_6E67;

/// How many entries write heartbeats to the log for those that know no other entry.
const ANCHORS: u32 = 3;

/// How many entries may plan stage changes: one plans, and the others are standbys.
const MAX_PLANNERS: u32 = 6;

/// For how long an entry that takes no part in the membership counts as live after a heartbeat in
/// the log.
const HEARTBEAT_TTL: Duration = Duration::from_secs(21);

/// For how long observations of an entry that shuts down are accepted: longer than a shutdown takes.
const LEFT_TTL: Duration = Duration::from_secs(60);

/// The live entries, including this one, as recipients of news.
#[derive(Debug, Clone, Default)]
pub struct Ring {
    /// The entries in the order of their positions.
    pub recipients: Arc<[Recipient]>,
    /// Their addresses, at the same indexes; none for this entry itself.
    pub addresses: Arc<[Option<SocketAddr>]>,
}

/// The addresses of the other live entries.
#[derive(Debug, Clone, Default)]
pub struct Addresses {
    /// Those in this entry's failure domain.
    pub near: Arc<[SocketAddr]>,
    /// Those in other failure domains.
    pub far: Arc<[SocketAddr]>,
    /// Those among `far` in other regions.
    pub other_regions: Arc<HashSet<SocketAddr>>,
}

impl Addresses {
    /// Returns the number of other live entries.
    pub fn count(&self) -> usize {
        self.near.len() + self.far.len()
    }
}

/// This entry's view of which entries are live.
#[derive(Debug, Default)]
pub struct Members {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    topology: Topology,
    /// Set once the entry's own address is known.
    membership: Option<(Membership, ChaCha8Rng)>,
    /// Entries of builds before the membership, with the time of their last heartbeat in the log.
    heartbeats: HashMap<Hash, (Node, Time)>,
    /// Addresses of entries that shut down, with the time of the announcement.
    left: HashMap<IpAddr, Time>,
    snapshot: Arc<[Member]>,
    ring: Ring,
    addresses: Addresses,
    /// Whether any other entry was ever live.
    met_others: bool,
    /// The version of the membership and the number of heartbeats in the snapshot.
    version: (u64, usize),
    /// When the snapshot last changed.
    changed_at: Time,
    anchor_rank: u32,
    planning_rank: u32,
}

impl Members {
    /// Creates the view of an entry that has not heard of any other, in these regions.
    pub fn new(topology: Topology) -> Self {
        Self { inner: Mutex::new(Inner { topology, ..Inner::default() }) }
    }

    /// Starts to take part, as the node itself describes it.
    pub fn start(&self, node: Node, incarnation: Incarnation, seed: u64) {
        let membership = Membership::new(Settings::default(), node, incarnation);
        let mut inner = self.lock();
        inner.membership = Some((membership, ChaCha8Rng::seed_from_u64(seed)));
        inner.rebuild();
    }

    /// Returns the live entries, including this one, in the order of their positions.
    pub fn snapshot(&self) -> Arc<[Member]> {
        self.lock().snapshot.clone()
    }

    /// Returns the live entries as recipients of news.
    pub fn ring(&self) -> Ring {
        self.lock().ring.clone()
    }

    /// Returns the addresses of the other live entries.
    pub fn addresses(&self) -> Addresses {
        self.lock().addresses.clone()
    }

    /// Renews the snapshot if entries have changed; returns whether they have.
    pub fn refresh(&self, now: Time) -> bool {
        let mut inner = self.lock();
        inner.heartbeats.retain(|_, (_, at)| now < *at + HEARTBEAT_TTL);
        let version = inner.current_version();
        let changed = version != inner.version;
        if changed {
            (inner.version, inner.changed_at) = (version, now);
            inner.rebuild();
        }
        changed
    }

    /// Returns for how long the view of the live entries has not changed.
    pub fn unchanged(&self, now: Time) -> Duration {
        now.saturating_sub(self.lock().changed_at)
    }

    /// Returns the number of entries, including this one and those that may come back.
    pub fn count(&self) -> u32 {
        let inner = self.lock();
        let others = inner.membership.as_ref().map_or(0, |(membership, _)| membership.count());
        u32::try_from(others + inner.heartbeats.len() + 1).unwrap_or(u32::MAX)
    }

    /// Returns how many other entries have stopped as planned so far.
    pub fn departures(&self) -> usize {
        self.with(|membership, _| membership.departures()).unwrap_or_default()
    }

    /// Returns whether this entry knows no other one.
    pub fn is_alone(&self) -> bool {
        self.lock().addresses.count() == 0
    }

    /// Returns whether this entry has ever known another one.
    pub fn has_met_others(&self) -> bool {
        self.lock().met_others
    }

    /// Returns whether this entry writes heartbeats to the log: a few do, so that an entry that
    /// knows no other finds them there, and all do while an entry reads nothing else.
    pub fn is_anchor(&self) -> bool {
        let inner = self.lock();
        inner.anchor_rank < ANCHORS || !inner.heartbeats.is_empty()
    }

    /// Returns this entry's rank in the order in which entries plan stage changes.
    pub fn planning_rank(&self) -> u32 {
        self.lock().planning_rank
    }

    /// Returns whether this entry is among the first in that order, of which one plans.
    pub fn may_plan(&self) -> bool {
        self.planning_rank() < MAX_PLANNERS
    }

    /// Returns this entry's rank in the order for a task, among the live entries.
    pub fn rank(&self, task: Hash) -> u32 {
        self.lock().rank(task)
    }

    /// Records a heartbeat in the log of an entry that takes no part in the membership.
    pub fn record_heartbeat(&self, node: Node, now: Time) {
        self.lock().heartbeats.insert(node.key, (node, now));
    }

    /// Drops an entry whose heartbeat in the log said that it leaves.
    pub fn remove_heartbeat(&self, key: Hash) {
        self.lock().heartbeats.remove(&key);
    }

    /// Returns whether an entry is alive and not suspected.
    pub fn is_alive(&self, key: Hash) -> bool {
        self.with(|membership, _| membership.is_alive(key)).unwrap_or_default()
    }

    /// Returns the address of a live entry.
    pub fn address(&self, key: Hash) -> Option<SocketAddr> {
        let inner = self.lock();
        let node = inner.membership.as_ref().and_then(|(members, _)| members.live_node(key));
        let node = node.or_else(|| inner.heartbeats.get(&key).map(|(node, _)| *node));
        node.map(|node| node.address)
    }

    /// Returns whether a live entry has this address.
    pub fn is_known(&self, ip: IpAddr) -> bool {
        let inner = self.lock();
        inner.membership.as_ref().is_some_and(|(membership, _)| membership.is_live_address(ip))
            || inner.heartbeats.values().any(|(node, _)| node.address.ip() == ip)
    }

    /// Returns whether an entry at this address has lately announced its shutdown. It serves on until
    /// its requests have ended.
    pub fn has_left(&self, ip: IpAddr, now: Time) -> bool {
        self.lock().left.get(&ip).is_some_and(|at| now < *at + LEFT_TTL)
    }

    /// Returns some of the other live entries, drawn at random.
    pub fn sample(&self, max: usize) -> Vec<Node> {
        self.with(|membership, random| membership.sample(max, random)).unwrap_or_default()
    }

    /// Applies what another entry tells; returns what it should be told in return.
    pub fn apply(&self, updates: &[Update], source: Source, now: Time) -> Vec<Update> {
        self.lock().record_left(updates, now);
        let apply = |membership: &mut Membership| {
            updates.iter().filter_map(|update| membership.apply(*update, source, now)).collect()
        };
        self.with(|membership, _| apply(membership)).unwrap_or_default()
    }

    /// Advances the time; returns what is due.
    pub fn tick(&self, now: Time) -> Due {
        self.with(|membership, random| membership.tick(now, random)).unwrap_or_default()
    }

    /// Calls a function with the membership, once this entry takes part in it.
    pub fn with<T>(&self, act: impl FnOnce(&mut Membership, &mut ChaCha8Rng) -> T) -> Option<T> {
        let mut inner = self.lock();
        let (membership, random) = inner.membership.as_mut()?;
        Some(act(membership, random))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn record_left(&mut self, updates: &[Update], now: Time) {
        let left = updates.iter().filter(|update| update.status == Status::Left);
        for update in left {
            self.left.retain(|_, at| now < *at + LEFT_TTL);
            self.left.insert(update.node.address.ip(), now);
        }
    }

    fn current_version(&self) -> (u64, usize) {
        let version = self.membership.as_ref().map_or(0, |(membership, _)| membership.version());
        (version, self.heartbeats.len())
    }

    fn rebuild(&mut self) {
        let Some((membership, _)) = &self.membership else { return };
        let own = membership.own().node;
        let heartbeats = self.heartbeats.values().map(|(node, _)| node);
        let others = membership.live().chain(heartbeats.filter(|node| {
            // An entry that has been upgraded takes part in the membership.
            node.key != own.key && membership.live_node(node.key).is_none()
        }));
        let member = |node: &Node, address| {
            let Node { key, domain, link_rate, .. } = *node;
            Member { key, domain, address, link_rate }
        };
        let mut members: Vec<Member> =
            others.map(|node| member(node, Some(node.address))).collect();
        members.push(member(&own, None));
        members.sort_by_key(|member| dissemination::position(member.domain, member.key));
        let addresses = |near: bool| {
            let found = members.iter().filter(|member| (member.domain == own.domain) == near);
            found.filter_map(|member| member.address).collect()
        };
        let other_regions = members.iter().filter(|member| {
            self.topology.distance(member.domain, own.domain) == Distance::OtherRegion
        });
        let other_regions = other_regions.filter_map(|member| member.address).collect();
        self.addresses = Addresses {
            near: addresses(true),
            far: addresses(false),
            other_regions: Arc::new(other_regions),
        };
        self.met_others |= self.addresses.count() > 0;
        let recipient = |member: &Member| {
            let position = dissemination::position(member.domain, member.key);
            Recipient { position, link_rate: member.link_rate }
        };
        self.ring = Ring {
            recipients: members.iter().map(recipient).collect(),
            addresses: members.iter().map(|member| member.address).collect(),
        };
        if *self.snapshot != *members {
            self.snapshot = members.into();
        }
        (self.anchor_rank, self.planning_rank) = (self.rank(ANCHORING), self.rank(PLANNING));
    }

    fn rank(&self, task: Hash) -> u32 {
        let entry = |member: &Member| Entry { key: member.key, weight: member.link_rate };
        let own = self.snapshot.iter().find(|member| member.address.is_none()).map(entry);
        let others = self.snapshot.iter().filter(|member| member.address.is_some()).map(entry);
        own.map_or(0, |own| succession::rank(task, &own, others))
    }
}
