//! Gets records from another entry instead of from the log.
//!
//! **Load pattern.** All entries are killed and start again together, or many miss the same
//! datagrams. **Without this**, each of them reads the whole list of targets from the log: hundreds
//! of reads of a hundred kilobytes exceed what the log can send, calls end before their responses,
//! and the calls made in their place keep it overloaded. **Approach.** An entry asks others first,
//! chosen at random, so that the load spreads and each entry that has the records serves those that
//! don't. Only the first entries of the order in which they read the log turn to it at once, and
//! the rest when the others had time to get the records and to pass them on, and no other announces
//! that it reads the list, see [`policy::succession::Lack`].

use crate::cluster::messages::{LogRecords, Payload, ReceivedParts, RecordsRequest};
use crate::cluster::tail::{READERS, RecordSpan, Topic};
use crate::exchange::dissemination::{split, topic_at, topic_index};
use crate::shared::Shared;
use plat::{Newest, Offset, epoch};
use policy::Hash;
use policy::succession::{Lack, Patience};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of datagrams in response to one request, after which the requester asks
/// again. They are sent at once, and links are slow.
const MAX_RESPONSE: usize = 16;

/// How many entries are asked at once: some may have nothing either.
const ASKED_PEERS: usize = 2;

/// How long an entry waits for a response before it asks other entries.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);

/// The longest gap within a response; after that the rest is requested.
const RESPONSE_GAP: Duration = Duration::from_millis(15);

/// How long an entry that starts tries to join the others before it assumes that there are none.
const JOIN_PATIENCE: Duration = Duration::from_millis(600);

/// For how long an entry that starts asks the others: the first ones until their requests would have
/// been answered by an entry that has the list, the others until a short list was read and sent.
const START_PATIENCE: Patience =
    Patience { first: Duration::from_millis(150), others: Duration::from_millis(1_500) };

/// How long a designated reader that lacks changes asks others for the whole list, as a share of the
/// time within which a change has to take effect.
const READER_PATIENCE_SHARE: f64 = 0.2;

/// The same for any other entry, besides its delay in the order of reading: 0.33 s for the first.
const PATIENCE_SHARE: f64 = 0.05;

/// How often an entry that knows no other checks whether it has joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Requests the records that this entry lacks from another one.
pub fn request_from(shared: &Shared, topic: Topic, next: Offset, peer: Hash) {
    if let Some(address) = shared.peers.directory.address(peer) {
        request(shared, topic, next, false, address);
    }
}

fn request(shared: &Shared, topic: Topic, from: Offset, whole: bool, to: SocketAddr) {
    let received = shared.tail.received_parts(topic).map(|(block, count)| ReceivedParts {
        block,
        count: u32::try_from(count).unwrap_or(u32::MAX),
    });
    let request = RecordsRequest { topic: topic_index(topic), from, received, whole };
    shared.peer_socket.send(Payload::RecordsRequest(request), to);
}

/// Responds to a request with the records that this entry has, as far as they fit into a response.
pub fn respond(shared: &Shared, request: RecordsRequest, to: SocketAddr) {
    let Some(topic) = topic_at(request.topic) else { return };
    let (start, whole) = (request.from, request.whole);
    let records = if whole {
        shared.tail.kept_list(topic, start)
    } else {
        shared.tail.kept_changes(topic, start)
    };
    let Some(records) = records else { return };
    let end = shared.tail.change_end(topic);
    let span = RecordSpan { topic, start, end, log_degraded: false, whole, records };
    let is_received = |message: &LogRecords| {
        message.part.as_ref().zip(request.received).is_some_and(|(part, received)| {
            part.block == received.block && part.index < received.count
        })
    };
    let missing = split(shared, &span).into_iter().skip_while(is_received);
    for message in missing.take(MAX_RESPONSE) {
        shared.peer_socket.send(Payload::LogRecords(message), to);
    }
}

/// Gets all records of a stream that matter from other entries, for an entry that starts; `None` if
/// it is its turn to read them in the log.
pub async fn fetch_first(shared: &Shared, topic: Topic) -> Option<Newest> {
    wait_until_joined(shared).await;
    fetch_all(shared, topic, START_PATIENCE).await
}

