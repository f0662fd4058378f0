//! Which entries are alive, as each entry learns it from the others (SWIM).
//!
//! **Load pattern.** Hundreds of entries have to know each other, and notice within seconds when
//! one is gone. **Without this**, each of them writes heartbeats to the log and reads those of all
//! others: calls grow faster than the number of entries. **Approach.** Each entry probes one other
//! per interval, in a shuffled order, so that each is probed about once per interval however many
//! there are. One that doesn't acknowledge is probed through others, then suspected, and declared
//! dead unless it refutes the suspicion in time. Changes travel on the datagrams that are sent
//! anyway, each on a number of them that grows with the logarithm of the number of entries; a
//! digest of the whole list in each datagram shows that some were missed.
//!
//! An entry that is frozen and wakes up learns that it is suspected or dead from the first entry
//! that it sends to, and refutes it with a higher incarnation.

mod comparison;
mod peer_list;
mod update_queue;

use crate::{Hash, Time};
use comparison::Comparison;
use peer_list::PeerList;
use rand::{Rng, RngExt};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use update_queue::UpdateQueue;

/// Orders what is said about one entry: the entry itself increases it to refute a suspicion.
pub type Incarnation = u64;

/// Settings of the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How often an entry probes another one.
    pub probe_interval: Duration,
    /// The time without an acknowledgement after which others are asked to probe.
    pub ack_timeout: Duration,
    /// How many others are asked to probe.
    pub indirect_probes: usize,
    /// How long a suspected entry may take to refute: longer than a VM is usually frozen.
    pub suspicion_timeout: Duration,
    /// For how long a dead entry is remembered. Until then it counts as one that may come back.
    pub dead_retention: Duration,
    /// Each update is sent this many times the binary logarithm of the number of entries: enough
    /// that losses of datagrams leave out few entries, which compare their lists with others.
    pub transmissions_per_doubling: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            dead_retention: Duration::from_secs(16),
            transmissions_per_doubling: 2,
        }
    }
}

/// An entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Node {
    /// The hash of its name.
    pub key: Hash,
    /// The hash of its failure domain.
    pub domain: Hash,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// The rate of its VM's link in bytes per second, as a measure of the VM's size.
    pub link_rate: f64,
}

/// How an update arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// As news, which are passed on.
    News,
    /// In a list that this entry requested. Others compare their lists as well, and passing on
    /// hundreds of entries that are no news would hold up what is.
    List,
}

/// What is known of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It is alive.
    Alive,
    /// It acknowledged no probe.
    Suspect,
    /// It has not refuted a suspicion in time.
    Dead,
    /// Its process stopped as planned.
    Left,
}

impl Status {
    /// Orders the statuses of one incarnation: a later one overrides an earlier one.
    fn rank(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspect => 1,
            Self::Dead => 2,
            Self::Left => 3,
        }
    }

    /// Whether the entry takes part.
    fn is_live(self) -> bool {
        match self {
            Self::Alive | Self::Suspect => true,
            Self::Dead | Self::Left => false,
        }
    }
}

/// What one entry tells another about an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Update {
    /// The entry that this is about.
    pub node: Node,
    /// The incarnation that the status belongs to.
    pub incarnation: Incarnation,
    /// Its status in that incarnation.
    pub status: Status,
}

impl Update {
    fn overrides(&self, known: &Self) -> bool {
        (self.incarnation, self.status.rank()) > (known.incarnation, known.status.rank())
    }
}

/// A probe to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Probe {
    /// Where the probe is sent.
    pub to: SocketAddr,
    /// The entry that is probed through the recipient; none if it is the recipient itself.
    pub through_to: Option<SocketAddr>,
    /// Identifies the probe in its acknowledgement.
    pub sequence: u64,
}

/// A request for a part of another entry's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageRequest {
    /// Where the request is sent.
    pub to: SocketAddr,
    /// The key after which the part starts.
    pub after: Hash,
}

/// What is due at a point in time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Due {
    /// Probes to be sent.
    pub probes: Vec<Probe>,
    /// A request to be sent again, since it or its response was lost.
    pub page_request: Option<PageRequest>,
}

/// The probe of the current interval.
#[derive(Debug, Clone, Copy)]
struct Outstanding {
    key: Hash,
    sequence: u64,
    sent_at: Time,
    indirect: bool,
}

/// The entries as one of them knows them.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    own: Update,
    peers: PeerList,
    queue: UpdateQueue,
    /// The entries in the order in which they are probed; taken from the end.
    probe_order: Vec<Hash>,
    outstanding: Option<Outstanding>,
    next_probe_at: Time,
    next_sequence: u64,
    /// Suspected and dead entries, with the time at which that ends.
    deadlines: HashMap<Hash, Time>,
    comparison: Comparison,
    departures: usize,
}

