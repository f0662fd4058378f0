//! Entries that enforce limits together, in memory, with a network and a clock of their own.

use policy::groups::{Entry, coordinators};
use policy::quota::{
    Answer, Ask, Bounds, Coordinator, CustomerKey, EntryKey, Held, Lender, Limit, Refund, Return,
    Stamp, partition,
};
use policy::{Time, mix};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

pub const BOUNDS: Bounds =
    Bounds { window: Duration::from_secs(8), overage: 0.1, allowance: 73_000.0 };

/// How long an entry waits for an answer.
const WAIT: Duration = Duration::from_millis(60);
/// How long a caller waits before it retries, at most.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Time without contact after which an entry counts as dead, and after which it is forgotten.
const SUSPICION: Duration = Duration::from_secs(5);
const FORGOTTEN: Duration = Duration::from_secs(21);
const TICK: Duration = Duration::from_millis(50);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone, Copy)]
struct Request {
    customer: CustomerKey,
    amount: f64,
    returning: bool,
}

#[derive(Debug, Clone)]
enum Message {
    Lend { share: f64, term: Duration, echoed: Option<Stamp>, partition: u16, ask: Option<Ask> },
    Answer { stamp: Stamp, count: usize, decision: Option<(u64, Answer, u64)> },
    Return { partition: u16, back: Return, confirmed: bool },
    Refund(Refund),
}

#[derive(Debug, Clone)]
enum Event {
    Tick(usize, u64),
    Arrival(usize, Request),
    Datagram { from: usize, to: usize, message: Message },
    Timeout { at: usize, id: u64, life: u64 },
    NotRun { at: usize, life: u64, holder: EntryKey, refund: Refund },
}

#[derive(Debug)]
struct Pending {
    request: Request,
    holder: EntryKey,
    sent: Time,
    term: Duration,
}

/// A process of an entry.
struct Node {
    life: u64,
    key: EntryKey,
    /// The difference between its clock and that of the model.
    offset: Duration,
    coordinator: Coordinator,
    lender: Lender,
    held: Held,
    limits: BTreeMap<CustomerKey, Limit>,
    heard: Vec<Option<Time>>,
    view: Vec<bool>,
    viewed_at: Time,
    candidates: BTreeMap<u16, Vec<EntryKey>>,
    renewed: HashMap<u16, Time>,
    stamps: HashMap<EntryKey, Stamp>,
    pending: HashMap<u64, Pending>,
}

/// Tokens of a request that a target ran.
#[derive(Debug, Clone, Copy)]
pub struct Spend {
    pub at: Time,
    pub customer: CustomerKey,
    pub amount: f64,
}

/// A change of a limit.
struct Change {
    customer: CustomerKey,
    before: Limit,
    at: Time,
    /// When all entries know it.
    known: Time,
}

pub struct Model {
    pub now: Time,
    pub random: ChaCha8Rng,
    pub spends: Vec<Spend>,
    pub refused: usize,
    /// The largest sum of the fractions of one limit that entries might grant at a time.
    pub largest_sum: f64,
    sampled_at: Time,
    pub datagrams: usize,
    nodes: Vec<Option<Node>>,
    frozen_until: Vec<Time>,
    /// Entries of different sides can't reach each other.
    pub sides: Vec<u8>,
    /// Whether the settings of an entry that starts tell how many there are.
    pub size_is_known: bool,
    pub loss: f64,
    pub duplicates: f64,
    pub late: f64,
    /// Part of the granted requests that no target runs.
    pub not_run: f64,
    limits: BTreeMap<CustomerKey, Limit>,
    version: u64,
    changes: Vec<Change>,
    events: BinaryHeap<Reverse<(Time, usize)>>,
    queue: HashMap<usize, Event>,
    next: usize,
    next_id: u64,
}

fn key(number: usize) -> EntryKey {
    mix(number as u64, 0x5117)
}

impl Model {
    /// Starts all entries at once, on the given sides of a partition.
    pub fn new(sides: Vec<u8>, seed: u64, limits: BTreeMap<CustomerKey, Limit>) -> Self {
        Self::start_all(sides, seed, limits, true)
    }