/// The same for an entry that lacks changes which no other entry can send it: those were read as a
/// whole list, which is sent to all, after the log had forgotten them.
pub async fn fetch_again(shared: &Shared, topic: Topic) -> Option<Newest> {
    let bound = shared.tail.timing().change_bound;
    let (first, others) = (bound.mul_f64(READER_PATIENCE_SHARE), bound.mul_f64(PATIENCE_SHARE));
    fetch_all(shared, topic, Patience { first, others }).await
}

async fn fetch_all(shared: &Shared, topic: Topic, patience: Patience) -> Option<Newest> {
    let began = Instant::now();
    let newest = Newest::default();
    let mut fetch = Fetch { shared, topic, newest, parts: None, received_at: None };
    fetch.receive_offered();
    while !fetch.lack(began.elapsed()).reads_list(READERS, patience) {
        if shared.tail.is_complete(topic, fetch.newest.end) {
            log::info!(target: "store", stream = topic.name(), end = fetch.newest.end,
                records = fetch.newest.records.len(), ms = began.elapsed().as_millis();
                "records received from peers");
            return Some(fetch.newest);
        }
        let mut peers: Vec<SocketAddr> =
            shared.peers.directory.sample(ASKED_PEERS).iter().map(|peer| peer.address).collect();
        if peers.is_empty() {
            return None;
        }
        peers.extend(known_source(shared, topic, fetch.newest.end));
        peers.iter().for_each(|peer| request(shared, topic, fetch.newest.end, true, *peer));
        fetch.receive().await;
    }
    log::info!(target: "store", stream = topic.name(), end = fetch.newest.end,
        records = fetch.newest.records.len(), known = shared.tail.known_end(topic),
        rank = shared.tail.rank(),
        ms = began.elapsed().as_millis();
        "records not received from peers");
    None
}

/// An entry that said that it has records beyond `next`, once some have arrived: those that told of
/// their read first can't serve all others.
fn known_source(shared: &Shared, topic: Topic, next: Offset) -> Option<SocketAddr> {
    let source = shared.tail.peer_ahead(topic, next).filter(|_| next > 0)?;
    shared.peers.directory.address(source)
}

async fn wait_until_joined(shared: &Shared) {
    let began = Instant::now();
    while !shared.settings.seeds.is_empty()
        && shared.peers.directory.is_alone()
        && began.elapsed() < JOIN_PATIENCE
    {
        tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
    }
}

/// Records that are being received.
struct Fetch<'a> {
    shared: &'a Shared,
    topic: Topic,
    newest: Newest,
    /// The block that has arrived in part, and how many of its parts.
    parts: Option<(u64, usize)>,
    /// When something last arrived.
    received_at: Option<Instant>,
}

impl Fetch<'_> {
    /// Returns what this entry knows after it has asked for a time.
    fn lack(&self, asked: Duration) -> Lack {
        let (shared, now) = (self.shared, Instant::now());
        Lack {
            rank: shared.tail.rank(),
            asked,
            unchanged: shared.peers.directory.unchanged(shared.time()),
            announced: shared.tail.announced(self.topic, now),
            received: self.received_at.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Receives what arrives until the records are complete or the response is over.
    async fn receive(&mut self) {
        let mut deadline = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            let mut any = self.receive_offered();
            let parts = self.shared.tail.received_parts(self.topic);
            any |= parts != std::mem::replace(&mut self.parts, parts);
            if any {
                deadline = Instant::now() + RESPONSE_GAP;
                self.received_at = Some(Instant::now());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.shared.tail.is_complete(self.topic, self.newest.end) {
                return;
            }
            self.shared.tail.wait_for_update(left).await;
        }
    }

    /// Takes what has arrived; returns whether it was anything.
    fn receive_offered(&mut self) -> bool {
        let mut any = false;
        while let Some(span) = self.shared.tail.take_offered_list(self.topic, self.newest.end) {
            any |= self.append(span);
        }
        any
    }

    /// Appends a span; returns `false` for one from before the log was restored.
    fn append(&mut self, span: RecordSpan) -> bool {
        if epoch::epoch(span.end) < self.shared.tail.known_epoch() {
            return false;
        }
        self.newest.end = span.end;
        self.newest.records.extend(span.records);
        true
    }
}