impl Membership {
    /// Creates the membership of one entry. Of two processes of the same entry, the later one needs
    /// the higher incarnation; if it has a lower one, it is corrected by the first peer.
    pub fn new(settings: Settings, node: Node, incarnation: Incarnation) -> Self {
        let own = Update { node, incarnation, status: Status::Alive };
        Self {
            settings,
            own,
            peers: PeerList::default(),
            queue: UpdateQueue::default(),
            probe_order: Vec::new(),
            outstanding: None,
            next_probe_at: Time::ZERO,
            next_sequence: 0,
            deadlines: HashMap::new(),
            comparison: Comparison::default(),
            departures: 0,
        }
    }

    /// Returns what this entry says about itself.
    pub fn own(&self) -> Update {
        self.own
    }

    /// Returns the other live entries, sorted by key.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.peers.iter().filter(|update| update.status.is_live()).map(|update| &update.node)
    }

    /// Returns the number of live entries besides this one.
    pub fn live_count(&self) -> usize {
        self.peers.live_count()
    }

    /// Returns the number of entries besides this one, including those that died recently.
    pub fn count(&self) -> usize {
        self.peers.count()
    }

    /// Returns how many entries have left as planned so far.
    pub fn departures(&self) -> usize {
        self.departures
    }

    /// Returns a number that changes with the set of entries.
    pub fn version(&self) -> u64 {
        self.peers.version()
    }

    /// Returns a hash of the whole list, by which two entries notice that theirs differ.
    pub fn digest(&self) -> Hash {
        let own = PeerList::digest_of(&self.own);
        self.peers.digest() ^ if self.own.status.is_live() { own } else { 0 }
    }

    /// Returns whether an entry takes part and is not suspected.
    pub fn is_alive(&self, key: Hash) -> bool {
        self.peers.get(key).is_some_and(|update| update.status == Status::Alive)
    }

    /// Returns whether a live entry has this address.
    pub fn is_live_address(&self, ip: IpAddr) -> bool {
        self.peers.is_live_address(ip)
    }

    /// Returns the live entry with this key.
    pub fn live_node(&self, key: Hash) -> Option<Node> {
        self.peers.get(key).filter(|update| update.status.is_live()).map(|update| update.node)
    }

    /// Returns the incarnation of the live entry with this key.
    pub fn live_incarnation(&self, key: Hash) -> Option<Incarnation> {
        let update = self.peers.get(key).filter(|update| update.status.is_live());
        update.map(|update| update.incarnation)
    }

    /// Applies what another entry tells. Returns what that entry should be told in return, if it
    /// believes something older.
    pub fn apply(&mut self, update: Update, source: Source, now: Time) -> Option<Update> {
        if update.node.key == self.own.node.key {
            return self.apply_own(&update);
        }
        let known = self.peers.get(update.node.key).copied();
        if let Some(known) = known.filter(|known| !update.overrides(known)) {
            return known.overrides(&update).then_some(known);
        }
        // What is said about the end of an unknown entry concerns nobody here.
        if known.is_some() || update.status.is_live() {
            self.set(update, now);
            match source {
                Source::News => self.queue.push(update),
                Source::List => self.comparison.record_difference(),
            }
        }
        None
    }

    /// Applies what is said about this entry itself, and refutes that it is dead or suspected.
    fn apply_own(&mut self, update: &Update) -> Option<Update> {
        let refutes = self.own.status == Status::Alive
            && update.incarnation >= self.own.incarnation
            && update.status != Status::Alive;
        // A previous process of this entry had a higher incarnation.
        let is_behind = update.incarnation > self.own.incarnation;
        if refutes || is_behind {
            self.own.incarnation = update.incarnation + 1;
        }
        self.own.overrides(update).then_some(self.own)
    }

    fn set(&mut self, update: Update, now: Time) {
        let key = update.node.key;
        let deadline = match update.status {
            Status::Alive => None,
            Status::Suspect => Some(self.settings.suspicion_timeout),
            Status::Dead => Some(self.settings.dead_retention),
            Status::Left => Some(self.settings.suspicion_timeout),
        };
        match deadline {
            Some(timeout) => self.deadlines.insert(key, now + timeout),
            None => self.deadlines.remove(&key),
        };
        let known = self.peers.get(key).map(|known| known.status);
        if update.status == Status::Left && known != Some(Status::Left) {
            self.departures += 1;
        }
        self.peers.insert(update);
    }

    /// Records what this entry found out itself.
    fn announce(&mut self, update: Update, now: Time) {
        self.set(update, now);
        self.queue.push(update);
    }

    /// Announces that this entry leaves.
    pub fn leave(&mut self) {
        self.own.status = Status::Left;
    }

    /// Returns what to add to a datagram that is sent to `copies` entries: this entry first, then
    /// the updates that were sent least often.
    pub fn updates(&mut self, max: usize, copies: u32) -> Vec<Update> {
        let doublings = (self.peers.count() + 2).ilog2();
        let limit = doublings * self.settings.transmissions_per_doubling;
        let mut updates = vec![self.own];
        updates.extend(self.queue.take(max, copies, limit));
        updates
    }

    /// Returns up to `max` entries in the order of their keys, those after `after`, and the key at
    /// which to continue.
    pub fn page(&self, after: Hash, max: usize) -> (Vec<Update>, Option<Hash>) {
        self.peers.page(after, max)
    }

    /// Returns up to `max` live entries in a random order.
    pub fn sample(&self, max: usize, random: &mut dyn Rng) -> Vec<Node> {
        let start = self.peers.live_from(random.random()).map(|update| update.node);
        start.take(max).collect()
    }

    /// Compares the list of another entry by its digest; returns a request for it if they differ.
    /// While entries start or stop, they do until all have heard of it.
    pub fn compare(&mut self, digest: Hash, from: SocketAddr, now: Time) -> Option<PageRequest> {
        let differs = digest != self.digest();
        let after = self.comparison.begin(now).filter(|_| differs)?;
        self.comparison.requested(after, now);
        Some(PageRequest { to: from, after })
    }

    /// Records that a part of a list has arrived, which ends at the key `next` unless it is the last
    /// one. Returns the request for the next part, to any entry, so that a seed doesn't send the
    /// whole list to all entries.
    pub fn page_received(
        &mut self,
        next: Option<Hash>,
        from: SocketAddr,
        now: Time,
        random: &mut dyn Rng,
    ) -> Option<PageRequest> {
        let Some(after) = next else {
            self.comparison.end(now);
            return None;
        };
        self.comparison.requested(after, now);
        let to = self.sample(1, random).pop().map_or(from, |node| node.address);
        Some(PageRequest { to, after })
    }

    /// Records an acknowledgement.
    pub fn acknowledge(&mut self, sequence: u64) {
        if self.outstanding.is_some_and(|probe| probe.sequence == sequence) {
            self.outstanding = None;
        }
    }

    /// Advances the time; returns what is due.
    pub fn tick(&mut self, now: Time, random: &mut dyn Rng) -> Due {
        self.expire(now);
        let page_request = self.comparison.repeat(now).and_then(|after| {
            Some(PageRequest { to: self.sample(1, random).pop()?.address, after })
        });
        Due { probes: self.due_probes(now, random), page_request }
    }

    fn due_probes(&mut self, now: Time, random: &mut dyn Rng) -> Vec<Probe> {
        if let Some(probe) = self.outstanding
            && !probe.indirect
            && now >= probe.sent_at + self.settings.ack_timeout
        {
            self.outstanding = Some(Outstanding { indirect: true, ..probe });
            return self.indirect_probes(&probe, random);
        }
        if now < self.next_probe_at {
            return Vec::new();
        }
        if let Some(probe) = self.outstanding.take() {
            self.suspect(probe.key, now);
        }
        self.next_probe_at = now + self.settings.probe_interval;
        self.direct_probe(now, random).into_iter().collect()
    }

    fn direct_probe(&mut self, now: Time, random: &mut dyn Rng) -> Option<Probe> {
        let node = self.next_to_probe(random)?;
        let sequence = self.sequence();
        self.outstanding =
            Some(Outstanding { key: node.key, sequence, sent_at: now, indirect: false });
        Some(Probe { to: node.address, through_to: None, sequence })
    }

    fn indirect_probes(&self, probe: &Outstanding, random: &mut dyn Rng) -> Vec<Probe> {
        let Some(target) = self.live_node(probe.key) else { return Vec::new() };
        // One more, since the probed entry may be among them.
        let through = self.sample(self.settings.indirect_probes + 1, random).into_iter();
        let through = through.filter(|node| node.key != probe.key);
        let probes = through.take(self.settings.indirect_probes).map(|node| Probe {
            to: node.address,
            through_to: Some(target.address),
            sequence: probe.sequence,
        });
        probes.collect()
    }

    fn next_to_probe(&mut self, random: &mut dyn Rng) -> Option<Node> {
        // A second pass, after the order was drawn anew, finds a live entry if there is any.
        for _ in 0..2 {
            while let Some(key) = self.probe_order.pop() {
                if let Some(node) = self.live_node(key) {
                    return Some(node);
                }
            }
            self.probe_order = self.live().map(|node| node.key).collect();
            for at in (1..self.probe_order.len()).rev() {
                self.probe_order.swap(at, random.random_range(0..=at));
            }
        }
        None
    }

    fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    fn suspect(&mut self, key: Hash, now: Time) {
        let known = self.peers.get(key).filter(|update| update.status == Status::Alive);
        if let Some(update) = known.map(|known| Update { status: Status::Suspect, ..*known }) {
            self.announce(update, now);
        }
    }

    /// Declares suspected entries dead, and forgets dead ones, once their time is over.
    fn expire(&mut self, now: Time) {
        let due = self.deadlines.iter().filter(|(_, at)| **at <= now).map(|(key, _)| *key);
        let due: Vec<Hash> = due.collect();
        for key in due {
            self.deadlines.remove(&key);
            let Some(known) = self.peers.get(key).copied() else { continue };
            match known.status {
                Status::Suspect => self.announce(Update { status: Status::Dead, ..known }, now),
                Status::Dead | Status::Left => self.peers.remove(key),
                Status::Alive => {}
            }
        }
    }
}