    pub fn start_all(
        sides: Vec<u8>,
        seed: u64,
        limits: BTreeMap<CustomerKey, Limit>,
        size_is_known: bool,
    ) -> Self {
        let entries = sides.len();
        let mut model = Self {
            now: Time::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            spends: Vec::new(),
            refused: 0,
            largest_sum: 0.0,
            sampled_at: Time::ZERO,
            datagrams: 0,
            nodes: (0..entries).map(|_| None).collect(),
            frozen_until: vec![Time::ZERO; entries],
            sides,
            size_is_known,
            loss: 0.0,
            duplicates: 0.0,
            late: 0.0,
            not_run: 0.0,
            limits,
            version: 1,
            changes: Vec::new(),
            events: BinaryHeap::new(),
            queue: HashMap::new(),
            next: 0,
            next_id: 0,
        };
        (0..entries).for_each(|at| model.start(at));
        model
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn start(&mut self, at: usize) {
        if self.nodes[at].is_some() {
            return;
        }
        let life: u64 = self.random.random();
        let (count, limits) = (self.len(), self.limits.clone());
        let offset = ms(self.random.random_range(0..100_000));
        let mut lender = Lender::new(key(at));
        if self.size_is_known {
            lender.observe_peer_count(count, self.now + offset);
        }
        self.nodes[at] = Some(Node {
            life,
            key: key(at),
            offset,
            coordinator: Coordinator::new(BOUNDS, life),
            lender,
            held: Held::default(),
            limits,
            heard: vec![None; count],
            view: Vec::new(),
            viewed_at: Time::ZERO,
            candidates: BTreeMap::new(),
            renewed: HashMap::new(),
            stamps: HashMap::new(),
            pending: HashMap::new(),
        });
        self.frozen_until[at] = Time::ZERO;
        let first = self.now + ms(self.random.random_range(0..50));
        self.schedule(first, Event::Tick(at, life));
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    pub fn freeze(&mut self, at: usize, duration: Duration) {
        self.frozen_until[at] = self.now + duration;
    }

    /// The fraction of a customer's limit that an entry may grant.
    pub fn fraction_of(&self, at: usize, customer: CustomerKey) -> f64 {
        self.nodes[at].as_ref().map_or(0.0, |node| {
            node.coordinator.fraction(partition(customer), self.now + node.offset)
        })
    }

    pub fn fractions(&self, customer: CustomerKey) -> Vec<f64> {
        (0..self.len()).map(|at| self.fraction_of(at, customer)).collect()
    }

    /// The entry that may grant most of a customer's limit.
    pub fn coordinator(&self, customer: CustomerKey) -> Option<usize> {
        let fractions = self.fractions(customer);
        (0..self.len()).max_by(|a, b| fractions[*a].total_cmp(&fractions[*b]))
    }

    pub fn any_entry(&mut self) -> usize {
        let count = self.len();
        self.random.random_range(0..count)
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        self.random.random_range(from..to)
    }

    /// Changes a limit where new processes read it; entries learn of it by [`Self::learn`].
    pub fn set_limit(&mut self, customer: CustomerKey, limit: Limit) {
        self.limits.insert(customer, limit);
    }

    /// Changes a limit, known to all entries at a time.
    pub fn change_limit(&mut self, customer: CustomerKey, rate: f64, known: Time) {
        self.version += 1;
        let limit = Limit { rate, burst: rate, version: self.version };
        let at = self.now;
        let before = self.limits.insert(customer, limit);
        self.changes.extend(before.map(|before| Change { customer, before, at, known }));
    }

    pub fn remove_limit(&mut self, customer: CustomerKey) {
        self.limits.remove(&customer);
    }

    pub fn learn(&mut self, at: usize) {
        if let Some(node) = &mut self.nodes[at] {
            node.limits = self.limits.clone();
            let newest = node.limits.values().map(|limit| limit.version).max();
            node.held.clear_older(newest.unwrap_or_default());
        }
    }

    pub fn arrive(&mut self, at: usize, time: Time, customer: CustomerKey, amount: f64) {
        self.schedule(time, Event::Arrival(at, Request { customer, amount, returning: false }));
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.queue.insert(self.next, event);
        self.events.push(Reverse((at, self.next)));
    }

    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse((at, number))) = self.events.peek().copied()
            && at <= end
        {
            self.events.pop();
            self.now = self.now.max(at);
            if self.now >= self.sampled_at {
                self.sampled_at = self.now + ms(20);
                for customer in self.limits.keys().copied().collect::<Vec<_>>() {
                    let sum = self.fractions(customer).iter().sum();
                    self.largest_sum = self.largest_sum.max(sum);
                }
            }
            let event = self.queue.remove(&number).expect("an event");
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let at = match &event {
            Event::Tick(at, _) | Event::Arrival(at, _) => *at,
            Event::Timeout { at, .. } | Event::NotRun { at, .. } => *at,
            Event::Datagram { to, .. } => *to,
        };
        if self.now < self.frozen_until[at] {
            // Timers and sockets keep what is due until the entry resumes.
            return self.schedule(self.frozen_until[at], event);
        }
        let Some(mut node) = self.nodes[at].take() else { return };
        let now = self.now + node.offset;
        match event {
            Event::Tick(_, life) if life == node.life => self.tick(&mut node, at, now),
            Event::Arrival(_, request) => self.arrival(&mut node, at, request, now),
            Event::Datagram { from, message, .. } => {
                self.receive(&mut node, (from, at), message, now);
            }
            Event::Timeout { id, life, .. } if life == node.life => {
                if let Some(pending) = node.pending.remove(&id) {
                    let partition = partition(pending.request.customer);
                    node.lender.silent(partition, pending.holder, now);
                    self.refused += 1;
                }
            }
            Event::NotRun { life, holder, refund, .. } if life == node.life => {
                if holder == node.key {
                    node.coordinator.refund(&refund, node.lender.entries(now), now);
                } else {
                    self.send(at, holder, Message::Refund(refund));
                }
            }
            _ => {}
        }
        self.nodes[at] = Some(node);
    }

    fn send(&mut self, from: usize, to: EntryKey, message: Message) {
        let to = (0..self.len()).find(|at| key(*at) == to).expect("an entry");
        self.datagrams += 1;
        if self.sides[from] != self.sides[to] || self.random.random_bool(self.loss) {
            return;
        }
        let copies = if self.random.random_bool(self.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            let most = if self.random.random_bool(self.late) { 3_000_000 } else { 1_500 };
            let delay = Duration::from_micros(self.random.random_range(400..most));
            self.schedule(self.now + delay, Event::Datagram { from, to, message: message.clone() });
        }
    }

    fn tick(&mut self, node: &mut Node, at: usize, now: Time) {
        self.schedule(self.now + TICK, Event::Tick(at, node.life));
        for other in 0..self.len() {
            let reachable = self.nodes[other].is_some()
                && self.sides[other] == self.sides[at]
                && self.now >= self.frozen_until[other];
            if reachable {
                node.heard[other] = Some(now);
            }
        }
        let within = |heard: &Option<Time>, span| heard.is_some_and(|heard| now < heard + span);
        let known = node.heard.iter().filter(|heard| within(heard, FORGOTTEN)).count() + 1;
        let view: Vec<bool> = node.heard.iter().map(|heard| within(heard, SUSPICION)).collect();
        if view != node.view {
            (node.view, node.viewed_at) = (view, now);
            node.candidates.clear();
        }
        let count = if known == 1 && self.len() > 1 { 0 } else { known };
        node.lender.observe_entries(count, now - node.viewed_at, now);
        let partitions: Vec<u16> =
            self.limits.keys().map(|customer| partition(*customer)).collect();
        for partition in partitions {
            self.renew(node, at, partition, now);
        }
    }

    /// Requests the return of a share that should move, and renews a lease that is due.
    fn renew(&mut self, node: &mut Node, at: usize, partition: u16, now: Time) {
        let candidates = candidates(node, partition);
        if let Some(back) = node.lender.pending_return(partition, &candidates, now) {
            if back.holder == node.key {
                node.coordinator.give_back_share(partition, node.key, now);
                node.lender.returned(partition, back);
            } else {
                let message = Message::Return { partition, back, confirmed: false };
                self.send(at, back.holder, message);
            }
        }
        let interval = node.lender.interval(now);
        let due = node.renewed.get(&partition).is_none_or(|last| now >= *last + interval);
        if due && let Some(holder) = node.lender.holder(partition, &candidates, now) {
            node.renewed.insert(partition, now);
            if let Some(silent) = node.lender.probe(&candidates, now) {
                let (echoed, term) = (None, node.lender.term(now));
                let share = 0.0;
                self.send(at, silent, Message::Lend { share, term, echoed, partition, ask: None });
            }
            self.lend(node, at, partition, holder, None, now);
        }
    }

    /// Renews the lease, with a request for tokens or without.
    fn lend(
        &mut self,
        node: &mut Node,
        at: usize,
        partition: u16,
        holder: EntryKey,
        ask: Option<Ask>,
        now: Time,
    ) {
        node.lender.record_sent(partition, holder, now);
        let (share, term) = (node.lender.share(now), node.lender.term(now));
        let echoed = node.stamps.get(&holder).copied();
        if holder == node.key {
            let echoed = Some(node.coordinator.stamp(now));
            node.coordinator.lend(partition, holder, share, term, echoed, now);
        } else {
            let message = Message::Lend { share, term, echoed, partition, ask };
            self.send(at, holder, message);
        }
    }

    fn arrival(&mut self, node: &mut Node, at: usize, request: Request, now: Time) {
        let Request { customer, amount, returning } = request;
        let Some(limit) = node.limits.get(&customer).copied() else {
            return self.granted(node, at, request, None, false);
        };
        let partition = partition(customer);
        let candidates = candidates(node, partition);
        let holder = node.lender.holder(partition, &candidates, now);
        if node.held.spend(customer, &limit, amount, now) {
            let stamp = holder.and_then(|holder| node.stamps.get(&holder)).copied();
            return self.granted(node, at, request, holder.zip(stamp), true);
        }
        let Some(holder) = holder else {
            self.refused += 1;
            return;
        };
        self.next_id += 1;
        let id = self.next_id;
        let ask = Ask {
            entry: node.key,
            id,
            echoed: node.stamps.get(&holder).copied(),
            customer,
            limit,
            amount,
            ahead: node.held.wanted(customer, now),
            returned: node.held.take_unspent(customer, now),
            max_wait: MAX_WAIT,
            returning,
        };
        let pending = Pending { request, holder, sent: now, term: node.lender.term(now) };
        node.pending.insert(id, pending);
        if holder == node.key {
            self.lend(node, at, partition, holder, None, now);
            let answer = node.coordinator.ask(&ask, node.lender.entries(now), now);
            let version = node.coordinator.version(customer).expect("a customer");
            let stamp = node.coordinator.stamp(now);
            self.answer(node, at, stamp, (id, answer, version), now);
        } else {
            self.lend(node, at, partition, holder, Some(ask), now);
            self.schedule(self.now + WAIT, Event::Timeout { at, id, life: node.life });
        }
    }

    fn answer(
        &mut self,
        node: &mut Node,
        at: usize,
        stamp: Stamp,
        (id, answer, version): (u64, Answer, u64),
        now: Time,
    ) {
        let Some(pending) = node.pending.remove(&id) else { return };
        if now > pending.sent + WAIT {
            return;
        }
        let request = pending.request;
        match answer {
            Answer::Granted { ahead } => {
                if let Some(limit) = node.limits.get(&request.customer) {
                    let limit = Limit { version, ..*limit };
                    let until = pending.sent + pending.term;
                    node.held.add(request.customer, &limit, ahead, until, now);
                }
                self.granted(node, at, request, Some((pending.holder, stamp)), false);
            }
            Answer::Refused { retry_after, .. }
                if !request.returning && retry_after <= MAX_WAIT =>
            {
                let retry = Request { returning: true, ..request };
                self.schedule(self.now + retry_after, Event::Arrival(at, retry));
            }
            Answer::Refused { .. } => self.refused += 1,
        }
    }

    fn granted(
        &mut self,
        node: &Node,
        at: usize,
        request: Request,
        granted: Option<(EntryKey, Stamp)>,
        ahead: bool,
    ) {
        let Request { customer, amount, .. } = request;
        if !self.random.random_bool(self.not_run) {
            self.spends.push(Spend { at: self.now, customer, amount });
        } else if let Some((holder, granted)) = granted {
            self.next_id += 1;
            let entry = node.key;
            let refund = Refund { entry, id: self.next_id, granted, ahead, customer, amount };
            let time = self.now + ms(self.random.random_range(1..1_500));
            self.schedule(time, Event::NotRun { at, life: node.life, holder, refund });
        }
    }

    fn receive(
        &mut self,
        node: &mut Node,
        (from, at): (usize, usize),
        message: Message,
        now: Time,
    ) {
        match message {
            Message::Lend { share, term, echoed, partition, ask } => {
                let lender = key(from);
                let stamp = node.coordinator.lend(partition, lender, share, term, echoed, now);
                let entries = node.lender.entries(now);
                let decision = ask.map(|ask| {
                    let answer = node.coordinator.ask(&ask, entries, now);
                    (ask.id, answer, node.coordinator.version(ask.customer).expect("a customer"))
                });
                let count = entries;
                self.send(at, lender, Message::Answer { stamp, count, decision });
            }
            Message::Answer { stamp, count, decision } => {
                self.record_answer(node, (key(from), at), (stamp, count), decision, now);
            }
            Message::Return { partition, back, confirmed: false } => {
                node.coordinator.give_back_share(partition, key(from), now);
                self.send(at, key(from), Message::Return { partition, back, confirmed: true });
            }
            Message::Return { partition, back, confirmed: true } => {
                node.lender.returned(partition, back);
            }
            Message::Refund(refund) => {
                node.coordinator.refund(&refund, node.lender.entries(now), now);
            }
        }
    }

    fn record_answer(
        &mut self,
        node: &mut Node,
        (holder, at): (EntryKey, usize),
        (stamp, count): (Stamp, usize),
        decision: Option<(u64, Answer, u64)>,
        now: Time,
    ) {
        let is_newer = |known: &Stamp| known.life != stamp.life || known.at < stamp.at;
        let is_first = !node.stamps.contains_key(&holder);
        if node.stamps.get(&holder).is_none_or(is_newer) {
            node.stamps.insert(holder, stamp);
        }
        if is_first {
            // A first renewal is repeated with the stamp.
            node.renewed.clear();
        }
        node.lender.answered(holder);
        node.lender.observe_peer_count(count, now);
        if let Some(decision) = decision {
            self.answer(node, at, stamp, decision, now);
        }
    }

    /// The largest use in a window, as a part of the bound of the largest limit in force at its end:
    /// an earlier one is, until one window after all entries know the change.
    pub fn largest_use_of(&self, customer: CustomerKey) -> f64 {
        let ours = self.changes.iter().filter(|change| change.customer == customer);
        let mut from = Time::ZERO;
        let mut limits = Vec::new();
        for Change { before, at, known, .. } in ours {
            limits.push((*before, from, *known + BOUNDS.window));
            from = *at;
        }
        limits.push((self.limits[&customer], from, Time::MAX));
        let mut times: Vec<Time> =
            limits.iter().flat_map(|(_, from, until)| [*from, *until]).collect();
        times.sort();
        let spans = times.windows(2).map(|span| {
            let in_force =
                limits.iter().filter(|(_, from, until)| *from <= span[0] && span[0] < *until);
            let most = in_force.map(|(limit, ..)| limit).max_by(|a, b| a.rate.total_cmp(&b.rate));
            self.largest_use(customer, most.expect("a limit"), (span[0], span[1]))
        });
        spans.fold(0.0, f64::max)
    }

    /// The largest use of a customer in a window that ends in the span, as a part of the bound.
    pub fn largest_use(&self, customer: CustomerKey, limit: &Limit, span: (Time, Time)) -> f64 {
        let spends: Vec<&Spend> =
            self.spends.iter().filter(|spend| spend.customer == customer).collect();
        let window = limit.rate * BOUNDS.window.as_secs_f64() + limit.burst;
        let bound = window * (1.0 + BOUNDS.overage) + BOUNDS.allowance;
        let (mut first, mut sum, mut largest) = (0, 0.0, 0.0_f64);
        for spend in &spends {
            sum += spend.amount;
            while spends[first].at + BOUNDS.window <= spend.at {
                sum -= spends[first].amount;
                first += 1;
            }
            if (span.0..span.1).contains(&spend.at) {
                largest = largest.max(sum / bound);
            }
        }
        largest
    }

    pub fn used(&self, customer: CustomerKey, span: std::ops::Range<Time>) -> f64 {
        let spends = self.spends.iter();
        let spends = spends.filter(|spend| spend.customer == customer && span.contains(&spend.at));
        spends.map(|spend| spend.amount).sum()
    }
}

fn candidates(node: &mut Node, partition: u16) -> Vec<EntryKey> {
    if let Some(candidates) = node.candidates.get(&partition) {
        return candidates.clone();
    }
    let entries = node.view.iter().enumerate().filter(|(_, is_live)| **is_live);
    let mut entries: Vec<Entry> =
        entries.map(|(at, _)| Entry { key: key(at), weight: 1.0 + (at % 3) as f64 }).collect();
    let own = (0..node.heard.len()).find(|at| key(*at) == node.key).expect("this entry");
    entries.push(Entry { key: node.key, weight: 1.0 + (own % 3) as f64 });
    let mut candidates = Vec::new();
    // More than one standby: a coordinator and its standby may be down together.
    while candidates.len() < 4 && !entries.is_empty() {
        let best = coordinators(mix(partition.into(), 0xC0), &entries);
        let best: Vec<EntryKey> = best.into_iter().map(|at| entries[at].key).collect();
        entries.retain(|entry| !best.contains(&entry.key));
        candidates.extend(best);
    }
    node.candidates.insert(partition, candidates.clone());
    candidates
}
